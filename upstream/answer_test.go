package upstream

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
)

type runnerFunc func(context.Context, Task) Result

func (f runnerFunc) Run(ctx context.Context, t Task) Result { return f(ctx, t) }

// TestAnswersThatMayStartNothing gives an agent whose second poll is open one response and
// counts the attempts that it starts. Responses that are late, out of order or of an older term
// must start none.
func TestAnswersThatMayStartNothing(t *testing.T) {
	ref := &apiv1.TaskRef{JobId: 1, Attempt: 1}
	start := []*apiv1.Command{{Kind: apiv1.CommandKind_COMMAND_KIND_START, Task: ref}}
	prepare := []*apiv1.Command{{Kind: apiv1.CommandKind_COMMAND_KIND_PREPARE, Task: ref}}
	cases := map[string]struct {
		answersPoll uint64
		resp        *apiv1.PollResponse
		age         time.Duration
		started     int
		reannounce  bool
	}{
		"in time":              {2, &apiv1.PollResponse{Sequence: 2, Term: 5, Commands: start}, time.Second, 1, false},
		"twice":                {2, &apiv1.PollResponse{Sequence: 2, Term: 5, Commands: append(start, start...)}, 0, 1, false},
		"after the window":     {2, &apiv1.PollResponse{Sequence: 2, Term: 5, Commands: start}, 2100 * time.Millisecond, 0, false},
		"to an older poll":     {1, &apiv1.PollResponse{Sequence: 1, Term: 5, Commands: start}, 0, 0, false},
		"crossed":              {1, &apiv1.PollResponse{Sequence: 2, Term: 5, Commands: start}, 0, 0, false},
		"of an older term":     {2, &apiv1.PollResponse{Sequence: 2, Term: 3, Commands: start}, 0, 0, false},
		"only prepared":        {2, &apiv1.PollResponse{Sequence: 2, Term: 5, Commands: prepare}, 0, 0, false},
		"announce again":       {2, &apiv1.PollResponse{Sequence: 2, Term: 5, AnnounceAgain: true}, 0, 0, true},
		"announce, older poll": {1, &apiv1.PollResponse{Sequence: 1, Term: 5, AnnounceAgain: true}, 0, 0, false},
		"announce, older term": {2, &apiv1.PollResponse{Sequence: 2, Term: 3, AnnounceAgain: true}, 0, 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runs := make(chan Task, 8)
				a := New(Config{Name: "u", Incarnation: 1}, nil, runnerFunc(func(_ context.Context, task Task) Result {
					runs <- task
					return Result{State: apiv1.ReportState_REPORT_STATE_SUCCEEDED}
				}), &testClock{start: time.Now()})
				a.term = 4
				first, firstSent := a.composePoll()
				second, sent := a.composePoll()
				req, at := second, sent
				if c.answersPoll == 1 {
					req, at = first, firstSent
				}
				c.resp.LeaseMs, c.resp.StartWindowMs = 6000, 2000
				time.Sleep(c.age)
				if reannounce := a.applyPollResponse(req, c.resp, at); reannounce != c.reannounce {
					t.Errorf("announce again: %v, want the opposite", reannounce)
				}
				synctest.Wait()
				if len(runs) != c.started {
					t.Errorf("%d runs, want %d", len(runs), c.started)
				}
			})
		})
	}
}

// TestPauseBetweenCheckAndStart lets the lease expire between the acceptance of a start and the
// start itself, as a pause of the process would. The task must not run.
func TestPauseBetweenCheckAndStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Config{Name: "u", Incarnation: 1}, nil, runnerFunc(func(context.Context, Task) Result {
			t.Error("the task ran after its lease had expired")
			return Result{}
		}), &testClock{start: time.Now()})
		req, sent := a.composePoll()
		a.leaseEnd = sent
		a.mu.Lock()
		a.start(a.registerAttempt(&apiv1.Command{Task: &apiv1.TaskRef{JobId: 1, Attempt: 1}}))
		a.mu.Unlock()
		synctest.Wait()
		if next, _ := a.composePoll(); len(next.Tasks) != 1 || next.Tasks[0].State != apiv1.ReportState_REPORT_STATE_REFUSED {
			t.Errorf("after %v the next poll lists %v", req, next.Tasks)
		}
	})
}

// TestPollsCarryTheTerm expects polls to carry the term of the newest answer taken, also after one of
// an older term.
func TestPollsCarryTheTerm(t *testing.T) {
	a := New(Config{Name: "u", Incarnation: 1}, nil, nil, &testClock{start: time.Now()})
	for i, c := range []struct{ answered, want uint64 }{{0, 0}, {5, 5}, {4, 5}, {6, 6}} {
		req, sent := a.composePoll()
		a.applyPollResponse(req, &apiv1.PollResponse{Sequence: req.GetSequence(), Term: c.answered}, sent)
		next, _ := a.composePoll()
		if next.Term == nil || next.GetTerm() != c.want {
			t.Errorf("after answer %d, of term %d, a poll has term %v; want %d", i, c.answered, next.Term, c.want)
		}
	}
}
