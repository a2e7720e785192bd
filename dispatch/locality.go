package dispatch

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
)

// homeLife is how long a step whose tasks belong on one rack stays with the rack it has chosen
// while none of them has a place there.
const homeLife = time.Second

// nearPatience is how long a step waits for the answers about its rack before it takes upstreams on
// others. A costly question takes 0.7 s; a step that waited for each next answer would never
// start where there are more steps than callers.
const nearPatience = 800 * time.Millisecond

// home returns the rack on which a step's tasks should run: that of its data, or for tasks that
// belong together the one where most of them have room. It is empty where any rack will do.
// Elsewhere tasks take a multiple of their time.
func (r *round) home(w *stepWork) string {
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
	if w.home == "" || r.now >= w.homeUntil {
		w.home, w.homeUntil = r.roomiestRack(w), r.now+homeLife
	}
	return w.home
}

// roomiestRack returns the rack with room for most tasks of a step, by its upstreams that may run it.
func (r *round) roomiestRack(w *stepWork) string {
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

// far reports whether a task of the step would take longer on an upstream because of its rack.
func (r *round) far(w *stepWork, s *session) bool {
	home := r.home(w)
	return home != "" && s.u.GetRack() != home
}

// nearerToAsk reports whether an upstream on the step's rack has room and was not asked about: its
// answer is worth waiting for.
func (r *round) nearerToAsk(d demand) bool {
	home := r.home(d.work)
	if home == "" || d.queue.GetPermits() == nil || d.work.step.Spec.GetGang() || r.now-d.work.readyAt > nearPatience {
		return false
	}
	for id, s := range r.e.sessions {
		if s.u.GetRack() == home && !d.work.denied[id] && !d.work.hasPermit(s, r.now) && r.fits(d.work.step, s) {
			return true
		}
	}
	return false
}

// hasPermit reports whether a ticket for the upstream's incarnation is valid.
func (w *stepWork) hasPermit(s *session, now time.Duration) bool {
	p, known := w.permits[s.u.GetId()]
	return known && p.born == s.u.GetBorn() && now < p.expires
}

// onRack keeps the upstreams of one rack if these are enough for all members of a gang.
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

// dueSoon reports whether an occurrence begins within a time.
func (r *round) dueSoon(o *pipeline.Occurrence, within time.Duration) bool {
	return o.DueNS > r.wall && o.DueNS <= r.wall+int64(within)
}
