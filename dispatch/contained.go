package dispatch

import (
	"context"

	"github.com/bulrushwinch/bulrushwinch/contain"
	"github.com/pkg/errors"
)

// errUnexpected is the error of a call that met an unexpected error. Whether it had an effect is unknown.
var errUnexpected = errors.New("dispatch: unexpected error")

// contained makes an unexpected error in one call the error of that call.
type contained struct {
	upstreams Upstreams
	reporter  contain.Reporter
}

// Contain returns u with calls whose unexpected errors are reported and end only the call, so that one
// answer of an upstream can't end the process.
func Contain(u Upstreams, r contain.Reporter) Upstreams { return contained{u, r} }

// Start implements Upstreams.
func (c contained) Start(ctx context.Context, to Target, s Start) (reply OrderReply, err error) {
	defer c.reporter.Recover("a start", func() { reply, err = OrderReply{}, errUnexpected })
	return c.upstreams.Start(ctx, to, s)
}

// Stop implements Upstreams.
func (c contained) Stop(ctx context.Context, to Target, o Order) (reply OrderReply, err error) {
	defer c.reporter.Recover("a stop", func() { reply, err = OrderReply{}, errUnexpected })
	return c.upstreams.Stop(ctx, to, o)
}

// Status implements Upstreams.
func (c contained) Status(ctx context.Context, to Target, r StatusRequest) (reply StatusReply, err error) {
	defer c.reporter.Recover("a status request", func() { reply, err = StatusReply{}, errUnexpected })
	return c.upstreams.Status(ctx, to, r)
}
