package control

import (
	"testing"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
)

// get queries a job and returns its view or the refusal.
func (l *leader) get(key string, ref *apiv1.JobRef) (*apiv1.JobView, *apiv1.Outcome) {
	resp := &apiv1.GetResponse{}
	r := l.handle(peerv1.Method_METHOD_GET, key, &apiv1.GetRequest{Job: ref}, resp)
	return resp.GetJob(), r.GetRefusal()
}

// TestOutcomesStayInReach checks that outcomes stay readable after the queue of their requests
// was deleted, and that an upstream's or an unknown key can't read them.
func TestOutcomesStayInReach(t *testing.T) {
	inBubble(t, func(l *leader) {
		u := l.newUpstream("u1")
		j := l.submit("done", batch, 1, true)
		ref := u.poll().Commands[0].Task
		u.list(reportOf(ref, succeeded)).poll()
		l.expect(&j.Tasks[0], lifecycle.TaskEnded, apiv1.OutcomeKind_OUTCOME_KIND_ANSWERED, 1)
		bad := &apiv1.SubmitRequest{RequestId: "bad", Queue: "q", FirstSend: true, FirstSentUnixMs: time.Now().UnixMilli()}
		l.handle(peerv1.Method_METHOD_SUBMIT, "caller", bad, &apiv1.SubmitResponse{})
		l.change(&apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_DeleteQueue{DeleteQueue: "q"}})
		for _, ref := range []*apiv1.JobRef{{RequestId: "done", Queue: "q"}, {JobId: uint64(j.ID)}} {
			if view, refusal := l.get("caller", ref); view.GetOutcome().GetKind() != apiv1.OutcomeKind_OUTCOME_KIND_ANSWERED {
				t.Errorf("%v: %v, %v", ref, view, refusal)
			}
		}
		if _, refusal := l.get("caller", &apiv1.JobRef{RequestId: "bad", Queue: "q"}); refusal.GetKind() != apiv1.OutcomeKind_OUTCOME_KIND_NOT_RUN {
			t.Errorf("a refused request: %v", refusal)
		}
		for _, key := range []string{"upstream", "nobody"} {
			for _, ref := range []*apiv1.JobRef{{RequestId: "done", Queue: "q"}, {JobId: uint64(j.ID)}} {
				if view, refusal := l.get(key, ref); view != nil || refusal.GetKind() != unknown {
					t.Errorf("key %s, %v: %v, %v", key, ref, view, refusal)
				}
			}
		}
	})
}

// TestWaitIsAnsweredAtTheEnd checks that a Wait call is held until its job ends, its maximum
// waiting time has passed, or the leadership ends.
func TestWaitIsAnsweredAtTheEnd(t *testing.T) {
	inBubble(t, func(l *leader) {
		l.submit("job", batch, 1, true)
		wait := func(ms int64) (*apiv1.WaitResponse, time.Duration, peerv1.ForwardStatus) {
			began, resp := time.Now(), &apiv1.WaitResponse{}
			r := l.handle(peerv1.Method_METHOD_WAIT, "caller", &apiv1.WaitRequest{Job: &apiv1.JobRef{RequestId: "job", Queue: "q"}, MaxWaitMs: ms}, resp)
			return resp, time.Since(began), r.GetStatus()
		}
		if r, held, _ := wait(2000); r.GetEnded() || held < 2*time.Second {
			t.Errorf("ended %v after %s", r.GetEnded(), held)
		}
		time.AfterFunc(time.Second, func() { l.changeLeader() })
		if _, held, status := wait(5000); status != peerv1.ForwardStatus_FORWARD_STATUS_LOST || held > 2*time.Second {
			t.Errorf("%v after %s at the end of a leadership", status, held)
		}
		time.AfterFunc(time.Second, func() { l.cancel("job") })
		if r, held, _ := wait(5000); !r.GetEnded() || held > 2*time.Second {
			t.Errorf("ended %v after %s", r.GetEnded(), held)
		}
	})
}
