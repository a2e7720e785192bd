package ingress

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/rs/zerolog"
)

// randomRequest returns a request, which may be outside the limits of the test.
func randomRequest(rng *rand.Rand) string {
	size := 1 << rng.IntN(17)
	body := strings.Repeat("b", size)
	switch rng.IntN(5) {
	case 0:
		return "\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n"
	case 1:
		return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + strconv.Itoa(size) + "\r\n\r\n" + body
	case 2:
		return "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("100\r\n"+strings.Repeat("c", 256)+"\r\n", size/256) + "0\r\nT: 1\r\n\r\n"
	case 3:
		return "POST / HTTP/1.1\r\nHost: h\r\nA: " + body + "\r\n\r\n"
	}
	return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"
}

// Whatever requests hold is given back, and no goroutine stays, when many connections close at random points of requests
// inside and outside the limits, while the budget and the listener are full.
func TestNothingStaysCharged(t *testing.T) {
	limits := DefaultLimits
	limits.HeadBytes, limits.StallTime = 8<<10, 200*time.Millisecond
	b := NewBudget(limits, 256<<10, zerolog.Nop())
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counted, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := b.Listen(inner, "test", PriorityCallers, 24, 128<<10)
	h := server.New(server.WithTransport(standard.NewTransporter), server.WithStreamBody(true), server.WithDisablePrintRoute(true), server.WithListener(l))
	h.Any("/", echo)
	go func() { _ = h.Run() }()
	plain := &http.Server{Protocols: &http.Protocols{}, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if release, err := Hold(r.Context(), 64<<10); err == nil {
			time.Sleep(time.Millisecond)
			release()
		}
	})}
	plain.Protocols.SetHTTP1(true)
	plain.Protocols.SetUnencryptedHTTP2(true)
	lc := b.ListenCounted(counted, "plain", PriorityPeers, 24)
	lc.Bound(plain)
	go func() { _ = plain.Serve(lc) }()

	// The servers have goroutines of their own, some of which outlive them.
	time.Sleep(50 * time.Millisecond)
	before := runtime.NumGoroutine()
	var clients sync.WaitGroup
	for seed := range uint64(32) {
		clients.Go(func() {
			rng := rand.New(rand.NewPCG(seed, 1))
			for range 12 {
				switch rng.IntN(4) {
				case 0:
					randomStream(rng, counted.Addr().String())
				case 1:
					randomClient(rng, counted.Addr().String())
				default:
					randomClient(rng, inner.Addr().String())
				}
			}
		})
	}
	clients.Wait()
	_ = h.Close()
	_ = plain.Close()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		b.mu.Lock()
		used, reading := b.used, len(b.reading)
		b.mu.Unlock()
		open, goroutines := len(openConns(l))+len(openConns(lc)), runtime.NumGoroutine()
		if used == 0 && reading == 0 && open == 0 && goroutines <= before {
			return
		}
		if time.Now().After(end) {
			stacks := make([]byte, 1<<16)
			t.Logf("%s", stacks[:runtime.Stack(stacks, true)])
			t.Fatalf("%d bytes, %d requests, %d connections and %d goroutines stay (%d before)", used, reading, open, goroutines, before)
		}
	}
}

// randomClient sends some requests in pieces and closes its connection at some point of them.
func randomClient(rng *rand.Rand, address string) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	text := ""
	for range 1 + rng.IntN(3) {
		text += randomRequest(rng)
	}
	if rng.IntN(2) == 0 {
		text = text[:rng.IntN(len(text))]
	}
	for len(text) > 0 {
		n := min(1+rng.IntN(16<<10), len(text))
		if _, err := io.WriteString(c, text[:n]); err != nil {
			return
		}
		text = text[n:]
	}
	if rng.IntN(2) == 0 {
		_, _ = io.CopyN(io.Discard, c, 1)
	}
}

// randomStream sends messages on a stream of HTTP/2, of which the last one may lack its end, and leaves at some point.
func randomStream(rng *rand.Rand, address string) {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rng.IntN(100))*time.Millisecond)
	defer cancel()
	var text []byte
	for range 1 + rng.IntN(3) {
		size := 1 << rng.IntN(19)
		text = append(binary.BigEndian.AppendUint32(append(text, 0), uint32(size)), make([]byte, size)...)
	}
	body := bytes.NewReader(text[:1+rng.IntN(len(text))])
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", io.NopCloser(body))
	if err != nil {
		return
	}
	if rng.IntN(3) > 0 {
		req.Header.Set("Content-Type", "application/connect+proto")
	}
	if resp, err := transport.RoundTrip(req); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

// openConns returns the connections that a listener counts.
func openConns(l *Listener) []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*Conn
	for c := range l.conns {
		out = append(out, c)
	}
	return out
}
