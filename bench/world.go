package main

import (
	"container/heap"
	"fmt"
	"runtime"
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
	"github.com/bulrushwinch/bulrushwinch/sched"
)

// Latencies of the upstream side.
const (
	startDelay   = 50 * time.Millisecond
	stopDelay    = 100 * time.Millisecond
	checkpoint   = 500 * time.Millisecond
	reportLag    = 5 * time.Second
	decideEvery  = 50 * time.Millisecond
	failAfter    = 200 * time.Millisecond
	sampleEvery  = time.Second
	decideLimit  = 1024
	maxAttempts  = 3
	firstBackoff = 500 * time.Millisecond
)

var epoch = time.Unix(1_700_000_000, 0)

// scenario is one run.
type scenario struct {
	user    user
	load    load
	seed    uint64
	absence bool
	fifo    bool
}

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

// Len implements heap.Interface.
func (h events) Len() int { return len(h) }

// Less implements heap.Interface.
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

// Swap implements heap.Interface.
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *events) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *events) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return x
}

// world is the upstream side in virtual time, with the policy that decides.
type world struct {
	scenario
	policy policy
	now    time.Duration
	seq    int
	events events
	vms    []*vm
	byName map[string]*vm
	jobs   map[sched.JobID]*liveJob
	teams  map[string]*liveTeam
	out    string
	m      measures
}

// liveTeam tracks what a team uses and wants.
type liveTeam struct {
	teamSpec
	limit   resource.Vector
	used    resource.Vector
	waiting resource.Vector
}

type liveJob struct {
	*jobWork
	states []*liveTask
	left   int
}

// liveTask is a task with its progress.
type liveTask struct {
	job    *liveJob
	work   taskWork
	status sched.TaskStatus
	vm     *vm
	// done is the progress in run time at full speed, kept over checkpoints.
	done     time.Duration
	attemptF time.Duration
	speed    float64
	began    time.Duration
	version  int
	fails    int
	// firstStart is when the task first ran.
	firstStart time.Duration
	everRan    bool
	throttled  bool
}

func newWorld(s scenario) *world {
	w := &world{scenario: s, byName: make(map[string]*vm), jobs: make(map[sched.JobID]*liveJob), teams: make(map[string]*liveTeam),
		m: measures{stops: make(map[sched.StopReason]int), byClass: make(map[string][]time.Duration)}}
	cell := sched.NewCell(sched.Settings{Seed: s.seed})
	cell.SetTime(epoch)
	w.policy = cell
	if s.fifo {
		w.policy = newFIFO()
	}
	var total resource.Vector
	for d := range total {
		total[d] = s.user.capacity[d] * workers
	}
	for _, ts := range teamSpecs {
		limit := total
		for d := range limit {
			limit[d] = int64(float64(limit[d]) * ts.limit)
		}
		w.teams[ts.name] = &liveTeam{teamSpec: ts, limit: limit}
		w.policy.PutTeam(sched.Team{Name: ts.name, Share: ts.share, Limit: limit})
	}
	for _, d := range s.user.domains {
		w.policy.PutDomain(sched.Domain{Name: d, Notice: notice})
	}
	w.addVMs()
	return w
}

func (w *world) addVMs() {
	perDomain := workers / len(w.user.domains)
	for i := range workers {
		v := &vm{world: w, Upstream: sched.Upstream{Name: fmt.Sprintf("w%02d", i), Incarnation: 1, Domain: w.user.domains[i/perDomain],
			Rack: fmt.Sprintf("r%d", i/workersPerRack), Capacity: w.user.capacity, Active: true}}
		w.vms = append(w.vms, v)
		w.byName[v.Name] = v
		w.policy.PutUpstream(v.Upstream)
		w.at(time.Duration(i)*reportLag/workers, v.report)
	}
}

// at schedules an action.
func (w *world) at(at time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{at, w.seq, do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now+d, do) }

func (w *world) clock() time.Time { return epoch.Add(w.now) }

// run plays the scenario to the horizon.
func (w *world) run() *measures {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for _, j := range generate(w.user, w.load, w.seed) {
		if j.at < horizon {
			w.at(j.at, func() { w.submit(j) })
		}
	}
	if w.absence {
		w.at(domainOut, func() { w.turn(true) })
		w.at(domainIn, func() { w.turn(false) })
	}
	w.at(0, w.decide)
	w.at(warmUp, w.sample)
	for len(w.events) > 0 && w.events[0].at <= horizon {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = horizon
	w.finish()
	return &w.m
}

func (w *world) turn(out bool) {
	name := w.user.domains[0]
	w.out = ""
	if out {
		w.out = name
	}
	w.policy.PutDomain(sched.Domain{Name: name, Out: out, Notice: notice})
	if out {
		w.after(notice+3*time.Second, func() {
			for _, v := range w.vms {
				if v.Domain == name {
					v.kill()
				}
			}
		})
	}
}

func (w *world) submit(j *jobWork) {
	j.Submitted = w.clock()
	lj := &liveJob{jobWork: j, left: len(j.tasks)}
	for i, tw := range j.tasks {
		t := &liveTask{job: lj, work: tw, speed: 1, status: sched.TaskStatus{Ref: sched.TaskRef{Job: j.ID, Index: int32(i), Attempt: 1}}}
		lj.states = append(lj.states, t)
		w.want(t, 1)
	}
	w.jobs[j.ID] = lj
	w.policy.AddJob(j.Job)
	if j.cancel != 0 {
		w.at(j.cancel, func() { w.cancel(lj) })
	}
}

// want keeps a team's waiting demand.
func (w *world) want(t *liveTask, sign int64) {
	tm := w.teams[t.job.Team]
	for d, amount := range t.job.Needs[t.status.Ref.Index] {
		tm.waiting[d] += sign * amount
	}
}

func (w *world) cancel(j *liveJob) {
	for _, t := range j.states {
		if t.status.Phase == sched.Waiting {
			w.end(t, false)
		}
	}
}

// set tells the policy where a task stands and keeps the team's use.
func (w *world) set(t *liveTask, s sched.TaskStatus) {
	tm := w.teams[t.job.Team]
	if holds(t.status) {
		tm.used = tm.used.Sub(t.status.Reserved)
	}
	if t.status.Phase == sched.Waiting && s.Phase != sched.Waiting {
		w.want(t, -1)
	}
	if t.status.Phase != sched.Waiting && s.Phase == sched.Waiting {
		w.want(t, 1)
	}
	t.status = s
	if holds(s) {
		tm.used = tm.used.Add(s.Reserved)
	}
	w.policy.SetTask(s)
}

// requeue lets a task wait again under the next attempt.
func (w *world) requeue(t *liveTask, backoff time.Duration) {
	s := sched.TaskStatus{Ref: t.status.Ref}
	s.Ref.Attempt++
	if backoff > 0 {
		s.NotBefore = w.clock().Add(backoff)
	}
	w.set(t, s)
}

// end finishes a task for good.
func (w *world) end(t *liveTask, answered bool) {
	if answered {
		w.m.answered++
		w.delayed(t, w.now)
	} else if t.job.cancel == 0 {
		w.delayed(t, horizon)
	}
	s := sched.TaskStatus{Ref: t.status.Ref, Phase: sched.Ended}
	w.set(t, s)
	t.job.left--
	if t.job.left == 0 {
		w.policy.RemoveJob(t.job.ID)
		delete(w.jobs, t.job.ID)
	}
}

func (w *world) decide() {
	w.after(decideEvery, w.decide)
	began := processorTime()
	d := w.policy.Decide(w.clock(), decideLimit)
	w.m.cost.add(processorTime()-began, len(d.Placements))
	for _, s := range d.Stops {
		w.stop(s)
	}
	for _, th := range d.Throttles {
		if t := w.task(th.Task); t != nil && t.vm != nil {
			t.throttled = true
			t.vm.settle()
			t.vm.pace()
		}
	}
	for _, p := range d.Placements {
		w.place(p)
	}
	for _, r := range d.Refusals {
		w.m.refused++
		for _, t := range w.jobs[r.Job].states {
			w.end(t, false)
		}
	}
}

func (w *world) task(ref sched.TaskRef) *liveTask {
	j := w.jobs[ref.Job]
	if j == nil || j.states[ref.Index].status.Ref != ref {
		return nil
	}
	return j.states[ref.Index]
}

func (w *world) place(p sched.Placement) {
	t := w.task(p.Task)
	v := w.byName[p.Upstream]
	w.check(p, v)
	w.set(t, sched.TaskStatus{Ref: p.Task, Phase: sched.Placed, Upstream: p.Upstream, Reserved: p.Reserved})
	v.reserved = v.reserved.Add(p.Reserved)
	t.vm = v
	w.after(startDelay, func() {
		if t.status.Ref == p.Task && t.status.Phase == sched.Placed {
			v.start(t)
		}
	})
}

// check stops the program on a placement that breaks a promise.
func (w *world) check(p sched.Placement, v *vm) {
	t := w.task(p.Task)
	switch {
	case t == nil || t.status.Phase != sched.Waiting:
		panic("bench: placement of a task that does not wait")
	case v.Domain == w.out:
		panic("bench: placement in a domain that is out")
	case !v.reserved.Add(p.Reserved).Fits(v.Capacity):
		panic("bench: placement over capacity")
	case !w.teams[t.job.Team].used.Add(p.Reserved).Fits(w.teams[t.job.Team].limit):
		panic("bench: placement over a team's limit")
	}
}

func (w *world) stop(s sched.Stop) {
	t := w.task(s.Task)
	if t == nil || t.vm == nil || !holds(t.status) {
		return
	}
	w.m.stops[s.Reason]++
	status := t.status
	status.Phase = sched.Stopping
	w.set(t, status)
	delay := stopDelay
	if s.Checkpoint {
		delay = checkpoint
	}
	w.after(delay, func() {
		if t.status.Ref == s.Task && t.vm != nil {
			t.vm.leave(t, s.Checkpoint)
		}
	})
}
