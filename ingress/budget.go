package ingress

import (
	"net"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
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
	// max is the size of the budget in bytes.
	max int64
	log *reporter

	mu sync.Mutex
	// used is the sum of what is held in bytes, and peak its maximum since memory was last given back.
	used int64
	peak int64
	// reading holds the holders whose request or message is being read.
	reading map[*holder]bool
	// releasing is set while giveBack is scheduled; released is when it last began.
	releasing bool
	released  time.Time
}

// holder is what holds memory of a Budget: a connection of HTTP/1, a stream of HTTP/2 or calls in work.
type holder struct {
	priority Priority
	// progress is the time in Unix nanoseconds when something last happened.
	progress atomic.Int64
	// wake ends a blocked read.
	wake func()

	// The budget's mutex guards held, the bytes charged; refused, why the request was refused for another one; and gone,
	// which is set once the holder has ended.
	held    int64
	refused error
	gone    bool
}

// NewBudget returns a budget of max bytes.
func NewBudget(l Limits, max int64, log zerolog.Logger) *Budget {
	budgetGauge.Set(max)
	return &Budget{limits: l, max: max, log: newReporter(log), reading: make(map[*holder]bool)}
}

// charge adds n bytes to what c holds. If that exceeds the budget, it refuses other requests, or returns
// refusalBudget if c's own is to be refused first.
func (b *Budget) charge(c *holder, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.refused != nil || c.gone {
		return c.refusalLocked()
	}
	b.reading[c] = true
	// Calls in work don't count: ordinary ones come and go, and are too small for a collection of all garbage to pay.
	b.peak = max(b.peak, b.used+n)
	return b.takeLocked(c, n)
}

// hold adds n bytes that c holds in work, for which other requests may be refused.
func (b *Budget) hold(c *holder, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	err := b.takeLocked(c, n)
	if err != nil {
		b.releaseLocked(c)
	}
	return err
}

// takeLocked adds n bytes to what c holds and refuses others while the budget is exceeded. It returns refusalBudget if c
// comes first among those to be refused, or no one else can be.
func (b *Budget) takeLocked(c *holder, n int64) error {
	c.held += n
	b.used += n
	for b.used > b.max {
		v := b.victim(time.Now())
		if v == nil || v == c || v.priority > c.priority {
			return refusalBudget
		}
		b.dropLocked(v)
	}
	usedGauge.Set(b.used)
	return nil
}

// victim returns the holder whose request is to be refused first.
func (b *Budget) victim(now time.Time) *holder {
	list, holders := make([]holding, 0, len(b.reading)), make([]*holder, 0, len(b.reading))
	for c := range b.reading {
		list = append(list, holding{c.priority, now.Sub(time.Unix(0, c.progress.Load())), c.held})
		holders = append(holders, c)
	}
	if i := victim(list); i >= 0 {
		return holders[i]
	}
	return nil
}

// dropLocked refuses a holder's unfinished request and wakes its reader.
func (b *Budget) dropLocked(c *holder) {
	c.refused = refusalBudget
	b.used -= c.held
	c.held = 0
	delete(b.reading, c)
	c.wake()
}

// begin ends the reading of a request, which can't be refused by another one from then on; its bytes stay charged.
func (b *Budget) begin(c *holder) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.reading, c)
	return c.refusalLocked()
}

// refusalOf returns the refusal of a holder's request, if there is one.
func (b *Budget) refusalOf(c *holder) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return c.refusalLocked()
}

// refusalLocked returns why no further bytes are taken, or nil.
func (c *holder) refusalLocked() error {
	if c.refused == nil && c.gone {
		return net.ErrClosed
	}
	return c.refused
}

// leave ends the accounting of a holder that has ended.
func (b *Budget) leave(c *holder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.gone = true
	b.releaseLocked(c)
}

// release returns all that c holds.
func (b *Budget) release(c *holder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseLocked(c)
}

func (b *Budget) releaseLocked(c *holder) {
	delete(b.reading, c)
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
	// What is released from now on may be missed by the collections below, so it counts for the next time.
	b.mu.Lock()
	b.peak, b.releasing, b.released = b.used, false, time.Now()
	b.mu.Unlock()
	runtime.GC()
	debug.FreeOSMemory()
}
