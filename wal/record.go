package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/pkg/errors"
)

// recordType tells what a record carries.
type recordType uint8

const (
	recordHardState recordType = iota + 1
	recordEntry
	// recordReset marks that a received snapshot replaced all earlier entries.
	recordReset
)

const (
	// headerBytes is the size of a record header: length and CRC-32C of the body.
	headerBytes = 8
	// maxRecordBytes bounds the body of one record.
	maxRecordBytes = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// errShort tells that the data ends before the record does.
var errShort = errors.New("wal: record is cut short")

// errChecksum tells that a complete record does not match its checksum.
var errChecksum = errors.New("wal: record checksum mismatch")

// appendRecord appends one framed record to buf.
func appendRecord(buf []byte, kind recordType, body ...[]byte) []byte {
	start := len(buf)
	buf = append(buf, make([]byte, headerBytes)...)
	buf = append(buf, byte(kind))
	for _, b := range body {
		buf = append(buf, b...)
	}
	payload := buf[start+headerBytes:]
	binary.LittleEndian.PutUint32(buf[start:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(buf[start+4:], crc32.Checksum(payload, castagnoli))
	return buf
}

// nextRecord splits the first record off data.
func nextRecord(data []byte) (kind recordType, body, rest []byte, err error) {
	if len(data) < headerBytes {
		return 0, nil, data, errShort
	}
	n := binary.LittleEndian.Uint32(data)
	if n == 0 || n > maxRecordBytes {
		return 0, nil, data, errChecksum
	}
	if uint64(len(data)) < headerBytes+uint64(n) {
		return 0, nil, data, errShort
	}
	payload := data[headerBytes : headerBytes+n]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return 0, nil, data, errChecksum
	}
	return recordType(payload[0]), payload[1:], data[headerBytes+n:], nil
}

func encodeHardState(h raft.HardState) []byte {
	b := binary.LittleEndian.AppendUint64(nil, h.Term)
	b = binary.LittleEndian.AppendUint64(b, uint64(h.Vote))
	return binary.LittleEndian.AppendUint64(b, h.Commit)
}

func decodeHardState(b []byte) (raft.HardState, error) {
	if len(b) != 24 {
		return raft.HardState{}, errors.New("wal: hard state has a wrong size")
	}
	return raft.HardState{
		Term:   binary.LittleEndian.Uint64(b),
		Vote:   raft.ID(binary.LittleEndian.Uint64(b[8:])),
		Commit: binary.LittleEndian.Uint64(b[16:]),
	}, nil
}

const entryHeaderBytes = 17

func encodeEntryHeader(e raft.Entry) []byte {
	b := binary.LittleEndian.AppendUint64(make([]byte, 0, entryHeaderBytes), e.Index)
	b = binary.LittleEndian.AppendUint64(b, e.Term)
	return append(b, byte(e.Type))
}

func decodeEntry(b []byte) (raft.Entry, error) {
	if len(b) < entryHeaderBytes {
		return raft.Entry{}, errors.New("wal: entry is too short")
	}
	return raft.Entry{
		Index: binary.LittleEndian.Uint64(b),
		Term:  binary.LittleEndian.Uint64(b[8:]),
		Type:  raft.EntryType(b[16]),
		Data:  b[entryHeaderBytes:],
	}, nil
}
