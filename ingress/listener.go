package ingress

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Listener bounds the open connections of a listener: when there are too many, the one that has been idle or without
// progress for the longest time is closed.
type Listener struct {
	net.Listener
	name     string
	priority Priority
	budget   *Budget
	maxConns int
	// maxBody bounds a body in bytes; with zero, requests are passed on as they arrive, for a server with its own limits.
	maxBody int
	// streams counts the open streams of HTTP/2.
	streams atomic.Int64

	mu    sync.Mutex
	conns map[*Conn]bool
}

// Listen returns a listener over l that holds back requests until they are complete and bounds their bodies to
// maxBody bytes. The server behind it must speak HTTP/1 and read no further while a request is in
// work, as hertz does; net/http reads ahead.
func (b *Budget) Listen(l net.Listener, name string, p Priority, maxConns, maxBody int) *Listener {
	return &Listener{Listener: l, name: name, priority: p, budget: b, maxConns: maxConns, maxBody: maxBody, conns: make(map[*Conn]bool)}
}

// ListenCounted returns a listener over l for an http.Server, which bounds requests itself. Connections are closed only
// if the server reports their states with ConnState.
func (b *Budget) ListenCounted(l net.Listener, name string, p Priority, maxConns int) *Listener {
	return b.Listen(l, name, p, maxConns, 0)
}

// receiveBufferer is a connection whose receive buffer has a settable size.
type receiveBufferer interface{ SetReadBuffer(bytes int) error }

// acceptPause is the time between attempts to accept a connection while descriptors or memory are short.
const acceptPause = 50 * time.Millisecond

// isExhaustion reports whether Accept failed for a lack of descriptors or memory, or of a connection that was already
// closed. hertz stops serving after any error.
func isExhaustion(err error) bool {
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// closeStalest closes the connection that has been idle or without progress for the longest time.
func (l *Listener) closeStalest() {
	l.mu.Lock()
	out := l.stalest()
	delete(l.conns, out)
	l.mu.Unlock()
	l.drop(out, refusalFiles)
}

// drop closes a connection that is out of use, if there is one.
func (l *Listener) drop(c *Conn, why *refusal) {
	if c == nil {
		return
	}
	l.budget.log.refused(l.name, why.reason, c.RemoteAddr().String(), time.Now())
	// Closing a TLS connection may wait for its client.
	go func() { _ = c.Conn.Close() }()
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if isExhaustion(err) {
			l.closeStalest()
			time.Sleep(acceptPause)
			continue
		}
		if err != nil {
			return nil, err
		}
		if socket, ok := unwrap(inner).(receiveBufferer); ok && l.maxBody > 0 {
			_ = socket.SetReadBuffer(l.budget.limits.ReceiveBuffer)
		}
		c := newConn(inner, l)
		if l.admit(c) {
			return c, nil
		}
		l.budget.log.refused(l.name, refusalCrowded.reason, inner.RemoteAddr().String(), time.Now())
		_ = inner.Close()
	}
}

// admit adds a connection, for which it may close another one, and reports whether there was room.
func (l *Listener) admit(c *Conn) bool {
	l.mu.Lock()
	var out *Conn
	if len(l.conns) >= l.maxConns {
		if out = l.stalest(); out == nil {
			l.mu.Unlock()
			return false
		}
		delete(l.conns, out)
	}
	l.conns[c] = true
	l.mu.Unlock()
	l.drop(out, refusalCrowded)
	return true
}

// stalest returns the connection that has been idle or without progress for the longest time and whose request is not
// in work, or nil. It takes the connection out of use.
func (l *Listener) stalest() *Conn {
	for {
		var out *Conn
		for c := range l.conns {
			if !c.working.Load() && (out == nil || c.holder.progress.Load() < out.holder.progress.Load()) {
				out = c
			}
		}
		// A request may have begun since.
		if out == nil || out.working.CompareAndSwap(false, true) {
			return out
		}
	}
}

// ConnState records the state of an http.Server's connection.
func (l *Listener) ConnState(conn net.Conn, s http.ConnState) {
	c := connBelow(conn)
	if c == nil {
		return
	}
	c.holder.progress.Store(time.Now().UnixNano())
	c.working.Store(s == http.StateActive)
}

// connBelow returns the Conn that a server's connection is or wraps, or nil.
func connBelow(conn net.Conn) *Conn {
	for {
		if c, ok := conn.(*Conn); ok {
			return c
		}
		w, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = w.NetConn()
	}
}

// unwrap returns the connection below wrappers that name theirs.
func unwrap(c net.Conn) net.Conn {
	for {
		w, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = w.NetConn()
	}
}
