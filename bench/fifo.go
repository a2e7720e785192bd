package main

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
	"github.com/bulrushwinch/bulrushwinch/sched"
)

// scheduler makes the placement decisions of a simulation. It is implemented by sched.Cell
// and by fifo; the methods are described at sched.Cell.
type scheduler interface {
	PutTeam(sched.Team)
	PutDomain(sched.Domain)
	PutUpstream(sched.Upstream)
	AddJob(sched.Job)
	RemoveJob(sched.JobID)
	SetTask(sched.TaskStatus)
	AttemptEnded(sched.AttemptEnd)
	ObserveUsage(sched.Usage)
	Decide(now time.Time, limit int) sched.Decision
}

// fifo is the FIFO baseline. It takes tasks in the order of submission and places each on
// the first upstream with room for its declared needs. Work that does not fit is skipped.
// It places nothing on inactive upstreams or in domains that are out; repeatable tasks in
// such a domain are stopped with a checkpoint at once.
type fifo struct {
	teams     map[string]*fifoTeam
	domains   map[string]sched.Domain
	upstreams []*fifoUpstream
	byName    map[string]*fifoUpstream
	jobs      map[sched.JobID]*fifoJob
	// queue holds the jobs in the order of submission.
	queue []*fifoJob
	// changed is set if the next decision may differ from the last one.
	changed bool
}

// fifoTeam is a team with the sum of its reservations.
type fifoTeam struct {
	sched.Team
	used resource.Vector
}

// fifoUpstream is an upstream with its reservations and the tasks that hold them.
type fifoUpstream struct {
	sched.Upstream
	used  resource.Vector
	tasks map[sched.TaskRef]bool
}

// fifoJob is a job with the status of its tasks; removed is set by RemoveJob.
type fifoJob struct {
	sched.Job
	tasks   []sched.TaskStatus
	removed bool
}

// newFIFO returns a baseline without teams, domains, upstreams or jobs.
func newFIFO() *fifo {
	return &fifo{teams: make(map[string]*fifoTeam), domains: make(map[string]sched.Domain),
		byName: make(map[string]*fifoUpstream), jobs: make(map[sched.JobID]*fifoJob)}
}

// PutTeam adds or replaces a team. Its use starts at zero.
func (f *fifo) PutTeam(t sched.Team) { f.teams[t.Name] = &fifoTeam{Team: t} }

// PutDomain adds or replaces a failure domain.
func (f *fifo) PutDomain(d sched.Domain) { f.domains[d.Name], f.changed = d, true }

// AttemptEnded does nothing: the baseline learns nothing from ended attempts.
func (f *fifo) AttemptEnded(sched.AttemptEnd) {}

// ObserveUsage does nothing: the baseline relies on the declared needs.
func (f *fifo) ObserveUsage(sched.Usage) {}

// PutUpstream adds an upstream, or updates it and keeps its reservations.
func (f *fifo) PutUpstream(u sched.Upstream) {
	f.changed = true
	if known := f.byName[u.Name]; known != nil {
		known.Upstream = u
		return
	}
	known := &fifoUpstream{Upstream: u, tasks: make(map[sched.TaskRef]bool)}
	f.byName[u.Name] = known
	f.upstreams = append(f.upstreams, known)
}

// AddJob appends a job to the queue with all its tasks waiting.
func (f *fifo) AddJob(j sched.Job) {
	fj := &fifoJob{Job: j, tasks: make([]sched.TaskStatus, len(j.Needs))}
	for i := range fj.tasks {
		fj.tasks[i].Ref = sched.TaskRef{Job: j.ID, Index: int32(i), Attempt: 1}
	}
	f.jobs[j.ID] = fj
	f.queue = append(f.queue, fj)
	f.changed = true
}

// RemoveJob removes a job; the next decision drops it from the queue.
func (f *fifo) RemoveJob(id sched.JobID) {
	if j := f.jobs[id]; j != nil {
		j.removed = true
		delete(f.jobs, id)
	}
}

// holdsCapacity reports whether a task in this status holds a reservation.
func holdsCapacity(s sched.TaskStatus) bool {
	return s.Phase == sched.Placed || s.Phase == sched.Running || s.Phase == sched.Stopping
}

// SetTask records the status of a task and updates the reservations of its upstream and
// team. It ignores tasks of removed jobs.
func (f *fifo) SetTask(s sched.TaskStatus) {
	j := f.jobs[s.Ref.Job]
	if j == nil {
		return
	}
	old := j.tasks[s.Ref.Index]
	if holdsCapacity(old) {
		u := f.byName[old.Upstream]
		u.used = u.used.Sub(old.Reserved)
		delete(u.tasks, old.Ref)
		f.teams[j.Team].used = f.teams[j.Team].used.Sub(old.Reserved)
	}
	if holdsCapacity(s) {
		u := f.byName[s.Upstream]
		u.used = u.used.Add(s.Reserved)
		u.tasks[s.Ref] = true
		f.teams[j.Team].used = f.teams[j.Team].used.Add(s.Reserved)
	}
	j.tasks[s.Ref.Index] = s
	f.changed = f.changed || s.Phase == sched.Waiting || s.Phase == sched.Ended
}

// Decide proposes at most about limit placements, and stops in domains that are out. The
// limit is checked before each job, so the last job may exceed it. The reservations made
// during the decision are undone at its end, since SetTask makes them again.
func (f *fifo) Decide(now time.Time, limit int) sched.Decision {
	var d sched.Decision
	if !f.changed {
		return d
	}
	f.changed = false
	f.stopInOutDomains(&d)
	r := fifoRound{fifo: f, now: now, decision: &d}
	f.queue = compact(f.queue)
	for _, j := range f.queue {
		if len(d.Placements) >= limit {
			f.changed = true
			break
		}
		r.placeJob(j)
	}
	for _, p := range d.Placements {
		r.reserve(p, -1)
	}
	return d
}

// compact drops removed jobs from the queue, in place.
func compact(queue []*fifoJob) []*fifoJob {
	kept := queue[:0]
	for _, j := range queue {
		if !j.removed {
			kept = append(kept, j)
		}
	}
	clear(queue[len(kept):])
	return kept
}

// stopInOutDomains proposes to stop, with a checkpoint, each repeatable task in a domain
// that is out, unless the task is stopping already.
func (f *fifo) stopInOutDomains(d *sched.Decision) {
	for _, u := range f.upstreams {
		if f.usable(u) || !f.domains[u.Domain].Out {
			continue
		}
		refs := slices.SortedFunc(maps.Keys(u.tasks), func(a, b sched.TaskRef) int {
			return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
		})
		for _, ref := range refs {
			if j := f.jobs[ref.Job]; j.Repeatable && j.tasks[ref.Index].Phase != sched.Stopping {
				d.Stops = append(d.Stops, sched.Stop{Task: ref, Checkpoint: true, Reason: sched.StopDomainOut})
			}
		}
	}
}

// usable reports whether tasks may be placed on an upstream.
func (f *fifo) usable(u *fifoUpstream) bool { return u.Active && !f.domains[u.Domain].Out }

// fifoRound is the state of one decision of the baseline.
type fifoRound struct {
	*fifo
	now      time.Time
	decision *sched.Decision
	// noRoom holds needs that fit on no upstream; whatever needs at least as much is skipped.
	noRoom []resource.Vector
}

// placeJob places the waiting tasks of a job in order, up to the first that does not fit or
// is in backoff. Of a gang it places all tasks or none, and only if all of them are waiting.
func (r *fifoRound) placeJob(j *fifoJob) {
	before := len(r.decision.Placements)
	for i := range j.tasks {
		s := &j.tasks[i]
		ok := s.Phase == sched.Waiting && !s.NotBefore.After(r.now) && r.placeTask(j, s)
		if s.NotBefore.After(r.now) {
			r.changed = true
		}
		if !ok && j.Policy == sched.Gang {
			for _, p := range r.decision.Placements[before:] {
				r.reserve(p, -1)
			}
			r.decision.Placements = r.decision.Placements[:before]
			return
		}
		if !ok && s.Phase == sched.Waiting {
			return
		}
	}
}

// placeTask places a task on the first upstream with room and reports whether there was one
// and the limit of the team allowed it.
func (r *fifoRound) placeTask(j *fifoJob, s *sched.TaskStatus) bool {
	need := j.Needs[s.Ref.Index]
	tm := r.teams[j.Team]
	if !tm.used.Add(need).Fits(tm.Limit) {
		return false
	}
	for _, f := range r.noRoom {
		if f.Fits(need) {
			return false
		}
	}
	for _, u := range r.upstreams {
		if r.usable(u) && u.used.Add(need).Fits(u.Capacity) {
			p := sched.Placement{Task: s.Ref, Upstream: u.Name, Incarnation: u.Incarnation, Reserved: need}
			r.reserve(p, 1)
			r.decision.Placements = append(r.decision.Placements, p)
			return true
		}
	}
	if j.Policy != sched.Gang {
		r.noRoom = append(r.noRoom, need)
	}
	return false
}

// reserve makes the reservation of a placement, or undoes it if sign is -1.
func (r *fifoRound) reserve(p sched.Placement, sign int64) {
	v := p.Reserved
	for d := range v {
		v[d] *= sign
	}
	u, tm := r.byName[p.Upstream], r.teams[r.jobs[p.Task.Job].Team]
	u.used, tm.used = u.used.Add(v), tm.used.Add(v)
}
