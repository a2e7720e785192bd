package main

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
	"github.com/bulrushwinch/bulrushwinch/sched"
)

// vm is a simulated upstream. If its tasks together demand more cores than it has, they all
// run slower; if they demand more memory, the task started last is killed.
type vm struct {
	sched.Upstream
	simulation *simulation
	// reserved is the sum of the reservations of the tasks placed here.
	reserved resource.Vector
	// running holds the running tasks, and those that are stopping, in the order of their
	// start.
	running []*taskState
}

// coreDemand returns the millicores that the task uses if the cores of the VM suffice.
func (t *taskState) coreDemand() int64 {
	if t.throttled {
		return min(t.work.cores, t.status.Reserved[resource.Cores])
	}
	return t.work.cores
}

// demand returns the millicores and bytes of memory that the running tasks demand together.
func (v *vm) demand() (cores, memory int64) {
	for _, t := range v.running {
		cores += t.coreDemand()
		memory += t.work.memory
	}
	return cores, memory
}

// start runs a placed task. On a broken VM the attempt fails after failDelay; if the memory
// is exceeded, the task started last fails at once.
func (v *vm) start(t *taskState) {
	sim := v.simulation
	v.updateProgress()
	s := t.status
	s.Phase = sched.Running
	sim.setStatus(t, s)
	if !t.started {
		t.started, t.firstStart = true, sim.now
		sim.measures.recordFirstStart(t, sim.now)
	}
	t.updatedAt, t.attemptProgress = sim.now, 0
	v.running = append(v.running, t)
	if v.broken() {
		ref := s.Ref
		sim.after(failDelay, func() {
			if t.status.Ref == ref && t.vm == v {
				v.fail(t)
			}
		})
	}
	v.updateSpeeds()
	if _, memory := v.demand(); memory > v.Capacity[resource.Memory] {
		sim.measures.killed++
		v.fail(v.running[len(v.running)-1])
	}
}

// broken reports whether the VM currently fails every task that it starts.
func (v *vm) broken() bool {
	return v.Name == "w20" && v.simulation.now >= brokenStart && v.simulation.now < brokenEnd
}

// updateProgress adds the progress since the last update to the tasks and measures.
func (v *vm) updateProgress() {
	sim := v.simulation
	cores, _ := v.demand()
	if cores > v.Capacity[resource.Cores] {
		sim.measures.slowedTime += sim.now - v.updatedAt()
	}
	for _, t := range v.running {
		elapsed := sim.now - t.updatedAt
		progress := time.Duration(float64(elapsed) * t.speed)
		t.progress += progress
		t.attemptProgress += progress
		t.updatedAt = sim.now
		sim.addWork(t, progress)
	}
}

// updatedAt returns the time of the last update of the progress.
func (v *vm) updatedAt() time.Duration {
	if len(v.running) == 0 {
		return v.simulation.now
	}
	return v.running[0].updatedAt
}

// updateSpeeds sets the speeds of the running tasks from the demand for cores and reschedules
// their completions. The caller must have updated the progress.
func (v *vm) updateSpeeds() {
	sim := v.simulation
	cores, _ := v.demand()
	satisfied := 1.0 // the fraction of the demand that the cores satisfy
	if cores > v.Capacity[resource.Cores] {
		satisfied = float64(v.Capacity[resource.Cores]) / float64(cores)
	}
	for _, t := range v.running {
		t.speed = satisfied * float64(t.coreDemand()) / float64(t.work.cores)
		t.timerVersion++
		version := t.timerVersion
		left := max(0, t.work.run-t.progress)
		sim.after(time.Duration(float64(left)/t.speed)+1, func() {
			if t.timerVersion == version && t.vm == v {
				v.succeed(t)
			}
		})
	}
}

// remove removes a task from the VM and releases its reservation.
func (v *vm) remove(t *taskState) {
	v.updateProgress()
	for i, o := range v.running {
		if o == t {
			v.running = append(v.running[:i], v.running[i+1:]...)
			break
		}
	}
	v.reserved = v.reserved.Sub(t.status.Reserved)
	t.vm, t.throttled = nil, false
	t.timerVersion++
	v.updateSpeeds()
}

// succeed ends a task that has completed its work.
func (v *vm) succeed(t *taskState) {
	sim := v.simulation
	v.remove(t)
	sim.scheduler.AttemptEnded(sched.AttemptEnd{Ref: t.status.Ref, Upstream: v.Name, Kind: sched.Succeeded, RunTime: t.attemptProgress})
	sim.endTask(t, true)
}

// discardAttempt takes back the progress of the current attempt, which has to be repeated.
func (v *vm) discardAttempt(t *taskState) {
	v.simulation.addWork(t, -t.attemptProgress)
	t.progress -= t.attemptProgress
}

// fail ends an attempt that failed. The task is retried after a backoff, or is lost if it is
// not repeatable or has failed maxAttempts times.
func (v *vm) fail(t *taskState) {
	sim := v.simulation
	v.remove(t)
	v.discardAttempt(t)
	sim.scheduler.AttemptEnded(sched.AttemptEnd{Ref: t.status.Ref, Upstream: v.Name, Kind: sched.Failed})
	t.failures++
	sim.measures.failures++
	if !t.job.Repeatable || t.failures >= maxAttempts {
		sim.measures.lost++
		sim.endTask(t, false)
		return
	}
	sim.requeue(t, firstBackoff<<(t.failures-1))
	sim.stopGang(t)
}

// interrupt ends a stopped attempt. A repeatable task is queued again, any other is lost.
// Without a checkpoint the progress of the attempt is discarded.
func (v *vm) interrupt(t *taskState, checkpointed bool) {
	sim := v.simulation
	v.remove(t)
	if !checkpointed {
		v.discardAttempt(t)
	}
	sim.scheduler.AttemptEnded(sched.AttemptEnd{Ref: t.status.Ref, Upstream: v.Name, Kind: sched.Interrupted})
	if !t.job.Repeatable {
		sim.measures.lost++
		sim.endTask(t, false)
		return
	}
	sim.requeue(t, 0)
	sim.stopGang(t)
}

// stopGang stops, with a checkpoint, the other tasks of a gang that has lost one.
func (sim *simulation) stopGang(t *taskState) {
	if t.job.Policy != sched.Gang {
		return
	}
	for _, o := range t.job.states {
		if o.vm != nil && o.status.Phase != sched.Stopping {
			sim.stop(sched.Stop{Task: o.status.Ref, Checkpoint: true, Reason: "its gang lost a task"})
		}
	}
}

// interruptAll interrupts, without a checkpoint, all tasks that still run when the domain of
// the VM is gone.
func (v *vm) interruptAll() {
	for len(v.running) > 0 {
		v.interrupt(v.running[0], false)
	}
}

// report reports the use of the running tasks to the scheduler every reportInterval, so the
// use that the scheduler knows is up to that old.
func (v *vm) report() {
	sim := v.simulation
	sim.after(reportInterval, v.report)
	v.updateProgress()
	for _, t := range v.running {
		sim.scheduler.ObserveUsage(sched.Usage{Ref: t.status.Ref, Used: resource.Vector{t.coreDemand(), t.work.memory, 0, 1, 1}})
	}
}
