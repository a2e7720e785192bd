package ingress

import (
	"bytes"
	"strconv"
	"strings"
)

// maxFieldName is longer than the names of the fields that matter here, in bytes.
const maxFieldName = 64

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
	line      []byte
	trailer   int
	rewrite   bool
	chunked   bool
	expects   bool
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
	line := bytes.TrimRight(r.head[r.lineStart:], "\r\n")
	r.lineStart = len(r.head)
	if len(line) == 0 {
		return n, r.endHead()
	}
	return n, nil
}

// endHead finds the length of the body.
func (r *request) endHead() error {
	length, err := r.parseHead()
	switch {
	case err != nil:
		return err
	case r.chunked:
		r.phase = phaseChunkLine
	case length > r.maxBody:
		return refusalBody
	case length == 0:
		r.phase = phaseDone
	default:
		r.phase, r.left = phaseBody, length
	}
	r.expects = r.expects && r.phase != phaseDone
	return nil
}

// parseHead reads the fields that tell the length of the body.
func (r *request) parseHead() (length int, err error) {
	length = -1
	for line := range bytes.Lines(r.head) {
		name, value := field(line)
		switch {
		case strings.EqualFold(name, "Transfer-Encoding"):
			if value != "identity" {
				r.chunked, r.rewrite = true, true
			}
		case strings.EqualFold(name, "Content-Length"):
			n, err := strconv.ParseUint(value, 10, 62)
			if err != nil || length >= 0 && int(n) != length {
				return 0, refusalMalformed
			}
			length = int(n)
		case strings.EqualFold(name, "Expect"):
			r.expects, r.rewrite = strings.EqualFold(value, "100-continue"), true
		}
	}
	return max(length, 0), nil
}

// field returns the name and value of a line of a head whose name begins as those that matter here do.
func field(line []byte) (name, value string) {
	if len(line) == 0 || strings.IndexByte("cCtTeE", line[0]) < 0 {
		return "", ""
	}
	at := bytes.IndexByte(line, ':')
	if at <= 0 || at > maxFieldName {
		return "", ""
	}
	return string(line[:at]), strings.TrimSpace(string(line[at+1:]))
}
