package timeline

import (
	"cmp"
	"slices"
	"sync"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
)

// Recorder keeps the newest events of a process in a ring buffer. It is safe for concurrent use.
type Recorder struct {
	process string
	clock   *Clock
	mu      sync.Mutex
	ring    []*apiv1.Event
	next    int
}

// NewRecorder returns a recorder that keeps the newest events of the named process, up to
// capacity, which must be positive.
func NewRecorder(process string, clock *Clock, capacity int) *Recorder {
	return &Recorder{process: process, clock: clock, ring: make([]*apiv1.Event, 0, capacity)}
}

// Clock returns the clock that stamps the events.
func (r *Recorder) Clock() *Clock { return r.clock }

// Add stamps and records an event, which the caller must not modify afterwards.
func (r *Recorder) Add(e *apiv1.Event) {
	stamp := r.clock.Now()
	e.WallNs, e.Logical, e.Process = stamp.WallNS, stamp.Logical, r.process
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, e)
		return
	}
	r.ring[r.next] = e
	r.next = (r.next + 1) % len(r.ring)
}

// Events returns the recorded events that match the filter, oldest first. If the filter sets
// MaxEvents, it returns the newest ones.
func (r *Recorder) Events(filter *apiv1.TimelineRequest) []*apiv1.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*apiv1.Event
	for i := range r.ring {
		e := r.ring[(r.next+i)%len(r.ring)]
		if Matches(filter, e) {
			out = append(out, e)
		}
	}
	return newest(out, filter.GetMaxEvents())
}

// Matches reports whether an event equals the filter in every field that the filter sets, apart
// from MaxEvents.
func Matches(f *apiv1.TimelineRequest, e *apiv1.Event) bool {
	return (f.GetJobId() == 0 || f.GetJobId() == e.GetJobId()) &&
		(f.GetRequestId() == "" || f.GetRequestId() == e.GetRequestId()) &&
		(f.GetUpstream() == "" || f.GetUpstream() == e.GetUpstream()) &&
		(f.GetTeam() == "" || f.GetTeam() == e.GetTeam()) &&
		(f.GetRevision() == 0 || f.GetRevision() == e.GetRevision())
}

// Merge returns the events of several processes sorted by their stamps, oldest first. If the filter
// sets MaxEvents, it returns the newest ones; other fields of the filter are ignored.
func Merge(filter *apiv1.TimelineRequest, lists ...[]*apiv1.Event) []*apiv1.Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, compareEvents)
	return newest(all, filter.GetMaxEvents())
}

func compareEvents(a, b *apiv1.Event) int {
	return cmp.Or(cmp.Compare(a.WallNs, b.WallNs), cmp.Compare(a.Logical, b.Logical), cmp.Compare(a.Process, b.Process))
}

func newest(events []*apiv1.Event, limit int32) []*apiv1.Event {
	if limit > 0 && len(events) > int(limit) {
		return events[len(events)-int(limit):]
	}
	return events
}
