package ingress

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// serveStreams serves HTTP/2 with a handler and returns the address and a transport for clients.
func serveStreams(t *testing.T, b *Budget, maxConns int, handler http.HandlerFunc) (string, *http.Transport) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	s := &http.Server{Protocols: protocols, Handler: handler}
	l := b.ListenCounted(inner, "test", PriorityPeers, maxConns)
	l.Bound(s)
	go func() { _ = s.Serve(l) }()
	client := &http.Transport{Protocols: protocols}
	t.Cleanup(func() {
		client.CloseIdleConnections()
		_ = s.Close()
	})
	return "http://" + inner.Addr().String() + "/", client
}

// A connection of a peer that carries a call is not closed to make room for silent ones.
func TestConnectionsWithStreamsStay(t *testing.T) {
	url, client := serveStreams(t, NewBudget(DefaultLimits, 1<<20, zerolog.Nop()), 2, func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		_, _ = io.Copy(w, r.Body)
	})
	body, sender := io.Pipe()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	for range 5 {
		dial(t, req.URL.Host)
		time.Sleep(20 * time.Millisecond)
	}
	_, _ = io.WriteString(sender, "abc")
	_ = sender.Close()
	if got, err := io.ReadAll(resp.Body); err != nil || string(got) != "abc" {
		t.Errorf("%q, %v", got, err)
	}
}

// Messages of every size arrive as they were sent, held back or not.
func TestMessagesArriveWhole(t *testing.T) {
	b := NewBudget(DefaultLimits, 8<<20, zerolog.Nop())
	url, client := serveStreams(t, b, 10, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})
	var sent []byte
	for i, size := range []int{0, 1, blockBytes - 1, blockBytes, blockBytes + 1, 0, 1 << 20, 3} {
		sent = append(sent, 0, byte(size>>24), byte(size>>16), byte(size>>8), byte(size))
		sent = append(sent, bytes.Repeat([]byte{byte('a' + i)}, size)...)
	}
	for _, kind := range []string{"application/connect+proto", "application/proto"} {
		req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(sent))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Content-Type", kind)
		resp, err := client.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(resp.Body); err != nil || !bytes.Equal(got, sent) {
			t.Errorf("%s: %d bytes of %d, %v", kind, len(got), len(sent), err)
		}
	}
}

// A call in work is charged: one without room is refused, and leaves no charge behind.
func TestCallsAreCharged(t *testing.T) {
	b := NewBudget(DefaultLimits, 1<<20, zerolog.Nop())
	used := func() int64 {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.used
	}
	url, client := serveStreams(t, b, 10, func(w http.ResponseWriter, r *http.Request) {
		first, err := Hold(r.Context(), 700<<10)
		if err != nil {
			t.Error(err)
			return
		}
		if _, err := Hold(r.Context(), 700<<10); err == nil || used() != 700<<10 {
			t.Errorf("%d bytes charged, %v", used(), err)
		}
		first()
		if again, err := Hold(r.Context(), 700<<10); err != nil {
			t.Error(err)
		} else {
			again()
		}
	})
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if used() != 0 {
		t.Errorf("%d bytes stay charged", used())
	}
}
