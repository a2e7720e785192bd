package faults

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
)

// startCell returns a configured cell with its workers started.
func startCell(t *testing.T, seed uint64) *cell {
	c := newCell(t, seed, "")
	c.configure()
	for i := range numWorkers {
		c.addWorker(i)
	}
	time.Sleep(startupTime)
	return c
}

// TestLeaderDeathRepeatsNothing crashes the leader while tasks run, and expects every task to be
// answered after exactly one run.
func TestLeaderDeathRepeatsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCell(t, 1)
		defer c.stop()
		l := &load{c: c}
		for i := range 4 {
			l.startAfter(0, func() {
				l.submitAndWait(job{request: fmt.Sprintf("batch-%d", i), key: bigKey, queue: bigTeam, tasks: 5, runTime: 2 * time.Second})
			})
		}
		time.Sleep(500 * time.Millisecond)
		c.crash(c.leader())
		c.awaitEnd(l)
		for _, s := range c.history.submissions {
			if s.end.GetOutcome().GetKind() != apiv1.OutcomeKind_OUTCOME_KIND_ANSWERED {
				t.Errorf("%s: %v", s.request, s.end.GetOutcome())
			}
		}
		if n := len(c.history.runs); n != 20 {
			t.Errorf("%d runs of 20 tasks", n)
		}
	})
}

// TestCutOffLeaderStartsNothing partitions the leader from the other replicas only (the seed is
// odd), so that upstreams and entries still reach it, and expects no breach, such as a false
// refusal or a task in two places, and exactly one run of each task.
func TestCutOffLeaderStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCell(t, 3)
		defer c.stop()
		c.isolate(c.leader(), true, true)
		l := &load{c: c}
		l.startAfter(0, func() {
			l.submitAndWait(job{request: "batch", key: bigKey, queue: bigTeam, tasks: 20, runTime: time.Second})
		})
		c.awaitEnd(l)
		c.history.finish()
		for _, ch := range checks {
			for _, breach := range ch.find(c.history) {
				t.Errorf("%s: %s", ch.name, breach)
			}
		}
		if n := len(c.history.runs); n != 20 {
			t.Errorf("%d runs of 20 tasks", n)
		}
	})
}
