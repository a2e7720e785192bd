package sched

import (
	"testing"
	"time"
)

// TestLongBatchMakesRoomForShortWork checks that one long task is checkpointed for a short
// one after Settings.ShortPreemptDelay, and none for work that is long itself.
func TestLongBatchMakesRoomForShortWork(t *testing.T) {
	for _, tc := range []struct {
		name     string
		expected time.Duration
		want     int
	}{{"short", time.Second, 1}, {"long", time.Hour, 0}} {
		h := newHarness(t, 2, "d")
		h.add(Job{Class: "rebuild", ExpectedRunTime: time.Hour, Repeatable: true}, 4, half)
		h.decide(0)
		h.decide(minRunBeforeEviction)
		h.add(Job{Class: "label", ExpectedRunTime: tc.expected}, 1, small)
		h.equal(tc.name+" at once", len(h.decide(0).Stops), 0)
		d := h.decide(DefaultSettings.ShortPreemptDelay)
		h.equal(tc.name, stopsByReason(d)[StopForShort], tc.want)
		for _, s := range d.Stops {
			h.phase(s.Task, Stopping)
		}
		h.equal(tc.name+" while the checkpoint runs", len(h.decide(time.Second).Stops), 0)
	}
}

// TestOverdueLargeTaskGetsRoom keeps filling each slot that becomes free with small tasks.
// The large task must still start within a bounded time after its virtual start deadline.
func TestOverdueLargeTaskGetsRoom(t *testing.T) {
	h := newHarness(t, 4, "d")
	add := func() { h.add(Job{ExpectedRunTime: 20 * time.Second}, 1, small) }
	for range 40 {
		add()
	}
	running := h.decide(0).Placements
	large := h.add(Job{ExpectedRunTime: time.Second}, 1, full)
	for second := range 300 {
		for range 2 {
			if len(running) > 0 {
				h.end(running[0], Succeeded, 20*time.Second)
				running = running[1:]
				add()
			}
		}
		for _, p := range h.decide(time.Second).Placements {
			if p.Task.Job == large {
				t.Logf("started after %d s", second)
				return
			}
			running = append(running, p)
		}
	}
	t.Error("the large task did not start within 300 s")
}

// TestWorkBehindManyThatFitNowhereIsReached queues more entries that can't be placed than
// one round tries, all ahead of one that can.
func TestWorkBehindManyThatFitNowhereIsReached(t *testing.T) {
	h := newHarness(t, 1, "d")
	h.add(Job{}, 7, small)
	h.decide(0)
	for range 3 * minTries {
		h.add(Job{ExpectedRunTime: time.Second}, 1, full)
	}
	fits := h.add(Job{ExpectedRunTime: time.Hour}, 1, small)
	var found []Placement
	for range 10 {
		found = append(found, h.decide(50*time.Millisecond).Placements...)
	}
	if len(found) != 1 || found[0].Task.Job != fits {
		t.Fatalf("placed %v; only job %d fits", found, fits)
	}
	for id := range h.jobs {
		h.RemoveJob(id)
	}
	h.decide(parkTime)
	h.equal("queue after cancellation", len(h.teams["a"].queues[tierNormal]), 0)
}
