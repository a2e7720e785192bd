package ingress

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// Requests whose framing two readers could take for different things, of which hertz is the second, are refused, and what
// follows them on the connection is not served.
func TestAmbiguousFraming(t *testing.T) {
	const post, host, chunked = "POST / HTTP/1.1\r\n", "Host: h\r\n", "Transfer-Encoding: chunked\r\n"
	const chunks, next = "1\r\na\r\n0\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	address := serveEcho(t, DefaultLimits, 1<<20, 100, 16<<10)
	for name, sent := range map[string]string{
		"length and encoding":         post + host + "Content-Length: 1\r\n" + chunked + "\r\n" + chunks,
		"encoding and length":         post + host + chunked + "Content-Length: 11\r\n\r\n" + chunks,
		"equal lengths":               post + host + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na",
		"list of lengths":             post + host + "Content-Length: 1, 1\r\n\r\na",
		"signed length":               post + host + "Content-Length: +1\r\n\r\na",
		"no length":                   post + host + "Content-Length:\r\n\r\n",
		"space before colon":          post + host + "Content-Length : 1\r\n\r\na",
		"space before encoding colon": post + host + "Transfer-Encoding : chunked\r\n\r\n" + chunks,
		"two encodings":               post + host + chunked + chunked + "\r\n" + chunks,
		"identity":                    post + host + "Transfer-Encoding: identity\r\nContent-Length: 1\r\n\r\na",
		"identity behind tab":         post + host + "Transfer-Encoding:\tidentity\r\n\r\n",
		"other encoding":              post + host + "Transfer-Encoding: gzip\r\n\r\n" + chunks,
		"list of encodings":           post + host + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunks,
		"encoding in HTTP/1.0":        "POST / HTTP/1.0\r\n" + host + chunked + "\r\n" + chunks,
		"folded length":               post + host + "Content-Length: 1\r\n 0\r\n\r\na",
		"folded encoding":             post + host + "Transfer-Encoding:\r\n chunked\r\n\r\n" + chunks,
		"fold behind request line":    post + " Content-Length: 1\r\n" + host + "\r\na",
		"bare LF behind request line": "POST / HTTP/1.1\n" + host + "\r\n",
		"bare LF behind field":        post + "Host: h\n\r\n",
		"bare LF at end of head":      post + host + "\n",
		"bare CR at end of head":      post + host + "\r\r\n",
		"bare CR in value":            post + "A: a\rContent-Length: 1\r\n\r\n",
		"NUL in value":                post + "A: a\x00\r\n\r\n",
		"line without colon":          post + "A\r\n\r\n",
		"no name":                     post + ": a\r\n\r\n",
		"no version":                  "GET /\r\n\r\n",
		"other version":               "GET / HTTP/2.0\r\n\r\n",
		"preface of HTTP/2":           "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"two spaces":                  "GET /  HTTP/1.1\r\n\r\n",
		"no method":                   " / HTTP/1.1\r\n\r\n",
		"bare LF behind chunk size":   post + host + chunked + "\r\n1\na\r\n0\r\n\r\n",
		"bare LF behind chunk":        post + host + chunked + "\r\n1\r\na\n0\r\n\r\n",
		"bare LF in extension":        post + host + chunked + "\r\n1;a\n\r\na\r\n0\r\n\r\n",
		"bare CR in extension":        post + host + chunked + "\r\n1;a\rb\r\na\r\n0\r\n\r\n",
		"bare LF in trailer":          post + host + chunked + "\r\n1\r\na\r\n0\r\nA: a\n\r\n",
		"bare LF at end of trailer":   post + host + chunked + "\r\n1\r\na\r\n0\r\n\n",
		"bare CR at end of trailer":   post + host + chunked + "\r\n1\r\na\r\n0\r\n\r\r\n",
		"signed chunk size":           post + host + chunked + "\r\n+1\r\na\r\n0\r\n\r\n",
		"prefixed chunk size":         post + host + chunked + "\r\n0x1\r\na\r\n0\r\n\r\n",
		"space before chunk size":     post + host + chunked + "\r\n 1\r\na\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			conn, r := dial(t, address)
			_, _ = io.WriteString(conn, sent+next)
			if status, body := response(t, r); status != http.StatusBadRequest {
				t.Errorf("status %d, body %q", status, body)
			}
			if rest, _ := io.ReadAll(r); len(rest) > 0 {
				t.Errorf("another response follows: %q", rest)
			}
		})
	}
}

// Requests in unusual but unambiguous framing are served, and so is the one behind them.
func TestUnusualFraming(t *testing.T) {
	address := serveEcho(t, DefaultLimits, 1<<20, 100, 16<<10)
	for name, c := range map[string]struct{ sent, want string }{
		"lower case":           {"POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: Chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", "POST 1 a <nil>"},
		"spacing":              {"POST / HTTP/1.1\r\nHost:h\r\nCONTENT-LENGTH:   1  \r\n\r\na", "POST 1 a <nil>"},
		"padded chunk size":    {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n01 ; e=\"x\"\r\na\r\n0 \r\n\r\n", "POST 1 a <nil>"},
		"long trailer":         {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: " + strings.Repeat("a", 9<<10) + "\r\n\r\n", "POST 0  <nil>"},
		"body of GET":          {"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na", "GET 1 a <nil>"},
		"chunked body of GET":  {"GET / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", "GET 1 a <nil>"},
		"upgrade":              {"GET / HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n", "GET 0  <nil>"},
		"absolute form":        {"GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n", "GET 0  <nil>"},
		"HTTP/1.0, kept alive": {"POST / HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: 1\r\n\r\na", "POST 1 a <nil>"},
	} {
		t.Run(name, func(t *testing.T) {
			conn, r := dial(t, address)
			_, _ = io.WriteString(conn, c.sent+"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nb")
			for _, want := range []string{c.want, "PUT 1 b <nil>"} {
				if status, body := response(t, r); status != http.StatusOK || body != want {
					t.Fatalf("status %d, body %q in place of %q", status, body, want)
				}
			}
		})
	}
}
