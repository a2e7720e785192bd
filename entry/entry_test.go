package entry

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/timeline"
	"github.com/bulrushwinch/bulrushwinch/view"
	"google.golang.org/protobuf/proto"
)

const (
	notRun       = apiv1.OutcomeKind_OUTCOME_KIND_NOT_RUN
	undetermined = apiv1.OutcomeKind_OUTCOME_KIND_UNDETERMINED
	acceptedKind = apiv1.OutcomeKind_OUTCOME_KIND_ACCEPTED
)

// step is the response of a fake replica to one call.
type step func() (*peerv1.ForwardResponse, bool, error)

// scriptedForwarder is a Forwarder that returns the results of steps and repeats the last one.
type scriptedForwarder struct {
	steps []step
	sends atomic.Int32
	mu    sync.Mutex
	seen  []string
}

func (s *scriptedForwarder) Forward(_ context.Context, address string, _ *peerv1.ForwardRequest) (*peerv1.ForwardResponse, bool, error) {
	n := int(s.sends.Add(1)) - 1
	s.mu.Lock()
	s.seen = append(s.seen, address)
	s.mu.Unlock()
	return s.steps[min(n, len(s.steps)-1)]()
}

func reply(o *apiv1.Outcome) step {
	return func() (*peerv1.ForwardResponse, bool, error) {
		payload, _ := proto.Marshal(&apiv1.SubmitResponse{Outcome: o})
		return &peerv1.ForwardResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_OK, Payload: payload}, true, nil
	}
}

func status(st peerv1.ForwardStatus, hint string) step {
	return func() (*peerv1.ForwardResponse, bool, error) {
		return &peerv1.ForwardResponse{Status: st, LeaderAddress: hint}, true, nil
	}
}

func sendFails(sent bool) step {
	return func() (*peerv1.ForwardResponse, bool, error) { return nil, sent, errors.New("broken") }
}

var (
	accepts         = reply(&apiv1.Outcome{Kind: acceptedKind})
	losesLeadership = status(peerv1.ForwardStatus_FORWARD_STATUS_LOST, "")
	notLeader       = status(peerv1.ForwardStatus_FORWARD_STATUS_NOT_LEADER, "")
	refuses         = func(r apiv1.Reason) step { return reply(&apiv1.Outcome{Kind: notRun, Reason: r}) }
)

type fakeClock struct{ now time.Duration }

func (c *fakeClock) Now() time.Duration { return c.now }

func newServer(f Forwarder, opts ...Option) *Server {
	rec := timeline.NewRecorder("entry", timeline.NewClock(time.Now), 64)
	return NewServer("entry", NewRouter(f, []string{"a", "b", "c"}), rec, nil, opts...)
}

func request(first bool) *connect.Request[apiv1.SubmitRequest] {
	req := connect.NewRequest(&apiv1.SubmitRequest{RequestId: "r", Queue: "q", FirstSend: first, FirstSentUnixMs: 1,
		Job: &apiv1.JobSpec{Policy: apiv1.Policy_POLICY_BATCH, Tasks: []*apiv1.TaskSpec{{Copies: 1}}}})
	req.Header().Set("Authorization", "Bearer some-key")
	return req
}

// TestSubmitOutcomes simulates failures between the entry and the leader and expects NOT_RUN
// only where no send can have had an effect.
func TestSubmitOutcomes(t *testing.T) {
	withdrawn, full := apiv1.Reason_REASON_KEY_WITHDRAWN, apiv1.Reason_REASON_TEAM_QUEUE_FULL
	for name, c := range map[string]struct {
		steps []step
		first bool
		want  apiv1.OutcomeKind
	}{
		"accepted":                                 {[]step{accepts}, true, acceptedKind},
		"accepted after a lost leader":             {[]step{losesLeadership, notLeader, accepts}, true, acceptedKind},
		"no leader, first send":                    {[]step{notLeader}, true, notRun},
		"no leader, resend":                        {[]step{notLeader}, false, undetermined},
		"nobody reachable, first send":             {[]step{sendFails(false)}, true, notRun},
		"lost once, then nobody":                   {[]step{losesLeadership, sendFails(false)}, true, undetermined},
		"broken after sending":                     {[]step{sendFails(true), notLeader}, true, undetermined},
		"key withdrawn, first send":                {[]step{refuses(withdrawn)}, true, notRun},
		"key withdrawn, resend":                    {[]step{refuses(withdrawn)}, false, undetermined},
		"key withdrawn after a lost first attempt": {[]step{losesLeadership, refuses(withdrawn)}, true, undetermined},
		"refusal remembered by the log":            {[]step{losesLeadership, refuses(full)}, false, notRun},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				resp, err := newServer(&scriptedForwarder{steps: c.steps}).Submit(t.Context(), request(c.first))
				if err != nil || resp.Msg.GetOutcome().GetKind() != c.want {
					t.Errorf("got %v %v, want %s", resp, err, c.want)
				}
			})
		})
	}
}

// TestMalformedResendIsUndetermined expects NOT_RUN for a malformed first send only, since an
// earlier send of a resend may have been accepted.
func TestMalformedResendIsUndetermined(t *testing.T) {
	for _, first := range []bool{true, false} {
		req := request(first)
		req.Msg.Job.ExpectedMs = -1
		resp, err := newServer(&scriptedForwarder{}).Submit(t.Context(), req)
		if err != nil || (resp.Msg.GetOutcome().GetKind() == notRun) != first {
			t.Errorf("first send %t: %v %v", first, resp, err)
		}
	}
}

// TestElectionCostsNoBudget lets many calls wait during an election, and expects one of them at
// a time to search for the leader and the retry budget to stay full.
func TestElectionCostsNoBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		over := time.Now().Add(3 * time.Second)
		f := &scriptedForwarder{steps: []step{func() (*peerv1.ForwardResponse, bool, error) {
			if time.Now().Before(over) {
				return notLeader()
			}
			return accepts()
		}}}
		router := NewRouter(f, []string{"a", "b", "c"})
		const callers = 500
		done := make(chan error, callers)
		for range callers {
			go func() {
				_, err := router.Call(t.Context(), &peerv1.ForwardRequest{}, true)
				done <- err
			}()
		}
		for range callers {
			if err := <-done; err != nil {
				t.Fatal(err)
			}
		}
		if sends := f.sends.Load(); sends > callers+100 {
			t.Errorf("%d sends for %d calls", sends, callers)
		}
		for range retryReserve {
			if !router.budget.Withdraw() {
				t.Fatal("the election used up retries")
			}
		}
	})
}

// TestRetriesAreBounded expects retries of calls that may have had an effect to stop when the
// budget is used up, and calls that are not idempotent to be sent once.
func TestRetriesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &scriptedForwarder{steps: []step{sendFails(true)}}
		router := NewRouter(f, []string{"a"})
		if _, err := router.Call(t.Context(), &peerv1.ForwardRequest{}, false); !errors.Is(err, ErrUndetermined) || f.sends.Load() != 1 {
			t.Errorf("a call that may not be repeated: %v after %d sends", err, f.sends.Load())
		}
		if _, err := router.Call(t.Context(), &peerv1.ForwardRequest{}, true); !errors.Is(err, ErrUndetermined) {
			t.Error(err)
		}
		if n := f.sends.Load(); n > 1+1+retryReserve {
			t.Errorf("%d sends", n)
		}
	})
}

// TestLeaderlessTimeEndsWithAnAnswer expects the leader to count as lost until one answers; hints
// from replicas do not count.
func TestLeaderlessTimeEndsWithAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &scriptedForwarder{steps: []step{reply(&apiv1.Outcome{}), sendFails(true), status(peerv1.ForwardStatus_FORWARD_STATUS_NOT_LEADER, "a"), sendFails(true), reply(&apiv1.Outcome{})}}
		r := NewRouter(f, []string{"a", "b"})
		call := func(d time.Duration) {
			ctx, cancel := context.WithTimeout(t.Context(), d)
			defer cancel()
			_, _ = r.Call(ctx, &peerv1.ForwardRequest{}, true)
		}
		time.Sleep(time.Second)
		if got := r.LeaderlessFor(); got != time.Second {
			t.Errorf("leaderless for %v after a second without any call", got)
		}
		call(time.Second)
		if got := r.LeaderlessFor(); got != 0 {
			t.Errorf("leaderless for %v after an answer", got)
		}
		call(time.Nanosecond)
		time.Sleep(time.Second)
		if got := r.LeaderlessFor(); got < time.Second {
			t.Errorf("leaderless for %v a second after the last answer was lost", got)
		}
		call(time.Minute)
		if got := r.LeaderlessFor(); got != 0 {
			t.Errorf("leaderless for %v after another answer", got)
		}
	})
}

func TestHintsAreFollowedWithoutPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		f := &scriptedForwarder{steps: []step{status(peerv1.ForwardStatus_FORWARD_STATUS_NOT_LEADER, "leader"), accepts}}
		if _, err := NewRouter(f, []string{"a", "b"}).Call(t.Context(), &peerv1.ForwardRequest{}, true); err != nil {
			t.Fatal(err)
		}
		if f.seen[1] != "leader" || time.Since(start) != 0 {
			t.Errorf("sent to %v in %s", f.seen, time.Since(start))
		}
	})
}

// TestStaleViewStopsEverything lets the view become stale and expects every call to be refused
// with an outcome, without being forwarded.
func TestStaleViewStopsEverything(t *testing.T) {
	clock := &fakeClock{}
	store := view.New(clock, time.Second)
	f := &scriptedForwarder{steps: []step{accepts}}
	s := newServer(f, WithView(store))
	expect := func(first bool, want apiv1.OutcomeKind) {
		t.Helper()
		resp, err := s.Submit(t.Context(), request(first))
		if err != nil || resp.Msg.GetOutcome().GetKind() != want {
			t.Errorf("got %v %v, want %s", resp, err, want)
		}
	}
	expect(true, notRun)
	_ = store.Update(&peerv1.ViewResponse{Revision: 1, Queues: []*apiv1.Queue{{Name: "q", Team: "t", Open: true}}}, 0, view.FromLeader)
	expect(true, acceptedKind)
	clock.now = 2 * time.Second
	expect(true, notRun)
	expect(false, undetermined)
	_, err := s.Poll(t.Context(), connect.NewRequest(&apiv1.PollRequest{}))
	if connect.CodeOf(err) != connect.CodeUnavailable || outcomeOf(t, err).GetReason() != apiv1.Reason_REASON_NO_LEADER {
		t.Errorf("poll: %v", err)
	}
	if f.sends.Load() != 1 {
		t.Errorf("%d calls were forwarded", f.sends.Load())
	}
}

func outcomeOf(t *testing.T, err error) *apiv1.Outcome {
	var e *connect.Error
	if errors.As(err, &e) {
		for _, d := range e.Details() {
			if m, err := d.Value(); err == nil {
				if o, ok := m.(*apiv1.Outcome); ok {
					return o
				}
			}
		}
	}
	t.Errorf("%v carries no outcome", err)
	return nil
}

// TestSheddingByClass fills the limiter with batch submits and expects the other classes to be
// admitted up to their own percentage.
func TestSheddingByClass(t *testing.T) {
	l := &callLimiter{maxCalls: 100, maxHeld: 10}
	fill := func(c class) (n int) {
		for l.acquire(c) {
			n++
		}
		return n
	}
	for _, c := range []struct {
		class class
		want  int
	}{{classBatch, 70}, {classUrgent, 15}, {classCaller, 7}, {classOperator, 8}, {classBatch, 0}, {classWait, 7}, {classPoll, 3}} {
		if n := fill(c.class); n != c.want {
			t.Errorf("%s: %d more, want %d", className[c.class], n, c.want)
		}
	}
	l.release(classOperator)
	if !l.acquire(classOperator) || l.acquire(classUrgent) {
		t.Error("after one operator call ended, an operator call must be admitted and an urgent submit refused")
	}
}

// TestTeamBounds expects the limits of one team not to affect another.
func TestTeamBounds(t *testing.T) {
	l := &teamLimiter{limits: Limits{TeamRate: 0.001, TeamBurst: 4, TeamCalls: 3, TeamBytes: 100}, teams: map[string]*teamUsage{}}
	for i, c := range []struct {
		team  string
		bytes int64
		full  string
	}{
		{"a", 60, ""}, {"a", 60, "bytes in flight"}, {"a", 40, ""}, {"b", 400, ""}, {"b", 1, "bytes in flight"},
		{"a", 0, ""}, {"a", 0, "calls open at once"},
	} {
		if full := l.acquire(c.team, c.bytes); full != c.full {
			t.Errorf("step %d: %q", i, full)
		}
	}
	l.release("a", 60)
	l.release("a", 40)
	if full := l.acquire("a", 50); full != "" {
		t.Errorf("after a release: %q", full)
	}
	if full := l.acquire("a", 0); full != "submits a second" {
		t.Errorf("after a burst: %q", full)
	}
}
