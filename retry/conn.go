package retry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Dialer opens a connection, like net.Dialer.DialContext.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// ConnTracker tracks the open connections of a client and the time at which data was last read from
// each. After a call has timed out, CloseSilent closes the connections without data since the
// call began: a device between the two ends may have dropped their state. Connections that
// still deliver data stay open. It is safe for concurrent use.
type ConnTracker struct {
	mu    sync.Mutex
	conns map[*trackedConn]bool
}

// NewConnTracker returns a tracker without connections.
func NewConnTracker() *ConnTracker { return &ConnTracker{conns: make(map[*trackedConn]bool)} }

// Wrap returns a Dialer that tracks its connections until they are closed.
func (t *ConnTracker) Wrap(dial Dialer) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		w := &trackedConn{Conn: c, tracker: t}
		w.lastRead.Store(time.Now().UnixNano())
		t.mu.Lock()
		t.conns[w] = true
		t.mu.Unlock()
		return w, nil
	}
}

// CloseSilent closes the connections from which no data was read after since, and returns
// their number.
func (t *ConnTracker) CloseSilent(since time.Time) int {
	return t.closeMatching(func(c *trackedConn) bool { return c.lastRead.Load() <= since.UnixNano() })
}

// CloseIdle is CloseSilent for connections that carry one call at a time: it leaves those open
// whose call is waiting for its response, because that call has a timeout of its own.
func (t *ConnTracker) CloseIdle(since time.Time) int {
	return t.closeMatching(func(c *trackedConn) bool { return !c.awaitingReply.Load() && c.lastRead.Load() <= since.UnixNano() })
}

func (t *ConnTracker) closeMatching(matches func(*trackedConn) bool) int {
	t.mu.Lock()
	var list []*trackedConn
	for c := range t.conns {
		if matches(c) {
			list = append(list, c)
		}
	}
	t.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
	return len(list)
}

// trackedConn records when data was last read from it.
type trackedConn struct {
	net.Conn
	tracker  *ConnTracker
	lastRead atomic.Int64
	// awaitingReply is set while no data has been read since the last write.
	awaitingReply atomic.Bool
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.awaitingReply.Store(true)
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
		c.awaitingReply.Store(false)
	}
	return n, err
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.tracker.mu.Lock()
	delete(c.tracker.conns, c)
	c.tracker.mu.Unlock()
	return c.Conn.Close()
}
