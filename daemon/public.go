package daemon

import (
	"context"
	"net"
	"net/http"

	"github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1/bulrushwinchv1connect"
	"github.com/bulrushwinch/bulrushwinch/entry"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"connectrpc.com/connect"
)

// maxRequestBytes bounds one public request.
const maxRequestBytes = 8 << 20

func init() {
	hlog.SetLevel(hlog.LevelError)
}

// publicHandler returns the HTTP handler of the public schema.
func publicHandler(s *entry.Server) http.Handler {
	limit := connect.WithReadMaxBytes(maxRequestBytes)
	mux := http.NewServeMux()
	mux.Handle(bulrushwinchv1connect.NewCallerServiceHandler(s, limit))
	mux.Handle(bulrushwinchv1connect.NewOperatorServiceHandler(s, limit))
	mux.Handle(bulrushwinchv1connect.NewUpstreamServiceHandler(s, limit))
	return mux
}

// servePublic serves the public schema until ctx ends, then lets open calls finish.
func (d *Daemon) servePublic(ctx, work context.Context, l net.Listener) error {
	api := entry.NewServer(d.settings.Name, d.router, d.events, d.gatherTimeline)
	h := server.New(server.WithListener(l), server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(maxRequestBytes), server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(drainTimeout))
	handler := adaptor.HertzHandler(publicHandler(api))
	h.POST("/*path", handler)
	failed := make(chan error, 1)
	go func() { failed <- h.Run() }()
	select {
	case err := <-failed:
		return err
	case <-work.Done():
	case <-ctx.Done():
	}
	d.health.drain()
	d.log.Info().Msg("draining: open calls may finish")
	shutdown, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return h.Shutdown(shutdown)
}
