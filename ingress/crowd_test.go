package ingress_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// crowdSize is the number of clients of one kind, and crowdBytes the most that each of them sends.
	crowdSize  = 40
	crowdBytes = 4 << 20
	// crowdPatience ends a client's sending when the process takes nothing for this long.
	crowdPatience = time.Second
)

// kind is a kind of client outside the limits: it sends start, then part again and again until it was stopped or has
// sent limit bytes, and leaves the connection open.
type kind struct {
	name        string
	start, part string
}

// kinds returns the kinds of clients for a request line.
func kinds(line string) []kind {
	head := line + " HTTP/1.1\r\nHost: ingress.test\r\n"
	chunked := head + "Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
	return []kind{
		{"heads over the limit", head + "A: " + strings.Repeat("a", 200<<10) + "\r\n\r\n", ""},
		{"heads without end in one line", head + "A: ", strings.Repeat("a", 32<<10)},
		{"heads without end in many lines", head, strings.Repeat("A: aaaaaaaaaa\r\n", 2<<10)},
		{"empty lines without end", "\r\n", strings.Repeat("\r\n", 16<<10)},
		{"bodies in large chunks", chunked, "10000\r\n" + strings.Repeat("b", 64<<10) + "\r\n"},
		{"bodies in small chunks", chunked, strings.Repeat("1\r\nb\r\n", 4<<10)},
	}
}

// limit returns how many bytes a client sends: for bodies it stops short of the largest body of the listener.
func (k kind) limit(body int) int {
	switch {
	case k.part == "":
		return len(k.start)
	case strings.Contains(k.name, "large"):
		return min(crowdBytes, body/(64<<10)*len(k.part)-len(k.part))
	case strings.Contains(k.name, "small"):
		return min(crowdBytes, (body-1)*len("1\r\nb\r\n"))
	}
	return crowdBytes
}

// send runs one client; the connection stays open.
func (k kind) send(address string, body int) net.Conn {
	c, err := net.DialTimeout("tcp", address, crowdPatience)
	if err != nil {
		return nil
	}
	part := []byte(k.part)
	for sent, next := 0, []byte(k.start); sent < k.limit(body) && len(next) > 0; next = part {
		_ = c.SetWriteDeadline(time.Now().Add(crowdPatience))
		n, err := c.Write(next)
		if sent += n; err != nil {
			break
		}
	}
	return c
}

// testCrowd lets one kind of client after the other connect to a listener of a new process. The process must live,
// stay within its memory and descriptors, and answer one ordinary request while the crowd is still connected.
func testCrowd(t *testing.T, start func(*testing.T) *process, target listener) {
	for _, k := range kinds(target.line) {
		t.Run(strings.ReplaceAll(k.name, " ", "-"), func(t *testing.T) {
			p := start(t)
			target.mustAnswer(t, p)
			rest, restFiles := p.memory(t, "VmRSS"), p.files(t)
			var crowd sync.WaitGroup
			conns := make([]net.Conn, crowdSize)
			for i := range conns {
				crowd.Go(func() { conns[i] = k.send(p.address(target.port), target.body) })
			}
			crowd.Wait()
			target.mustAnswer(t, p)
			peak, files := p.memory(t, "VmHWM"), p.files(t)
			for _, c := range conns {
				if c != nil {
					_ = c.Close()
				}
			}
			t.Logf("%d MB at rest, %d MB at most (bound %d MB), %d descriptors", rest>>20, peak>>20, (rest+target.bound)>>20, files)
			if peak > rest+target.bound {
				t.Errorf("the process used %d MB, over its bound of %d MB", peak>>20, (rest+target.bound)>>20)
			}
			if files > restFiles+crowdSize+spareFiles {
				t.Errorf("%d descriptors are open, %d at rest", files, restFiles)
			}
			p.mustRelease(t, rest+releaseMargin)
		})
	}
}

// listener is one listener of a process, with an ordinary request and the statuses with which its handler answers it.
type listener struct {
	port     int
	line     string
	payload  string
	statuses []int
	// body is the largest body that the listener takes, and bound what the process may use beyond its memory at rest.
	body, bound int
}

// mustAnswer sends one ordinary request.
func (l listener) mustAnswer(t *testing.T, p *process) {
	t.Helper()
	method, path, _ := strings.Cut(l.line, " ")
	req, err := http.NewRequest(method, "http://"+p.address(l.port)+path, bytes.NewBufferString(l.payload))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: answerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatalf("an ordinary request got no answer: %v", err)
	}
	_ = resp.Body.Close()
	for _, s := range l.statuses {
		if resp.StatusCode == s {
			return
		}
	}
	t.Fatalf("an ordinary request got status %s", fmt.Sprint(resp.StatusCode))
}
