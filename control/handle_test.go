package control

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/contain"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/bulrushwinch/bulrushwinch/state"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
)

// TestPassedOnCallTellsTheTruth passes a call on to a leader and expects NOT_LEADER, which says that it
// had no effect, only if the leader certainly did not get it.
func TestPassedOnCallTellsTheTruth(t *testing.T) {
	ok := peerv1.ForwardStatus_FORWARD_STATUS_OK
	lost := peerv1.ForwardStatus_FORWARD_STATUS_LOST
	notLeader := peerv1.ForwardStatus_FORWARD_STATUS_NOT_LEADER
	for name, test := range map[string]struct {
		resp *peerv1.ForwardResponse
		sent bool
		want peerv1.ForwardStatus
	}{
		"answered":             {&peerv1.ForwardResponse{Status: ok}, true, ok},
		"no answer":            {nil, true, lost},
		"leader not reached":   {nil, false, notLeader},
		"leadership lost":      {&peerv1.ForwardResponse{Status: lost}, true, lost},
		"no longer the leader": {&peerv1.ForwardResponse{Status: notLeader}, true, notLeader},
	} {
		t.Run(name, func(t *testing.T) {
			c := &Controller{}
			c.SetPassOn(func(_ context.Context, address string, req *peerv1.ForwardRequest) (*peerv1.ForwardResponse, bool, error) {
				if address != "leader" || req.GetPassOn() || req.GetProcess() != "p" {
					t.Errorf("passed %v on to %s", req, address)
				}
				if test.resp == nil {
					return nil, test.sent, errors.New("no answer")
				}
				return test.resp, test.sent, nil
			})
			if got := c.passCallOn(t.Context(), "leader", &peerv1.ForwardRequest{PassOn: true, Process: "p"}).GetStatus(); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// failingEngine meets an unexpected error in every call.
type failingEngine struct{ Engine }

func (failingEngine) Lead(uint64)        {}
func (failingEngine) Reset()             {}
func (failingEngine) Tick(time.Duration) {}
func (failingEngine) Flush()             {}
func (failingEngine) Handle(context.Context, *pipelinev1.Call, func(*pipelinev1.Reply, error)) {
	panic("unexpected")
}

// TestUnexpectedErrorEndsItsCallOnly expects a call whose handling fails in an unforeseen way to be
// answered as one that may have had an effect, the reason to be logged, and the leader to go on.
func TestUnexpectedErrorEndsItsCallOnly(t *testing.T) {
	inBubble(t, func(l *leader) {
		var out bytes.Buffer
		l.do(func() {
			l.ctl.SetContain(contain.NewReporter(zerolog.New(&out)))
			l.ctl.SetEngine(failingEngine{})
		})
		resp := l.handle(peerv1.Method_METHOD_PIPELINE, "", &pipelinev1.Call{}, &pipelinev1.Reply{})
		if resp.GetStatus() != peerv1.ForwardStatus_FORWARD_STATUS_REFUSED || resp.GetRefusal().GetKind() != apiv1.OutcomeKind_OUTCOME_KIND_UNDETERMINED {
			t.Errorf("got %v", resp)
		}
		if !strings.Contains(out.String(), `"reason":"unexpected"`) || !strings.Contains(out.String(), "METHOD_PIPELINE") {
			t.Errorf("logged %q", out.String())
		}
		l.submit("job", apiv1.Policy_POLICY_BATCH, 1, true)
	})
}

// TestBrokenInvariantStopsTheProcess expects an unexpected error in what is not the handling of a call
// to pass: state that is not understood must not be worked with.
func TestBrokenInvariantStopsTheProcess(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Error("an entry that can't be decoded was applied")
		}
	}()
	Machine{State: state.New(state.Settings{})}.Apply([]byte("no entry"))
}

// heldEngine keeps submissions waiting and asks whether it may propose them when they are released.
type heldEngine struct {
	failingEngine
	release  func()
	proposed bool
}

func (e *heldEngine) Handle(ctx context.Context, _ *pipelinev1.Call, done func(*pipelinev1.Reply, error)) {
	e.release = func() {
		if e.proposed = MayPropose(ctx); e.proposed {
			done(&pipelinev1.Reply{}, nil)
		}
	}
}

// TestCallThatEndsBeforeItsProposal ends calls at their deadline while the control goroutine is busy, and while a
// submission waits for something. Each must be answered with NOT_LEADER, as nothing was proposed, and never have an
// effect after that. A call that has begun otherwise may have had one. All of them were LOST, which callers got as 504.
func TestCallThatEndsBeforeItsProposal(t *testing.T) {
	lost, notLeader := peerv1.ForwardStatus_FORWARD_STATUS_LOST, peerv1.ForwardStatus_FORWARD_STATUS_NOT_LEADER
	submission := &pipelinev1.Call{Call: &pipelinev1.Call_Job{Job: &pipelinev1.JobCall{Verb: pipelinev1.JobVerb_JOB_VERB_SUBMIT}}}
	config := &pipelinev1.Call{Call: &pipelinev1.Call_PutConfig{PutConfig: &pipelinev1.PutConfigCall{}}}
	for name, c := range map[string]struct {
		call *pipelinev1.Call
		busy time.Duration
		want peerv1.ForwardStatus
		held bool
	}{
		"submission, control goroutine busy": {submission, time.Second, notLeader, false},
		"change, control goroutine busy":     {config, time.Second, notLeader, false},
		"submission, kept waiting":           {submission, 0, notLeader, true},
		"change, begun":                      {config, 0, lost, true},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(l *leader) {
				e := &heldEngine{}
				l.do(func() { l.ctl.SetEngine(e) })
				if c.busy > 0 {
					go l.do(func() { time.Sleep(c.busy) })
					time.Sleep(time.Millisecond)
				}
				ctx, cancel := context.WithTimeout(l.ctx, 500*time.Millisecond)
				defer cancel()
				payload, _ := proto.Marshal(c.call)
				if got := l.ctl.Handle(ctx, &peerv1.ForwardRequest{Method: peerv1.Method_METHOD_PIPELINE, Payload: payload}).GetStatus(); got != c.want {
					t.Errorf("got %v, want %v", got, c.want)
				}
				time.Sleep(2 * time.Second)
				l.do(func() {
					if (e.release != nil) != c.held {
						t.Errorf("the engine got the call: %t", e.release != nil)
					}
					if e.release != nil {
						e.release()
					}
				})
				if e.proposed {
					t.Error("proposed after the call was answered with NOT_LEADER")
				}
			})
		})
	}
}
