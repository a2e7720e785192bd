package sched

import (
	"github.com/bulrushwinch/bulrushwinch/resource"
)

// Settings tune the policies.
type Settings struct {
	// Seed breaks ties between equal choices.
	Seed uint64
}

// DefaultSettings suit a cell of any size.
var DefaultSettings = Settings{Seed: 1}

// Cell is the scheduler's picture of the cluster. It is not safe for concurrent use.
type Cell struct {
	settings  Settings
	teams     map[string]*team
	domains   map[string]*Domain
	upstreams map[string]*upstream
	jobs      map[JobID]*job
	// order lists upstreams by name and waiting lists jobs by number.
	order   []*upstream
	waiting []*job
}

type team struct {
	Team
	used resource.Vector
}

type upstream struct {
	Upstream
	used  resource.Vector
	tasks map[TaskRef]*task
}

type job struct {
	Job
	tasks []task
}

type task struct {
	job    *job
	status TaskStatus
}

// NewCell returns an empty cell.
func NewCell(s Settings) *Cell {
	return &Cell{settings: s, teams: make(map[string]*team), domains: make(map[string]*Domain),
		upstreams: make(map[string]*upstream), jobs: make(map[JobID]*job)}
}

// PutTeam adds or changes a team.
func (c *Cell) PutTeam(t Team) {
	if known := c.teams[t.Name]; known != nil {
		known.Team = t
		return
	}
	c.teams[t.Name] = &team{Team: t}
}

// PutDomain adds or changes a failure domain.
func (c *Cell) PutDomain(d Domain) { c.domains[d.Name] = &d }

// PutUpstream adds or changes an upstream.
func (c *Cell) PutUpstream(u Upstream) {
	if known := c.upstreams[u.Name]; known != nil {
		known.Upstream = u
		return
	}
	added := &upstream{Upstream: u, tasks: make(map[TaskRef]*task)}
	c.upstreams[u.Name] = added
	c.order = append(c.order, added)
}

// AddJob adds a job whose tasks all wait under attempt 1.
func (c *Cell) AddJob(info Job) {
	j := &job{Job: info, tasks: make([]task, len(info.Needs))}
	for i := range j.tasks {
		j.tasks[i] = task{job: j, status: TaskStatus{Ref: TaskRef{info.ID, int32(i), 1}}}
	}
	c.jobs[info.ID] = j
	c.waiting = append(c.waiting, j)
}

// RemoveJob forgets a job whose tasks hold nothing.
func (c *Cell) RemoveJob(id JobID) {
	j := c.jobs[id]
	if j == nil {
		return
	}
	delete(c.jobs, id)
	for i, w := range c.waiting {
		if w == j {
			c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
			return
		}
	}
}

// SetTask records where a task stands.
func (c *Cell) SetTask(s TaskStatus) {
	j := c.jobs[s.Ref.Job]
	if j == nil {
		return
	}
	t := &j.tasks[s.Ref.Index]
	c.release(t)
	t.status = s
	c.hold(t)
}

func holds(p Phase) bool { return p == Placed || p == Running || p == Stopping }

func (c *Cell) release(t *task) {
	u := c.upstreams[t.status.Upstream]
	if !holds(t.status.Phase) || u == nil {
		return
	}
	u.used = u.used.Sub(t.status.Reserved)
	delete(u.tasks, t.status.Ref)
	tm := c.teams[t.job.Team]
	tm.used = tm.used.Sub(t.status.Reserved)
}

func (c *Cell) hold(t *task) {
	u := c.upstreams[t.status.Upstream]
	if !holds(t.status.Phase) || u == nil {
		return
	}
	u.used = u.used.Add(t.status.Reserved)
	u.tasks[t.status.Ref] = t
	tm := c.teams[t.job.Team]
	tm.used = tm.used.Add(t.status.Reserved)
}

// AttemptEnded records how an attempt ended.
func (c *Cell) AttemptEnded(AttemptEnd) {}

// ObserveUsage records what a running task uses.
func (c *Cell) ObserveUsage(Usage) {}
