package main

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
	"github.com/bulrushwinch/bulrushwinch/sched"
)

// policy is what a run decides with; sched.Cell is one.
type policy interface {
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

// fifo is the baseline: tasks in order of submission, each on the first upstream with
// room for what it declares. Work that does not fit is passed over. Upstreams and
// domains that take no work are honoured; displaced repeatable work is checkpointed at once.
type fifo struct {
	teams     map[string]*fifoTeam
	domains   map[string]sched.Domain
	upstreams []*fifoUpstream
	byName    map[string]*fifoUpstream
	jobs      map[sched.JobID]*fifoJob
	queue     []*fifoJob
	dirty     bool
}

type fifoTeam struct {
	sched.Team
	used resource.Vector
}

type fifoUpstream struct {
	sched.Upstream
	used  resource.Vector
	tasks map[sched.TaskRef]bool
}

type fifoJob struct {
	sched.Job
	tasks []sched.TaskStatus
	gone  bool
}

func newFIFO() *fifo {
	return &fifo{teams: make(map[string]*fifoTeam), domains: make(map[string]sched.Domain),
		byName: make(map[string]*fifoUpstream), jobs: make(map[sched.JobID]*fifoJob)}
}

func (f *fifo) PutTeam(t sched.Team)          { f.teams[t.Name] = &fifoTeam{Team: t} }
func (f *fifo) PutDomain(d sched.Domain)      { f.domains[d.Name], f.dirty = d, true }
func (f *fifo) AttemptEnded(sched.AttemptEnd) {}
func (f *fifo) ObserveUsage(sched.Usage)      {}

func (f *fifo) PutUpstream(u sched.Upstream) {
	f.dirty = true
	if known := f.byName[u.Name]; known != nil {
		known.Upstream = u
		return
	}
	known := &fifoUpstream{Upstream: u, tasks: make(map[sched.TaskRef]bool)}
	f.byName[u.Name] = known
	f.upstreams = append(f.upstreams, known)
}

func (f *fifo) AddJob(j sched.Job) {
	fj := &fifoJob{Job: j, tasks: make([]sched.TaskStatus, len(j.Needs))}
	for i := range fj.tasks {
		fj.tasks[i].Ref = sched.TaskRef{Job: j.ID, Index: int32(i), Attempt: 1}
	}
	f.jobs[j.ID] = fj
	f.queue = append(f.queue, fj)
	f.dirty = true
}

func (f *fifo) RemoveJob(id sched.JobID) {
	if j := f.jobs[id]; j != nil {
		j.gone = true
		delete(f.jobs, id)
	}
}

func holds(s sched.TaskStatus) bool {
	return s.Phase == sched.Placed || s.Phase == sched.Running || s.Phase == sched.Stopping
}

func (f *fifo) SetTask(s sched.TaskStatus) {
	j := f.jobs[s.Ref.Job]
	if j == nil {
		return
	}
	old := j.tasks[s.Ref.Index]
	if holds(old) {
		u := f.byName[old.Upstream]
		u.used = u.used.Sub(old.Reserved)
		delete(u.tasks, old.Ref)
		f.teams[j.Team].used = f.teams[j.Team].used.Sub(old.Reserved)
	}
	if holds(s) {
		u := f.byName[s.Upstream]
		u.used = u.used.Add(s.Reserved)
		u.tasks[s.Ref] = true
		f.teams[j.Team].used = f.teams[j.Team].used.Add(s.Reserved)
	}
	j.tasks[s.Ref.Index] = s
	f.dirty = f.dirty || s.Phase == sched.Waiting || s.Phase == sched.Ended
}

// Decide implements policy.
func (f *fifo) Decide(now time.Time, limit int) sched.Decision {
	var d sched.Decision
	if !f.dirty {
		return d
	}
	f.dirty = false
	f.drain(&d)
	r := fifoRound{fifo: f, now: now, decision: &d}
	f.queue = compact(f.queue)
	for _, j := range f.queue {
		if len(d.Placements) >= limit {
			f.dirty = true
			break
		}
		r.job(j)
	}
	for _, p := range d.Placements {
		r.book(p, -1)
	}
	return d
}

// compact drops jobs that are gone or have nothing waiting.
func compact(queue []*fifoJob) []*fifoJob {
	kept := queue[:0]
	for _, j := range queue {
		if !j.gone {
			kept = append(kept, j)
		}
	}
	clear(queue[len(kept):])
	return kept
}

func (f *fifo) drain(d *sched.Decision) {
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

func (f *fifo) usable(u *fifoUpstream) bool { return u.Active && !f.domains[u.Domain].Out }

// fifoRound is one decision of the baseline.
type fifoRound struct {
	*fifo
	now      time.Time
	decision *sched.Decision
	full     []resource.Vector
}

func (r *fifoRound) job(j *fifoJob) {
	before := len(r.decision.Placements)
	for i := range j.tasks {
		s := &j.tasks[i]
		ok := s.Phase == sched.Waiting && !s.NotBefore.After(r.now) && r.task(j, s)
		if s.NotBefore.After(r.now) {
			r.dirty = true
		}
		if !ok && j.Policy == sched.Gang {
			for _, p := range r.decision.Placements[before:] {
				r.book(p, -1)
			}
			r.decision.Placements = r.decision.Placements[:before]
			return
		}
		if !ok && s.Phase == sched.Waiting {
			return
		}
	}
}

func (r *fifoRound) task(j *fifoJob, s *sched.TaskStatus) bool {
	need := j.Needs[s.Ref.Index]
	tm := r.teams[j.Team]
	if !tm.used.Add(need).Fits(tm.Limit) {
		return false
	}
	for _, f := range r.full {
		if f.Fits(need) {
			return false
		}
	}
	for _, u := range r.upstreams {
		if r.usable(u) && u.used.Add(need).Fits(u.Capacity) {
			p := sched.Placement{Task: s.Ref, Upstream: u.Name, Incarnation: u.Incarnation, Reserved: need}
			r.book(p, 1)
			r.decision.Placements = append(r.decision.Placements, p)
			return true
		}
	}
	if j.Policy != sched.Gang {
		r.full = append(r.full, need)
	}
	return false
}

func (r *fifoRound) book(p sched.Placement, sign int64) {
	v := p.Reserved
	for d := range v {
		v[d] *= sign
	}
	u, tm := r.byName[p.Upstream], r.teams[r.jobs[p.Task.Job].Team]
	u.used, tm.used = u.used.Add(v), tm.used.Add(v)
}
