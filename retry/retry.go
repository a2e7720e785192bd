// Package retry provides backoff with jitter, a retry budget, timeouts that allow for stalls of the
// process, and tracking of connections to close those that no longer deliver data.
package retry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Backoff computes delays between attempts that grow exponentially, with random jitter. It is
// not safe for concurrent use.
type Backoff struct {
	// Min and Max are the first and the largest bound of the random part of a delay, to which
	// Min/2 is added.
	Min, Max time.Duration
	attempt  int
}

// Next returns the delay before the next attempt: Min/2 plus a random duration below a bound
// that doubles with each call from Min to Max.
func (b *Backoff) Next() time.Duration {
	ceiling := b.Min << min(b.attempt, 30)
	if ceiling > b.Max || ceiling <= 0 {
		ceiling = b.Max
	}
	b.attempt++
	return b.Min/2 + rand.N(ceiling)
}

// Reset sets the bound of the delay back to Min.
func (b *Backoff) Reset() { b.attempt = 0 }

// Sleep waits for d. It returns the error of ctx if ctx ends first, else nil.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// Budget limits retries to a fraction of first attempts, so that retries cannot multiply the
// load on a system that is already failing. It is safe for concurrent use.
type Budget struct {
	// PerCall is the number of retries that each first attempt adds; Reserve is the maximum
	// number that can accumulate.
	PerCall, Reserve float64

	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a budget that holds reserve retries and gains perCall with each first
// attempt.
func NewBudget(perCall, reserve float64) *Budget {
	return &Budget{PerCall: perCall, Reserve: reserve, tokens: reserve}
}

// Deposit adds PerCall to the budget; it is called for each first attempt.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.Reserve, b.tokens+b.PerCall)
}

// Withdraw takes one retry from the budget. It returns false if less than one is left.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
