package placement

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// maxRunsPerRound is the number of runs after which a round places no further step. It limits the
// size of a Place command.
const maxRunsPerRound = 512

// Decision is the result of a round.
type Decision struct {
	// Runs are to be placed; Tickets holds the tickets of those that need one, at the same index.
	Runs    []*pipelinev1.Run
	Tickets []string
	// Stops are runs that give way to more urgent work.
	Stops []Stop
	// Questions are to be put to the permit service, the most urgent first.
	Questions []*Question
	// Reserved are the gangs for which upstreams were reserved in this round.
	Reserved []ReservedGang
	// Waits are reasons for which steps wait, for the log.
	Waits []Wait
	// Overloads are the services whose waiting work can't all be done in time.
	Overloads []Overload
	// Copies are those of Runs that are second runs of their tasks, CopiesRefused the number of tasks whose copy is refused
	// by the budget for the first time.
	Copies        []Copy
	CopiesRefused int
	// Inspected is the number of upstreams and runs that the round looked at. Its length follows it.
	Inspected int
}

// Stop is a run that gives way to a step.
type Stop struct {
	Run *pipeline.Run
	For *pipeline.Step
}

// round is the state of one round: its input, and what it has decided so far.
type round struct {
	*Cell
	// pools are the services by name.
	pools map[string]*pool
	// used is what the round has placed, by team.
	used map[string]pipeline.Resources
	// promised is what the round keeps within each team's limit for steps that start soon.
	promised map[string][]promise
	// nextAtLimit is what the steps need, by team, for which askAll considered questions so far although their
	// team is at its limit.
	nextAtLimit map[string]pipeline.Resources
	// touched are the upstreams whose placed count is not zero.
	touched []*Upstream
	// leastUrgent caches the highest priority number of each service's queues.
	leastUrgent map[string]int32
	// urgencies caches the urgency of each step.
	urgencies map[*pipeline.Step]urgency
	// loads is the waiting work by service.
	loads map[string]*load
	// teamRuns caches the runs of teams in the order of compareVictims.
	teamRuns map[string][]*pipeline.Run
	// teamReleases caches the expected ends of teams' runs.
	teamReleases map[string][]release
	// teamYields caches what teams can give to their own demands.
	teamYields map[string][]*teamYield
	// stopped are the runs that the round stops.
	stopped map[*pipeline.Run]bool
	// timings caches what is known of run times, copyCases why tasks should have copies.
	timings   map[timingKey]timing
	copyCases map[*pipeline.Task]Copy
	// unplaced are the demands that found no place, or not for all tasks.
	unplaced []demand
	out      Decision
}

// Decide runs one round: it places the tasks that can be placed, stops work that gives way, and
// composes the permit questions that are missing.
func Decide(c *Cell) Decision {
	r := newRound(c)
	return r.decide(r.demands())
}

// decide runs the round on demands in scheduling order.
func (r *round) decide(demands []demand) Decision {
	for _, d := range demands {
		if len(r.out.Runs) >= maxRunsPerRound {
			break
		}
		r.placeStep(d)
	}
	for _, d := range r.unplaced {
		r.preempt(d)
	}
	r.askAll()
	for _, d := range r.unplaced {
		r.reportWait(d)
	}
	return r.out
}

// pool is what a service has for new work.
type pool struct {
	// usable are the upstreams that may get new work, freeCores and totalCores the sums of theirs, in
	// thousandths of a core.
	usable                []*Upstream
	freeCores, totalCores int64
	// fastest is the least slowness of usable, copies what copies use.
	fastest float64
	copies  copyUse
	// yielding caches the cores that urgent queues may take from other work.
	yielding      int64
	knowsYielding bool
}

// newRound prepares the upstreams of a cell for a round.
func newRound(c *Cell) *round {
	r := &round{Cell: c, pools: make(map[string]*pool), used: make(map[string]pipeline.Resources), promised: make(map[string][]promise), nextAtLimit: make(map[string]pipeline.Resources),
		urgencies: make(map[*pipeline.Step]urgency), loads: make(map[string]*load), stopped: make(map[*pipeline.Run]bool),
		teamRuns: make(map[string][]*pipeline.Run), teamYields: make(map[string][]*teamYield), teamReleases: make(map[string][]release),
		timings: make(map[timingKey]timing), copyCases: make(map[*pipeline.Task]Copy)}
	r.out.Inspected = len(c.Upstreams)
	for _, u := range c.Upstreams {
		u.free, u.placed, u.yields, u.knowsWhenIdle, u.knowsEnds, u.suspect = u.Free(), 0, nil, false, false, nil
		u.Usable = u.Usable && !c.State.DomainOut(u.GetFailureDomain())
		if u.Usable {
			u.slowness = c.Learner.slownessOf(u)
			r.pool(u.GetService()).add(u)
		}
	}
	return r
}

// pool returns the pool of a service.
func (r *round) pool(service string) *pool {
	p := r.pools[service]
	if p == nil {
		p = &pool{}
		r.pools[service] = p
	}
	return p
}

// add adds an upstream that may get new work.
func (p *pool) add(u *Upstream) {
	if len(p.usable) == 0 || u.slowness < p.fastest {
		p.fastest = u.slowness
	}
	p.usable = append(p.usable, u)
	p.freeCores += u.free.MilliCores
	p.totalCores += u.Capacity.MilliCores
}

// poolFor returns the pool of the service that runs a demand.
func (r *round) poolFor(d demand) *pool { return r.pool(d.queue.GetService()) }

// usableFor returns the usable upstreams of the service that runs a demand.
func (r *round) usableFor(d demand) []*Upstream { return r.poolFor(d).usable }

// placeStep assigns the step's waiting tasks to upstreams. A gang is placed as a whole or not at
// all.
func (r *round) placeStep(d demand) {
	st := d.work.Step
	gang := st.Spec.GetGang()
	if d.copies {
		if d.tasks = r.allowedCopies(d); len(d.tasks) == 0 {
			return
		}
	}
	if gang && !r.withinLimit(d) {
		r.promiseNextEnds(d)
	}
	if !r.withinLimit(d) || gang && r.mustLeaveHeadroom(d) {
		r.unplaced = append(r.unplaced, d)
		return
	}
	r.beginStep()
	candidates, rackUnasked := r.candidates(d), r.preferredRackUnasked(d)
	from := len(r.out.Runs)
	for i, t := range d.tasks {
		u := r.best(d, t, len(d.tasks)-i, candidates)
		if u == nil || r.offPreferredRack(d.work, u) && rackUnasked || !gang && (!r.withinLimit(d) || r.mustLeaveHeadroom(d)) {
			break
		}
		if d.copies && !r.worthOn(t, u) {
			return
		}
		r.assign(d, t, u)
	}
	rest := d.tasks[len(r.out.Runs)-from:]
	switch {
	case gang && len(rest) > 0:
		r.unassign(d, from)
		rest = d.tasks
		r.promiseStart(d)
	case gang:
		r.release(d)
	}
	if len(rest) > 0 {
		d.tasks = rest
		r.unplaced = append(r.unplaced, d)
	}
}

// beginStep resets the counts of the step that was considered last.
func (r *round) beginStep() {
	for _, u := range r.touched {
		u.placed = 0
	}
	r.touched = r.touched[:0]
}

// assign places a task on an upstream.
func (r *round) assign(d demand, t *pipeline.Task, u *Upstream) {
	st := t.Step
	u.free = u.free.Minus(st.Need)
	r.used[st.Job().Team] = r.used[st.Job().Team].Plus(st.Need)
	if u.placed == 0 {
		r.touched = append(r.touched, u)
	}
	u.placed++
	if t.Suspect() {
		u.suspect = st.Job()
	}
	r.pool(u.GetService()).freeCores -= st.Need.MilliCores
	number := t.LastRun + 1
	if st.Spec.GetGang() {
		number = st.LastRun + 1
	}
	r.out.Runs = append(r.out.Runs, &pipelinev1.Run{Task: t.Key().Proto(), Number: number, Upstream: u.GetId(), Born: u.GetBorn()})
	r.out.Tickets = append(r.out.Tickets, d.work.Permits[u.GetId()].Ticket)
	if d.copies {
		r.takeCopy(d, t)
	}
}

// unassign takes the placements of a step back, which are those from an index on.
func (r *round) unassign(d demand, from int) {
	st := d.work.Step
	for _, run := range r.out.Runs[from:] {
		u := r.byID[run.GetUpstream()]
		u.free = u.free.Plus(st.Need)
		r.used[st.Job().Team] = r.used[st.Job().Team].Minus(st.Need)
		r.pool(u.GetService()).freeCores += st.Need.MilliCores
	}
	r.out.Runs, r.out.Tickets = r.out.Runs[:from], r.out.Tickets[:from]
	r.beginStep()
}

// endOf returns when a task of a step that starts now on an upstream is expected to end; lasting
// tasks never do.
func (r *round) endOf(st *pipeline.Step, u *Upstream) time.Duration {
	if st.Spec.GetLasting() {
		return 1<<63 - 1
	}
	return r.Now + time.Duration(float64(r.Learner.Expected(st))*u.slowness)
}
