package peer

import (
	"context"
	"crypto/tls"
	"net"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/bulrushwinch/bulrushwinch/contain"
	"github.com/bulrushwinch/bulrushwinch/internal/relay"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/peer/v1/peerv1connect"
)

// expectUnsent makes a call and expects it to fail as one that was certainly not sent.
func expectUnsent(t *testing.T, p *Pool, address string, timeout time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	if _, sent, err := p.Forward(ctx, address, &peerv1.ForwardRequest{}); err == nil || sent {
		t.Errorf("sent %t, %v", sent, err)
	}
}

// TestCallEndsWhileTheConnectionIsOpened makes calls to a process that accepts connections and completes no TLS
// handshake, as a paused one does, and expects them to count as not sent, whether their own deadline or that of the
// handshake ends them. They counted as sent from the moment at which the stream began, and got 504.
func TestCallEndsWhileTheConnectionIsOpened(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	for name, timeout := range map[string]time.Duration{"the deadline of the call": silentTimeout / 2, "the deadline of the handshake": successTimeout} {
		t.Run(name, func(t *testing.T) {
			p := NewPool(testSecret, &tls.Config{InsecureSkipVerify: true}) //nolint:gosec // Nothing is ever sent.
			defer p.Close()
			p.SetDialTimeout(silentTimeout)
			expectUnsent(t, p, l.Addr().String(), timeout)
		})
	}
}

// TestCallOnANewSilentConnectionIsNotSent opens a connection that never carries any data, to a process that answered
// probes before, and expects calls on it to count as not sent. A process that stays silent is called without a probe
// after 3 such connections, as it may be of a version that answers none.
func TestCallOnANewSilentConnectionIsNotSent(t *testing.T) {
	_, r := serve(t)
	p := NewPool(testSecret, nil)
	defer p.Close()
	if err := forward(t, p, r.Address(), successTimeout); err != nil {
		t.Fatal(err)
	}
	r.SetMode(relay.DropAll)
	r.Reset()
	<-p.Get(r.Address()).calls().ctx.Done()
	unsent := 0
	for sent := false; !sent && unsent <= 2*maxUnansweredOpenings; {
		ctx, cancel := context.WithTimeout(t.Context(), 2*probeTimeout)
		var err error
		if _, sent, err = p.Forward(ctx, r.Address(), &peerv1.ForwardRequest{}); err == nil {
			t.Fatal("a call on a silent connection got a response")
		}
		cancel()
		if !sent {
			unsent++
		}
	}
	if unsent < maxUnansweredOpenings-1 || unsent > 2*maxUnansweredOpenings {
		t.Errorf("%d calls were not sent", unsent)
	}
}

// TestCallAfterAShortSilenceIsNotSent stops all data on a connection that delivered data shortly before, as a loss of
// power does, and expects a call with an effect to count as not sent.
func TestCallAfterAShortSilenceIsNotSent(t *testing.T) {
	_, r := serve(t)
	p := NewPool(testSecret, nil)
	defer p.Close()
	if err := forward(t, p, r.Address(), successTimeout); err != nil {
		t.Fatal(err)
	}
	r.Silence()
	time.Sleep(quietTimeNoEffect / 3)
	expectUnsent(t, p, r.Address(), successTimeout)
}

// lateService answers calls only when their handler's time is over.
type lateService struct {
	peerv1connect.UnimplementedPeerServiceHandler
}

func (lateService) Calls(ctx context.Context, stream *connect.BidiStream[peerv1.CallBatch, peerv1.ReplyBatch]) error {
	return ServeCalls(ctx, stream, func(ctx context.Context, _ *peerv1.ForwardRequest) *peerv1.ForwardResponse {
		<-ctx.Done()
		return &peerv1.ForwardResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_NOT_LEADER}
	})
}

// TestResponseAtTheDeadlineArrives expects the response of a handler whose time is over to reach the sender before the
// call's own deadline: it tells whether anything was proposed.
func TestResponseAtTheDeadlineArrives(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(NewHandler(testSecret, lateService{}, contain.Reporter{}))
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close() }()
	p := NewPool(testSecret, nil)
	defer p.Close()
	var got error
	for range 5 {
		// A busy machine may take longer than the margin.
		if got = forward(t, p, l.Addr().String(), silentTimeout); got == nil {
			return
		}
	}
	t.Error(got)
}
