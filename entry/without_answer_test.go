package entry

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
)

// TestErrorTellsWhetherACallMayHaveRun ends the attempts of calls in every way without an answer of a leader and
// expects "nothing was proposed" if, and only if, no attempt can have had an effect. Callers got 504 for reads, which
// they can't send again as they can after 503.
func TestErrorTellsWhetherACallMayHaveRun(t *testing.T) {
	for name, c := range map[string]struct {
		steps []step
		// ofRead and ofChange are the errors of a call without and with an effect.
		ofRead, ofChange error
	}{
		"connection refused":                  {[]step{sendFails(false)}, ErrNothingProposed, ErrNothingProposed},
		"replica without a role":              {[]step{notLeader}, ErrNothingProposed, ErrNothingProposed},
		"written, then reset":                 {[]step{sendFails(true), sendFails(false)}, ErrNothingProposed, ErrUndetermined},
		"leadership lost after the proposal":  {[]step{losesLeadership, notLeader}, ErrNothingProposed, ErrUndetermined},
		"leadership lost before the proposal": {[]step{notLeader, sendFails(false)}, ErrNothingProposed, ErrNothingProposed},
	} {
		for _, read := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := NewRouter(&scriptedForwarder{steps: c.steps}, []string{"a"})
					ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
					defer cancel()
					_, err := r.CallWithin(ctx, &peerv1.ForwardRequest{}, true, Bounds{Attempt: time.Second, NoEffect: read})
					want := c.ofChange
					if read {
						want = c.ofRead
					}
					if !errors.Is(err, want) {
						t.Errorf("read %t: got %v, want %v", read, err, want)
					}
				})
			})
		}
	}
}

// TestEmptyRetryBudgetDoesNotEndACall empties the retry budget and expects a call of unknown outcome to wait for a
// retry rather than to end before its deadline: the next leader's answer tells what became of it.
func TestEmptyRetryBudgetDoesNotEndACall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := NewRouter(&scriptedForwarder{steps: []step{sendFails(true), accepts}}, []string{"a"})
		for r.budget.Withdraw() {
		}
		time.AfterFunc(time.Second, func() {
			for range 20 {
				r.budget.Deposit()
			}
		})
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		if _, err := r.Call(ctx, &peerv1.ForwardRequest{}, true); err != nil {
			t.Error(err)
		}
	})
}
