package ingress

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lingerTime and lingerBytes bound what is read and dropped after a refusal, so that the client sees the response
	// before the connection is reset.
	lingerTime  = 200 * time.Millisecond
	lingerBytes = 256 << 10
	// readBytes is the size of the buffer for a read by a caller with a smaller one.
	readBytes = 4 << 10
)

// Conn is a connection whose reader gets only complete requests, one at a time, unless its listener is of ListenCounted.
type Conn struct {
	net.Conn
	listener *Listener
	holder   holder
	// working is set while a request is in work.
	working atomic.Bool

	request request
	began   time.Time
	// out are the parts of a complete request that are still to be read: its head, until headRead, and its body.
	out      [][]byte
	headRead bool
	// pending are bytes of later requests that have arrived.
	pending []byte
	err     error
	closed  sync.Once
}

func newConn(inner net.Conn, l *Listener) *Conn {
	c := &Conn{Conn: inner, listener: l}
	c.holder.priority, c.holder.wake = l.priority, c.wake
	limits := l.budget.limits
	c.request = request{maxHead: limits.HeadBytes, maxEmpty: limits.EmptyBytes, maxBody: l.maxBody,
		charge: func(n int) error { return l.budget.charge(&c.holder, int64(n)) }}
	c.holder.progress.Store(time.Now().UnixNano())
	return c
}

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. It returns bytes of one complete request.
func (c *Conn) Read(p []byte) (int, error) {
	if c.listener.maxBody == 0 {
		return c.Conn.Read(p)
	}
	if len(c.out) == 0 {
		if c.err != nil {
			return 0, c.err
		}
		if err := c.collect(p); err != nil {
			c.fail(err)
			return 0, c.err
		}
	}
	n := copy(p, c.out[0])
	if c.out[0] = c.out[0][n:]; len(c.out[0]) == 0 {
		c.out = c.out[1:]
		if c.headRead {
			c.request.freeFirst()
		}
		c.headRead = true
	}
	return n, nil
}

// collect reads one request. The previous one has been answered, as the reader wants the next.
func (c *Conn) collect(scratch []byte) error {
	c.request.reset()
	c.listener.budget.release(&c.holder)
	c.began = time.Time{}
	c.holder.progress.Store(time.Now().UnixNano())
	// stalest sets working when it takes the connection out of use.
	if c.working.Swap(false) && c.evicted() {
		return io.EOF
	}
	if len(scratch) < readBytes/4 {
		scratch = make([]byte, readBytes)
	}
	for c.request.phase != phaseDone {
		if err := c.readSome(scratch); err != nil {
			return err
		}
	}
	if err := c.listener.budget.begin(&c.holder); err != nil {
		return err
	}
	if !c.working.CompareAndSwap(false, true) {
		// The listener has closed the connection to make room.
		return io.EOF
	}
	c.out, c.headRead = c.request.parts(), false
	return nil
}

// evicted reports whether the listener has closed the connection to make room.
func (c *Conn) evicted() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return !c.listener.conns[c]
}

// readSome feeds the request with bytes that have arrived.
func (c *Conn) readSome(scratch []byte) error {
	if len(c.pending) > 0 {
		n, err := c.request.feed(c.pending)
		if c.pending = c.pending[n:]; len(c.pending) == 0 {
			c.pending = nil
		}
		c.start()
		return err
	}
	if err := c.beforeRead(); err != nil {
		return err
	}
	if r := &c.request; (r.phase == phaseBody || r.phase == phaseChunkData) && r.left >= readBytes {
		to, err := r.space()
		if err != nil {
			return err
		}
		n, err := c.Conn.Read(to)
		if n > 0 {
			c.holder.progress.Store(time.Now().UnixNano())
			r.advance(n)
		}
		return c.readError(err)
	}
	n, err := c.Conn.Read(scratch)
	if n == 0 {
		return c.readError(err)
	}
	c.start()
	used, feedErr := c.request.feed(scratch[:n])
	if feedErr != nil {
		return feedErr
	}
	if used < n {
		c.pending = append([]byte(nil), scratch[used:n]...)
	}
	return c.readError(err)
}

// start records progress.
func (c *Conn) start() {
	now := time.Now()
	c.holder.progress.Store(now.UnixNano())
	if c.began.IsZero() {
		c.began = now
	}
}

// beforeRead sets the deadline of the next read of a request that has begun, and answers one that expects an interim
// response before its body.
func (c *Conn) beforeRead() error {
	if c.began.IsZero() {
		return nil
	}
	if c.request.expects {
		c.request.expects = false
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
	}
	limits := c.listener.budget.limits
	deadline := c.began.Add(limits.RequestTime)
	if c.request.phase <= phaseHead {
		deadline = c.began.Add(limits.HeadTime)
	}
	if stall := time.Now().Add(limits.StallTime); stall.Before(deadline) {
		deadline = stall
	}
	if err := c.Conn.SetReadDeadline(deadline); err != nil {
		return err
	}
	// A refusal by another request sets a deadline in the past, which the one above may have replaced.
	return c.listener.budget.refusalOf(&c.holder)
}

// readError returns what an error of a read means for the request.
func (c *Conn) readError(err error) error {
	if err == nil {
		return nil
	}
	if refused := c.listener.budget.refusalOf(&c.holder); refused != nil {
		return refused
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.began.IsZero() {
		return refusalStalled
	}
	return err
}

// wake ends a blocked read.
func (c *Conn) wake() { _ = c.Conn.SetReadDeadline(time.Unix(1, 0)) }

// fail gives the memory of an unfinished request back and, if it was refused, answers it.
func (c *Conn) fail(err error) {
	begun := !c.began.IsZero()
	c.request.reset()
	c.request.head, c.pending = nil, nil
	c.listener.budget.release(&c.holder)
	c.err = err
	if begun {
		// The server is to close the connection without a response of its own.
		c.err = io.EOF
	}
	var r *refusal
	if !errors.As(err, &r) {
		return
	}
	c.listener.budget.log.refused(c.listener.name, r.reason, c.RemoteAddr().String(), time.Now())
	c.err = io.EOF
	_ = c.Conn.SetDeadline(time.Now().Add(lingerTime))
	if _, err := c.Conn.Write(r.response()); err != nil {
		return
	}
	closeWrite(c.Conn)
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// Write implements net.Conn. A client that takes nothing of a response for the time in which a request must arrive gets
// no more of it, as it would hold the response and its connection for good.
func (c *Conn) Write(p []byte) (int, error) {
	if c.listener.maxBody == 0 {
		return c.Conn.Write(p)
	}
	written := 0
	for {
		piece := p[written:min(len(p), written+blockBytes)]
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.listener.budget.limits.RequestTime)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(piece)
		if written += n; err != nil || written == len(p) {
			return written, err
		}
	}
}

// closeWrite ends the half of a connection that sends.
func closeWrite(c net.Conn) {
	for {
		if half, ok := c.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite()
			return
		}
		w, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return
		}
		c = w.NetConn()
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closed.Do(func() {
		c.listener.mu.Lock()
		delete(c.listener.conns, c)
		c.listener.mu.Unlock()
		c.listener.budget.leave(&c.holder)
	})
	return c.Conn.Close()
}
