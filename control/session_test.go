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
		u := l.newUpstream("u1")
		first := u.start()
		task := &l.submit("job", batch, 1, true).Tasks[0]
		u.want(<-first, "start ")
		u.want(u.poll(), "start ")
		u.list(reportOf(task.Ref().Proto(), running))
		if a := u.want(u.poll(), ""); a.held < DefaultConfig.PollHold {
			t.Errorf("a poll without updates was held for %s", a.held)
		}
		u.list(reportOf(task.Ref().Proto(), succeeded))
		if a := u.poll(); len(a.Acknowledged) != 1 || a.held >= DefaultConfig.PollHold {
			t.Errorf("an end was acknowledged with %v after %s", a.Acknowledged, a.held)
		}
		l.expect(task, lifecycle.TaskEnded, apiv1.OutcomeKind_OUTCOME_KIND_ANSWERED, 1)
	})
}

// A poll that a later one replaces, or that arrives after a later one, is refused.
func TestOlderAndCrossedPollsGetNothing(t *testing.T) {
	inBubble(t, func(l *leader) {
		u := l.newUpstream("u1")
		held := u.send(5)
		time.Sleep(time.Millisecond)
		later := u.send(6)
		time.Sleep(time.Millisecond)
		l.submit("job", batch, 1, true)
		if a := <-held; a.status != isRefused {
			t.Errorf("the replaced poll got %v after %s: %v", a.status, a.held, a.PollResponse)
		}
		u.want(<-later, "start ")
		for _, sequence := range []uint64{6, 5} {
			if a := <-u.send(sequence); a.status != isRefused {
				t.Errorf("poll %d after 6 got %v", sequence, a.status)
			}
		}
		u.incarnation = 7
		if a := u.poll(); !a.AnnounceAgain {
			t.Error("an unknown incarnation was not told to announce itself")
		}
	})
}

// A start that was sent is known not to have arrived once the next poll does not list it; under
// a new leader, once the second poll does not.
func TestCancelledBeforeStart(t *testing.T) {
	cases := map[string]struct {
		newLeader, sendsTerm bool
		polls                int
	}{
		"same leader":                      {false, true, 1},
		"new leader":                       {true, true, 2},
		"new leader, polls without a term": {true, false, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(l *leader) {
				u := l.newUpstream("u1")
				u.sendsTerm = c.sendsTerm
				task := &l.submit("job", batch, 1, false).Tasks[0]
				u.want(u.poll(), "start ")
				if c.newLeader {
					l.changeLeader()
				}
				l.cancel("job")
				for range c.polls {
					l.expect(task, lifecycle.TaskStopping, noOutcome, 1)
					u.want(u.poll(), "")
				}
				l.expect(task, lifecycle.TaskEnded, cancelled, 1)
			})
		})
	}
}

// A task that is not repeatable is placed again if no start for it was ever sent.
func TestNotHandedOutIsSafeToPlaceAgain(t *testing.T) {
	inBubble(t, func(l *leader) {
		l.newUpstream("u1")
		task := &l.submit("job", batch, 1, false).Tasks[0]
		l.expect(task, lifecycle.TaskPlaced, noOutcome, 1)
		l.announce("u1", 2)
		l.expect(task, lifecycle.TaskPlaced, noOutcome, 2)
		l.cancel("job")
		l.expect(task, lifecycle.TaskEnded, cancelled, 2)
	})
}

// A new leader must assume that the lease was renewed up to its election, so that an upstream is
// lost only after a full lease under the new leader.
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
				u := l.newUpstream("u1")
				leaseTime := DefaultConfig.Terms.GrantorExpiry(0)
				task := &l.submit("job", batch, 1, c.repeatable).Tasks[0]
				if c.sent {
					u.want(u.poll(), "start ")
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
				if a := u.poll(); !a.AnnounceAgain {
					t.Error("the lost incarnation was not told to announce itself")
				}
			})
		})
	}
}

func TestLossWithoutLeaderChange(t *testing.T) {
	inBubble(t, func(l *leader) {
		l.newUpstream("u1")
		task := &l.submit("job", batch, 1, false).Tasks[0]
		time.Sleep(DefaultConfig.Terms.GrantorExpiry(0))
		l.expect(task, lifecycle.TaskWaiting, noOutcome, 2)
	})
}

func TestLeavingAndDomainOut(t *testing.T) {
	for name, close := range map[string]func(u *fakeUpstream){
		"leaving":    func(u *fakeUpstream) { u.leaving = true; u.poll() },
		"domain out": func(u *fakeUpstream) { u.domain(apiv1.DomainState_DOMAIN_STATE_OUT) },
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(l *leader) {
				u := l.newUpstream("u1")
				early := &l.submit("early", batch, 1, false).Tasks[0]
				u.want(u.poll(), "start ")
				close(u)
				u.want(u.poll(), "")
				u.want(u.poll(), "")
				l.expect(early, lifecycle.TaskWaiting, noOutcome, 2)
				l.submit("late", batch, 1, true)
				u.want(u.poll(), "")
			})
		})
	}
}

func TestUnknownAttemptIsStopped(t *testing.T) {
	inBubble(t, func(l *leader) {
		u := l.newUpstream("u1")
		ref := &apiv1.TaskRef{JobId: 99, Attempt: 1}
		u.list(reportOf(ref, running))
		if a := u.want(u.poll(), "stop "); a.held >= DefaultConfig.PollHold {
			t.Errorf("the stop was sent only after %s", a.held)
		}
		if a := u.want(u.poll(), "stop "); a.held < DefaultConfig.PollHold {
			t.Errorf("the stop was sent again after %s", a.held)
		}
		u.list(reportOf(ref, stopped))
		if a := u.poll(); len(a.Acknowledged) != 1 {
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
				u := l.newUpstream("u1")
				task := &l.submit("job", batch, 1, c.repeatable).Tasks[0]
				ref := task.Ref().Proto()
				u.poll()
				u.list(reportOf(ref, running)).poll()
				l.expect(task, lifecycle.TaskRunning, noOutcome, 1)
				l.changeLeader()
				u.list().poll()
				l.expect(task, lifecycle.TaskRunning, noOutcome, 1)
				u.start()
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
		u := l.newUpstream("u1")
		task := &l.submit("job", batch, 1, true).Tasks[0]
		u.poll()
		u.list(reportOf(task.Ref().Proto(), running)).poll()
		l.cancel("job")
		if a := u.want(u.poll(), "stop "); a.held >= DefaultConfig.PollHold {
			t.Errorf("the stop was sent only after %s", a.held)
		}
		if a := u.want(u.poll(), "stop "); a.held < DefaultConfig.PollHold {
			t.Errorf("the stop was sent again after %s", a.held)
		}
		u.list(reportOf(task.Ref().Proto(), stopped)).poll()
		l.expect(task, lifecycle.TaskEnded, cancelled, 1)
	})
}

// gangOnTwoUpstreams has the tasks of a gang of two prepared on two upstreams and returns the
// upstreams and their tasks in the same order.
func gangOnTwoUpstreams(l *leader, repeatable bool) (us [2]*fakeUpstream, refs [2]*apiv1.TaskRef) {
	us = [2]*fakeUpstream{l.newUpstream("u1"), l.newUpstream("u2")}
	l.submit("gang", gangJob, 2, repeatable)
	for i, u := range us {
		refs[i] = u.want(u.poll(), "prepare ").Commands[0].Task
	}
	return us, refs
}

func TestGangIsReleasedTogether(t *testing.T) {
	inBubble(t, func(l *leader) {
		us, refs := gangOnTwoUpstreams(l, false)
		us[0].want(us[0].list(reportOf(refs[0], prepared)).poll(), "")
		held := us[0].start()
		us[1].want(us[1].list(reportOf(refs[1], prepared)).poll(), "release ")
		us[0].want(<-held, "release ")
		// The first member runs and ends while the second one's release is late.
		us[0].list(reportOf(refs[0], running)).poll()
		us[0].list(reportOf(refs[0], succeeded)).poll()
		time.Sleep(DefaultConfig.PrepareTimeout / 2)
		late := us[1].poll()
		us[1].want(late, "release ")
		us[1].list(reportOf(refs[1], succeeded)).poll()
		j := l.job(refs[0].JobId)
		l.expect(&j.Tasks[refs[1].Task], lifecycle.TaskEnded, apiv1.OutcomeKind_OUTCOME_KIND_ANSWERED, 1)
	})
}

// A gang with a task that can't be prepared is stopped on every upstream once PrepareTimeout has
// passed, and then tried again.
func TestGangThatCannotStartIsTakenBackWhole(t *testing.T) {
	inBubble(t, func(l *leader) {
		us, refs := gangOnTwoUpstreams(l, false)
		us[0].list(reportOf(refs[0], prepared))
		for range int(DefaultConfig.PrepareTimeout/DefaultConfig.PollHold) - 1 {
			us[0].want(us[0].poll(), "")
			us[1].poll()
		}
		us[0].poll()
		us[1].list(reportOf(refs[1], refused)).poll()
		us[0].want(us[0].poll(), "stop ")
		us[0].list(reportOf(refs[0], refused)).poll()
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
		u := l.newUpstream("u1")
		u.capacity = &apiv1.Resources{}
		u.poll()
		task := &l.submit("job", batch, 1, true).Tasks[0]
		u.want(u.poll(), "")
		u.capacity = &apiv1.Resources{MilliCores: 1000, MemoryBytes: 1 << 30, Slots: 1, Connections: 1}
		u.want(u.poll(), "start ")
		l.expect(task, lifecycle.TaskPlaced, noOutcome, 1)
	})
}

// TestPollAfterSilenceIsAnsweredAtOnce checks that the first poll after a change of leader or a
// silence is not held, since the upstream's lease may be about to end.
func TestPollAfterSilenceIsAnsweredAtOnce(t *testing.T) {
	inBubble(t, func(l *leader) {
		u := l.newUpstream("u1")
		for _, interrupt := range []func(){l.changeLeader, func() { time.Sleep(overduePolls*DefaultConfig.PollHold + time.Second) }} {
			interrupt()
			if a := u.poll(); a.held > 0 {
				t.Errorf("held for %s after an interruption", a.held)
			}
			if a := u.poll(); a.held < DefaultConfig.PollHold {
				t.Errorf("held for %s only", a.held)
			}
		}
	})
}

// TestLargePayloadsAreSpreadOverAnswers starts tasks whose payloads exceed maxAnswerBytes.
func TestLargePayloadsAreSpreadOverAnswers(t *testing.T) {
	inBubble(t, func(l *leader) {
		u := l.newUpstream("u1")
		u.capacity = &apiv1.Resources{MilliCores: 1000, MemoryBytes: 1 << 30, Slots: 6, Connections: 6}
		u.poll()
		l.submit(strings.Repeat("x", 100), batch, 1, true)
		for range 5 {
			resp := &apiv1.SubmitResponse{}
			l.ops++
			l.handle(peerv1.Method_METHOD_SUBMIT, "caller", &apiv1.SubmitRequest{RequestId: fmt.Sprint(l.ops), Queue: "q", FirstSend: true,
				FirstSentUnixMs: time.Now().UnixMilli(), Job: &apiv1.JobSpec{Policy: batch, Tasks: []*apiv1.TaskSpec{{Payload: make([]byte, 1<<20)}}}}, resp)
		}
		time.Sleep(100 * time.Millisecond)
		for range 2 {
			a := u.poll()
			for _, c := range a.Commands {
				u.tasks = append(u.tasks, reportOf(c.Task, running))
			}
			if size := proto.Size(a.PollResponse); size > maxAnswerBytes+1<<10 {
				t.Errorf("an answer has %d bytes", size)
			}
		}
		if len(u.tasks) != 6 {
			t.Errorf("%d of 6 tasks were sent in two answers", len(u.tasks))
		}
	})
}
