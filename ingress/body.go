package ingress

import (
	"bytes"
	"strconv"
	"strings"
	"sync"
)

const (
	// blockBytes is the size of a block of a large body, and smallBlock that of the first block of a body of unknown
	// length.
	blockBytes = 64 << 10
	smallBlock = 4 << 10
	// maxChunkLine bounds the line in front of a chunk in bytes.
	maxChunkLine = 256
)

var blockPool = sync.Pool{New: func() any { return new([blockBytes]byte) }}

// takeBlock returns an empty block.
func takeBlock(size int) []byte {
	if size == blockBytes {
		return blockPool.Get().(*[blockBytes]byte)[:0]
	}
	return make([]byte, 0, size)
}

// freeBlock returns a block's memory to the pool.
func freeBlock(b []byte) {
	if cap(b) == blockBytes {
		blockPool.Put((*[blockBytes]byte)(b[:blockBytes]))
	}
}

// space returns the free space for the bytes of the body that come next.
func (r *request) space() ([]byte, error) {
	if n := len(r.blocks); n > 0 && len(r.blocks[n-1]) < cap(r.blocks[n-1]) {
		last := r.blocks[n-1]
		return last[len(last):min(cap(last), len(last)+r.left)], nil
	}
	size := min(blockBytes, max(smallBlock, r.size))
	if r.phase == phaseBody {
		size = min(blockBytes, r.left)
	}
	if err := r.charge(size); err != nil {
		return nil, err
	}
	r.blocks = append(r.blocks, takeBlock(size))
	return r.blocks[len(r.blocks)-1][:min(size, r.left)], nil
}

// advance records that n bytes of the body were written to space.
func (r *request) advance(n int) {
	last := len(r.blocks) - 1
	r.blocks[last] = r.blocks[last][:len(r.blocks[last])+n]
	r.left, r.size = r.left-n, r.size+n
	if r.left > 0 {
		return
	}
	if r.phase == phaseBody {
		r.phase = phaseDone
		return
	}
	r.phase = phaseChunkEnd
}

// takeData takes bytes of the body.
func (r *request) takeData(b []byte) (int, error) {
	to, err := r.space()
	if err != nil {
		return 0, err
	}
	n := copy(to, b)
	r.advance(n)
	return n, nil
}

// takeLine takes the rest of a line in front of a chunk or behind it.
func (r *request) takeLine(b []byte) (int, error) {
	n := bytes.IndexByte(b, '\n') + 1
	whole := n > 0
	if !whole {
		n = len(b)
	}
	if len(r.line)+n > maxChunkLine {
		return 0, refusalMalformed
	}
	r.line = append(r.line, b[:n]...)
	if !whole {
		return n, nil
	}
	line, ok := strings.CutSuffix(string(r.line), "\r\n")
	r.line = r.line[:0]
	if !ok || hasControl(line) {
		return n, refusalMalformed
	}
	return n, r.endLine(line)
}

// endLine handles a whole line in front of a chunk or behind it.
func (r *request) endLine(line string) error {
	if r.phase == phaseChunkEnd {
		if line != "" {
			return refusalMalformed
		}
		r.phase = phaseChunkLine
		return nil
	}
	digits, _, _ := strings.Cut(line, ";")
	n, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, 62)
	switch {
	case err != nil:
		return refusalMalformed
	case n > uint64(r.maxBody-r.size):
		return refusalBody
	case n == 0:
		r.phase = phaseTrailer
	default:
		r.phase, r.left = phaseChunkData, int(n)
	}
	return nil
}

// skipTrailer skips the rest of a line of the trailer, which ends with an empty one. Its lines are not kept, as they may
// be as long as a head.
func (r *request) skipTrailer(b []byte) (int, error) {
	n := bytes.IndexByte(b, '\n') + 1
	whole := n > 0
	if !whole {
		n = len(b)
	}
	if r.trailer += n; r.trailer > r.maxHead {
		return 0, refusalHead
	}
	for _, c := range b[:n] {
		if (c == '\n') != (r.last == '\r') {
			return n, refusalMalformed
		}
		r.last = c
	}
	r.lineLength += n
	switch {
	case !whole:
		return n, nil
	case r.lineLength == len("\r\n"):
		r.phase = phaseDone
	}
	r.lineLength, r.last = 0, 0
	return n, nil
}

// freeFirst frees the first block of the body, which was read.
func (r *request) freeFirst() {
	if len(r.blocks) > 0 {
		freeBlock(r.blocks[0])
		r.blocks = r.blocks[1:]
	}
}

// parts returns the complete request as the server is to read it.
func (r *request) parts() [][]byte {
	return append([][]byte{r.finalHead()}, r.blocks...)
}
