package placement

import "slices"

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
	// means is the mean work of the waiting jobs of each queue, counts their number.
	means, counts map[string]float64
	// backlog is the sum of works in seconds of all cores; overloaded is set if much of it can't be done in time.
	backlog    float64
	overloaded bool
}

// waitingWork is the work that a demand's job still waits for, and the time that it has to spare.
type waitingWork struct {
	work    float64
	urgency urgency
}

// measureLoads measures the waiting work of each service.
func (r *round) measureLoads(demands []demand) {
	for _, d := range demands {
		if d.copies || d.work.Step.Spec.GetLasting() || d.queue.GetPriority() == urgentPriority {
			continue
		}
		l := r.loads[d.queue.GetService()]
		if l == nil {
			l = &load{means: make(map[string]float64), counts: make(map[string]float64)}
			r.loads[d.queue.GetService()] = l
		}
		l.works = append(l.works, waitingWork{r.leftWork(d), d.urgency})
		queue := d.queue.GetName()
		l.counts[queue]++
		l.means[queue] += (r.wholeWork(d.work.Step.Occurrence) - l.means[queue]) / l.counts[queue]
	}
	for service, l := range r.loads {
		if l.measure(float64(r.pool(service).totalCores)); l.overloaded {
			r.out.Overloads = append(r.out.Overloads, Overload{service, l.backlog})
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
		return compareUrgencies(a.urgency, b.urgency)
	})
	ahead, late := 0.0, 0.0
	for _, w := range l.works {
		if w.urgency.prospect != inTime || ahead/cores > spareShare*w.urgency.slack.Seconds() {
			late += w.work
		}
		ahead += w.work
	}
	l.backlog = ahead / cores
	l.overloaded = l.backlog >= minBacklog && late >= lateShare*ahead
}

// compareUrgencies orders by prospect and then by slack.
func compareUrgencies(a, b urgency) int {
	if a.prospect != b.prospect {
		return int(a.prospect) - int(b.prospect)
	}
	switch {
	case a.slack < b.slack:
		return -1
	case a.slack > b.slack:
		return 1
	}
	return 0
}
