package main

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
	"github.com/bulrushwinch/bulrushwinch/sched"
)

// vm is an upstream that runs tasks. Tasks that together want more cores than there
// are run slower; when they want more memory, the latest one is killed.
type vm struct {
	sched.Upstream
	world    *world
	reserved resource.Vector
	running  []*liveTask
}

// want is what a task takes when it is not held back by others.
func (t *liveTask) want() int64 {
	if t.throttled {
		return min(t.work.cores, t.status.Reserved[resource.Cores])
	}
	return t.work.cores
}

func (v *vm) use() (cores, memory int64) {
	for _, t := range v.running {
		cores += t.want()
		memory += t.work.memory
	}
	return cores, memory
}

func (v *vm) start(t *liveTask) {
	w := v.world
	v.settle()
	s := t.status
	s.Phase = sched.Running
	w.set(t, s)
	if !t.everRan {
		t.everRan, t.firstStart = true, w.now
		w.m.started(t, w.now)
	}
	t.began, t.attemptF = w.now, 0
	v.running = append(v.running, t)
	if v.broken() {
		ref := s.Ref
		w.after(failAfter, func() {
			if t.status.Ref == ref && t.vm == v {
				v.fail(t)
			}
		})
	}
	v.pace()
	if _, memory := v.use(); memory > v.Capacity[resource.Memory] {
		w.m.killed++
		v.fail(v.running[len(v.running)-1])
	}
}

// broken reports whether the VM fails all it starts now.
func (v *vm) broken() bool {
	return v.Name == "w20" && v.world.now >= brokenAt && v.world.now < brokenEnd
}

// settle books the progress since the last change.
func (v *vm) settle() {
	w := v.world
	cores, _ := v.use()
	if cores > v.Capacity[resource.Cores] {
		w.m.slowed += w.now - v.settledAt()
	}
	for _, t := range v.running {
		passed := w.now - t.began
		progress := time.Duration(float64(passed) * t.speed)
		t.done += progress
		t.attemptF += progress
		t.began = w.now
		w.addWork(t, progress)
	}
}

// settledAt is when progress was last booked.
func (v *vm) settledAt() time.Duration {
	if len(v.running) == 0 {
		return v.world.now
	}
	return v.running[0].began
}

// pace sets the speeds and schedules the ends.
func (v *vm) pace() {
	w := v.world
	cores, _ := v.use()
	share := 1.0
	if cores > v.Capacity[resource.Cores] {
		share = float64(v.Capacity[resource.Cores]) / float64(cores)
	}
	for _, t := range v.running {
		t.speed = share * float64(t.want()) / float64(t.work.cores)
		t.version++
		version := t.version
		left := max(0, t.work.run-t.done)
		w.after(time.Duration(float64(left)/t.speed)+1, func() {
			if t.version == version && t.vm == v {
				v.succeed(t)
			}
		})
	}
}

// drop takes a task off the VM.
func (v *vm) drop(t *liveTask) {
	v.settle()
	for i, o := range v.running {
		if o == t {
			v.running = append(v.running[:i], v.running[i+1:]...)
			break
		}
	}
	v.reserved = v.reserved.Sub(t.status.Reserved)
	t.vm, t.throttled = nil, false
	t.version++
	v.pace()
}

func (v *vm) succeed(t *liveTask) {
	w := v.world
	v.drop(t)
	w.policy.AttemptEnded(sched.AttemptEnd{Ref: t.status.Ref, Upstream: v.Name, Kind: sched.Succeeded, RunTime: t.attemptF})
	w.end(t, true)
}

// lose takes back the work of an attempt that has to begin again.
func (v *vm) lose(t *liveTask) {
	v.world.addWork(t, -t.attemptF)
	t.done -= t.attemptF
}

func (v *vm) fail(t *liveTask) {
	w := v.world
	v.drop(t)
	v.lose(t)
	w.policy.AttemptEnded(sched.AttemptEnd{Ref: t.status.Ref, Upstream: v.Name, Kind: sched.Failed})
	t.fails++
	w.m.failures++
	if !t.job.Repeatable || t.fails >= maxAttempts {
		w.m.lost++
		w.end(t, false)
		return
	}
	w.requeue(t, firstBackoff<<(t.fails-1))
	w.stopGang(t)
}

// leave ends a stopped attempt.
func (v *vm) leave(t *liveTask, checkpointed bool) {
	w := v.world
	v.drop(t)
	if !checkpointed {
		v.lose(t)
	}
	w.policy.AttemptEnded(sched.AttemptEnd{Ref: t.status.Ref, Upstream: v.Name, Kind: sched.Interrupted})
	if !t.job.Repeatable {
		w.m.lost++
		w.end(t, false)
		return
	}
	w.requeue(t, 0)
	w.stopGang(t)
}

// stopGang stops the rest of a gang that has lost a task, with checkpoints.
func (w *world) stopGang(t *liveTask) {
	if t.job.Policy != sched.Gang {
		return
	}
	for _, o := range t.job.states {
		if o.vm != nil && o.status.Phase != sched.Stopping {
			w.stop(sched.Stop{Task: o.status.Ref, Checkpoint: true, Reason: "its gang lost a task"})
		}
	}
}

// kill ends all that still runs when the VM's domain has surely gone.
func (v *vm) kill() {
	for len(v.running) > 0 {
		v.leave(v.running[0], false)
	}
}

// report sends usage, which is as old as the time since the last report.
func (v *vm) report() {
	w := v.world
	w.after(reportLag, v.report)
	v.settle()
	for _, t := range v.running {
		w.policy.ObserveUsage(sched.Usage{Ref: t.status.Ref, Used: resource.Vector{t.want(), t.work.memory, 0, 1, 1}})
	}
}
