package ingress

import "bytes"

// phase is the part of a request that is read next.
type phase int

const (
	phaseEmpty phase = iota
	phaseHead
	phaseBody
	phaseChunkLine
	phaseChunkData
	phaseChunkEnd
	phaseTrailer
	phaseDone
)

// request collects one HTTP/1 request. A chunked body is kept without its framing, and the head is rewritten to give
// its length; so is a head that expects an interim response.
type request struct {
	phase    phase
	maxHead  int
	maxEmpty int
	maxBody  int
	// charge is called before memory is taken, with the number of bytes.
	charge func(int) error

	head      []byte
	lineStart int
	empty     int
	// line collects the line in front of a chunk or behind it. Of the trailer's bytes and those of its line that is
	// read, only the numbers are kept, and the last one.
	line                []byte
	trailer, lineLength int
	last                byte
	rewrite             bool
	// hasLine is set once the request line was read, which tells oldVersion, HTTP/1.0; length is the announced length of
	// the body once hasLength is set.
	hasLine, oldVersion, hasLength bool
	length                         int
	chunked                        bool
	expects                        bool
	// left is the number of bytes still to come of the body or of the chunk.
	left   int
	size   int
	blocks [][]byte
}

// reset prepares for the next request.
func (r *request) reset() {
	for _, b := range r.blocks {
		freeBlock(b)
	}
	head := r.head[:0]
	if cap(head) > smallBlock {
		head = nil
	}
	*r = request{maxHead: r.maxHead, maxEmpty: r.maxEmpty, maxBody: r.maxBody, charge: r.charge, head: head, line: r.line[:0]}
}

// feed takes bytes that have arrived and returns how many of them belong to this request.
func (r *request) feed(b []byte) (int, error) {
	used := 0
	for used < len(b) && r.phase != phaseDone {
		n, err := r.step(b[used:])
		if used += n; err != nil {
			return used, err
		}
	}
	return used, nil
}

// step takes the bytes of one phase.
func (r *request) step(b []byte) (int, error) {
	switch r.phase {
	case phaseEmpty:
		return r.skipEmpty(b)
	case phaseHead:
		return r.takeHead(b)
	case phaseBody, phaseChunkData:
		return r.takeData(b)
	case phaseTrailer:
		return r.skipTrailer(b)
	default:
		return r.takeLine(b)
	}
}

// skipEmpty skips empty lines before the head.
func (r *request) skipEmpty(b []byte) (int, error) {
	n := 0
	for n < len(b) && (b[n] == '\r' || b[n] == '\n') {
		n++
	}
	if r.empty += n; r.empty > r.maxEmpty {
		return n, refusalEmptyLines
	}
	if n < len(b) {
		r.phase = phaseHead
	}
	return n, nil
}

// takeHead takes the rest of a line of the head.
func (r *request) takeHead(b []byte) (int, error) {
	n := bytes.IndexByte(b, '\n') + 1
	whole := n > 0
	if !whole {
		n = len(b)
	}
	if len(r.head)+n > r.maxHead {
		return 0, refusalHead
	}
	if need := len(r.head) + n; need > cap(r.head) {
		grown := min(r.maxHead, max(2*cap(r.head), need, 512))
		if err := r.charge(grown); err != nil {
			return 0, err
		}
		r.head = append(make([]byte, 0, grown), r.head...)
	}
	r.head = append(r.head, b[:n]...)
	if !whole {
		return n, nil
	}
	line := r.head[r.lineStart:]
	r.lineStart = len(r.head)
	return n, r.headLine(line)
}
