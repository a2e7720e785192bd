// Package retry provides backoff with jitter and a retry budget.
package retry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Backoff grows exponentially from Min to Max, with full jitter.
type Backoff struct {
	Min, Max time.Duration
	attempt  int
}

// Next returns the delay before the next attempt.
func (b *Backoff) Next() time.Duration {
	ceiling := b.Min << min(b.attempt, 30)
	if ceiling > b.Max || ceiling <= 0 {
		ceiling = b.Max
	}
	b.attempt++
	return b.Min/2 + rand.N(ceiling)
}

// Reset starts again from Min.
func (b *Backoff) Reset() { b.attempt = 0 }

// Sleep waits for d, or returns the context's error when it ends first.
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

// Budget bounds retries to a fraction of first attempts, so that retries can't
// multiply the load on a system that is already failing.
type Budget struct {
	// PerCall is what each first attempt adds; Reserve bounds what can gather.
	PerCall, Reserve float64

	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(perCall, reserve float64) *Budget {
	return &Budget{PerCall: perCall, Reserve: reserve, tokens: reserve}
}

// Deposit records a first attempt.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.Reserve, b.tokens+b.PerCall)
}

// Withdraw takes one retry from the budget; false means that it is spent.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
