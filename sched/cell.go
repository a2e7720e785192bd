package sched

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

// Cell is the scheduler's model of the cluster. It is not safe for concurrent use.
type Cell struct {
	// settings holds the policy parameters with the defaults filled in.
	settings Settings
	// now is the time of the latest SetTime or Decide.
	now time.Time
	// began is the first time that the cell was given.
	began time.Time
	// teams finds a team by its name; teamOrder lists teams in order of their first
	// mention.
	teams     map[string]*team
	teamOrder []*team
	// classes, domains, racks, upstreams and jobs find their values by key.
	classes map[classKey]*class
	domains map[string]*domain
	// domainOrder lists domains in order of their first mention.
	domainOrder []*domain
	// rackOrder lists racks in order of their first mention.
	racks     map[rackKey]*rack
	rackOrder []*rack
	upstreams map[string]*upstream
	// upstreamOrder lists upstreams in order of their first mention.
	upstreamOrder []*upstream
	jobs          map[JobID]*job

	// total is the capacity of all upstreams that may be given work.
	total resource.Vector
	// sizes counts the known upstreams by capacity, including lost ones.
	sizes map[resource.Vector]int
	// known is the summed capacity of all known upstreams, including lost ones.
	known resource.Vector
	// typical is the mean capacity of the known upstreams.
	typical resource.Vector
	// blocked counts the upstreams by the reason why they may not be given work; those
	// that may are counted under Fits.
	blocked reasonCounts

	// timers holds the waiting tasks whose next attempt is delayed.
	timers timers
	// parked holds entries kept out of the queues for parkTime, earliest return first.
	parked []parked
	// wakeAt is when the next round is due even if no fact has changed; zero if none is.
	wakeAt time.Time
	// unchecked lists jobs that have not yet been checked against the largest VMs.
	// recheck is set when the last VM of some size is gone, so that all waiting jobs
	// have to be checked again.
	unchecked []JobID
	recheck   bool
	// draining holds the upstreams that are leaving or in a failure domain that is out.
	draining map[*upstream]bool
	// overcommitted holds upstreams whose reservations or reported use may exceed their
	// capacity.
	overcommitted map[*upstream]bool
	// overLimit holds teams whose use may exceed their limit.
	overLimit map[*team]bool
	// quarantined holds the upstreams that are paused because of failures.
	quarantined map[*upstream]bool
	// reservations lists the reservations of gangs and overdue tasks.
	reservations []*reservation
	// stoppingUpstreams holds the upstreams on which tasks are stopping.
	stoppingUpstreams map[*upstream]bool
	// rationales holds the reasons of the last round's placements until SetTask
	// confirms them; the next round that runs discards the rest.
	rationales map[TaskRef]*rationale
	// dirty is set when the next Decide has to run a round.
	dirty bool
}

// NewCell returns an empty cell with the given settings; fields of s that are zero
// take their values from DefaultSettings.
func NewCell(s Settings) *Cell {
	return &Cell{settings: s.withDefaults(), teams: make(map[string]*team), classes: make(map[classKey]*class),
		domains: make(map[string]*domain), racks: make(map[rackKey]*rack), upstreams: make(map[string]*upstream),
		jobs: make(map[JobID]*job), sizes: make(map[resource.Vector]int), draining: make(map[*upstream]bool),
		overcommitted: make(map[*upstream]bool), overLimit: make(map[*team]bool), quarantined: make(map[*upstream]bool),
		stoppingUpstreams: make(map[*upstream]bool), rationales: make(map[TaskRef]*rationale), dirty: true}
}

// PutTeam adds or changes a team. A share below 1 counts as 1.
func (c *Cell) PutTeam(t Team) {
	t.Share = max(1, t.Share)
	known := c.teams[t.Name]
	if known == nil {
		known = newTeam(len(c.teamOrder))
		c.teams[t.Name] = known
		c.teamOrder = append(c.teamOrder, known)
	}
	known.Team = t
	c.checkLimit(known)
	c.dirty = true
}

// PutDomain adds or changes a failure domain.
func (c *Cell) PutDomain(d Domain) {
	known := c.domain(d.Name)
	known.update(c, d)
	for _, u := range known.members {
		c.refresh(u)
	}
	c.dirty = true
}

// domain returns the named failure domain; if it is not known yet, it is added as not
// configured.
func (c *Cell) domain(name string) *domain {
	d := c.domains[name]
	if d == nil {
		d = &domain{Domain: Domain{Name: name}, index: newIndex()}
		c.domains[name] = d
		c.domainOrder = append(c.domainOrder, d)
	}
	return d
}

// PutUpstream adds or changes an upstream.
func (c *Cell) PutUpstream(u Upstream) {
	known := c.upstreams[u.Name]
	if known == nil {
		known = &upstream{number: len(c.upstreamOrder)}
		c.upstreams[u.Name] = known
		c.upstreamOrder = append(c.upstreamOrder, known)
	} else {
		known.leaveRack()
	}
	c.countSize(u.Capacity, 1)
	if known.domain != nil {
		c.countSize(known.Capacity, -1)
	}
	if u.Incarnation != known.Incarnation {
		known.throttledAt = time.Time{}
	}
	known.Upstream = u
	known.joinRack(c)
	c.refresh(known)
	c.dirty = true
}

// countSize adds n to the number of upstreams with the given capacity and updates the
// sums that follow from it.
func (c *Cell) countSize(capacity resource.Vector, n int) {
	c.sizes[capacity] += n
	for d, amount := range capacity {
		c.known[d] += int64(n) * amount
		c.typical[d] = c.known[d] / int64(max(1, len(c.upstreamOrder)))
	}
	if c.sizes[capacity] == 0 {
		delete(c.sizes, capacity)
		c.recheck = true
	}
}

// fitsSomeVM reports whether an empty VM of a known size could hold the amounts.
func (c *Cell) fitsSomeVM(need resource.Vector) bool {
	for capacity := range c.sizes {
		if need.Fits(capacity) {
			return true
		}
	}
	return false
}

// AddJob adds a job whose tasks are all waiting for their first attempt, attempt 1. The
// job's team must be known.
func (c *Cell) AddJob(info Job) {
	j := &job{Job: info, class: c.class(info.Team, info.Class), tasks: make([]task, len(info.Needs))}
	for i := range j.tasks {
		j.tasks[i] = task{job: j, index: int32(i), attempt: 1, sample: noSamples}
	}
	c.jobs[info.ID] = j
	for i := range j.tasks {
		c.enqueue(&j.tasks[i])
	}
	c.unchecked = append(c.unchecked, info.ID)
	c.dirty = true
}

// class returns the named class of a team, and adds it if it is not known yet.
func (c *Cell) class(team, name string) *class {
	key := classKey{team, name}
	cl := c.classes[key]
	if cl == nil {
		cl = &class{team: team, name: name}
		c.classes[key] = cl
	}
	return cl
}

// RemoveJob removes a job. None of its tasks may hold capacity. An unknown ID is ignored.
func (c *Cell) RemoveJob(id JobID) {
	j := c.jobs[id]
	if j == nil {
		return
	}
	for i := range j.tasks {
		c.dequeue(&j.tasks[i])
	}
	c.endReservation(j)
	delete(c.jobs, id)
}

// SetTask records the current phase of a task. Tasks of unknown jobs are ignored.
func (c *Cell) SetTask(s TaskStatus) {
	j := c.jobs[s.Ref.Job]
	if j == nil {
		return
	}
	t := &j.tasks[s.Ref.Index]
	if holdsCapacity(t.phase) && holdsCapacity(s.Phase) && t.attempt == s.Ref.Attempt && t.up == c.upstreams[s.Upstream] {
		c.changePhase(t, s.Phase)
		return
	}
	c.dequeue(t)
	c.release(t)
	t.phase, t.attempt, t.notBefore = s.Phase, s.Ref.Attempt, s.NotBefore
	switch {
	case holdsCapacity(s.Phase):
		c.assign(t, c.upstreams[s.Upstream], s.Reserved)
	case s.Phase == Waiting:
		c.enqueue(t)
	}
	c.dirty = true
}

// holdsCapacity reports whether a task in the phase holds capacity of an upstream.
func holdsCapacity(p Phase) bool { return p == Placed || p == Running || p == Stopping }

// changePhase moves a task that keeps its attempt and upstream to another phase.
func (c *Cell) changePhase(t *task, p Phase) {
	if p == t.phase {
		return
	}
	if p == Running {
		t.since = c.now
	}
	if p == Stopping {
		c.bookStopping(t, t.reserved)
		c.dirty = true
	}
	t.phase = p
}

// bookStopping adds v to the capacity of the task's team and upstream that is about
// to be freed.
func (c *Cell) bookStopping(t *task, v resource.Vector) {
	tm := t.job.team(c)
	tm.stopping = tm.stopping.Add(v)
	t.up.stopping = t.up.stopping.Add(v)
	if t.up.stopping.IsZero() {
		delete(c.stoppingUpstreams, t.up)
	} else {
		c.stoppingUpstreams[t.up] = true
	}
}

// assign adds a live task to the bookkeeping of its upstream and team.
func (c *Cell) assign(t *task, u *upstream, reserved resource.Vector) {
	if u == nil {
		return
	}
	t.up, t.reserved, t.since = u, reserved, c.now
	t.use, t.sample, t.throttled = [len(measured)]int64{}, noSamples, false
	tm := t.job.team(c)
	t.pos = len(u.tasks)
	u.tasks = append(u.tasks, t)
	if t.phase == Stopping {
		c.bookStopping(t, reserved)
	}
	if t.job.Policy == Service {
		t.job.class.spread.add(u, 1)
	}
	u.domain.countStart(c.now)
	ref := t.ref()
	t.rationale = c.rationales[ref]
	delete(c.rationales, ref)
	tm.book(reserved)
	tm.pushLive(t)
	u.reserved = u.reserved.Add(reserved)
	u.load = u.load.Add(reserved)
	c.refresh(u)
	c.checkLimit(tm)
}

// release takes a task that has ended out of the bookkeeping of its upstream and team.
func (c *Cell) release(t *task) {
	u := t.up
	if u == nil {
		return
	}
	tm := t.job.team(c)
	if t.phase == Stopping {
		c.bookStopping(t, resource.Vector{}.Sub(t.reserved))
	}
	u.removeTask(t)
	if t.job.Policy == Service {
		t.job.class.spread.add(u, -1)
	}
	tm.book(resource.Vector{}.Sub(t.reserved))
	u.reserved = u.reserved.Sub(t.reserved)
	u.load = u.load.Sub(t.load())
	u.reportedUse = u.reportedUse.Sub(t.reportedUse())
	t.up, t.reserved, t.rationale = nil, resource.Vector{}, nil
	t.use = [len(measured)]int64{}
	c.refresh(u)
	c.checkLimit(tm)
}
