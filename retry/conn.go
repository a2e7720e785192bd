package retry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Dialer opens a connection.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Guard remembers the open connections of a client and when each last brought data.
// After a call timed out, CloseSilent closes those that have been silent since the
// call began: whatever stands between the two ends may have lost track of them.
// Connections that still bring data are left alone. It is safe for concurrent use.
type Guard struct {
	mu    sync.Mutex
	conns map[*guardedConn]bool
}

// NewGuard returns a Guard without connections.
func NewGuard() *Guard { return &Guard{conns: make(map[*guardedConn]bool)} }

// Wrap returns a Dialer whose connections the guard watches.
func (g *Guard) Wrap(dial Dialer) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		w := &guardedConn{Conn: c, guard: g}
		w.heard.Store(time.Now().UnixNano())
		g.mu.Lock()
		g.conns[w] = true
		g.mu.Unlock()
		return w, nil
	}
}

// CloseSilent closes the connections that have brought no data since a time, and
// returns their number.
func (g *Guard) CloseSilent(since time.Time) int {
	return g.closeAll(func(c *guardedConn) bool { return c.heard.Load() <= since.UnixNano() })
}

// CloseIdle is CloseSilent for connections that carry one call at a time: those with a call that
// waits for its answer, which bounds itself, are left alone.
func (g *Guard) CloseIdle(since time.Time) int {
	return g.closeAll(func(c *guardedConn) bool { return !c.asked.Load() && c.heard.Load() <= since.UnixNano() })
}

func (g *Guard) closeAll(picks func(*guardedConn) bool) int {
	g.mu.Lock()
	var list []*guardedConn
	for c := range g.conns {
		if picks(c) {
			list = append(list, c)
		}
	}
	g.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
	return len(list)
}

// guardedConn notes when it last brought data.
type guardedConn struct {
	net.Conn
	guard *Guard
	heard atomic.Int64
	// asked is set while nothing was read since the last write.
	asked atomic.Bool
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	c.asked.Store(true)
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.heard.Store(time.Now().UnixNano())
		c.asked.Store(false)
	}
	return n, err
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	c.guard.mu.Lock()
	delete(c.guard.conns, c)
	c.guard.mu.Unlock()
	return c.Conn.Close()
}
