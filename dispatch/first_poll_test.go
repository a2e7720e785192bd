package dispatch

import (
	"testing"
	"time"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// TestFirstPollIsAnsweredAtOnce expects a new leader to answer the first poll of a process at once, and to hold the next
// one. The poll may be the call with which the process searches for the leader: after a loss of power, calls that waited
// for that search were refused for the 1.5 s for which the poll was held, and the process was unready as long.
func TestFirstPollIsAnsweredAtOnce(t *testing.T) {
	h := newHarness(t, "w1")
	poll := func() func() bool {
		answered := false
		h.engine.Handle(t.Context(), &pipelinev1.Call{Call: &pipelinev1.Call_PermitPoll{PermitPoll: &pipelinev1.PermitPoll{Process: "entry-9", CanAsk: true}}},
			func(r *pipelinev1.Reply, err error) { answered = err == nil && r.GetQuestion() == nil })
		h.drain()
		return func() bool { return answered }
	}
	for range 2 {
		if !poll()() {
			t.Error("the first poll is held")
		}
		second := poll()
		if second() {
			t.Error("the second poll is answered at once")
		}
		if h.run(pollHold + 2*tickStep); !second() {
			t.Error("the second poll is held too long")
		}
		h.newLeader()
		h.run(time.Second)
	}
}
