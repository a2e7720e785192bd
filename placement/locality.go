package placement

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
)

// rackChoiceTime is how long a step whose tasks should run together keeps its chosen rack while
// none of them is placed there.
const rackChoiceTime = time.Second

// preferredRackWait is how long a step waits for permit answers about its preferred rack, and a gang for
// capacity there, before it uses upstreams on other racks. A costly question takes 0.7 s. A step that waited
// for every further answer would never start where there are more steps than permit callers.
const preferredRackWait = 800 * time.Millisecond

// preferredRack returns the rack on which a step's tasks should run: the rack of its data or, for
// tasks that should run together, the rack with capacity for most of them. It is empty if any
// rack will do. On other racks tasks take a multiple of their time.
func (r *round) preferredRack(w *Work) string {
	if rack := w.Step.Spec.GetDataRack(); rack != "" {
		return rack
	}
	if !w.Step.Spec.GetCoLocated() {
		return ""
	}
	for _, t := range w.Step.Tasks {
		for _, run := range t.Live {
			return run.Upstream.GetRack()
		}
	}
	if w.rack == "" || r.Now >= w.rackUntil {
		w.rack, w.rackUntil = r.rackWithMostCapacity(w), r.Now+rackChoiceTime
	}
	return w.rack
}

// rackWithMostCapacity returns the rack with capacity for most tasks of a step, counting only
// upstreams that may run it.
func (r *round) rackWithMostCapacity(w *Work) string {
	room := make(map[string]int)
	best := ""
	for _, u := range r.pool(r.State.JobQueue(w.Step.Job()).GetService()).usable {
		if w.Denied[u.GetId()] || !r.fits(w, u) {
			continue
		}
		rack := u.GetRack()
		room[rack] += r.capacity(w.Step, u, len(w.Step.Tasks))
		if best == "" || room[rack] > room[best] || room[rack] == room[best] && rack < best {
			best = rack
		}
	}
	return best
}

// offPreferredRack reports whether tasks of the step would take longer on an upstream because of
// its rack.
func (r *round) offPreferredRack(w *Work, u *Upstream) bool {
	rack := r.preferredRack(w)
	return rack != "" && u.GetRack() != rack
}

// preferredRackUnasked reports whether an upstream on the preferred rack has capacity but no
// answer from the permit service yet, so that waiting for the answer is worthwhile.
func (r *round) preferredRackUnasked(d demand) bool {
	rack := r.preferredRack(d.work)
	if rack == "" || d.queue.GetPermits() == nil || d.work.Step.Spec.GetGang() || r.Now-d.work.ReadyAt > preferredRackWait {
		return false
	}
	for _, u := range r.usableFor(d) {
		if u.GetRack() == rack && !d.work.Denied[u.GetId()] && !d.work.hasPermit(u, r.Now) && r.fits(d.work, u) {
			return true
		}
	}
	return false
}

// dueSoon reports whether an occurrence is not due yet but becomes due within the given time.
func (r *round) dueSoon(o *pipeline.Occurrence, within time.Duration) bool {
	return o.DueNS > r.WallNS && o.DueNS <= r.WallNS+int64(within)
}
