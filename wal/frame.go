package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"
)

// A frame is what one Append writes and syncs:
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
	frameHeaderBytes = 24
	// maxFrameBytes bounds the body of one frame.
	maxFrameBytes = 256 << 20
	// sectorBytes is the smallest unit that a disk writes whole.
	sectorBytes = 512
)

var (
	frameMagic = []byte{0xB5, 'w', 'a', 'l'}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)

	errShort    = errors.New("frame is cut short")
	errChecksum = errors.New("frame does not match its checksum")
)

// startFrame reserves the header of a frame in an empty buffer.
func startFrame(buf []byte) []byte {
	return append(buf[:0], make([]byte, frameHeaderBytes)...)
}

// finishFrame fills in the header of the frame in buf.
func finishFrame(buf []byte, sequence uint64) {
	body := buf[frameHeaderBytes:]
	copy(buf, frameMagic)
	binary.LittleEndian.PutUint32(buf[4:], uint32(len(body)))
	binary.LittleEndian.PutUint64(buf[8:], sequence)
	binary.LittleEndian.PutUint32(buf[16:], crc32.Checksum(body, castagnoli))
	binary.LittleEndian.PutUint32(buf[20:], crc32.Checksum(buf[:20], castagnoli))
}

// nextFrame splits the first frame off data.
func nextFrame(data []byte) (sequence uint64, body, rest []byte, err error) {
	if len(data) < frameHeaderBytes {
		return 0, nil, data, errShort
	}
	header := data[:frameHeaderBytes]
	if !bytes.HasPrefix(header, frameMagic) ||
		crc32.Checksum(header[:20], castagnoli) != binary.LittleEndian.Uint32(header[20:]) {
		return 0, nil, data, errChecksum
	}
	n := uint64(binary.LittleEndian.Uint32(header[4:]))
	if uint64(len(data)) < frameHeaderBytes+n {
		return 0, nil, data, errShort
	}
	body = data[frameHeaderBytes : frameHeaderBytes+n]
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(header[16:]) {
		return 0, nil, data, errChecksum
	}
	return binary.LittleEndian.Uint64(header[8:]), body, data[frameHeaderBytes+n:], nil
}

// isTornTail reports whether a bad frame, with all that follows it in its file, can be
// the rest of an unfinished write: the file ends too early, or holds a sector that was
// never written. A later frame shows that the write was finished and damaged since.
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
	return errors.Is(cause, errShort) || hasEmptySector(rest, offset)
}

// hasEmptySector reports whether a sector of the file that starts in data, which stands
// at an offset in the file, is all zero. The part of a sector at the end counts.
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
