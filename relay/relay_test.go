package relay

import (
	"context"
	"reflect"
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/dispatch"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// fakeClock is a clock that the test sets.
type fakeClock struct{ now time.Duration }

func (c *fakeClock) Now() time.Duration { return c.now }

// fakeUpstream records the calls that reach it and answers with what the test sets.
type fakeUpstream struct {
	starts []dispatch.Start
	stops  []dispatch.Order
	status []dispatch.StatusRequest
	target dispatch.Target
	order  dispatch.OrderReply
	reply  dispatch.StatusReply
	err    error
	// waits is set if the upstream does not answer before the caller gives up.
	waits bool
}

func (f *fakeUpstream) reach(ctx context.Context, to dispatch.Target) error {
	f.target = to
	if f.waits {
		<-ctx.Done()
		return ctx.Err()
	}
	return f.err
}

func (f *fakeUpstream) Start(ctx context.Context, to dispatch.Target, s dispatch.Start) (dispatch.OrderReply, error) {
	f.starts = append(f.starts, s)
	return f.order, f.reach(ctx, to)
}

func (f *fakeUpstream) Stop(ctx context.Context, to dispatch.Target, o dispatch.Order) (dispatch.OrderReply, error) {
	f.stops = append(f.stops, o)
	return f.order, f.reach(ctx, to)
}

func (f *fakeUpstream) Status(ctx context.Context, to dispatch.Target, r dispatch.StatusRequest) (dispatch.StatusReply, error) {
	f.status = append(f.status, r)
	return f.reply, f.reach(ctx, to)
}

// link carries calls to a server, or fails as the test sets.
type link struct {
	server *Server
	// sent and err are returned in place of a response; status replaces that of the response.
	sent   bool
	err    error
	status peerv1.ForwardStatus
}

func (l *link) Forward(ctx context.Context, _ string, req *peerv1.ForwardRequest) (*peerv1.ForwardResponse, bool, error) {
	if l.err != nil {
		return nil, l.sent, l.err
	}
	if l.status != 0 {
		return &peerv1.ForwardResponse{Status: l.status}, true, nil
	}
	return l.server.Handle(ctx, req), true, nil
}

// newTestRelay returns a client whose calls reach an upstream through a relay.
func newTestRelay(f *fakeUpstream, clock *fakeClock) (*Client, *link) {
	l := &link{server: NewServer(f, clock, zerolog.Nop())}
	return NewClient(nil, l, "leader"), l
}

var (
	testTarget = dispatch.Target{Upstream: "i-1", Address: "10.0.0.1:80", Via: "relay", Timeout: time.Second}
	testTask   = pipeline.TaskKey{Job: "5c0e7a21d94b36f8", Occurrence: 1, Step: 2, Index: 3}
)

// Whatever a call and its answer hold arrives as it was.
func TestRelayedCalls(t *testing.T) {
	run := pipeline.RunKey{TaskKey: testTask, Number: 4}
	f := &fakeUpstream{order: dispatch.OrderReply{ClockMS: 5}, reply: dispatch.StatusReply{Verdict: dispatch.Accepted, ClockMS: 6, Born: 7,
		Running: []dispatch.RunningTask{{Run: run, Checkpoint: "c", Usage: 8, UsageKnown: true, Percent: 99.5}},
		Ended:   []dispatch.EndedTask{{Number: 9, Run: run, Kind: pipelinev1.EndKind_END_KIND_DONE, Checkpoint: "d"}}}}
	client, _ := newTestRelay(f, &fakeClock{})
	order := dispatch.Order{Task: testTask, Number: 4, Token: 10}
	start := dispatch.Start{Order: order, Payload: "p", DeadlineMS: 11, Checkpoint: "c", Ticket: "t"}
	for v := range verdicts {
		f.order.Verdict = v
		if got, err := client.Start(t.Context(), testTarget, start); err != nil || got != f.order {
			t.Errorf("start: %v, %v", got, err)
		}
		if got, err := client.Stop(t.Context(), testTarget, order); err != nil || got != f.order {
			t.Errorf("stop: %v, %v", got, err)
		}
	}
	query := dispatch.StatusRequest{Token: 12, LastEnd: 13, DeadlineMS: 14, Wait: 15 * time.Millisecond}
	if got, err := client.Status(t.Context(), testTarget, query); err != nil || !reflect.DeepEqual(got, f.reply) {
		t.Errorf("status: %v, %v", got, err)
	}
	if f.starts[0] != start || f.stops[0] != order || f.status[0] != query {
		t.Errorf("the upstream got %v, %v, %v", f.starts[0], f.stops[0], f.status[0])
	}
	if f.target.Upstream != testTarget.Upstream || f.target.Address != testTarget.Address || f.target.Via != "" {
		t.Errorf("the relay called %v", f.target)
	}
}

// A call is said not to have been sent only if it certainly was not.
func TestNotSentIsTrue(t *testing.T) {
	for _, c := range []struct {
		name    string
		set     func(*fakeUpstream, *link)
		notSent bool
		reached bool
	}{
		{"the relay can't be reached", func(_ *fakeUpstream, l *link) { l.err = errors.New("refused") }, true, false},
		{"the relay's answer is lost", func(_ *fakeUpstream, l *link) { l.err, l.sent = errors.New("timeout"), true }, false, false},
		{"the process does not relay", func(_ *fakeUpstream, l *link) { l.status = peerv1.ForwardStatus_FORWARD_STATUS_NOT_LEADER }, true, false},
		{"an older process", func(_ *fakeUpstream, l *link) { l.status = peerv1.ForwardStatus_FORWARD_STATUS_REFUSED }, true, false},
		{"the upstream's answer is lost", func(f *fakeUpstream, _ *link) { f.err = errors.New("reset") }, false, true},
		{"the upstream refuses the connection", func(f *fakeUpstream, _ *link) { f.err = errors.Wrap(dispatch.ErrNotSent, "refused") }, true, true},
		{"nothing listens at the upstream's address", func(f *fakeUpstream, _ *link) { f.err = dispatch.ErrNothingListens }, true, true},
		{"the upstream does not answer in time", func(f *fakeUpstream, _ *link) { f.waits = true }, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeUpstream{order: dispatch.OrderReply{Verdict: dispatch.Accepted}}
			client, l := newTestRelay(f, &fakeClock{})
			c.set(f, l)
			to := testTarget
			to.Timeout = 5 * time.Millisecond
			_, err := client.Start(t.Context(), to, dispatch.Start{})
			if err == nil || errors.Is(err, dispatch.ErrNotSent) != c.notSent || (len(f.starts) > 0) != c.reached {
				t.Errorf("error %v, %d starts arrived", err, len(f.starts))
			}
			if ended := f.err == dispatch.ErrNothingListens; errors.Is(err, dispatch.ErrNothingListens) != ended {
				t.Errorf("error %v; the upstream has ended: %t", err, ended)
			}
		})
	}
}

// What a process reads after it was paused may be seconds old: it is not sent.
func TestPausedRelaySendsWhatIsOld(t *testing.T) {
	f, clock := &fakeUpstream{order: dispatch.OrderReply{Verdict: dispatch.Accepted}}, &fakeClock{now: time.Hour}
	client, l := newTestRelay(f, clock)
	call := func() error {
		_, err := client.Start(t.Context(), testTarget, dispatch.Start{})
		return err
	}
	if err := call(); err != nil {
		t.Fatal(err)
	}
	clock.now += 3 * time.Second
	if err := call(); !errors.Is(err, dispatch.ErrNotSent) {
		t.Errorf("before the pause is noticed: %v", err)
	}
	if paused := l.server.pauses.tick(); paused != 3*time.Second {
		t.Errorf("a pause of %v was noticed", paused)
	}
	if err := call(); !errors.Is(err, dispatch.ErrNotSent) {
		t.Errorf("right after the pause: %v", err)
	}
	clock.now += backlogTime
	l.server.pauses.tick()
	if err := call(); err != nil {
		t.Errorf("later: %v", err)
	}
	if len(f.starts) != 2 {
		t.Errorf("%d starts reached the upstream", len(f.starts))
	}
}

// A message that can't be decoded is an error of its call.
func TestMalformedCallIsAnswered(t *testing.T) {
	s := NewServer(&fakeUpstream{}, &fakeClock{}, zerolog.Nop())
	for _, payload := range [][]byte{nil, {0xff}, []byte("text")} {
		a := s.answer(t.Context(), payload)
		if a.GetError() == "" || !a.GetNotSent() {
			t.Errorf("%q: %v", payload, a)
		}
	}
}

func FuzzCall(f *testing.F) {
	s := NewServer(&fakeUpstream{order: dispatch.OrderReply{Verdict: dispatch.Accepted}}, &fakeClock{}, zerolog.Nop())
	f.Add([]byte{})
	f.Add([]byte{0x22, 0x00})
	f.Add([]byte("\n\x03i-1\x12\x0210\x18\x05\"\x02\x10\x01"))
	f.Fuzz(func(t *testing.T, payload []byte) {
		r := s.Handle(t.Context(), &peerv1.ForwardRequest{Payload: payload})
		if r.GetStatus() != peerv1.ForwardStatus_FORWARD_STATUS_OK || len(r.GetPayload()) == 0 {
			t.Errorf("response %v", r)
		}
	})
}
