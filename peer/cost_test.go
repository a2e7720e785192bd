package peer_test

import (
	"context"
	"net"
	"syscall"
	"testing"

	"connectrpc.com/connect"
	"github.com/bulrushwinch/bulrushwinch/peer"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/peer/v1/peerv1connect"
)

// echo answers forwarded calls with their payload.
type echo struct {
	peerv1connect.UnimplementedPeerServiceHandler
}

func (echo) Forward(_ context.Context, req *connect.Request[peerv1.ForwardRequest]) (*connect.Response[peerv1.ForwardResponse], error) {
	return connect.NewResponse(&peerv1.ForwardResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_OK, Payload: req.Msg.GetPayload()}), nil
}

// BenchmarkForward measures the processor time of carrying one call from an entry to the
// leader and its answer back, both ends together.
func BenchmarkForward(b *testing.B) {
	const secret, pollBytes = "a-secret-for-the-benchmark", 500
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := peer.NewServer(peer.NewHandler(secret, echo{}))
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	pool := peer.NewPool(secret, nil)
	defer pool.Close()
	req := &peerv1.ForwardRequest{Method: peerv1.Method_METHOD_POLL, Payload: make([]byte, pollBytes),
		KeySha256: make([]byte, 32), Process: "entry-1", WallNs: 1}
	cpu := processorTime(b)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, _, err := pool.Forward(context.Background(), l.Addr().String(), req); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64(processorTime(b)-cpu)/float64(b.N)/1000, "cpu-us/call")
}

// processorTime returns the processor time of this process in nanoseconds.
func processorTime(b *testing.B) int64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return syscall.TimevalToNsec(u.Utime) + syscall.TimevalToNsec(u.Stime)
}
