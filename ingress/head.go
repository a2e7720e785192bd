package ingress

import (
	"bytes"
	"strconv"
	"strings"
)

// headLine handles a whole line of the head. hertz reads the head again, and would take some heads for others than they
// are here: a tab in front of "identity", or a second carriage return at the end of the head. Therefore whatever is not
// strictly as RFC 9112 has it is refused, also where it allows a server to be lenient.
func (r *request) headLine(line []byte) error {
	line, ok := bytes.CutSuffix(line, []byte("\r\n"))
	switch {
	case !ok || hasControl(string(line)):
		return refusalMalformed
	case !r.hasLine:
		return r.requestLine(line)
	case len(line) == 0:
		return r.endHead()
	}
	name, value, ok := field(line)
	if !ok {
		return refusalMalformed
	}
	return r.headField(name, value)
}

// requestLine checks the request line: a method, a target and a version, each behind one space.
func (r *request) requestLine(line []byte) error {
	method, rest, _ := strings.Cut(string(line), " ")
	target, version, _ := strings.Cut(rest, " ")
	if !isToken(method) || target == "" || version != "HTTP/1.1" && version != "HTTP/1.0" {
		return refusalMalformed
	}
	r.hasLine, r.oldVersion = true, version == "HTTP/1.0"
	return nil
}

// headField takes the fields that tell the length of the body. A second one that tells it is refused.
func (r *request) headField(name, value string) error {
	switch {
	case strings.EqualFold(name, "Transfer-Encoding"):
		if r.chunked || r.hasLength || r.oldVersion || !strings.EqualFold(value, "chunked") {
			return refusalMalformed
		}
		r.chunked, r.rewrite = true, true
	case strings.EqualFold(name, "Content-Length"):
		n, err := strconv.ParseUint(value, 10, 62)
		if err != nil || r.chunked || r.hasLength {
			return refusalMalformed
		}
		r.hasLength, r.length = true, int(n)
	case strings.EqualFold(name, "Expect"):
		r.expects, r.rewrite = !r.oldVersion && strings.EqualFold(value, "100-continue"), true
	}
	return nil
}

// endHead begins to read the body.
func (r *request) endHead() error {
	switch {
	case r.chunked:
		r.phase = phaseChunkLine
	case r.length > r.maxBody:
		return refusalBody
	case r.length == 0:
		r.phase = phaseDone
	default:
		r.phase, r.left = phaseBody, r.length
	}
	r.expects = r.expects && r.phase != phaseDone
	return nil
}

// field returns the name and value of a line of a head; ok is false if it has no valid name. A line that continues the
// one before begins with a space, so it has none.
func field(line []byte) (name, value string, ok bool) {
	name, value, ok = strings.Cut(string(line), ":")
	return name, strings.Trim(value, " \t"), ok && isToken(name)
}

// finalHead returns the head with the length of the body in place of its framing.
func (r *request) finalHead() []byte {
	if !r.rewrite {
		return r.head
	}
	out, first := make([]byte, 0, len(r.head)+32), true
	for line := range bytes.Lines(r.head) {
		if name, _, _ := field(line); first || !isFraming(name) {
			out = append(out, line...)
		}
		if first {
			out = append(out, "Content-Length: "+strconv.Itoa(r.size)+"\r\n"...)
			first = false
		}
	}
	return out
}

// isFraming reports whether a field is left out of a head that is rewritten.
func isFraming(name string) bool {
	return strings.EqualFold(name, "Transfer-Encoding") || strings.EqualFold(name, "Content-Length") ||
		strings.EqualFold(name, "Expect") || strings.EqualFold(name, "Trailer")
}

// isToken reports whether s is a token of RFC 9110, as methods and names of fields are.
func isToken(s string) bool {
	return s != "" && strings.IndexFunc(s, func(c rune) bool {
		return c <= ' ' || c >= 0x7f || strings.ContainsRune("\"(),/:;<=>?@[\\]{}", c)
	}) < 0
}

// hasControl reports whether s has a control character other than a tab.
func hasControl(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return true
		}
	}
	return false
}
