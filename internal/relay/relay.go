// Package relay is a TCP relay for tests. Its open connections can go silent for good while new
// ones work; it can delay bytes, lose them one way or both, and reset connections.
package relay

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// Relay forwards connections to one address.
type Relay struct {
	listener net.Listener
	target   string
	// silenced counts how often Silence was called; older connections carry nothing.
	silenced atomic.Int64
	opened   atomic.Int64
	mode     atomic.Int32
	wg       sync.WaitGroup
	mu       sync.Mutex
	conns    []net.Conn
	closed   bool
}

// New starts a relay on loopback that ends with the test.
func New(t testing.TB, target string) *Relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &Relay{listener: l, target: target}
	r.wg.Add(1)
	go r.accept()
	t.Cleanup(r.close)
	return r
}

// Address returns where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Opened returns the number of connections so far.
func (r *Relay) Opened() int { return int(r.opened.Load()) }

// Silence stops all traffic on the connections that are open now, without closing them.
func (r *Relay) Silence() { r.silenced.Add(1) }

func (r *Relay) accept() {
	defer r.wg.Done()
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		if !r.keep(in, out) {
			return
		}
		born := r.silenced.Load()
		r.wg.Add(2)
		go r.copy(out, in, born, false)
		go r.copy(in, out, born, true)
	}
}

// keep remembers a pair of connections, or closes them if the relay has been closed.
func (r *Relay) keep(in, out net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		_ = in.Close()
		_ = out.Close()
		return false
	}
	r.opened.Add(1)
	r.conns = append(r.conns, in, out)
	return true
}

// copy carries data one way as the mode lets it, and drops it once the connection is silenced.
func (r *Relay) copy(to, from net.Conn, born int64, answers bool) {
	defer r.wg.Done()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if r.silenced.Load() != born {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 && r.lets(answers) {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

func (r *Relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	r.closed = true
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}
