package daemon

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// idleAfter is how long after its last response, or after it was accepted, a connection counts as
// idle.
const idleAfter = 250 * time.Millisecond

// trackingListener keeps track of its open connections, so that idle ones can be closed.
type trackingListener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*trackedConn]bool
}

func newTrackingListener(l net.Listener) *trackingListener {
	return &trackingListener{Listener: l, conns: make(map[*trackedConn]bool)}
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t := &trackedConn{Conn: c, listener: l, lastActivity: time.Now()}
	l.mu.Lock()
	l.conns[t] = true
	l.mu.Unlock()
	return t, nil
}

// closeIdle closes the connections that are idle: no request is being read or handled, and nothing
// has happened on them for idleAfter.
func (l *trackingListener) closeIdle() {
	l.mu.Lock()
	var idle []*trackedConn
	for c := range l.conns {
		if c.idle() {
			idle = append(idle, c)
		}
	}
	l.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// openCount returns the number of open connections.
func (l *trackingListener) openCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// trackedConn records whether its last activity was a read, which is part of a request, or a
// write, which is part of a response.
type trackedConn struct {
	net.Conn
	listener         *trackingListener
	mu               sync.Mutex
	awaitingResponse bool
	lastActivity     time.Time
}

// NetConn returns the connection below.
func (c *trackedConn) NetConn() net.Conn { return c.Conn }

// recordActivity records a read (awaitingResponse is true) or a write.
func (c *trackedConn) recordActivity(awaitingResponse bool) {
	c.mu.Lock()
	c.awaitingResponse, c.lastActivity = awaitingResponse, time.Now()
	c.mu.Unlock()
}

func (c *trackedConn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.awaitingResponse && time.Since(c.lastActivity) > idleAfter && !c.hasUnread()
}

// hasUnread reports whether bytes have arrived that were not read yet: after a pause of the process a
// request may wait although nothing was read for a while.
func (c *trackedConn) hasUnread() bool {
	n, err := c.peek()
	return err == nil && n > 0
}

// closedByPeer reports whether the other end has closed the connection, or its half that sends.
func (c *trackedConn) closedByPeer() bool {
	n, err := c.peek()
	switch {
	case errors.Is(err, errNoSocket):
		return false
	case n == 0 && !errors.Is(err, syscall.EAGAIN):
		return true
	}
	// Unread bytes, such as the last record of a TLS connection, come before the end of the stream.
	return c.hungUp()
}

// hungUp reports whether the end of the stream has arrived, behind whatever is unread.
func (c *trackedConn) hungUp() (hungUp bool) {
	_ = c.control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(p, 0)
		hungUp = err == nil && n > 0 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return hungUp
}

// errNoSocket reports a connection that is not a socket.
var errNoSocket = errors.New("daemon: the connection is not a socket")

// peek returns how many bytes can be read now without blocking, at most one. It returns zero without an
// error at the end of the stream, and EAGAIN if nothing has arrived.
func (c *trackedConn) peek() (n int, err error) {
	controlErr := c.control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

// control calls f with the file descriptor of the connection's socket. It returns an error if the connection is
// closed on this side.
func (c *trackedConn) control(f func(fd uintptr)) error {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return errNoSocket
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(f)
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.recordActivity(true)
	}
	return n, err
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.recordActivity(false)
	return n, err
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
