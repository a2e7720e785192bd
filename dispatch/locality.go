package dispatch

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
)

// rackChoiceTime is how long a step whose tasks should run together keeps its chosen rack while
// none of them is placed there.
const rackChoiceTime = time.Second

// preferredRackWait is how long a step waits for permit answers about its preferred rack before
// it uses upstreams on other racks. A costly question takes 0.7 s. A step that waited for every
// further answer would never start where there are more steps than permit callers.
const preferredRackWait = 800 * time.Millisecond

// preferredRack returns the rack on which a step's tasks should run: the rack of its data or, for
// tasks that should run together, the rack with capacity for most of them. It is empty if any
// rack will do. On other racks tasks take a multiple of their time.
func (r *round) preferredRack(w *stepWork) string {
	if rack := w.step.Spec.GetDataRack(); rack != "" {
		return rack
	}
	if !w.step.Spec.GetCoLocated() {
		return ""
	}
	for _, t := range w.step.Tasks {
		for _, run := range t.Live {
			return run.Upstream.GetRack()
		}
	}
	if w.rack == "" || r.now >= w.rackUntil {
		w.rack, w.rackUntil = r.rackWithMostCapacity(w), r.now+rackChoiceTime
	}
	return w.rack
}

// rackWithMostCapacity returns the rack with capacity for most tasks of a step, counting only
// upstreams that may run it.
func (r *round) rackWithMostCapacity(w *stepWork) string {
	room := make(map[string]int)
	best := ""
	for id, s := range r.e.sessions {
		if w.denied[id] || !r.fits(w.step, s) {
			continue
		}
		rack := s.u.GetRack()
		room[rack] += r.capacity(w.step, s, len(w.step.Tasks))
		if best == "" || room[rack] > room[best] || room[rack] == room[best] && rack < best {
			best = rack
		}
	}
	return best
}

// offPreferredRack reports whether tasks of the step would take longer on an upstream because of
// its rack.
func (r *round) offPreferredRack(w *stepWork, s *session) bool {
	rack := r.preferredRack(w)
	return rack != "" && s.u.GetRack() != rack
}

// preferredRackUnasked reports whether an upstream on the preferred rack has capacity but no
// answer from the permit service yet, so that waiting for the answer is worthwhile.
func (r *round) preferredRackUnasked(d demand) bool {
	rack := r.preferredRack(d.work)
	if rack == "" || d.queue.GetPermits() == nil || d.work.step.Spec.GetGang() || r.now-d.work.readyAt > preferredRackWait {
		return false
	}
	for id, s := range r.e.sessions {
		if s.u.GetRack() == rack && !d.work.denied[id] && !d.work.hasPermit(s, r.now) && r.fits(d.work.step, s) {
			return true
		}
	}
	return false
}

// hasPermit reports whether the step has a valid ticket for the upstream's current incarnation.
func (w *stepWork) hasPermit(s *session, now time.Duration) bool {
	p, known := w.permits[s.u.GetId()]
	return known && p.born == s.u.GetBorn() && now < p.expires
}

// onRack returns the upstreams on one rack if they have capacity for all members of a gang, and
// the whole list otherwise.
func onRack(list []gangChoice, rack string, members int, room func(gangChoice) int) []gangChoice {
	var out []gangChoice
	n := 0
	for _, c := range list {
		if c.s.u.GetRack() == rack {
			out = append(out, c)
			n += room(c)
		}
	}
	if rack == "" || n < members {
		return list
	}
	return out
}

// dueSoon reports whether an occurrence is not due yet but becomes due within the given time.
func (r *round) dueSoon(o *pipeline.Occurrence, within time.Duration) bool {
	return o.DueNS > r.wall && o.DueNS <= r.wall+int64(within)
}
