package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/bulrushwinch/bulrushwinch/contain"
	"github.com/bulrushwinch/bulrushwinch/internal/relay"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/peer/v1/peerv1connect"
)

const (
	testSecret = "a secret of this test"
	// silentTimeout is the timeout of calls on a silent connection, that is, one that carries no
	// data any more; successTimeout is that of calls that are expected to succeed.
	silentTimeout  = 300 * time.Millisecond
	successTimeout = 30 * time.Second
	// inFlightTime is the time within which data that has passed the relay is read. Data that is read after a call has
	// begun shows that its connection is not silent.
	inFlightTime = 200 * time.Millisecond
)

// echo answers Forward and Calls immediately and holds View until its context ends.
type echo struct {
	peerv1connect.UnimplementedPeerServiceHandler
	held chan struct{}
}

func (e *echo) Forward(context.Context, *connect.Request[peerv1.ForwardRequest]) (*connect.Response[peerv1.ForwardResponse], error) {
	return connect.NewResponse(&peerv1.ForwardResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_OK}), nil
}

func (e *echo) Calls(ctx context.Context, stream *connect.BidiStream[peerv1.CallBatch, peerv1.ReplyBatch]) error {
	return ServeCalls(ctx, stream, func(context.Context, *peerv1.ForwardRequest) *peerv1.ForwardResponse {
		return &peerv1.ForwardResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_OK}
	})
}

func (e *echo) View(ctx context.Context, _ *connect.Request[peerv1.ViewRequest]) (*connect.Response[peerv1.ViewResponse], error) {
	e.held <- struct{}{}
	<-ctx.Done()
	return nil, ctx.Err()
}

func serve(t *testing.T) (*echo, *relay.Relay) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &echo{held: make(chan struct{}, 8)}
	s := NewServer(NewHandler(testSecret, e, contain.Reporter{}))
	s.ReadHeaderTimeout = successTimeout
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return e, relay.New(t, l.Addr().String())
}

// newPatientPool returns a pool that closes no connection because the machine is too busy to open it, or to answer a
// probe, in time.
func newPatientPool() *Pool {
	p := NewPool(testSecret, nil)
	p.SetDialTimeout(successTimeout)
	p.probeTimeout = successTimeout
	return p
}

func forward(t *testing.T, p *Pool, address string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	_, _, err := p.Forward(ctx, address, &peerv1.ForwardRequest{})
	return err
}

// TestSilentConnectionIsReplaced stops all data on a connection that carries an open call. The
// next call can only time out; the one after it must use a new connection, and the open call
// must end with the old one.
func TestSilentConnectionIsReplaced(t *testing.T) {
	e, r := serve(t)
	p := newPatientPool()
	defer p.Close()
	if err := forward(t, p, r.Address(), successTimeout); err != nil {
		t.Fatal(err)
	}
	open := make(chan error, 1)
	go func() {
		_, err := p.Get(r.Address()).View(t.Context(), connect.NewRequest(&peerv1.ViewRequest{}))
		open <- err
	}()
	<-e.held
	r.Silence()
	time.Sleep(inFlightTime)
	if err := forward(t, p, r.Address(), silentTimeout); err == nil {
		t.Fatal("a call on a silent connection got a response")
	}
	if err := forward(t, p, r.Address(), successTimeout); err != nil {
		t.Fatalf("after the timeout: %v", err)
	}
	if r.Opened() != 2 {
		t.Errorf("%d connections were opened", r.Opened())
	}
	if err := <-open; err == nil {
		t.Error("the open call ended without an error")
	}
}

// TestCallOnAQuietSilentConnectionIsNotSent stops all data on a connection that has been quiet, and
// expects the next calls not to be sent on it: they fail as not sent, so that they can be made elsewhere, or are
// answered on a new connection. The calls after them use a new connection.
func TestCallOnAQuietSilentConnectionIsNotSent(t *testing.T) {
	_, r := serve(t)
	p := NewPool(testSecret, nil)
	defer p.Close()
	if err := forward(t, p, r.Address(), successTimeout); err != nil {
		t.Fatal(err)
	}
	r.Silence()
	time.Sleep(quietTime)
	var calls sync.WaitGroup
	for _, timeout := range []time.Duration{probeTimeout / 2, 2 * probeTimeout, successTimeout} {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			_, sent, err := p.Forward(ctx, r.Address(), &peerv1.ForwardRequest{})
			if err != nil && sent || err == nil && r.Opened() < 2 {
				t.Errorf("a call with a timeout of %v: sent %t, %v, connections opened %d", timeout, sent, err, r.Opened())
			}
		})
	}
	calls.Wait()
	if err := forward(t, p, r.Address(), successTimeout); err != nil {
		t.Errorf("after the silence: %v", err)
	}
}

// TestQuietConnectionStaysOpen calls over a connection that is quiet between the calls, and expects each
// to be answered on the same connection.
func TestQuietConnectionStaysOpen(t *testing.T) {
	_, r := serve(t)
	p := newPatientPool()
	defer p.Close()
	for range 3 {
		if err := forward(t, p, r.Address(), successTimeout); err != nil {
			t.Fatal(err)
		}
		time.Sleep(quietTime)
	}
	if r.Opened() != 1 {
		t.Errorf("%d connections were opened", r.Opened())
	}
}

// silentOnProbes answers calls but no probes, as processes of older versions do.
type silentOnProbes struct {
	peerv1connect.UnimplementedPeerServiceHandler
}

func (silentOnProbes) Calls(_ context.Context, stream *connect.BidiStream[peerv1.CallBatch, peerv1.ReplyBatch]) error {
	for {
		batch, err := stream.Receive()
		if err != nil {
			return err
		}
		for _, c := range batch.GetCalls() {
			reply := &peerv1.Reply{Id: c.GetId(), Response: &peerv1.ForwardResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_OK}}
			if err := stream.Send(&peerv1.ReplyBatch{Replies: []*peerv1.Reply{reply}}); err != nil {
				return err
			}
		}
	}
}

// TestProcessThatAnswersNoProbesIsCalled expects calls to an older process to be written at once, however
// quiet the connection is.
func TestProcessThatAnswersNoProbesIsCalled(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(NewHandler(testSecret, silentOnProbes{}, contain.Reporter{}))
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close() }()
	p := NewPool(testSecret, nil)
	defer p.Close()
	for range 2 {
		if err := forward(t, p, l.Addr().String(), successTimeout); err != nil {
			t.Fatal(err)
		}
		time.Sleep(quietTime)
	}
}

// TestSlowCallLeavesLiveConnectionAlone expects the timeout of one call not to close a connection
// that still delivers data to other calls.
func TestSlowCallLeavesLiveConnectionAlone(t *testing.T) {
	e, r := serve(t)
	p := newPatientPool()
	defer p.Close()
	c, began := p.Get(r.Address()), time.Now()
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _, _ = c.View(ctx, connect.NewRequest(&peerv1.ViewRequest{})) }()
	<-e.held
	if err := forward(t, p, r.Address(), successTimeout); err != nil {
		t.Fatal(err)
	}
	cancel()
	c.CloseSilentSince(began)
	if err := forward(t, p, r.Address(), successTimeout); err != nil || r.Opened() != 1 {
		t.Errorf("%v; %d connections were opened", err, r.Opened())
	}
}
