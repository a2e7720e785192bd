package placement

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
)

const (
	// reserveAfter is how long a gang waits before upstreams are reserved for it, and reserveAhead
	// how long before its planned start at most. Large tasks run for about five seconds.
	reserveAfter = 500 * time.Millisecond
	reserveAhead = 6 * time.Second
	// maxReserved is the largest share of a service's cores that reservations may take together.
	maxReserved = 0.4
	// holdMargin is added to the time of a question when upstreams are held. It covers the
	// transfer to the caller and back, and a question that the caller is still working on.
	holdMargin = 300 * time.Millisecond
	// reservationPatience is how long a step waits for upstreams that are reserved for others, if the cell has room.
	reservationPatience = 1500 * time.Millisecond
	// roomyShare is the share of a service's cores that has to be free for the cell to have room in that sense.
	roomyShare = 0.5
)

// Reservation keeps an upstream free for a step.
type Reservation struct {
	// For is the step; nil if there is no reservation.
	For *pipeline.Step
	// From is the planned start of the step. Work that ends before it may still be placed.
	From time.Duration
	// Until is the end of the reservation.
	Until time.Duration
}

// keepsOut reports whether a reservation keeps work out that would end at the given time.
func (r Reservation) keepsOut(st *pipeline.Step, now, end time.Duration) bool {
	return r.For != nil && r.For != st && now < r.Until && end > r.From && !r.For.Job().Ended()
}

// ReservedGang is a gang for which upstreams were reserved.
type ReservedGang struct {
	Work *Work
	// Members is the number of tasks; Upstreams and MilliCores are the number and the size of the
	// reserved upstreams.
	Members, Upstreams int
	MilliCores         int64
	// Start is the planned start.
	Start time.Duration
}

// reserve keeps work off the upstreams of a plan that would delay the planned start of a gang, if all of them may be
// reserved. Without a reservation small steps would take each core as soon as it is free.
func (r *round) reserve(d demand, plan gangPlan) {
	if r.Now-d.work.ReadyAt < reserveAfter {
		return
	}
	if before := r.release(d); r.mayReserve(d, plan) {
		r.keep(d, plan, before, Reservation{For: d.work.Step, From: plan.start, Until: plan.start + r.ticketTime(d, len(plan.upstreams)) + holdMargin})
	}
}

// keep reserves the upstreams of a plan. It reports a reservation if there was none before.
func (r *round) keep(d demand, plan gangPlan, before int, as Reservation) {
	for _, u := range plan.upstreams {
		u.Reserved = as
	}
	if before == 0 && len(plan.upstreams) > 0 {
		r.out.Reserved = append(r.out.Reserved, ReservedGang{d.work, len(d.tasks), len(plan.upstreams), plan.cores(), plan.start})
	}
}

// mayReserve reports whether the upstreams of a plan may be reserved besides those of other gangs.
func (r *round) mayReserve(d demand, plan gangPlan) bool { return plan.cores() <= r.reservable(d) }

// reservable returns the cores that may be reserved besides those of other gangs, in thousandths.
func (r *round) reservable(d demand) int64 {
	return int64(maxReserved*float64(r.poolFor(d).totalCores)) - r.reservedCores(d)
}

// reservablePart returns the part of a plan that may be reserved.
func (r *round) reservablePart(d demand, plan gangPlan) gangPlan {
	left, n := r.reservable(d), 0
	for n < len(plan.upstreams) && plan.upstreams[n].Capacity.MilliCores <= left {
		left -= plan.upstreams[n].Capacity.MilliCores
		n++
	}
	plan.upstreams = plan.upstreams[:n]
	return plan
}

// reservedCores returns the cores of the upstreams that are reserved for other gangs, in thousandths.
func (r *round) reservedCores(d demand) (cores int64) {
	for _, u := range r.usableFor(d) {
		if u.Reserved.For != nil && u.Reserved.For != d.work.Step && r.Now < u.Reserved.Until {
			cores += u.Capacity.MilliCores
		}
	}
	return cores
}

// holdUpstreams keeps other work off the upstreams of a gang that starts as soon as its tickets arrive, as far as they
// may be reserved, and stops the work that gives way to it. It reports whether the gang should ask: it doesn't if
// upstreams on which work has to be stopped can't be held, as other work would take their capacity.
func (r *round) holdUpstreams(d demand, plan gangPlan, ticketTime time.Duration) bool {
	before := r.release(d)
	if plan.preempts && !r.mayReserve(d, plan) {
		d.work.holdRefused = true
		return false
	}
	r.keep(d, r.reservablePart(d, plan), before, Reservation{For: d.work.Step, From: r.Now, Until: r.Now + ticketTime + holdMargin + ticketLife(d.queue)})
	if plan.preempts && r.Now >= d.work.nextPreempt {
		r.stopForGang(d, plan)
	}
	return true
}

// stopForGang stops work of less urgent queues on the upstreams of a plan.
func (r *round) stopForGang(d demand, plan gangPlan) {
	missing := len(d.tasks)
	for _, u := range plan.upstreams {
		if missing <= 0 {
			break
		}
		victims, fit := r.victims(d, u, missing)
		for _, v := range victims {
			r.stop(v, d.work)
		}
		missing -= fit
	}
	d.work.nextPreempt = r.Now + preemptPause
}

// release ends the reservations for a step and returns the number of upstreams that were reserved.
func (r *round) release(d demand) (n int) {
	for _, u := range r.usableFor(d) {
		if u.Reserved.For != d.work.Step {
			continue
		}
		if r.Now < u.Reserved.Until {
			n++
		}
		u.Reserved = Reservation{}
	}
	return n
}

// reservedForOther reports whether a reservation for another step keeps a step off an upstream.
func (r *round) reservedForOther(w *Work, u *Upstream) bool {
	return u.Reserved.For != nil && u.Reserved.keepsOut(w.Step, r.Now, r.endOf(w.Step, u)) && !r.outwaitsReservations(w)
}

// outwaitsReservations reports whether a step has waited so long that it uses upstreams that are reserved for others. A
// reservation is renewed for as long as the runs that a gang waits for go on. In a full cell all but lasting steps wait
// for their turn.
func (r *round) outwaitsReservations(w *Work) bool {
	if r.Now-w.ReadyAt < reservationPatience {
		return false
	}
	p := r.pool(r.State.JobQueue(w.Step.Job()).GetService())
	return w.Step.Spec.GetLasting() || float64(p.freeCores) >= roomyShare*float64(p.totalCores)
}
