package daemon

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1/bulrushwinchv1connect"
	"github.com/bulrushwinch/bulrushwinch/entry"
	"github.com/bulrushwinch/bulrushwinch/ingress"
	"github.com/bulrushwinch/bulrushwinch/retry"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

const (
	// maxRequestBytes bounds one public request. A connection that sends more than twice as much
	// is closed without a response of the public schema.
	maxRequestBytes = 8 << 20
	// readTimeout bounds the arrival of one request, and idleTimeout the life of a connection
	// without one; clients close their idle connections earlier.
	readTimeout = 30 * time.Second
	idleTimeout = 2 * time.Minute
	// drainPoll is the time between checks of the open connections during a drain.
	drainPoll = 20 * time.Millisecond
)

func init() {
	hlog.SetLevel(hlog.LevelFatal)
}

// PublicHandler returns the HTTP handler of the public schema. JSON with unknown fields
// is refused.
func PublicHandler(s *entry.Server) http.Handler {
	opts := []connect.HandlerOption{connect.WithReadMaxBytes(maxRequestBytes), connect.WithCodec(strictJSON{})}
	mux := http.NewServeMux()
	mux.Handle(bulrushwinchv1connect.NewCallerServiceHandler(s, opts...))
	mux.Handle(bulrushwinchv1connect.NewOperatorServiceHandler(s, opts...))
	mux.Handle(bulrushwinchv1connect.NewUpstreamServiceHandler(s, opts...))
	return mux
}

// publicServer serves the public schema and can be drained.
type publicServer struct {
	hertz    *server.Hertz
	listener *trackingListener
	draining atomic.Bool
}

func newPublicServer(d *Daemon, l *trackingListener) *publicServer {
	s := &publicServer{listener: l}
	var inner net.Listener = l
	if d.settings.PublicTLS != nil {
		inner = tls.NewListener(l, d.settings.PublicTLS)
	}
	bounded := d.budget.Listen(inner, "public", ingress.PriorityCallers, d.settings.Ingress.Connections, 2*maxRequestBytes)
	s.hertz = newHertz(bounded, 2*maxRequestBytes, drainTimeout)
	s.hertz.Use(d.containRequest, readBody)
	handler := adaptor.HertzHandler(PublicHandler(d.entry))
	s.hertz.POST("/*path", func(ctx context.Context, rc *app.RequestContext) {
		handler(ctx, rc)
		if s.draining.Load() {
			rc.SetConnectionClose()
		}
	})
	return s
}

// newHertz returns a server for a listener that holds back requests until they are complete.
func newHertz(l *ingress.Listener, maxBody int, exitWait time.Duration) *server.Hertz {
	return server.New(server.WithListener(l), server.WithTransport(standard.NewTransporter), server.WithStreamBody(true),
		server.WithMaxRequestBodySize(maxBody), server.WithDisablePreParseMultipartForm(true), server.WithDisablePrintRoute(true),
		server.WithReadTimeout(readTimeout), server.WithIdleTimeout(idleTimeout), server.WithExitWaitTime(exitWait),
		server.WithOnAccept(contextOfConn))
}

// readBody reads a body into memory of its exact size. It has arrived already, so this doesn't wait.
func readBody(ctx context.Context, rc *app.RequestContext) {
	if n := rc.Request.Header.ContentLength(); n > 0 && rc.Request.IsBodyStream() {
		body := make([]byte, n)
		if _, err := io.ReadFull(rc.Request.BodyStream(), body); err != nil {
			rc.SetConnectionClose()
			rc.AbortWithStatus(http.StatusBadRequest)
			return
		}
		rc.Request.SetBodyRaw(body)
	}
	rc.Next(ctx)
}

// containRequest answers a request whose handler meets an unexpected error with 500: it may have had an
// effect.
func (d *Daemon) containRequest(ctx context.Context, rc *app.RequestContext) {
	defer d.contain.Recover(string(rc.Method())+" "+string(rc.Path()), func() {
		rc.Abort()
		rc.Response.Reset()
		rc.JSON(http.StatusInternalServerError, map[string]string{"error": "unexpected error; the call may have had an effect"})
	})
	rc.Next(ctx)
}

// servePublic serves the public schema until ctx ends, then drains the daemon.
func (d *Daemon) servePublic(ctx, work context.Context, l *trackingListener) error {
	s := newPublicServer(d, l)
	failed := make(chan error, 1)
	go func() { failed <- s.hertz.Run() }()
	select {
	case err := <-failed:
		return err
	case <-work.Done():
	case <-ctx.Done():
	}
	d.drain(s)
	return nil
}

// drain takes the daemon out of service without cutting off a call: the load balancer sees it
// unready, the leadership is transferred, and connections close after their next response. Only
// then the listener closes, and the last open calls may finish.
func (d *Daemon) drain(s *publicServer) {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.DrainDelay+drainTimeout)
	defer cancel()
	d.log.Info().Dur("delay", d.settings.DrainDelay).Msg("draining: calls are still accepted during the delay")
	d.health.drain()
	d.entry.Drain()
	s.draining.Store(true)
	d.transferLeadership(ctx)
	_ = retry.Sleep(ctx, d.settings.DrainDelay)
	_ = s.listener.Close()
	if open := s.shutdown(ctx); open > 0 {
		d.log.Warn().Int("connections", open).Msg("drain timed out; closing the remaining connections")
	}
	d.transferLeadership(ctx)
	d.log.Info().Msg("drained")
}

// shutdown waits until no connection is open or ctx ends, stops the server and returns the number
// of connections that were left.
func (s *publicServer) shutdown(ctx context.Context) int {
	for s.listener.openCount() > 0 && ctx.Err() == nil {
		s.listener.closeIdle()
		_ = retry.Sleep(ctx, drainPoll)
	}
	left := s.listener.openCount()
	stop, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.hertz.Shutdown(stop)
	return left
}

// transferLeadership transfers the leadership to another replica if this process holds it.
func (d *Daemon) transferLeadership(ctx context.Context) {
	r := d.currentReplica()
	if r == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leadershipTransferTimeout)
	defer cancel()
	if err := r.controller.TransferLeadership(ctx); err != nil {
		d.log.Warn().Err(err).Msg("leadership was not transferred; another replica will be elected")
	}
}
