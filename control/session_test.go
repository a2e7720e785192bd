package control

import (
	"fmt"
	"strings"
	"testing"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"google.golang.org/protobuf/proto"
)

const (
	batch     = apiv1.Policy_POLICY_BATCH
	gangJob   = apiv1.Policy_POLICY_GANG
	prepared  = apiv1.ReportState_REPORT_STATE_PREPARED
	running   = apiv1.ReportState_REPORT_STATE_RUNNING
	succeeded = apiv1.ReportState_REPORT_STATE_SUCCEEDED
	stopped   = apiv1.ReportState_REPORT_STATE_STOPPED
	refused   = apiv1.ReportState_REPORT_STATE_REFUSED
	noOutcome = apiv1.OutcomeKind_OUTCOME_KIND_UNSPECIFIED
	cancelled = apiv1.OutcomeKind_OUTCOME_KIND_CANCELLED
	unknown   = apiv1.OutcomeKind_OUTCOME_KIND_UNDETERMINED
	isRefused = peerv1.ForwardStatus_FORWARD_STATUS_REFUSED
)

func TestStartIsSentAgainUntilListed(t *testing.T) {
	inBubble(t, func(l *leader) {
		w := l.worker("u1")
		first := w.start()
		task := &l.submit("job", batch, 1, true).Tasks[0]
		w.want(<-first, "start ")
		w.want(w.poll(), "start ")
		w.list(reportOf(task.Ref().Proto(), running))
		if a := w.want(w.poll(), ""); a.held < DefaultConfig.PollHold {
			t.Errorf("a poll without updates was held for %s", a.held)
		}
		w.list(reportOf(task.Ref().Proto(), succeeded))
		if a := w.poll(); len(a.Acknowledged) != 1 || a.held >= DefaultConfig.PollHold {
			t.Errorf("an end was acknowledged with %v after %s", a.Acknowledged, a.held)
		}
		l.expect(task, lifecycle.TaskEnded, apiv1.OutcomeKind_OUTCOME_KIND_ANSWERED, 1)
	})
}

func TestOlderAndCrossedPollsGetNothing(t *testing.T) {
	inBubble(t, func(l *leader) {
		w := l.worker("u1")
		held := w.send(5)
		time.Sleep(time.Millisecond)
		later := w.send(6)
		time.Sleep(time.Millisecond)
		l.submit("job", batch, 1, true)
		if a := <-held; a.status != isRefused {
			t.Errorf("the replaced poll got %v after %s: %v", a.status, a.held, a.PollResponse)
		}
		w.want(<-later, "start ")
		for _, sequence := range []uint64{6, 5} {
			if a := <-w.send(sequence); a.status != isRefused {
				t.Errorf("poll %d after 6 got %v", sequence, a.status)
			}
		}
		w.incarnation = 7
		if a := w.poll(); !a.AnnounceAgain {
			t.Error("an unknown incarnation was not told to announce itself")
		}
	})
}

// A start that was sent is known not to have arrived once the next poll does not list it; under
// a new leader, once the second poll does not.
func TestCancelledBeforeStart(t *testing.T) {
	cases := map[string]struct {
		newLeader bool
		polls     int
	}{
		"same leader": {false, 1},
		"new leader":  {true, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(l *leader) {
				w := l.worker("u1")
				task := &l.submit("job", batch, 1, false).Tasks[0]
				w.want(w.poll(), "start ")
				if c.newLeader {
					l.changeLeader()
				}
				l.cancel("job")
				for range c.polls {
					l.expect(task, lifecycle.TaskStopping, noOutcome, 1)
					w.want(w.poll(), "")
				}
				l.expect(task, lifecycle.TaskEnded, cancelled, 1)
			})
		})
	}
}

func TestNotHandedOutIsSafeToPlaceAgain(t *testing.T) {
	inBubble(t, func(l *leader) {
		l.worker("u1")
		task := &l.submit("job", batch, 1, false).Tasks[0]
		l.expect(task, lifecycle.TaskPlaced, noOutcome, 1)
		l.announce("u1", 2)
		l.expect(task, lifecycle.TaskPlaced, noOutcome, 2)
		l.cancel("job")
		l.expect(task, lifecycle.TaskEnded, cancelled, 2)
	})
}

func TestLeaseExpiry(t *testing.T) {
	for name, c := range map[string]struct {
		repeatable, sent bool
		outcome          apiv1.OutcomeKind
		attempt          uint32
	}{
		"repeatable":             {true, true, noOutcome, 2},
		"once, handed out":       {false, true, unknown, 1},
		"once, never handed out": {false, false, noOutcome, 2},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(l *leader) {
				w := l.worker("u1")
				leaseTime := DefaultConfig.Terms.GrantorEnd(0)
				task := &l.submit("job", batch, 1, c.repeatable).Tasks[0]
				if c.sent {
					w.want(w.poll(), "start ")
				}
				time.Sleep(leaseTime - time.Second)
				l.expect(task, lifecycle.TaskPlaced, noOutcome, 1)
				l.changeLeader()
				time.Sleep(leaseTime - time.Second)
				l.expect(task, lifecycle.TaskPlaced, noOutcome, 1)
				time.Sleep(time.Second)
				if !c.sent {
					// The new leader can't know what the old one sent.
					c.outcome, c.attempt = unknown, 1
				}
				want := lifecycle.TaskWaiting
				if c.outcome == unknown {
					want = lifecycle.TaskEnded
				}
				l.expect(task, want, c.outcome, c.attempt)
				if a := w.poll(); !a.AnnounceAgain {
					t.Error("the lost incarnation was not told to announce itself")
				}
			})
		})
	}
}

func TestLossWithoutLeaderChange(t *testing.T) {
	inBubble(t, func(l *leader) {
		l.worker("u1")
		task := &l.submit("job", batch, 1, false).Tasks[0]
		time.Sleep(DefaultConfig.Terms.GrantorEnd(0))
		l.expect(task, lifecycle.TaskWaiting, noOutcome, 2)
	})
}

func TestLeavingAndDomainOut(t *testing.T) {
	for name, close := range map[string]func(w *worker){
		"leaving":    func(w *worker) { w.leaving = true; w.poll() },
		"domain out": func(w *worker) { w.domain(apiv1.DomainState_DOMAIN_STATE_OUT) },
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(l *leader) {
				w := l.worker("u1")
				early := &l.submit("early", batch, 1, false).Tasks[0]
				w.want(w.poll(), "start ")
				close(w)
				w.want(w.poll(), "")
				w.want(w.poll(), "")
				l.expect(early, lifecycle.TaskWaiting, noOutcome, 2)
				l.submit("late", batch, 1, true)
				w.want(w.poll(), "")
			})
		})
	}
}

func TestUnknownAttemptIsStopped(t *testing.T) {
	inBubble(t, func(l *leader) {
		w := l.worker("u1")
		ref := &apiv1.TaskRef{JobId: 99, Attempt: 1}
		w.list(reportOf(ref, running))
		if a := w.want(w.poll(), "stop "); a.held >= DefaultConfig.PollHold {
			t.Errorf("the stop was sent only after %s", a.held)
		}
		if a := w.want(w.poll(), "stop "); a.held < DefaultConfig.PollHold {
			t.Errorf("the stop was sent again after %s", a.held)
		}
		w.list(reportOf(ref, stopped))
		if a := w.poll(); len(a.Acknowledged) != 1 {
			t.Errorf("its end was answered with %v", a)
		}
	})
}

func TestRunningAttemptThatVanishes(t *testing.T) {
	for name, c := range map[string]struct {
		repeatable bool
		outcome    apiv1.OutcomeKind
	}{"repeatable": {true, noOutcome}, "once": {false, unknown}} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(l *leader) {
				w := l.worker("u1")
				task := &l.submit("job", batch, 1, c.repeatable).Tasks[0]
				ref := task.Ref().Proto()
				w.poll()
				w.list(reportOf(ref, running)).poll()
				l.expect(task, lifecycle.TaskRunning, noOutcome, 1)
				l.changeLeader()
				w.list().poll()
				l.expect(task, lifecycle.TaskRunning, noOutcome, 1)
				w.start()
				time.Sleep(10 * time.Millisecond)
				l.do(func() {
					if task.Outcome.GetKind() != c.outcome || c.repeatable && task.Attempt != 2 {
						t.Errorf("attempt %d, outcome %v", task.Attempt, task.Outcome)
					}
				})
			})
		})
	}
}

func TestStopIsDeliveredWithoutABusyLoop(t *testing.T) {
	inBubble(t, func(l *leader) {
		w := l.worker("u1")
		task := &l.submit("job", batch, 1, true).Tasks[0]
		w.poll()
		w.list(reportOf(task.Ref().Proto(), running)).poll()
		l.cancel("job")
		if a := w.want(w.poll(), "stop "); a.held >= DefaultConfig.PollHold {
			t.Errorf("the stop was sent only after %s", a.held)
		}
		if a := w.want(w.poll(), "stop "); a.held < DefaultConfig.PollHold {
			t.Errorf("the stop was sent again after %s", a.held)
		}
		w.list(reportOf(task.Ref().Proto(), stopped)).poll()
		l.expect(task, lifecycle.TaskEnded, cancelled, 1)
	})
}

// twoWorkers has a gang of two tasks sent to two upstreams and returns the tasks in the order of
// the upstreams.
func twoWorkers(l *leader, repeatable bool) (ws [2]*worker, refs [2]*apiv1.TaskRef) {
	ws = [2]*worker{l.worker("u1"), l.worker("u2")}
	l.submit("gang", gangJob, 2, repeatable)
	for i, w := range ws {
		refs[i] = w.want(w.poll(), "prepare ").Commands[0].Task
	}
	return ws, refs
}

func TestGangIsReleasedTogether(t *testing.T) {
	inBubble(t, func(l *leader) {
		ws, refs := twoWorkers(l, false)
		ws[0].want(ws[0].list(reportOf(refs[0], prepared)).poll(), "")
		held := ws[0].start()
		ws[1].want(ws[1].list(reportOf(refs[1], prepared)).poll(), "release ")
		ws[0].want(<-held, "release ")
		// The first member runs and ends while the second one's release is late.
		ws[0].list(reportOf(refs[0], running)).poll()
		ws[0].list(reportOf(refs[0], succeeded)).poll()
		time.Sleep(DefaultConfig.PrepareTimeout / 2)
		late := ws[1].poll()
		ws[1].want(late, "release ")
		ws[1].list(reportOf(refs[1], succeeded)).poll()
		j := l.job(refs[0].JobId)
		l.expect(&j.Tasks[refs[1].Task], lifecycle.TaskEnded, apiv1.OutcomeKind_OUTCOME_KIND_ANSWERED, 1)
	})
}

func TestGangThatCannotStartIsTakenBackWhole(t *testing.T) {
	inBubble(t, func(l *leader) {
		ws, refs := twoWorkers(l, false)
		ws[0].list(reportOf(refs[0], prepared))
		for range int(DefaultConfig.PrepareTimeout/DefaultConfig.PollHold) - 1 {
			ws[0].want(ws[0].poll(), "")
			ws[1].poll()
		}
		ws[0].poll()
		ws[1].list(reportOf(refs[1], refused)).poll()
		ws[0].want(ws[0].poll(), "stop ")
		ws[0].list(reportOf(refs[0], refused)).poll()
		j := l.job(refs[0].JobId)
		l.do(func() {
			for i := range j.Tasks {
				if j.Tasks[i].Attempt != 2 || j.Tasks[i].Outcome != nil {
					t.Errorf("task %d: attempt %d, outcome %v", i, j.Tasks[i].Attempt, j.Tasks[i].Outcome)
				}
			}
		})
	})
}

func TestStartDeadline(t *testing.T) {
	inBubble(t, func(l *leader) {
		resp := &apiv1.SubmitResponse{}
		l.handle(peerv1.Method_METHOD_SUBMIT, "caller", &apiv1.SubmitRequest{RequestId: "urgent", Queue: "q", FirstSend: true,
			FirstSentUnixMs: time.Now().UnixMilli(), StartWithinMs: 2000,
			Job: &apiv1.JobSpec{Policy: batch, Tasks: []*apiv1.TaskSpec{{}}}}, resp)
		l.changeLeader()
		task := &l.job(resp.GetJobId()).Tasks[0]
		time.Sleep(1500 * time.Millisecond)
		l.expect(task, lifecycle.TaskWaiting, noOutcome, 1)
		time.Sleep(500 * time.Millisecond)
		l.expect(task, lifecycle.TaskEnded, apiv1.OutcomeKind_OUTCOME_KIND_NOT_RUN, 1)
	})
}

func TestCapacityChangesByPoll(t *testing.T) {
	inBubble(t, func(l *leader) {
		w := l.worker("u1")
		w.capacity = &apiv1.Resources{}
		w.poll()
		task := &l.submit("job", batch, 1, true).Tasks[0]
		w.want(w.poll(), "")
		w.capacity = &apiv1.Resources{MilliCores: 1000, MemoryBytes: 1 << 30, Slots: 1, Connections: 1}
		w.want(w.poll(), "start ")
		l.expect(task, lifecycle.TaskPlaced, noOutcome, 1)
	})
}

// TestPollAfterSilenceIsAnsweredAtOnce checks that the first poll after a change of leader or a
// silence is not held, since the upstream's lease may be about to end.
func TestPollAfterSilenceIsAnsweredAtOnce(t *testing.T) {
	inBubble(t, func(l *leader) {
		w := l.worker("u1")
		for _, interrupt := range []func(){l.changeLeader, func() { time.Sleep(overduePolls*DefaultConfig.PollHold + time.Second) }} {
			interrupt()
			if a := w.poll(); a.held > 0 {
				t.Errorf("held for %s after an interruption", a.held)
			}
			if a := w.poll(); a.held < DefaultConfig.PollHold {
				t.Errorf("held for %s only", a.held)
			}
		}
	})
}

// TestLargePayloadsAreSpreadOverAnswers starts tasks whose payloads exceed maxAnswerBytes.
func TestLargePayloadsAreSpreadOverAnswers(t *testing.T) {
	inBubble(t, func(l *leader) {
		w := l.worker("u1")
		w.capacity = &apiv1.Resources{MilliCores: 1000, MemoryBytes: 1 << 30, Slots: 6, Connections: 6}
		w.poll()
		l.submit(strings.Repeat("x", 100), batch, 1, true)
		for range 5 {
			resp := &apiv1.SubmitResponse{}
			l.ops++
			l.handle(peerv1.Method_METHOD_SUBMIT, "caller", &apiv1.SubmitRequest{RequestId: fmt.Sprint(l.ops), Queue: "q", FirstSend: true,
				FirstSentUnixMs: time.Now().UnixMilli(), Job: &apiv1.JobSpec{Policy: batch, Tasks: []*apiv1.TaskSpec{{Payload: make([]byte, 1<<20)}}}}, resp)
		}
		time.Sleep(100 * time.Millisecond)
		for range 2 {
			a := w.poll()
			for _, c := range a.Commands {
				w.tasks = append(w.tasks, reportOf(c.Task, running))
			}
			if size := proto.Size(a.PollResponse); size > maxAnswerBytes+1<<10 {
				t.Errorf("an answer has %d bytes", size)
			}
		}
		if len(w.tasks) != 6 {
			t.Errorf("%d of 6 tasks were sent in two answers", len(w.tasks))
		}
	})
}
