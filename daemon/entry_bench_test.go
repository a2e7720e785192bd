package daemon

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1/bulrushwinchv1connect"
	"github.com/bulrushwinch/bulrushwinch/entry"
	"github.com/bulrushwinch/bulrushwinch/ingress"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/timeline"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
)

// acceptAll answers every forwarded call at once, so that only the entry is measured.
type acceptAll struct{ payload []byte }

func (a acceptAll) Forward(context.Context, string, *peerv1.ForwardRequest) (*peerv1.ForwardResponse, bool, error) {
	return &peerv1.ForwardResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_OK, Payload: a.payload}, true, nil
}

// BenchmarkSubmit compares an entry with a bare hertz handler that answers the same requests with
// a fixed body, alone and behind the bounds on requests, over loopback connections that are kept alive.
func BenchmarkSubmit(b *testing.B) {
	payload, _ := proto.Marshal(&apiv1.SubmitResponse{Outcome: &apiv1.Outcome{Kind: apiv1.OutcomeKind_OUTCOME_KIND_ACCEPTED}, JobId: 1})
	limits := entry.DefaultLimits
	limits.TeamRate, limits.TeamBurst = 1e9, 1e9
	events := timeline.NewRecorder("entry", timeline.NewClock(time.Now), eventCapacity)
	api := entry.NewServer("entry", entry.NewRouter(acceptAll{payload}, []string{"leader"}), events, nil, entry.WithLimits(limits))
	bare := func(_ context.Context, rc *app.RequestContext) {
		rc.Data(http.StatusOK, "application/proto", payload)
	}
	for name, handler := range map[string]app.HandlerFunc{"bare": bare, "bounded": bare, "entry": adaptor.HertzHandler(PublicHandler(api))} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		h := server.New(server.WithListener(l), server.WithTransport(standard.NewTransporter), server.WithDisablePrintRoute(true))
		if name == "bounded" {
			budget := ingress.NewBudget(ingress.DefaultLimits, 32<<20, zerolog.Nop())
			h = newHertz(budget.Listen(newTrackingListener(l), "bench", ingress.PriorityCallers, 1024, maxRequestBytes), maxRequestBytes, time.Second)
			h.Use(readBody)
		}
		h.POST("/*path", handler)
		go func() { _ = h.Run() }()
		transport := &http.Transport{MaxIdleConnsPerHost: 64}
		cl := bulrushwinchv1connect.NewCallerServiceClient(&http.Client{Transport: transport}, "http://"+l.Addr().String())
		b.Run(name, func(b *testing.B) {
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					req := jobOf("bench", "a")
					req.FirstSend, req.FirstSentUnixMs = true, 1
					if _, err := cl.Submit(b.Context(), connect.NewRequest(req)); err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
		})
		transport.CloseIdleConnections()
		_ = l.Close()
	}
}
