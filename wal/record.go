package wal

import (
	"encoding/binary"

	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/pkg/errors"
)

// recordType identifies the content of a record. The body of a frame is a sequence of records.
type recordType uint8

const (
	recordHardState recordType = iota + 1
	recordEntry
	// recordReset carries the index of a received snapshot that replaced all earlier entries.
	recordReset
	// recordLast carries the index of the last entry at the time a segment was started. On replay
	// it reveals that an older segment is missing.
	recordLast
	// recordBase carries the index of the received snapshot that the log follows. Each segment
	// repeats it, because the segment that holds the recordReset may have been removed.
	recordBase
)

const (
	// recordHeaderBytes is the size of a record's type and payload length.
	recordHeaderBytes = 5
	hardStateBytes    = 24
	entryHeaderBytes  = 17
	indexBytes        = 8
)

func appendRecordHeader(buf []byte, kind recordType, length int) []byte {
	buf = append(buf, byte(kind))
	return binary.LittleEndian.AppendUint32(buf, uint32(length))
}

func appendHardState(buf []byte, h raft.HardState) []byte {
	buf = appendRecordHeader(buf, recordHardState, hardStateBytes)
	buf = binary.LittleEndian.AppendUint64(buf, h.Term)
	buf = binary.LittleEndian.AppendUint64(buf, uint64(h.Vote))
	return binary.LittleEndian.AppendUint64(buf, h.Commit)
}

func appendEntry(buf []byte, e raft.Entry) []byte {
	buf = appendRecordHeader(buf, recordEntry, entryHeaderBytes+len(e.Data))
	buf = binary.LittleEndian.AppendUint64(buf, e.Index)
	buf = binary.LittleEndian.AppendUint64(buf, e.Term)
	buf = append(buf, byte(e.Type))
	return append(buf, e.Data...)
}

func appendIndex(buf []byte, kind recordType, index uint64) []byte {
	buf = appendRecordHeader(buf, kind, indexBytes)
	return binary.LittleEndian.AppendUint64(buf, index)
}

// nextRecord decodes the first record in the body of a frame and returns its payload and the
// rest of the body.
func nextRecord(body []byte) (kind recordType, payload, rest []byte, err error) {
	if len(body) < recordHeaderBytes {
		return 0, nil, nil, errors.New("record header is truncated")
	}
	n := uint64(binary.LittleEndian.Uint32(body[1:]))
	if uint64(len(body)) < recordHeaderBytes+n {
		return 0, nil, nil, errors.New("record extends beyond its frame")
	}
	end := recordHeaderBytes + n
	return recordType(body[0]), body[recordHeaderBytes:end:end], body[end:], nil
}

func decodeHardState(b []byte) (raft.HardState, error) {
	if len(b) != hardStateBytes {
		return raft.HardState{}, errors.New("hard state record has the wrong size")
	}
	return raft.HardState{
		Term:   binary.LittleEndian.Uint64(b),
		Vote:   raft.ID(binary.LittleEndian.Uint64(b[8:])),
		Commit: binary.LittleEndian.Uint64(b[16:]),
	}, nil
}

func decodeEntry(b []byte) (raft.Entry, error) {
	if len(b) < entryHeaderBytes {
		return raft.Entry{}, errors.New("entry record is too short")
	}
	return raft.Entry{
		Index: binary.LittleEndian.Uint64(b),
		Term:  binary.LittleEndian.Uint64(b[8:]),
		Type:  raft.EntryType(b[16]),
		Data:  b[entryHeaderBytes:],
	}, nil
}

func decodeIndex(b []byte) (uint64, error) {
	if len(b) != indexBytes {
		return 0, errors.New("index record has the wrong size")
	}
	return binary.LittleEndian.Uint64(b), nil
}
