package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
)

const (
	// maxUpstreamsPerQuestion is the number of upstreams that the platform accepts in one
	// question.
	maxUpstreamsPerQuestion = 100
	// maxExploredUpstreams bounds the upstreams of a question that only determines which of them
	// may run a gang. For the users' cells of 48 upstreams a single such question of 0.7 s
	// suffices.
	maxExploredUpstreams = 50
	// reserveAfter is how long a gang waits before upstreams are reserved for it; most gangs find
	// capacity within a second. reserveTime is about the run time of a large task. reservePause
	// lets other steps use the upstreams before the next reservation.
	reserveAfter = 2 * time.Second
	reserveTime  = 5 * time.Second
	reservePause = 2 * time.Second
	// maxReserved is the largest share of a service's cores that a reservation may take.
	maxReserved = 0.34
	// holdMargin is added to the time of a question when upstreams are held. It covers the
	// transfer to the caller and back, and a question that the caller is still working on.
	holdMargin = 300 * time.Millisecond
)

// gangQuestion returns the upstreams that a gang has to ask about. All members need valid tickets
// at the same time, and a large gang needs more upstreams than one question finds. As the permit
// service's answers never change, the gang first determines which upstreams may run it, and
// requests tickets once the allowed upstreams have capacity for all members. Where no permits are
// needed, it only reserves upstreams.
func (r *round) gangQuestion(d demand) []*session {
	var allowed, unknown []gangChoice
	totalNow, totalWhenIdle := 0, 0
	for id, s := range r.e.sessions {
		c := gangChoice{s, r.capacity(d.work.step, s, len(d.tasks)), capacityWhenIdle(d.work.step, s)}
		if d.work.denied[id] || c.whenIdle == 0 || !r.eligibleForGang(d, s) {
			continue
		}
		if p, known := d.work.permits[id]; d.queue.GetPermits() == nil || known && p.born == s.u.GetBorn() {
			allowed = append(allowed, c)
			totalNow, totalWhenIdle = totalNow+c.now, totalWhenIdle+c.whenIdle
			continue
		}
		unknown = append(unknown, c)
	}
	rack := r.preferredRack(d.work)
	allowed = onRack(allowed, rack, len(d.tasks), func(c gangChoice) int { return c.now })
	unknown = onRack(unknown, rack, len(d.tasks), func(c gangChoice) int { return c.whenIdle })
	if totalNow >= len(d.tasks) {
		return r.holdUpstreams(d, sufficientUpstreams(allowed, len(d.tasks)))
	}
	if totalWhenIdle >= len(d.tasks) {
		r.reserve(d, allowed)
		// The known upstreams suffice once they are free, so asking helps only for upstreams that
		// have capacity now.
		unknown = slices.DeleteFunc(unknown, func(c gangChoice) bool { return c.now == 0 })
	}
	slices.SortFunc(unknown, byDescendingCapacity)
	return sessionsOf(unknown[:min(len(unknown), maxExploredUpstreams)])
}

// reserve keeps other work off some upstreams for a gang that has waited for reserveAfter: for one
// gang at a time, on at most maxReserved of the cores of its service, and for reserveTime. Without
// a reservation small steps would take each core as soon as it is free.
func (r *round) reserve(d demand, allowed []gangChoice) {
	service := d.queue.GetService()
	if r.now-d.work.readyAt < reserveAfter || r.now < r.e.nextReserve {
		return
	}
	slices.SortFunc(allowed, byDescendingCapacity)
	var list []*session
	room, cores := 0, int64(0)
	for _, c := range allowed {
		if room >= len(d.tasks) {
			break
		}
		list = append(list, c.s)
		room, cores = room+c.whenIdle, cores+c.s.u.Capacity.MilliCores
	}
	if room < len(d.tasks) || float64(cores) > maxReserved*float64(r.totalCores[service]) {
		return
	}
	for _, s := range list {
		s.heldFor, s.heldUntil = d.work.step, r.now+reserveTime
	}
	r.e.nextReserve = r.now + reserveTime + reservePause
	gangsReserved.Add(1)
	r.e.log.Info().Str("request", d.work.step.Job().Spec.GetId()).Int32("step", d.work.step.Index).Int("members", len(d.tasks)).
		Int("upstreams", len(list)).Int64("cores", cores).Dur("waits", r.now-d.work.readyAt).Msg("upstreams are reserved for a gang")
}

// holdUpstreams keeps other steps off the upstreams that have capacity for a gang until its
// tickets have arrived. Otherwise small steps would repeatedly take some of that capacity in the
// meantime.
func (r *round) holdUpstreams(d demand, list []*session) []*session {
	cost := time.Duration(costMS(d.queue.GetPermits(), len(list)) * float64(time.Millisecond))
	for _, s := range list {
		s.heldFor, s.heldUntil = d.work.step, r.now+cost+holdMargin
	}
	return list
}

// heldForOther reports whether an upstream is held or reserved for another step.
func (s *session) heldForOther(st *pipeline.Step, now time.Duration) bool {
	return s.heldFor != nil && s.heldFor != st && now < s.heldUntil
}

// gangChoice is an upstream with the number of gang members that fit on it now and when it is
// idle.
type gangChoice struct {
	s             *session
	now, whenIdle int
}

// byDescendingCapacity orders upstreams by descending capacity for members.
func byDescendingCapacity(a, b gangChoice) int {
	return cmp.Or(cmp.Compare(b.now, a.now), cmp.Compare(b.whenIdle, a.whenIdle), cmp.Compare(a.s.u.GetId(), b.s.u.GetId()))
}

// capacityWhenIdle returns the number of members that fit on an upstream once all its runs except
// lasting ones have ended.
func capacityWhenIdle(st *pipeline.Step, s *session) int {
	room := s.u.Capacity
	for _, run := range s.u.Runs {
		if run.Task.Step.Spec.GetLasting() {
			room = room.Minus(run.Task.Step.Need)
		}
	}
	return room.FitCount(st.Need, len(st.Tasks))
}

// eligibleForGang reports whether an upstream may take members, provided that it has the
// capacity.
func (r *round) eligibleForGang(d demand, s *session) bool {
	if !r.eligible(d.work.step, s) {
		return false
	}
	reason := r.e.state.CheckUpstream(d.work.step, s.u)
	return reason == "" || reason == pipeline.PlaceNoCapacity
}

// sufficientUpstreams returns the upstreams with the most capacity that together fit all members,
// and one more in case one of them becomes unavailable in the meantime.
func sufficientUpstreams(list []gangChoice, members int) []*session {
	slices.SortFunc(list, byDescendingCapacity)
	n, room := 0, 0
	for n < len(list) && n < maxUpstreamsPerQuestion && room < members {
		room += list[n].now
		n++
	}
	return sessionsOf(list[:min(n+1, len(list), maxUpstreamsPerQuestion)])
}

// sessionsOf returns the sessions of a list of upstreams.
func sessionsOf(list []gangChoice) []*session {
	out := make([]*session, len(list))
	for i, c := range list {
		out[i] = c.s
	}
	return out
}
