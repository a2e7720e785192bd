// Package relay provides a TCP relay for tests that simulates network faults. It can permanently
// stop all data on the open connections while new ones work, delay data, drop it in one or both
// directions, and reset connections.
package relay

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// Relay forwards TCP connections to one address.
type Relay struct {
	listener net.Listener
	target   string
	// silenceCount counts the calls of Silence; connections opened before the latest call carry no
	// data.
	silenceCount atomic.Int64
	opened       atomic.Int64
	mode         atomic.Int32
	wg           sync.WaitGroup
	mu           sync.Mutex
	conns        []net.Conn
	closed       bool
}

// New starts a relay to target on a loopback address; it is closed at the end of the test.
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

// Address returns the address on which the relay listens, as "host:port".
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Opened returns the number of connections opened so far.
func (r *Relay) Opened() int { return int(r.opened.Load()) }

// Silence permanently drops all data on the connections that are open now, without closing them.
func (r *Relay) Silence() { r.silenceCount.Add(1) }

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
		if !r.track(in, out) {
			return
		}
		countAtOpen := r.silenceCount.Load()
		r.wg.Add(2)
		go r.copy(out, in, countAtOpen, false)
		go r.copy(in, out, countAtOpen, true)
	}
}

// track registers a pair of connections and returns true, or closes them and returns false if
// the relay has been closed.
func (r *Relay) track(in, out net.Conn) bool {
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

// copy forwards data in one direction according to the mode, and drops it once the connection is
// silenced.
func (r *Relay) copy(to, from net.Conn, countAtOpen int64, fromTarget bool) {
	defer r.wg.Done()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if r.silenceCount.Load() != countAtOpen {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 && r.passes(fromTarget) {
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
