package daemon

import (
	"context"
	"net"
	"time"

	"github.com/bulrushwinch/bulrushwinch/entry"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// errCallerLeft ends an order whose caller has closed its connection. Nothing was proposed.
var errCallerLeft = errors.Wrap(entry.ErrNothingProposed, "the caller has closed its connection")

// contextOfConn returns the context of the requests on an accepted connection.
func contextOfConn(conn net.Conn) context.Context {
	for {
		if c, ok := conn.(*trackedConn); ok {
			return entry.WithCaller(context.Background(), c.closedByPeer)
		}
		w, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return context.Background()
		}
		conn = w.NetConn()
	}
}

// orderDomain sends an operator's order on a failure domain to the leader. Such orders have no number that would
// tell an older one from a newer one, and one that was held up, by a pause of this process or on its way to the
// leader, must not undo one that was given after it. So the order is bound to the revision that was in force at a
// moment when its caller still waited: the revision is read first, then the caller's connection is checked.
func (c *PushDaemon) orderDomain(ctx context.Context, order *pipelinev1.SetDomain, bounds entry.Bounds) (*pipelinev1.Reply, error) {
	if _, err := proto.Marshal(order); err != nil {
		return unencodable, nil
	}
	began := time.Now()
	r, err := c.tryOrderDomain(ctx, order, bounds)
	for err == nil && r.GetVerdict() == pipelinev1.Verdict_VERDICT_OUTDATED {
		r, err = c.tryOrderDomain(ctx, order, bounds)
	}
	c.log.Info().Str("failure_domain", order.GetName()).Bool("out", order.GetOut()).Uint64("revision", r.GetDomainRevision()).
		Str("verdict", r.GetVerdict().String()).Err(err).Dur("after", time.Since(began)).Msg("order on a failure domain answered")
	return r, err
}

// tryOrderDomain sends an order once, based on the revision that is in force.
func (c *PushDaemon) tryOrderDomain(ctx context.Context, order *pipelinev1.SetDomain, bounds entry.Bounds) (*pipelinev1.Reply, error) {
	current, err := c.callWithin(ctx, &pipelinev1.Call{Call: &pipelinev1.Call_GetDomainRevision{GetDomainRevision: &pipelinev1.GetDomainRevisionCall{}}}, bounds)
	if err != nil || current.GetVerdict() != pipelinev1.Verdict_VERDICT_OK {
		return current, err
	}
	if entry.CallerLeft(ctx) {
		return nil, errCallerLeft
	}
	revision := current.GetDomainRevision()
	bound := &pipelinev1.SetDomain{Name: order.GetName(), Out: order.GetOut(), BaseRevision: &revision}
	return c.callWithin(ctx, &pipelinev1.Call{Call: &pipelinev1.Call_SetDomain{SetDomain: bound}}, bounds)
}
