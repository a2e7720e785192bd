package placement

import (
	"cmp"
	"slices"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
)

const (
	// minBacklog is the waiting work, in seconds of all cores of its service, from which on a service can be
	// overloaded.
	minBacklog = 1.5
	// lateShare is the share of that work that can't be done in time from which on it is.
	lateShare = 0.1
	// spareShare is the share of a job's slack within which the work that goes before it has to fit on all cores: later
	// arrivals and urgent work take most of the cores meanwhile.
	spareShare = 0.125
)

// Overload is a service whose waiting work can't all be done in time.
type Overload struct {
	Service string
	// Backlog is the work that waits, in seconds of all cores of the service.
	Backlog float64
}

// load is the waiting work of the less urgent queues of a service.
type load struct {
	// works is the waiting work of each demand, in thousandths of core-seconds, with its urgency.
	works []waitingWork
	// sums is the work of the waiting jobs of each queue, counts their number, if the service is overloaded.
	sums, counts map[pipeline.Route]int64
	// backlog is the sum of works in seconds of all cores; overloaded is set if much of it can't be done in time.
	backlog    float64
	overloaded bool
}

// waitingWork is the work that a demand's job still waits for, and the time that it has to spare.
type waitingWork struct {
	work    int64
	urgency urgency
}

// meanWork returns the mean work of the waiting jobs of a queue.
func (l *load) meanWork(queue pipeline.Route) float64 {
	return float64(l.sums[queue]) / float64(max(1, l.counts[queue]))
}

// measureLoads measures the waiting work of each service.
func (r *round) measureLoads(demands []demand) {
	for _, d := range demands {
		if d.copies || d.work.Step.Spec.GetLasting() || d.queue.GetPriority() == urgentPriority {
			continue
		}
		l := r.loads[d.queue.GetService()]
		if l == nil {
			l = &load{sums: make(map[pipeline.Route]int64), counts: make(map[pipeline.Route]int64)}
			r.loads[d.queue.GetService()] = l
		}
		l.works = append(l.works, waitingWork{int64(r.leftWork(d)), d.urgency})
	}
	for service, l := range r.loads {
		if l.measure(float64(r.pool(service).totalCores)); l.overloaded {
			r.out.Overloads = append(r.out.Overloads, Overload{service, l.backlog})
		}
	}
	slices.SortFunc(r.out.Overloads, func(a, b Overload) int { return cmp.Compare(a.Service, b.Service) })
	for _, d := range demands {
		if l := r.loads[d.queue.GetService()]; l != nil && l.overloaded {
			route := d.work.Step.Job().Route()
			l.counts[route]++
			l.sums[route] += int64(r.wholeWork(d.work.Step.Occurrence))
		}
	}
}

// measure finds out whether much of the waiting work can't be done in time, were it done with the least slack
// first on so many thousandths of cores. A service without any is not overloaded but out of service.
func (l *load) measure(cores float64) {
	if cores == 0 {
		return
	}
	slices.SortFunc(l.works, func(a, b waitingWork) int {
		return cmp.Or(cmp.Compare(a.urgency.prospect, b.urgency.prospect), cmp.Compare(a.urgency.slack, b.urgency.slack), cmp.Compare(a.work, b.work))
	})
	var ahead, late int64
	for _, w := range l.works {
		if w.urgency.prospect != inTime || float64(ahead)/cores > spareShare*w.urgency.slack.Seconds() {
			late += w.work
		}
		ahead += w.work
	}
	l.backlog = float64(ahead) / cores
	l.overloaded = l.backlog >= minBacklog && float64(late) >= lateShare*float64(ahead)
}
