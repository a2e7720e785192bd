package sched

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

// Cell is the scheduler's picture of the cluster. It is not safe for concurrent use.
type Cell struct {
	settings  Settings
	now       time.Time
	began     time.Time
	teams     map[string]*team
	teamOrder []*team
	classes   map[classKey]*class
	domains   map[string]*domain
	// domainOrder lists domains in order of their first mention.
	domainOrder []*domain
	racks       map[rackKey]*rack
	rackOrder   []*rack
	upstreams   map[string]*upstream
	// upstreamOrder lists upstreams in upstreamOrder of their first mention.
	upstreamOrder []*upstream
	jobs          map[JobID]*job

	// total is the capacity of all upstreams that may get work.
	total resource.Vector
	// sizes counts the known upstreams by capacity, lost ones included.
	sizes map[resource.Vector]int
	// known is the capacity of all known upstreams.
	known resource.Vector
	// typical is the mean capacity of the known upstreams.
	typical resource.Vector
	// blocked counts the upstreams that may not get work, by reason.
	blocked reasonCounts

	timers timers
	parked []parked
	// wakeAt is when a round is due without a change of facts; zero if none is.
	wakeAt time.Time
	// unchecked lists jobs that were not yet checked against the largest VMs; recheck
	// is set when a size of VM has vanished.
	unchecked         []JobID
	recheck           bool
	draining          map[*upstream]bool
	overcommitted     map[*upstream]bool
	overLimit         map[*team]bool
	quarantined       map[*upstream]bool
	reservations      []*reservation
	stoppingUpstreams map[*upstream]bool
	rationales        map[TaskRef]*rationale
	dirty             bool
}

// NewCell returns an empty cell.
func NewCell(s Settings) *Cell {
	return &Cell{settings: s.withDefaults(), teams: make(map[string]*team), classes: make(map[classKey]*class),
		domains: make(map[string]*domain), racks: make(map[rackKey]*rack), upstreams: make(map[string]*upstream),
		jobs: make(map[JobID]*job), sizes: make(map[resource.Vector]int), draining: make(map[*upstream]bool),
		overcommitted: make(map[*upstream]bool), overLimit: make(map[*team]bool), quarantined: make(map[*upstream]bool),
		stoppingUpstreams: make(map[*upstream]bool), rationales: make(map[TaskRef]*rationale), dirty: true}
}

// PutTeam adds or changes a team.
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

// AddJob adds a job whose tasks all wait under attempt 1.
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

func (c *Cell) class(team, name string) *class {
	key := classKey{team, name}
	cl := c.classes[key]
	if cl == nil {
		cl = &class{team: team, name: name}
		c.classes[key] = cl
	}
	return cl
}

// RemoveJob forgets a job whose tasks hold nothing.
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

// SetTask records where a task stands.
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

func holdsCapacity(p Phase) bool { return p == Placed || p == Running || p == Stopping }

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

// bookStopping counts capacity that is about to be freed.
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

// assign books a live task on its upstream and team.
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

// release frees what a live task holds.
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
