package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"
)

// A frame is the unit that the log writes and syncs at once:
//
//	magic       4 bytes
//	body length 4 bytes, little-endian like all numbers
//	sequence    8 bytes, one more than that of the frame before
//	body CRC    4 bytes, CRC-32C
//	header CRC  4 bytes, CRC-32C of the 20 bytes before
//	body
//
// Only the last frame of a log can be unacknowledged, as each is synced before the next
// is written.
const (
	// frameHeaderBytes is the size of the fields before the body.
	frameHeaderBytes = 24
	// maxFrameBytes is the largest body of one frame.
	maxFrameBytes = 256 << 20
	// sectorBytes is the smallest unit that a disk writes atomically.
	sectorBytes = 512
)

var (
	frameMagic = []byte{0xB5, 'w', 'a', 'l'}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)

	errTruncated = errors.New("frame is truncated")
	errChecksum  = errors.New("frame checksum mismatch")
)

// startFrame truncates buf and reserves room for a frame header in it.
func startFrame(buf []byte) []byte {
	return append(buf[:0], make([]byte, frameHeaderBytes)...)
}

// finishFrame fills in the header of the frame in buf, whose body is complete.
func finishFrame(buf []byte, sequence uint64) {
	body := buf[frameHeaderBytes:]
	copy(buf, frameMagic)
	binary.LittleEndian.PutUint32(buf[4:], uint32(len(body)))
	binary.LittleEndian.PutUint64(buf[8:], sequence)
	binary.LittleEndian.PutUint32(buf[16:], crc32.Checksum(body, castagnoli))
	binary.LittleEndian.PutUint32(buf[20:], crc32.Checksum(buf[:20], castagnoli))
}

// nextFrame decodes the first frame in data and returns its body and the data after it.
func nextFrame(data []byte) (sequence uint64, body, rest []byte, err error) {
	if len(data) < frameHeaderBytes {
		return 0, nil, data, errTruncated
	}
	header := data[:frameHeaderBytes]
	if !bytes.HasPrefix(header, frameMagic) ||
		crc32.Checksum(header[:20], castagnoli) != binary.LittleEndian.Uint32(header[20:]) {
		return 0, nil, data, errChecksum
	}
	n := uint64(binary.LittleEndian.Uint32(header[4:]))
	if uint64(len(data)) < frameHeaderBytes+n {
		return 0, nil, data, errTruncated
	}
	body = data[frameHeaderBytes : frameHeaderBytes+n]
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(header[16:]) {
		return 0, nil, data, errChecksum
	}
	return binary.LittleEndian.Uint64(header[8:]), body, data[frameHeaderBytes+n:], nil
}

// isTornTail reports whether a bad frame at the given offset in its file, with all data that
// follows it, can be left over from an unfinished write: the file ends too early, or holds a
// sector that was never written. A valid frame after the bad one shows that the write was
// finished and the frame was damaged since.
func isTornTail(rest []byte, offset int, cause error) bool {
	for search := rest[1:]; ; {
		i := bytes.Index(search, frameMagic)
		if i < 0 {
			break
		}
		search = search[i:]
		if _, _, _, err := nextFrame(search); err == nil {
			return false
		}
		search = search[1:]
	}
	return errors.Is(cause, errTruncated) || hasEmptySector(rest, offset)
}

// hasEmptySector reports whether data, which starts at the given offset in its file, contains
// a sector that is all zero. Partial sectors at the start and end of data count as well.
func hasEmptySector(data []byte, offset int) bool {
	skip := (sectorBytes - offset%sectorBytes) % sectorBytes
	if skip > len(data) {
		return isZero(data)
	}
	if skip > 0 && isZero(data[:skip]) {
		return true
	}
	for data = data[skip:]; len(data) > 0; {
		n := min(sectorBytes, len(data))
		if isZero(data[:n]) {
			return true
		}
		data = data[n:]
	}
	return false
}

func isZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}
