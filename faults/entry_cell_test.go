package faults

import (
	"context"
	"sync"
	"time"

	"github.com/bulrushwinch/bulrushwinch/entry"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/timeline"
	"github.com/bulrushwinch/bulrushwinch/view"
	"github.com/pkg/errors"
)

// memEntry is one entry process, which clients reach over the in-memory network.
type memEntry struct {
	name   string
	net    *network
	start  func() *entry.Server
	server *entry.Server
	view   *view.Store

	mu       sync.Mutex
	draining bool
	dead     bool
	reset    chan struct{}
	// open holds the calls in progress.
	open map[*openCall]bool
}

// openCall is a call in progress on an entry.
type openCall struct {
	method string
	// drained is set if the entry began to drain during the call.
	drained bool
}

// newEntry starts an entry process.
func (c *cell) newEntry(name string) *memEntry {
	e := &memEntry{name: name, net: c.net, reset: make(chan struct{}), open: make(map[*openCall]bool),
		view: view.New(c.clock, view.DefaultStaleAfter)}
	e.start = func() *entry.Server {
		router := entry.NewRouter(&memForwarder{c.net, name}, c.replicaAddresses())
		events := timeline.NewRecorder(name, timeline.NewClock(time.Now), 1024)
		return entry.NewServer(name, router, events, nil, entry.WithView(e.view))
	}
	e.server = e.start()
	c.spawn(func() { c.watchView(e) })
	return e
}

// watchView keeps an entry's view of the configuration up to date and records its revision
// while the view is fresh.
func (c *cell) watchView(e *memEntry) {
	for c.ctx.Err() == nil {
		for _, r := range c.live() {
			if r.leadTerm.Load() != 0 {
				c.fetchView(e, r)
			}
		}
		if e.view.Fresh() {
			add(c.history, &c.history.views, viewSeen{e.name, e.view.Revision(), time.Now()})
		}
		time.Sleep(viewPause)
	}
}

// fetchView updates an entry's view from a replica that leads; a failed request is ignored.
func (c *cell) fetchView(e *memEntry, r *memReplica) {
	ctx, cancel := context.WithTimeout(c.ctx, viewTimeout)
	defer cancel()
	sent := c.clock.Now()
	var resp *peerv1.ViewResponse
	_, err := c.net.roundTrip(ctx, toLeader, e.name, r.address, func() error {
		resp = r.controller.View(ctx, &peerv1.ViewRequest{KnownRevision: e.view.Revision(), Process: e.name, FromLeader: true})
		if r.halted() {
			return errReset
		}
		return nil
	})
	if err == nil && resp.GetStatus() == peerv1.ForwardStatus_FORWARD_STATUS_OK {
		_ = e.view.Update(resp, sent, view.FromLeader)
	}
}

// serve runs one call, unless the entry is dead or draining (errUnreachable). A crash of the
// entry ends the call with errReset. drained tells whether the entry began to drain during it.
func (e *memEntry) serve(ctx context.Context, method string, f func(context.Context, *entry.Server) error) (err error, drained bool) {
	e.mu.Lock()
	if e.dead || e.draining {
		e.mu.Unlock()
		return errUnreachable, false
	}
	call, reset, server := &openCall{method: method}, e.reset, e.server
	e.open[call] = true
	e.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	result := make(chan error, 1)
	go func() { result <- f(ctx, server) }()
	select {
	case err = <-result:
	case <-reset:
		err = errReset
		cancel()
		<-result
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.open, call)
	return err, call.drained
}

// crash resets every open call and refuses new ones.
func (e *memEntry) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.dead {
		e.dead = true
		close(e.reset)
	}
}

// restart starts a new entry process, which accepts calls again.
func (e *memEntry) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead, e.draining, e.reset, e.server = false, false, make(chan struct{}), e.start()
}

// drain refuses new calls and returns once the open ones have ended.
func (e *memEntry) drain() {
	e.mu.Lock()
	e.draining = true
	e.server.Drain()
	for call := range e.open {
		call.drained = true
	}
	e.mu.Unlock()
	for {
		e.mu.Lock()
		left := len(e.open)
		e.mu.Unlock()
		if left == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// call sends one call of a client to an entry. A call that was open when the entry began to
// drain goes into the history with its error, unless a fault of the network ended it.
func (c *cell) call(ctx context.Context, from, method string, e *memEntry, f func(context.Context, *entry.Server) error) error {
	_, err := c.net.roundTrip(ctx, toEntry, from, e.name, func() error {
		err, drained := e.serve(ctx, method, f)
		if drained {
			c.history.recordDrained(e.name, method, err)
		}
		return err
	})
	return errors.Wrap(err, method)
}
