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

// enqueueStart queues a start order for a committed run.
func (s *session) enqueueStart(r *pipeline.Run, ticket string) {
	now := s.e.now()
	s.orders = append(s.orders, order{run: r, key: r.Key(), ticket: ticket, queuedAt: now})
	s.runDueWork(now)
}

// enqueueStop queues a stop order for a run. A run whose start was never sent ends at once.
func (s *session) enqueueStop(r *pipeline.Run, reason string) {
	key := r.Key()
	if s.stopping[key] {
		return
	}
	s.stopping[key] = true
	s.e.log.Debug().Str("request", key.Job).Int32("step", key.Step).Int32("task", key.Index).Int32("run", key.Number).
		Str("upstream", s.u.GetId()).Str("why", reason).Msg("stopping run")
	if s.startQueued(key) && !s.sent[key] {
		s.withdraw(key, r)
		return
	}
	// Stops go before starts because the capacity that they free is needed.
	s.orders = append([]order{{run: r, key: key, stop: true}}, s.orders...)
	s.runDueWork(s.e.now())
}

// withdrawQueued ends all runs whose start orders were not sent, so that their tasks can be
// placed elsewhere.
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

// withdraw ends a run whose start order was not sent.
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

// stopUnknown queues stops for runs that the replicated state does not have on this upstream.
func (s *session) stopUnknown(keys ...pipeline.RunKey) {
	var stops []order
	for _, key := range keys {
		if len(stops)+len(s.orders) >= maxQueuedStops {
			break
		}
		if !s.stopping[key] {
			s.stopping[key] = true
			stops = append(stops, order{key: key, stop: true})
		}
	}
	if len(stops) == 0 {
		return
	}
	first := stops[0].key
	s.logger(zerolog.WarnLevel).Int("runs", len(stops)).Str("request", first.Job).Int32("step", first.Step).Int32("task", first.Index).Int32("run", first.Number).
		Msg("upstream has runs that are not in the replicated state; stopping them")
	s.orders = append(stops, s.orders...)
}

// sendOrders sends queued orders: several concurrently if the upstream has answered recently, and
// otherwise one, because a run whose start was sent to an unresponsive upstream cannot be placed
// elsewhere before the end of the lease.
func (s *session) sendOrders(now time.Duration) {
	most := maxOrders
	if now-s.clock.observedAt > recentAnswer {
		most = 1
	}
	for s.ordersInFlight < most && !s.reconciling && s.e.leadershipConfirmed(now) {
		// A stop waits for the answer to the start of its run, so that it cannot overtake the
		// start.
		at := slices.IndexFunc(s.orders, func(o order) bool { return !o.stop || !s.sent[o.key] })
		if at < 0 {
			return
		}
		o := s.orders[at]
		if s.needsConfirmation(o) {
			s.reconcile(now)
			return
		}
		s.orders = slices.Delete(s.orders, at, at+1)
		s.sendOrder(o, now)
	}
}

// sendOrder sends an order, unless its run has ended. A start for an upstream that takes no new
// work, or whose capacity has shrunk since the run was placed, ends the run instead.
func (s *session) sendOrder(o order, now time.Duration) {
	switch {
	case o.stop:
		s.sendStop(o, now)
	case s.u.Runs[o.key] != o.run:
	case s.u.GetDraining() || s.e.state.DomainOut(s.u.GetFailureDomain()) || !s.u.Used.Fits(s.u.Capacity):
		s.proposeEnds([]*pipelinev1.End{{Run: o.run.Proto(), Kind: pipelinev1.EndKind_END_KIND_NEVER_STARTED}})
	default:
		s.sendStart(o, now)
	}
}

// sendStart sends a start order, which also extends the lease.
func (s *session) sendStart(o order, now time.Duration) {
	t := o.run.Task
	start := Start{Order: Order{Task: o.key.TaskKey, Number: o.key.Number, Token: s.token()}, Payload: t.Step.Job().Spec.GetPayload(),
		DeadlineMS: s.extendLease(now), Checkpoint: t.Checkpoint, Ticket: o.ticket}
	s.ordersInFlight++
	if len(s.sent) == 0 {
		s.startsSince = now
	}
	s.sent[o.key] = true
	ordersSent.Add(1)
	s.callUpstream(now, func(ctx context.Context, to Target) (OrderReply, error) { return s.e.upstreams.Start(ctx, to, start) },
		func(reply OrderReply, err error) { s.startAnswered(o, reply, err) })
}

// sendStop sends a stop order.
func (s *session) sendStop(o order, now time.Duration) {
	stop := Order{Task: o.key.TaskKey, Number: o.key.Number, Token: s.token()}
	s.ordersInFlight++
	ordersSent.Add(1)
	s.callUpstream(now, func(ctx context.Context, to Target) (OrderReply, error) { return s.e.upstreams.Stop(ctx, to, stop) },
		func(reply OrderReply, err error) { s.stopAnswered(o, reply, err) })
}

// errClockOfOtherIncarnation is the error of an order whose answer has a clock value that the known incarnation's clock
// can't have had: the upstream has restarted, and what became of the order is to be found out.
var errClockOfOtherIncarnation = errors.New("the clock in the answer is that of another incarnation")

// callUpstream sends an order, unless the permission for it expires before, and passes its answer to done
// on the control goroutine.
func (s *session) callUpstream(now time.Duration, send func(context.Context, Target) (OrderReply, error), done func(OrderReply, error)) {
	clock, timeout := s.e.host.Clock(), s.e.roundTrip.timeout()
	to, permitted, earliest := s.target(now, timeout), s.e.permission(), s.clock.lowerBound(now)
	s.e.async(timeout, func(ctx context.Context) func() {
		if !permitted() {
			return func() { done(OrderReply{}, errPermissionExpired) }
		}
		began := clock.Now()
		reply, err := send(ctx, to)
		took := clock.Now() - began
		return func() {
			s.e.recordRoundTrip(took, err)
			s.e.recordOverrun(took, timeout, err)
			if err != nil {
				s.wayFailed(to.Via, s.e.now())
			} else if !s.clock.canHaveRead(reply.ClockMS, earliest, s.e.now()) {
				s.leaseOfOtherIncarnation(s.e.now())
				err = errClockOfOtherIncarnation
			}
			done(reply, err)
		}
	})
}

// recordRoundTrip updates the round-trip estimate with the time or the failure of a call to an
// upstream.
func (e *Engine) recordRoundTrip(took time.Duration, err error) {
	if err != nil {
		e.roundTrip.expired()
		return
	}
	e.roundTrip.add(took)
}

// startAnswered handles the answer to a start. If there is none, a status request with a higher
// token determines whether the run started.
func (s *session) startAnswered(o order, reply OrderReply, err error) {
	now := s.e.now()
	s.ordersInFlight--
	switch {
	case errors.Is(err, ErrNotSent):
		s.neverStarted(o, err.Error())
		s.suspect(now, err.Error())
	case err != nil:
		ordersUnanswered.Add(1)
		s.orderLog(o, zerolog.InfoLevel).Err(err).Msg("start was not answered; a status request with a higher token will determine the outcome")
		s.suspect(now, "an order was not answered")
	case reply.Verdict == Accepted:
		s.clock.observe(reply.ClockMS, now)
		s.runStarted(o, now)
	default:
		s.clock.observe(reply.ClockMS, now)
		ordersRefused.Add(string(reply.Verdict), 1)
		s.startRefused(o, reply.Verdict, now)
	}
	s.runDueWork(now)
}

// runStarted records that the upstream has a run. A run that has ended in the replicated state in
// the meantime is stopped.
func (s *session) runStarted(o order, now time.Duration) {
	delete(s.sent, o.key)
	if s.u.Runs[o.key] != o.run {
		s.stopUnknown(o.key)
		return
	}
	s.confirmRun(o.run, now)
}

// startRefused handles the answer that the upstream did not start the run.
func (s *session) startRefused(o order, v OrderVerdict, now time.Duration) {
	s.neverStarted(o, string(v))
	switch v {
	case InvalidTicket:
		s.e.expirePermit(o.run.Task.Step, s.u.GetId())
	case Fenced, OtherIncarnation, DeadlinePassed:
		s.suspect(now, string(v))
	case Unhealthy, NoCapacity:
		s.avoidUntil = now + avoidTime
	}
}

// neverStarted ends a run that is certainly not on the upstream.
func (s *session) neverStarted(o order, reason string) {
	s.orderLog(o, zerolog.InfoLevel).Str("why", reason).Msg("run was not started")
	s.proposeEnds([]*pipelinev1.End{{Run: o.run.Proto(), Kind: pipelinev1.EndKind_END_KIND_NEVER_STARTED}})
}

// suspect makes the session send a status request, to determine which runs the upstream has,
// before any other order.
func (s *session) suspect(now time.Duration, reason string) {
	if s.phase == lifecycle.SessionOpen {
		s.unresponsiveSince = now
		s.transition(lifecycle.SessionSuspect, reason)
	}
	s.nextProbe = now
}

// stopAnswered handles the answer to a stop.
func (s *session) stopAnswered(o order, reply OrderReply, err error) {
	now := s.e.now()
	s.ordersInFlight--
	if err != nil || reply.Verdict != Accepted {
		// A later status request shows whether the run is still there; it is then stopped again.
		delete(s.stopping, o.key)
		if err == nil {
			ordersRefused.Add(string(reply.Verdict), 1)
			err = errors.New(string(reply.Verdict))
		} else {
			ordersUnanswered.Add(1)
		}
		s.suspect(now, "a stop was not carried out: "+err.Error())
		if r := s.u.Runs[o.key]; r != nil {
			s.enqueueStop(r, "the last stop was not carried out")
		}
	} else {
		s.clock.observe(reply.ClockMS, now)
	}
	s.runDueWork(now)
}

// orderLog starts a log line about an order.
func (s *session) orderLog(o order, level zerolog.Level) *zerolog.Event {
	return s.logger(level).Str("request", o.key.Job).Int32("step", o.key.Step).Int32("task", o.key.Index).Int32("run", o.key.Number)
}
