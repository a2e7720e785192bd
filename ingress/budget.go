package ingress

import (
	"net"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// releaseBytes is how far the use must fall before memory is given back to the system, releaseDelay how long after
	// that this begins, so that connections that close together count as one, and releaseInterval the least time between
	// two times, as each collects all garbage.
	releaseBytes    = 4 << 20
	releaseDelay    = 500 * time.Millisecond
	releaseInterval = 3 * time.Second
)

// Budget accounts for the memory of all unfinished requests of a process, and of the bodies of those in work.
type Budget struct {
	limits Limits
	max    int64
	log    *reporter

	mu   sync.Mutex
	used int64
	peak int64
	// conns holds the connections with a request that is being read.
	conns     map[*Conn]bool
	releasing bool
	released  time.Time
}

// NewBudget returns a budget of max bytes.
func NewBudget(l Limits, max int64, log zerolog.Logger) *Budget {
	budgetGauge.Set(max)
	return &Budget{limits: l, max: max, log: newReporter(log), conns: make(map[*Conn]bool)}
}

// charge adds n bytes to what c holds. If that exceeds the budget, it refuses other requests, or returns
// refusalBudget if c's own is to be refused first.
func (b *Budget) charge(c *Conn, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.refused != nil || c.gone {
		return c.refusalLocked()
	}
	b.conns[c] = true
	c.held += n
	b.used += n
	b.peak = max(b.peak, b.used)
	for b.used > b.max {
		v := b.victim(time.Now())
		if v == nil || v == c {
			return refusalBudget
		}
		b.dropLocked(v)
	}
	usedGauge.Set(b.used)
	return nil
}

// victim returns the connection whose request is to be refused first.
func (b *Budget) victim(now time.Time) *Conn {
	list, conns := make([]holding, 0, len(b.conns)), make([]*Conn, 0, len(b.conns))
	for c := range b.conns {
		list = append(list, holding{c.listener.priority, now.Sub(time.Unix(0, c.progress.Load())), c.held})
		conns = append(conns, c)
	}
	if i := victim(list); i >= 0 {
		return conns[i]
	}
	return nil
}

// dropLocked refuses a connection's unfinished request and wakes its reader.
func (b *Budget) dropLocked(c *Conn) {
	c.refused = refusalBudget
	b.used -= c.held
	c.held = 0
	delete(b.conns, c)
	c.wake()
}

// begin ends the reading of a request, which can't be refused by another one from then on; its bytes stay charged.
func (b *Budget) begin(c *Conn) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.conns, c)
	return c.refusalLocked()
}

// refusalOf returns the refusal of a connection's request, if there is one.
func (b *Budget) refusalOf(c *Conn) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return c.refusalLocked()
}

// refusalLocked returns why no further bytes are taken, or nil.
func (c *Conn) refusalLocked() error {
	if c.refused == nil && c.gone {
		return net.ErrClosed
	}
	return c.refused
}

// leave ends the accounting of a connection that is closed.
func (b *Budget) leave(c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.gone = true
	b.releaseLocked(c)
}

// release returns all that c holds.
func (b *Budget) release(c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseLocked(c)
}

func (b *Budget) releaseLocked(c *Conn) {
	delete(b.conns, c)
	b.used -= c.held
	c.held = 0
	usedGauge.Set(b.used)
	if b.peak-b.used > releaseBytes && !b.releasing {
		b.releasing = true
		time.AfterFunc(max(releaseDelay, releaseInterval-time.Since(b.released)), b.giveBack)
	}
}

// giveBack gives unused memory back to the system. What a sync.Pool holds is garbage only after a second collection.
func (b *Budget) giveBack() {
	runtime.GC()
	debug.FreeOSMemory()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peak, b.releasing, b.released = b.used, false, time.Now()
}
