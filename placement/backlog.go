package placement

import (
	"math"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

const (
	// flowWindow is the time constant of the measured rates of a Flow.
	flowWindow = 5 * time.Second
	// BacklogKnown is the time after the begin of a leadership from which on its Backlog is known: until then the
	// rates are of too few runs, and upstreams have not been heard of.
	BacklogKnown = 5 * time.Second
	// BacklogInterval is the time between two summaries, each of which looks at all tasks of steps that are ready
	// (1.1 ms for 8,500 tasks).
	BacklogInterval = 250 * time.Millisecond
	// minThroughput is the part of the capacity that a service is assumed to complete at least, so that little
	// demand, or a stall of some seconds, does not look like a lack of capacity.
	minThroughput = 0.5
	// leastLeft is the part of its expected run time that a run is assumed to need still, however long it took.
	leastLeft = 0.1
)

// Flow measures the work that is completed and admitted, in core-milliseconds a second. Work is counted by its
// expected run time, as in a Backlog, so that errors of estimates cancel out.
type Flow struct {
	began  time.Duration
	queues map[pipeline.Route]*queueFlow
}

// queueFlow is the part of a queue. Its service and priority are read from the active configuration when a Backlog is
// summarized, as they may have changed since.
type queueFlow struct {
	// settings are those that were seen last, for a queue that is not in the active configuration.
	settings            *pipelinev1.Queue
	completed, admitted decaying
	// chain is the mean length of the longest chain of an admitted job in nanoseconds.
	chain average
}

// decaying is a sum whose parts decay with flowWindow.
type decaying struct {
	sum float64
	at  time.Duration
}

func (d *decaying) add(x float64, now time.Duration) { d.sum, d.at = d.now(now)+x, now }

func (d *decaying) now(now time.Duration) float64 {
	return d.sum * math.Exp(-(now-d.at).Seconds()/flowWindow.Seconds())
}

// NewFlow returns a Flow that is measured from now on.
func NewFlow(now time.Duration) *Flow {
	return &Flow{began: now, queues: make(map[pipeline.Route]*queueFlow)}
}

// queue returns the part of a queue with some settings.
func (f *Flow) queue(settings *pipelinev1.Queue) *queueFlow {
	r := pipeline.RouteOf(settings)
	q := f.queues[r]
	if q == nil {
		q = &queueFlow{}
		f.queues[r] = q
	}
	q.settings = settings
	return q
}

// RunDone counts a run that completed.
func (f *Flow) RunDone(r *pipeline.Run, q *pipelinev1.Queue, l *Learner, now time.Duration) {
	if r.Task.Step.Spec.GetLasting() {
		return
	}
	f.queue(q).completed.add(workOf(r.Task.Step.Need.MilliCores, 1, l.Expected(r.Task.Step)), now)
}

// Admitted counts a job that was admitted.
func (f *Flow) Admitted(spec *pipelinev1.JobSpec, q *pipelinev1.Queue, l *Learner, now time.Duration) {
	if hasLastingStep(spec) || spec.GetRepeatCount() > 0 {
		return
	}
	work, chain := ownWork(spec, q, l)
	into := f.queue(q)
	into.admitted.add(work, now)
	into.chain.add(float64(chain), learnRate)
}

// rate returns a decaying sum a second.
func (f *Flow) rate(d *decaying, now time.Duration) float64 {
	seen := 1 - math.Exp(-(now-f.began).Seconds()/flowWindow.Seconds())
	return d.now(now) / (flowWindow.Seconds() * max(seen, 0.1))
}

// workOf returns the core-milliseconds of tasks of some thousandths of a core each.
func workOf(milliCores int64, tasks int, each time.Duration) float64 {
	return float64(milliCores) / 1000 * float64(tasks) * float64(each) / float64(time.Millisecond)
}

// Backlog is a summary of what waits and runs. The zero value and nil are unknown.
type Backlog struct {
	known    bool
	services map[string]*serviceBacklog
	learner  *Learner
	flow     *Flow
}

// serviceBacklog is the part of a service.
type serviceBacklog struct {
	// capacity is that of all upstreams that are not taken out of service, rate the work that is completed; both in
	// core-milliseconds a second. Upstreams that are silent for some seconds count, as their silence may end.
	capacity, rate float64
	// classes holds the admitted work by priority.
	classes map[int32]*classBacklog
}

// classBacklog is the admitted work of a priority.
type classBacklog struct {
	// left is the work whose result can still be of use, in core-milliseconds; byTeam are its parts.
	left   float64
	byTeam map[string]float64
	// waiting is the part of left that does not run yet, jobs what it consists of.
	waiting float64
	jobs    []waitingJob
	// admitted is the rate of newly admitted work in core-milliseconds a second.
	admitted float64
	// overShare are the teams that are over their share in what this priority and more urgent ones used lately
	// and have left to do.
	overShare map[string]bool
}

// waitingJob is the work of a team's job that is left, and the part of it that does not run yet, in core-milliseconds.
type waitingJob struct {
	team          string
	left, waiting float64
}

// before returns the waiting work of a class that a team's new job with some work of its own finds before it. Teams that
// are over their share come after the others, and among jobs that are not urgent those with more left to do after
// those with less, as they lose less for each core-second that they wait.
func (c *classBacklog) before(team string, own float64) (work float64) {
	for _, j := range c.jobs {
		if j.left <= own && (c.overShare[team] || !c.overShare[j.team]) {
			work += j.waiting
		}
	}
	return work
}

// Summarize returns the backlog of a cell. Its cost is proportional to the number of steps and runs.
func (c *Cell) Summarize(f *Flow) *Backlog {
	b := &Backlog{known: c.Now-f.began >= BacklogKnown, services: make(map[string]*serviceBacklog), learner: c.Learner, flow: f}
	r := &round{Cell: c, urgencies: make(map[*pipeline.Step]urgency)}
	for _, u := range c.Upstreams {
		if !c.State.DomainOut(u.GetFailureDomain()) {
			b.service(u.GetService()).capacity += float64(u.Capacity.MilliCores)
		}
	}
	seen := make(map[*pipeline.Occurrence]bool)
	for st := range c.Steps {
		if !seen[st.Occurrence] && st.Occurrence.DueNS <= c.WallNS && !st.Job().HasLastingStep() {
			seen[st.Occurrence] = true
			b.addOccurrence(r, st)
		}
	}
	b.addFlow(c)
	for _, s := range b.services {
		for priority, class := range s.classes {
			class.overShare = s.teamsOverShare(r, priority)
		}
	}
	return b
}

// addFlow adds the rates of each queue to its service.
func (b *Backlog) addFlow(c *Cell) {
	for r, f := range b.flow.queues {
		q := c.State.Config().QueueAt(r)
		if q == nil {
			q = f.settings
		}
		s := b.service(q.GetService())
		s.rate += b.flow.rate(&f.completed, c.Now)
		s.class(q.GetPriority()).admitted += b.flow.rate(&f.admitted, c.Now)
	}
}

// addOccurrence adds what is left of the occurrence of a step, if its result can still be of use.
func (b *Backlog) addOccurrence(r *round, st *pipeline.Step) {
	q := r.State.JobQueue(st.Job())
	if r.urgencyOf(st).prospect == tooLate {
		return
	}
	class := b.service(q.GetService()).class(q.GetPriority())
	left, waitingBefore := class.left, class.waiting
	defer func() {
		if waits := class.waiting - waitingBefore; waits > 0 {
			class.jobs = append(class.jobs, waitingJob{st.Job().Team, class.left - left, waits})
		}
	}()
	for _, other := range st.Occurrence.Steps {
		if other.Undone == 0 {
			continue
		}
		expected, waiting := r.Learner.Expected(other), other.Undone
		if other.Ready() {
			waiting = 0
			for _, t := range other.Tasks {
				switch {
				case t.Done:
				case len(t.Live) == 0:
					waiting++
				default:
					ran := min(time.Duration(r.WallNS-t.Live[0].PlacedNS), time.Duration((1-leastLeft)*float64(expected)))
					class.add(st.Job().Team, workOf(other.Need.MilliCores, 1, expected-ran), 0)
				}
			}
		}
		work := workOf(other.Need.MilliCores, waiting, expected)
		class.add(st.Job().Team, work, work)
	}
}

// add adds work of a team that is left, and how much of it waits.
func (c *classBacklog) add(team string, left, waiting float64) {
	c.left, c.waiting = c.left+left, c.waiting+waiting
	c.byTeam[team] += left
}

// teamsOverShare returns the teams that are over their share in what work of a priority and of more urgent ones
// used lately and has left to do.
func (s *serviceBacklog) teamsOverShare(r *round, priority int32) map[string]bool {
	uses := r.usesUpTo(priority)
	for team, use := range uses {
		uses[team] = use * recentWindow.Seconds()
	}
	for p, c := range s.classes {
		if p <= priority {
			for team, left := range c.byTeam {
				uses[team] += left
			}
		}
	}
	all, out := r.sharesOf(uses), make(map[string]bool)
	for team := range uses {
		out[team] = r.overShare(all, team)
	}
	return out
}

func (b *Backlog) service(name string) *serviceBacklog {
	s := b.services[name]
	if s == nil {
		s = &serviceBacklog{classes: make(map[int32]*classBacklog)}
		b.services[name] = s
	}
	return s
}

func (s *serviceBacklog) class(priority int32) *classBacklog {
	c := s.classes[priority]
	if c == nil {
		c = &classBacklog{byTeam: make(map[string]float64)}
		s.classes[priority] = c
	}
	return c
}

// throughput returns the core-milliseconds a second that a service completes, as far as it is known to.
func (s *serviceBacklog) throughput() float64 {
	return min(max(s.rate, minThroughput*s.capacity), max(s.capacity, 1))
}

// ahead returns the work, in core-milliseconds, that a team's new job of a priority with some work of its own finds
// before it, and the rate at which it is done beside the more urgent work that keeps coming.
func (s *serviceBacklog) ahead(priority int32, team string, own float64) (work, rate float64) {
	rate = s.throughput()
	if priority == urgentPriority {
		// Urgent jobs are served in the order of their slack, whatever their work.
		own = math.Inf(1)
	}
	for p, c := range s.classes {
		switch {
		case p < priority:
			work += c.waiting
		case p == priority:
			work += c.before(team, own)
		}
		if p < priority {
			rate -= c.admitted
		}
	}
	return work, max(rate, 0.1*s.throughput(), 1)
}

// Waits calls f for each service and priority with the admitted work that is left, in core-milliseconds, and the time
// after which a new job's work is expected to begin.
func (b *Backlog) Waits(f func(service string, priority int32, left float64, start time.Duration)) {
	for name, s := range b.services {
		for priority, c := range s.classes {
			_, rate := s.ahead(priority, "", math.Inf(1))
			waiting := 0.0
			for p, other := range s.classes {
				if p <= priority {
					waiting += other.waiting
				}
			}
			f(name, priority, c.left, time.Duration(waiting/rate*float64(time.Second)))
		}
	}
}
