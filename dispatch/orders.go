package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// enqueueStart puts a committed run in the upstream's queue of orders.
func (s *session) enqueueStart(r *pipeline.Run, ticket string) {
	s.orders = append(s.orders, order{run: r, key: r.Key(), ticket: ticket})
	s.pump(s.e.now())
}

// enqueueStop asks for the end of a run. One that was never sent ends at once.
func (s *session) enqueueStop(r *pipeline.Run, why string) {
	key := r.Key()
	if s.stopping[key] {
		return
	}
	s.stopping[key] = true
	s.e.log.Debug().Str("request", key.Job).Int32("step", key.Step).Int32("task", key.Index).Int32("run", key.Number).
		Str("upstream", s.u.GetId()).Str("why", why).Msg("run is stopped")
	if s.queued(key) && !s.sent[key] {
		s.withdraw(key, r)
		return
	}
	// Stops go before starts: the room that they free is wanted.
	s.orders = append([]order{{run: r, key: key, stop: true}}, s.orders...)
	s.pump(s.e.now())
}

// withdrawQueued takes back all runs whose orders have not left, so that they go elsewhere.
func (s *session) withdrawQueued() {
	var ends []*pipelinev1.End
	s.orders = slices.DeleteFunc(s.orders, func(o order) bool {
		if o.stop || s.u.Runs[o.key] != o.run {
			return false
		}
		ends = append(ends, &pipelinev1.End{Run: o.run.Proto(), Kind: pipelinev1.EndKind_END_KIND_NEVER_STARTED})
		return true
	})
	s.proposeEnds(ends)
}

// withdraw takes back a run whose order has not left.
func (s *session) withdraw(key pipeline.RunKey, r *pipeline.Run) {
	kept := s.orders[:0:0]
	for _, o := range s.orders {
		if o.key != key {
			kept = append(kept, o)
		}
	}
	s.orders = kept
	s.proposeEnds([]*pipelinev1.End{{Run: r.Proto(), Kind: pipelinev1.EndKind_END_KIND_NEVER_STARTED}})
}

// stopUnknown stops a run that the state does not know on this upstream.
func (s *session) stopUnknown(key pipeline.RunKey) {
	if s.stopping[key] {
		return
	}
	s.stopping[key] = true
	s.logger(zerolog.WarnLevel).Str("request", key.Job).Int32("step", key.Step).Int32("task", key.Index).Int32("run", key.Number).
		Msg("upstream has a run that is not in the log; it is stopped")
	s.orders = append([]order{{key: key, stop: true}}, s.orders...)
}

// sendOrders sends orders in their turn, several at a time if the upstream was heard of lately. What
// was sent to one that has gone silent has to wait for the end of its lease.
func (s *session) sendOrders(now time.Duration) {
	most := maxOrders
	if now-s.clock.heardAt > heardLately {
		most = 1
	}
	for s.ordering < most && !s.settling && s.e.mayOrder(now) {
		// A stop waits for the answer to its run's start, so that it can't overtake it.
		at := slices.IndexFunc(s.orders, func(o order) bool { return !o.stop || !s.sent[o.key] })
		if at < 0 {
			return
		}
		o := s.orders[at]
		s.orders = slices.Delete(s.orders, at, at+1)
		s.sendOrder(o, now)
	}
}

func (s *session) sendOrder(o order, now time.Duration) {
	switch {
	case o.stop:
		s.sendStop(o)
	case s.u.Runs[o.key] != o.run:
	case s.u.GetDraining() || s.e.state.DomainOut(s.u.GetFailureDomain()):
		s.proposeEnds([]*pipelinev1.End{{Run: o.run.Proto(), Kind: pipelinev1.EndKind_END_KIND_NEVER_STARTED}})
	default:
		s.sendStart(o, now)
	}
}

func (s *session) sendStart(o order, now time.Duration) {
	t := o.run.Task
	start := Start{Order: Order{Task: o.key.TaskKey, Number: o.key.Number, Token: s.token()}, Payload: t.Step.Job().Spec.GetPayload(),
		DeadlineMS: s.extend(now), Checkpoint: t.Checkpoint, Ticket: o.ticket}
	s.ordering++
	s.sent[o.key] = true
	ordersSent.Add(1)
	to := s.target()
	s.order(func(ctx context.Context) (OrderReply, error) { return s.e.upstreams.Start(ctx, to, start) },
		func(reply OrderReply, err error) { s.startAnswered(o, reply, err) })
}

func (s *session) sendStop(o order) {
	stop := Order{Task: o.key.TaskKey, Number: o.key.Number, Token: s.token()}
	s.ordering++
	ordersSent.Add(1)
	to := s.target()
	s.order(func(ctx context.Context) (OrderReply, error) { return s.e.upstreams.Stop(ctx, to, stop) },
		func(reply OrderReply, err error) { s.stopAnswered(o, reply, err) })
}

// order sends an order and hands its answer to done on the control goroutine.
func (s *session) order(send func(context.Context) (OrderReply, error), done func(OrderReply, error)) {
	clock := s.e.host.Clock()
	s.e.async(s.e.roundTrip.timeout(), func(ctx context.Context) func() {
		began := clock.Now()
		reply, err := send(ctx)
		took := clock.Now() - began
		return func() {
			s.e.timed(took, err)
			done(reply, err)
		}
	})
}

// timed learns from the time of a call to an upstream.
func (e *Engine) timed(took time.Duration, err error) {
	if err != nil {
		e.roundTrip.expired()
		return
	}
	e.roundTrip.add(took)
}

// startAnswered handles the answer to a start. Without one, a look under a higher token finds
// out what became of it.
func (s *session) startAnswered(o order, reply OrderReply, err error) {
	now := s.e.now()
	s.ordering--
	switch {
	case errors.Is(err, ErrNotSent):
		s.neverStarted(o, err.Error())
		s.suspect(now, err.Error())
	case err != nil:
		ordersLost.Add(1)
		s.orderLog(o, zerolog.InfoLevel).Err(err).Msg("start was not answered; a look under a higher token decides")
		s.suspect(now, "an order was not answered")
	case reply.Verdict == Obeyed:
		s.clock.hear(reply.ClockMS, now)
		s.started(o, now)
	default:
		s.clock.hear(reply.ClockMS, now)
		ordersRefused.Add(string(reply.Verdict), 1)
		s.startRefused(o, reply.Verdict, now)
	}
	s.pump(now)
}

// started notes that the upstream has a run. One that the state has given up meanwhile is stopped.
func (s *session) started(o order, now time.Duration) {
	delete(s.sent, o.key)
	if s.u.Runs[o.key] != o.run {
		s.stopUnknown(o.key)
		return
	}
	s.answeredAt[o.key] = now
}

// startRefused handles an upstream's word that it has not started the run.
func (s *session) startRefused(o order, v OrderVerdict, now time.Duration) {
	s.neverStarted(o, string(v))
	switch v {
	case BadTicket:
		s.e.dropPermit(o.run.Task.Step, s.u.GetId())
	case Fenced, OtherIncarnation, TooLate:
		s.suspect(now, string(v))
	case Unhealthy, NoRoom:
		s.avoidUntil = now + avoidTime
	}
}

// neverStarted frees a run that surely isn't at the upstream.
func (s *session) neverStarted(o order, why string) {
	s.orderLog(o, zerolog.InfoLevel).Str("why", why).Msg("run was not started")
	s.proposeEnds([]*pipelinev1.End{{Run: o.run.Proto(), Kind: pipelinev1.EndKind_END_KIND_NEVER_STARTED}})
}

// suspect lets a look settle what the upstream has before anything else is sent.
func (s *session) suspect(now time.Duration, why string) {
	if s.phase == lifecycle.SessionOpen {
		s.silentAt = now
		s.fire(lifecycle.SessionDoubt, why)
	}
	s.nextProbe = now
}

func (s *session) stopAnswered(o order, reply OrderReply, err error) {
	now := s.e.now()
	s.ordering--
	if err != nil || reply.Verdict != Obeyed {
		// A later look shows whether the run is still there, and stops it again.
		delete(s.stopping, o.key)
		if err == nil {
			ordersRefused.Add(string(reply.Verdict), 1)
			err = errors.New(string(reply.Verdict))
		} else {
			ordersLost.Add(1)
		}
		s.suspect(now, "a stop was not obeyed: "+err.Error())
		if r := s.u.Runs[o.key]; r != nil {
			s.enqueueStop(r, "the last stop was not obeyed")
		}
	} else {
		s.clock.hear(reply.ClockMS, now)
	}
	s.pump(now)
}

func (s *session) orderLog(o order, level zerolog.Level) *zerolog.Event {
	return s.logger(level).Str("request", o.key.Job).Int32("step", o.key.Step).Int32("task", o.key.Index).Int32("run", o.key.Number)
}
