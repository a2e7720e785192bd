package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/rs/zerolog"
)

// echo answers with the method, the length and the body.
func echo(_ context.Context, rc *app.RequestContext) {
	body, err := io.ReadAll(rc.RequestBodyStream())
	rc.String(http.StatusOK, "%s %d %s %v", rc.Method(), len(body), body, err)
}

// serveEcho serves a listener with hertz.
func serveEcho(t *testing.T, l Limits, budget int64, maxConns, maxBody int) string {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := server.New(server.WithTransport(standard.NewTransporter), server.WithStreamBody(true), server.WithDisablePrintRoute(true),
		server.WithListener(NewBudget(l, budget, zerolog.Nop()).Listen(inner, "test", PriorityCallers, maxConns, maxBody)))
	s.Any("/", echo)
	go func() { _ = s.Run() }()
	t.Cleanup(func() { _ = s.Close() })
	return inner.Addr().String()
}

// dial opens a connection that fails the test instead of hanging.
func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c, bufio.NewReader(c)
}

// response reads one response and returns its status and body.
func response(t *testing.T, r *bufio.Reader) (int, string) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

// Ordinary requests in every framing arrive whole, also several on one connection and byte by byte.
func TestOrdinaryRequestsArriveWhole(t *testing.T) {
	const post = "POST / HTTP/1.1\r\nHost: h\r\n"
	long := strings.Repeat("x", 200_000)
	requests := []struct{ sent, want string }{
		{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET 0  <nil>"},
		{post + "Content-Length: 3\r\n\r\nabc", "POST 3 abc <nil>"},
		{"\r\n" + post + "Transfer-Encoding: chunked\r\nTrailer: T\r\n\r\n2;e=1\r\nab\r\n1\r\nc\r\n0\r\nT: 1\r\n\r\n", "POST 3 abc <nil>"},
		{post + "Transfer-Encoding: chunked\r\n\r\n30d40\r\n" + long + "\r\n0\r\n\r\n", "POST 200000 " + long + " <nil>"},
		{post + "Content-Length: 200000\r\n\r\n" + long, "POST 200000 " + long + " <nil>"},
	}
	address := serveEcho(t, DefaultLimits, 1<<20, 10, 256<<10)
	for name, step := range map[string]int{"pipelined": 1 << 20, "in pieces": 7} {
		t.Run(name, func(t *testing.T) {
			c, r := dial(t, address)
			go func() {
				var all string
				for _, q := range requests {
					all += q.sent
				}
				for len(all) > 0 {
					n := min(step, len(all))
					if _, err := io.WriteString(c, all[:n]); err != nil {
						return
					}
					all = all[n:]
				}
			}()
			for i, q := range requests {
				if status, body := response(t, r); status != http.StatusOK || body != q.want {
					t.Fatalf("request %d: status %d, body %.60q", i, status, body)
				}
			}
		})
	}
}

// A client that expects an interim response before it sends its body gets one, and only one.
func TestExpectedInterimResponse(t *testing.T) {
	c, r := dial(t, serveEcho(t, DefaultLimits, 1<<20, 10, 1<<10))
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	if line, err := r.ReadString('\n'); err != nil || !strings.Contains(line, " 100 ") {
		t.Fatalf("%q, %v", line, err)
	}
	_, _ = r.ReadString('\n')
	_, _ = io.WriteString(c, "ab")
	if status, body := response(t, r); status != http.StatusOK || body != "POST 2 ab <nil>" {
		t.Errorf("status %d, body %q", status, body)
	}
}

// Requests outside the limits are refused with the status that says why, and the connection ends.
func TestRefusals(t *testing.T) {
	limits := DefaultLimits
	limits.HeadBytes, limits.EmptyBytes, limits.StallTime = 1<<10, 16, 300*time.Millisecond
	address := serveEcho(t, limits, 8<<10, 10, 16<<10)
	const post = "POST / HTTP/1.1\r\nHost: h\r\n"
	for name, c := range map[string]struct {
		sent   string
		status int
	}{
		"head in one line":     {post + "A: " + strings.Repeat("a", 2<<10), http.StatusRequestHeaderFieldsTooLarge},
		"head in many lines":   {post + strings.Repeat("A: a\r\n", 1<<10), http.StatusRequestHeaderFieldsTooLarge},
		"empty lines":          {strings.Repeat("\r\n", 20), http.StatusBadRequest},
		"announced body":       {post + "Content-Length: 16385\r\n\r\n", http.StatusRequestEntityTooLarge},
		"chunk over the limit": {post + "Transfer-Encoding: chunked\r\n\r\n4001\r\n", http.StatusRequestEntityTooLarge},
		"no chunk size":        {post + "Transfer-Encoding: chunked\r\n\r\n-1\r\n", http.StatusBadRequest},
		"two lengths":          {post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", http.StatusBadRequest},
		"trailer without end":  {post + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("A: a\r\n", 1<<10), http.StatusRequestHeaderFieldsTooLarge},
		"stalled head":         {post, http.StatusRequestTimeout},
		"over the budget":      {post + "Content-Length: 16000\r\n\r\n" + strings.Repeat("b", 12<<10), http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			conn, r := dial(t, address)
			_, _ = io.WriteString(conn, c.sent)
			if status, _ := response(t, r); status != c.status {
				t.Errorf("status %d, not %d", status, c.status)
			}
			if _, err := r.ReadByte(); err == nil {
				t.Error("the connection is still open")
			}
		})
	}
}

// Stalled connections make room for new ones when a listener has as many as it may.
func TestStalledConnectionsMakeRoom(t *testing.T) {
	address := serveEcho(t, DefaultLimits, 1<<20, 4, 1<<10)
	for range 8 {
		c, _ := dial(t, address)
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\n")
	}
	c, r := dial(t, address)
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if status, _ := response(t, r); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}

// shortOfFiles is a listener that fails once for a lack of descriptors.
type shortOfFiles struct {
	net.Listener
	failed bool
}

func (l *shortOfFiles) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// A listener outlives a lack of descriptors, after which hertz would accept no further connection.
func TestAcceptAfterALackOfDescriptors(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = inner.Close() }()
	dial(t, inner.Addr().String())
	l := NewBudget(DefaultLimits, 1<<20, zerolog.Nop()).Listen(&shortOfFiles{Listener: inner}, "test", PriorityCallers, 1, 1<<10)
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
}

// A client that doesn't read its response doesn't keep its connection.
func TestUnreadResponsesEnd(t *testing.T) {
	limits := DefaultLimits
	limits.RequestTime = 200 * time.Millisecond
	l := NewBudget(limits, 1<<20, zerolog.Nop()).Listen(nil, "test", PriorityCallers, 1, 1<<10)
	_, server := net.Pipe()
	if n, err := newConn(server, l).Write(make([]byte, 1<<20)); err == nil {
		t.Errorf("%d bytes were written", n)
	}
}

// Of the requests that are to be refused, those of callers come before those of upstreams and peers, stalled ones
// before those that make progress, and large ones before small ones.
func TestVictimOrder(t *testing.T) {
	order := []holding{
		{PriorityCallers, 5 * time.Second, 100}, {PriorityCallers, 300 * time.Millisecond, 5000}, {PriorityCallers, 700 * time.Millisecond, 100},
		{PriorityControl, 9 * time.Second, 9000}, {PriorityPeers, 9 * time.Second, 9000},
	}
	for i := range order {
		list := append([]holding{{PriorityCallers, time.Hour, 0}}, order[i:]...)
		for j := len(list) - 1; j > 1; j-- {
			if got := victim(append([]holding{list[j]}, list[:j]...)); got != 2 {
				t.Errorf("%+v: victim %d", list, got)
			}
		}
	}
}

// What was charged is returned when a connection ends, however it ends.
func TestBudgetIsReturned(t *testing.T) {
	b := NewBudget(DefaultLimits, 1<<20, zerolog.Nop())
	l := b.Listen(nil, "test", PriorityCallers, 1, 1<<10)
	client, server := net.Pipe()
	c := newConn(server, l)
	go func() {
		_, _ = io.WriteString(client, "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc")
		_ = client.Close()
	}()
	if _, err := c.Read(make([]byte, 100)); !errors.Is(err, io.EOF) {
		t.Error(err)
	}
	_ = c.Close()
	if err := b.charge(&c.holder, 1); err == nil || b.used != 0 || len(b.reading) != 0 {
		t.Errorf("%d bytes charged, %d connections, %v", b.used, len(b.reading), err)
	}
}

// What is released while memory is given back counts for the next time: else its garbage would stay.
func TestGiveBackAfterGiveBack(t *testing.T) {
	b := NewBudget(DefaultLimits, 1<<30, zerolog.Nop())
	c := &holder{}
	if err := b.charge(c, 64<<20); err != nil {
		t.Fatal(err)
	}
	// The finalizer runs during the collections.
	released := make(chan struct{})
	runtime.SetFinalizer(&struct{ big [1 << 10]byte }{}, func(any) {
		b.release(c)
		close(released)
	})
	b.mu.Lock()
	b.releasing = true
	b.mu.Unlock()
	b.giveBack()
	<-released
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.releasing {
		t.Error("memory is not given back again")
	}
}
