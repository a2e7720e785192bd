package main

import (
	"container/heap"
	"fmt"
	"runtime"
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
	"github.com/bulrushwinch/bulrushwinch/sched"
)

// Timing and limits of the simulated control plane and upstreams.
const (
	// startDelay is the time from the placement of a task until it runs.
	startDelay = 50 * time.Millisecond
	// stopDelay is the time that a stop without a checkpoint takes.
	stopDelay = 100 * time.Millisecond
	// checkpointDelay is the time that a stop with a checkpoint takes.
	checkpointDelay = 500 * time.Millisecond
	// reportInterval is the time between two usage reports of a VM.
	reportInterval = 5 * time.Second
	// decideInterval is the time between two decisions.
	decideInterval = 50 * time.Millisecond
	// failDelay is the time after which a task fails on the broken VM.
	failDelay = 200 * time.Millisecond
	// sampleInterval is the time between two samples of packing and shares.
	sampleInterval = time.Second
	// maxPlacements bounds the placements of one decision.
	maxPlacements = 1024
	// maxAttempts is the number of failed attempts after which a task is lost.
	maxAttempts = 3
	// firstBackoff is the delay before the retry after the first failure; it doubles with
	// each further failure.
	firstBackoff = 500 * time.Millisecond
)

// epoch is the wall-clock time at which a simulation starts.
var epoch = time.Unix(1_700_000_000, 0)

// scenario holds the parameters of one simulation.
type scenario struct {
	user user
	load load
	// seed is the seed of the random workload and of the scheduler.
	seed uint64
	// outage takes the first failure domain out from outageStart to outageEnd.
	outage bool
	// fifo selects the FIFO baseline in place of sched.Cell.
	fifo bool
}

// event is an action that is due at a point in virtual time.
type event struct {
	// at is the due time since the start of the run.
	at time.Duration
	// seq orders events with the same due time: the one scheduled first runs first.
	seq int
	// do is the action.
	do func()
}

// events is a heap of events ordered by due time.
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

// simulation is a discrete-event simulation of the upstream side and of the scheduler that
// decides for it.
type simulation struct {
	scenario
	scheduler scheduler
	// now is the virtual time since the start of the run.
	now time.Duration
	// seq is the sequence number of the event that was scheduled last.
	seq int
	// events are the scheduled events.
	events events
	// vms and byName hold all VMs in the order of their creation and by name.
	vms    []*vm
	byName map[string]*vm
	// jobs holds the submitted jobs that have not ended.
	jobs map[sched.JobID]*jobState
	// teams holds the teams by name.
	teams map[string]*teamState
	// outDomain names the failure domain that is out, if any.
	outDomain string
	measures  measures
}

// teamState tracks what a team holds and requests.
type teamState struct {
	teamSpec
	// limit is the most that the tasks of the team may hold together.
	limit resource.Vector
	// used is the sum of the reservations of its placed, running and stopping tasks.
	used resource.Vector
	// waiting is the sum of the declared needs of its waiting tasks.
	waiting resource.Vector
}

// jobState is a submitted job with the state of its tasks.
type jobState struct {
	*jobWork
	states []*taskState
	// unended counts the tasks that have not ended.
	unended int
}

// taskState is a task with its progress.
type taskState struct {
	job    *jobState
	work   taskWork
	status sched.TaskStatus
	// vm is the VM on which the task is placed; nil if there is none.
	vm *vm
	// progress is the completed part of the run time at full speed; it survives a stop with
	// a checkpoint.
	progress time.Duration
	// attemptProgress is the part of it that the current attempt contributed.
	attemptProgress time.Duration
	// speed is the rate of progress; 1 is full speed.
	speed float64
	// updatedAt is the virtual time up to which the progress has been counted.
	updatedAt time.Duration
	// timerVersion invalidates the completion events that were scheduled under an earlier
	// value.
	timerVersion int
	// failures counts the failed attempts.
	failures int
	// firstStart is when the task first ran; it is set only if started is set.
	firstStart time.Duration
	// started is set once an attempt has run.
	started bool
	// throttled is set while the task is limited to its reserved cores.
	throttled bool
}

// newSimulation returns a simulation of the scenario at virtual time zero, with all teams,
// domains and VMs known to the scheduler.
func newSimulation(s scenario) *simulation {
	sim := &simulation{scenario: s, byName: make(map[string]*vm), jobs: make(map[sched.JobID]*jobState), teams: make(map[string]*teamState),
		measures: measures{stops: make(map[sched.StopReason]int), waitsByClass: make(map[string][]time.Duration)}}
	cell := sched.NewCell(sched.Settings{Seed: s.seed})
	cell.SetTime(epoch)
	sim.scheduler = cell
	if s.fifo {
		sim.scheduler = newFIFO()
	}
	var total resource.Vector
	for d := range total {
		total[d] = s.user.capacity[d] * workers
	}
	for _, ts := range teamSpecs {
		limit := total
		for d := range limit {
			limit[d] = int64(float64(limit[d]) * ts.limitFraction)
		}
		sim.teams[ts.name] = &teamState{teamSpec: ts, limit: limit}
		sim.scheduler.PutTeam(sched.Team{Name: ts.name, Share: ts.weight, Limit: limit})
	}
	for _, d := range s.user.domains {
		sim.scheduler.PutDomain(sched.Domain{Name: d, Notice: notice})
	}
	sim.addVMs()
	return sim
}

// addVMs adds the VMs, spread evenly over the failure domains. Their first usage reports
// are spread over one report interval.
func (sim *simulation) addVMs() {
	perDomain := workers / len(sim.user.domains)
	for i := range workers {
		v := &vm{simulation: sim, Upstream: sched.Upstream{Name: fmt.Sprintf("w%02d", i), Incarnation: 1, Domain: sim.user.domains[i/perDomain],
			Rack: fmt.Sprintf("r%d", i/workersPerRack), Capacity: sim.user.capacity, Active: true}}
		sim.vms = append(sim.vms, v)
		sim.byName[v.Name] = v
		sim.scheduler.PutUpstream(v.Upstream)
		sim.at(time.Duration(i)*reportInterval/workers, v.report)
	}
}

// at schedules an action at a point in virtual time.
func (sim *simulation) at(at time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.events, event{at, sim.seq, do})
}

// after schedules an action after a delay.
func (sim *simulation) after(d time.Duration, do func()) { sim.at(sim.now+d, do) }

// clock returns the wall-clock time that corresponds to the virtual time.
func (sim *simulation) clock() time.Time { return epoch.Add(sim.now) }

// run simulates the scenario up to the horizon and returns its measures. It locks its
// goroutine to an OS thread, since decide measures the processor time of the thread.
func (sim *simulation) run() *measures {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for _, j := range generate(sim.user, sim.load, sim.seed) {
		if j.arrival < horizon {
			sim.at(j.arrival, func() { sim.submit(j) })
		}
	}
	if sim.outage {
		sim.at(outageStart, func() { sim.setDomainOut(true) })
		sim.at(outageEnd, func() { sim.setDomainOut(false) })
	}
	sim.at(0, sim.decide)
	sim.at(warmUp, sim.sample)
	for len(sim.events) > 0 && sim.events[0].at <= horizon {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.do()
	}
	sim.now = horizon
	sim.finish()
	return &sim.measures
}

// setDomainOut takes the first failure domain out or back in. The domain is gone 3 s after
// the end of the notice: tasks that still run in it are interrupted without a checkpoint.
func (sim *simulation) setDomainOut(out bool) {
	name := sim.user.domains[0]
	sim.outDomain = ""
	if out {
		sim.outDomain = name
	}
	sim.scheduler.PutDomain(sched.Domain{Name: name, Out: out, Notice: notice})
	if out {
		sim.after(notice+3*time.Second, func() {
			for _, v := range sim.vms {
				if v.Domain == name {
					v.interruptAll()
				}
			}
		})
	}
}

// submit adds a job with all its tasks waiting, and schedules its cancellation if it has
// one.
func (sim *simulation) submit(j *jobWork) {
	j.Submitted = sim.clock()
	js := &jobState{jobWork: j, unended: len(j.tasks)}
	for i, tw := range j.tasks {
		t := &taskState{job: js, work: tw, speed: 1, status: sched.TaskStatus{Ref: sched.TaskRef{Job: j.ID, Index: int32(i), Attempt: 1}}}
		js.states = append(js.states, t)
		sim.addWaiting(t, 1)
	}
	sim.jobs[j.ID] = js
	sim.scheduler.AddJob(j.Job)
	if j.cancelAt != 0 {
		sim.at(j.cancelAt, func() { sim.cancelWaiting(js) })
	}
}

// addWaiting adds the declared needs of a task to the waiting demand of its team, or
// subtracts them if sign is -1.
func (sim *simulation) addWaiting(t *taskState, sign int64) {
	tm := sim.teams[t.job.Team]
	for d, amount := range t.job.Needs[t.status.Ref.Index] {
		tm.waiting[d] += sign * amount
	}
}

// cancelWaiting ends the waiting tasks of a job; its other tasks run on.
func (sim *simulation) cancelWaiting(j *jobState) {
	for _, t := range j.states {
		if t.status.Phase == sched.Waiting {
			sim.endTask(t, false)
		}
	}
}

// setStatus changes the status of a task, updates the use and demand of its team, and
// notifies the scheduler.
func (sim *simulation) setStatus(t *taskState, s sched.TaskStatus) {
	tm := sim.teams[t.job.Team]
	if holdsCapacity(t.status) {
		tm.used = tm.used.Sub(t.status.Reserved)
	}
	if t.status.Phase == sched.Waiting && s.Phase != sched.Waiting {
		sim.addWaiting(t, -1)
	}
	if t.status.Phase != sched.Waiting && s.Phase == sched.Waiting {
		sim.addWaiting(t, 1)
	}
	t.status = s
	if holdsCapacity(s) {
		tm.used = tm.used.Add(s.Reserved)
	}
	sim.scheduler.SetTask(s)
}

// requeue sets a task waiting under the next attempt, which may start after the backoff.
func (sim *simulation) requeue(t *taskState, backoff time.Duration) {
	s := sched.TaskStatus{Ref: t.status.Ref}
	s.Ref.Attempt++
	if backoff > 0 {
		s.NotBefore = sim.clock().Add(backoff)
	}
	sim.setStatus(t, s)
}

// endTask ends a task and records its delay; answered is set if it succeeded. The job is
// removed with its last task.
func (sim *simulation) endTask(t *taskState, answered bool) {
	if answered {
		sim.measures.answered++
		sim.recordDelay(t, sim.now)
	} else if t.job.cancelAt == 0 {
		sim.recordDelay(t, horizon)
	}
	s := sched.TaskStatus{Ref: t.status.Ref, Phase: sched.Ended}
	sim.setStatus(t, s)
	t.job.unended--
	if t.job.unended == 0 {
		sim.scheduler.RemoveJob(t.job.ID)
		delete(sim.jobs, t.job.ID)
	}
}

// decide lets the scheduler decide, measures the processor time of the decision, applies
// its stops, throttles, placements and refusals, and schedules the next decision.
func (sim *simulation) decide() {
	sim.after(decideInterval, sim.decide)
	began := processorTime()
	d := sim.scheduler.Decide(sim.clock(), maxPlacements)
	sim.measures.cost.add(processorTime()-began, len(d.Placements))
	for _, s := range d.Stops {
		sim.stop(s)
	}
	for _, th := range d.Throttles {
		if t := sim.findTask(th.Task); t != nil && t.vm != nil {
			t.throttled = true
			t.vm.updateProgress()
			t.vm.updateSpeeds()
		}
	}
	for _, p := range d.Placements {
		sim.place(p)
	}
	for _, r := range d.Refusals {
		sim.measures.refused++
		for _, t := range sim.jobs[r.Job].states {
			sim.endTask(t, false)
		}
	}
}

// findTask returns the task with the given reference, or nil if its job has ended or its
// current attempt is another one.
func (sim *simulation) findTask(ref sched.TaskRef) *taskState {
	j := sim.jobs[ref.Job]
	if j == nil || j.states[ref.Index].status.Ref != ref {
		return nil
	}
	return j.states[ref.Index]
}

// place reserves the capacity of a placement on its VM and starts the task after
// startDelay.
func (sim *simulation) place(p sched.Placement) {
	t := sim.findTask(p.Task)
	v := sim.byName[p.Upstream]
	sim.checkPlacement(p, v)
	sim.setStatus(t, sched.TaskStatus{Ref: p.Task, Phase: sched.Placed, Upstream: p.Upstream, Reserved: p.Reserved})
	v.reserved = v.reserved.Add(p.Reserved)
	t.vm = v
	sim.after(startDelay, func() {
		if t.status.Ref == p.Task && t.status.Phase == sched.Placed {
			v.start(t)
		}
	})
}

// checkPlacement panics if a placement violates an invariant: the task must be waiting, and
// the placement must respect the failure domain that is out, the capacity of the VM and
// the limit of the team.
func (sim *simulation) checkPlacement(p sched.Placement, v *vm) {
	t := sim.findTask(p.Task)
	switch {
	case t == nil || t.status.Phase != sched.Waiting:
		panic("bench: placement of a task that is not waiting")
	case v.Domain == sim.outDomain:
		panic("bench: placement in a domain that is out")
	case !v.reserved.Add(p.Reserved).Fits(v.Capacity):
		panic("bench: placement over capacity")
	case !sim.teams[t.job.Team].used.Add(p.Reserved).Fits(sim.teams[t.job.Team].limit):
		panic("bench: placement over a team's limit")
	}
}

// stop begins to stop an attempt, which ends after checkpointDelay or stopDelay. It does
// nothing if the attempt is not live.
func (sim *simulation) stop(s sched.Stop) {
	t := sim.findTask(s.Task)
	if t == nil || t.vm == nil || !holdsCapacity(t.status) {
		return
	}
	sim.measures.stops[s.Reason]++
	status := t.status
	status.Phase = sched.Stopping
	sim.setStatus(t, status)
	delay := stopDelay
	if s.Checkpoint {
		delay = checkpointDelay
	}
	sim.after(delay, func() {
		if t.status.Ref == s.Task && t.vm != nil {
			t.vm.interrupt(t, s.Checkpoint)
		}
	})
}
