package client_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"

	"connectrpc.com/connect"
	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1/bulrushwinchv1connect"
	"github.com/bulrushwinch/bulrushwinch/client"
)

// countingListener counts the bytes that its connections carry in both directions.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConn{c, &l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// emptyPollServer answers polls with a renewed lease and no commands.
type emptyPollServer struct {
	bulrushwinchv1connect.UnimplementedUpstreamServiceHandler
}

func (emptyPollServer) Poll(_ context.Context, req *connect.Request[apiv1.PollRequest]) (*connect.Response[apiv1.PollResponse], error) {
	return connect.NewResponse(&apiv1.PollResponse{Sequence: req.Msg.GetSequence(), Term: 7, LeaseMs: 6000, StartWindowMs: 2000}), nil
}

// BenchmarkNodePoll measures the cost of one poll on the VM of an upstream: bytes on the wire
// in both directions without TCP/IP headers, and CPU time including the server's.
func BenchmarkNodePoll(b *testing.B) {
	for _, tasks := range []int{0, 16} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) { benchmarkNodePoll(b, tasks) })
	}
}

func benchmarkNodePoll(b *testing.B, tasks int) {
	mux := http.NewServeMux()
	mux.Handle(bulrushwinchv1connect.NewUpstreamServiceHandler(emptyPollServer{}))
	server := httptest.NewUnstartedServer(mux)
	counter := &countingListener{Listener: server.Listener}
	server.Listener = counter
	server.Start()
	defer server.Close()
	c := client.New(client.Config{Addresses: []string{counter.Addr().String()}, Key: "0123456789abcdef0123456789abcdef"})
	defer c.Close()
	req := &apiv1.PollRequest{Upstream: "worker-00042", Incarnation: 1_796_000_000_000_000_000}
	for i := range tasks {
		req.Tasks = append(req.Tasks, &apiv1.TaskReport{State: apiv1.ReportState_REPORT_STATE_RUNNING,
			Task:  &apiv1.TaskRef{JobId: uint64(100_000 + i), Task: int32(i), Attempt: 1},
			Usage: &apiv1.Resources{MilliCores: 1500, MemoryBytes: 3 << 30}})
	}
	cpu := processorTime(b)
	counter.bytes.Store(0)
	polls := 0
	for b.Loop() {
		polls++
		req.Sequence++
		if _, err := c.Poll(b.Context(), req); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(counter.bytes.Load())/float64(polls), "wire-B/poll")
	b.ReportMetric(float64(processorTime(b)-cpu)/float64(polls)/1000, "cpu-us/poll")
}

// processorTime returns the CPU time used by this process, in nanoseconds.
func processorTime(b *testing.B) int64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return syscall.TimevalToNsec(u.Utime) + syscall.TimevalToNsec(u.Stime)
}
