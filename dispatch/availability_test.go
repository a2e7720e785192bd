package dispatch

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// noticeTime is how long a task may be away without an order before it counts as away.
const noticeTime = 4500 * time.Millisecond

// availability checks that no order ends a task at work while as many others of its step are away as may be: ended by
// an order and not at work again, or not at work for noticeTime.
type availability struct {
	h *harness
	// step is the step whose tasks are watched, of a job with the given ID.
	job  string
	step *pipelinev1.Step
	// ordered holds the tasks that an order has ended, idleSince since when tasks are not at work.
	ordered   map[int32]bool
	idleSince map[int32]time.Duration
	// orders counts the orders that ended a run.
	orders   int
	problems []string
}

// watchAvailability watches the tasks of a job of one lasting step.
func watchAvailability(h *harness, job string, st *pipelinev1.Step) *availability {
	a := &availability{h: h, job: job, step: st, ordered: make(map[int32]bool), idleSince: make(map[int32]time.Duration)}
	h.onOrder = a.onOrder
	return a
}

// atWork reports whether some upstream has a task at work.
func (a *availability) atWork(index int32) bool {
	for _, f := range a.h.upstreams {
		for key := range f.running {
			if key.Job == a.job && key.Index == index && f.percent(key) >= fullPercent {
				return true
			}
		}
	}
	return false
}

// onOrder checks an order that is about to end a run.
func (a *availability) onOrder(f *fakeUpstream, key pipeline.RunKey) {
	if key.Job != a.job {
		return
	}
	a.orders++
	away := 0
	for i := range a.step.GetCount() {
		since, idle := a.idleSince[i]
		if i != key.Index && !a.atWork(i) && (a.ordered[i] || idle && a.h.now-since >= noticeTime) {
			away++
		}
	}
	if f.percent(key) >= fullPercent && away >= int(a.step.GetMissAllowed()) {
		a.problems = append(a.problems, fmt.Sprintf("%v: task %d is ended by an order while %d others are away", a.h.now, key.Index, away))
	}
	a.ordered[key.Index] = true
}

// run lets time pass.
func (a *availability) run(d time.Duration) {
	for end := a.h.now + d; a.h.now < end; {
		a.h.run(tickStep)
		for i := range a.step.GetCount() {
			if a.atWork(i) {
				delete(a.ordered, i)
				delete(a.idleSince, i)
			} else if _, idle := a.idleSince[i]; !idle {
				a.idleSince[i] = a.h.now
			}
		}
	}
}

// newWaveHarness returns a harness with upstreams w1, w2 and so on, on the VMs m1, m2 and so on, where lasting tasks run
// for as long as they may.
func newWaveHarness(t *testing.T, upstreams int) (*harness, *fakeVMs) {
	var ids []string
	byVM := make(map[string]string)
	for i := range upstreams {
		id := fmt.Sprintf("w%d", i+1)
		ids, byVM[fmt.Sprintf("m%d", i+1)] = append(ids, id), id
	}
	h := newHarness(t, ids...)
	f := &fakeVMs{h: h, upstream: byVM, downAt: make(map[string]time.Duration)}
	h.vms, h.engine.vms = f, f
	for _, x := range h.upstreams {
		x.runTime = time.Hour
	}
	return h, f
}

// rejoin has the upstreams send heartbeats that maintenance has replaced.
func (f *fakeVMs) rejoin(startup func() time.Duration) {
	f.advance()
	for _, name := range slices.Sorted(maps.Keys(f.upstream)) {
		id := f.upstream[name]
		if x := f.h.upstreams[id]; x != nil && f.h.engine.sessions[id] == nil && f.h.state.Upstreams()[id] == nil {
			x.runTime, x.startup = time.Hour, startup()
			f.h.sendHeartbeat(id)
		}
	}
}

// putWave asks for a wave of maintenance on some VMs.
func (h *harness) putWave(atOnce int32, vms ...string) {
	h.call(&pipelinev1.Call{Call: &pipelinev1.Call_PutWave{PutWave: &pipelinev1.Wave{Number: 1, Vms: vms, DurationMs: 60_000, AtOnce: atOnce}}})
}

// waveCompleted reports whether the wave is completed.
func (h *harness) waveCompleted() bool {
	return h.call(&pipelinev1.Call{Call: &pipelinev1.Call_GetWave{GetWave: &pipelinev1.GetWaveCall{Number: 1}}}).GetWaveCompleted()
}

// spreadStep returns a lasting step with one task on each of some upstreams, which may miss some.
func spreadStep(count, missAllowed int32) *pipelinev1.Step {
	st := oneStep(count, 0)
	st.Lasting, st.MaxPerUpstream, st.MissAllowed = true, 1, missAllowed
	return st
}

// A wave does not end a task at work while another one of its step is still starting up (review/10).
func TestStartingTaskIsAway(t *testing.T) {
	h, f := newWaveHarness(t, 6)
	for _, x := range h.upstreams {
		x.startup = 400 * time.Millisecond
	}
	h.upstreams["w6"].startup, h.upstreams["w6"].draining = 2600*time.Millisecond, true
	h.sendHeartbeat("w6")
	st := spreadStep(5, 1)
	a := watchAvailability(h, jobID(1), st)
	h.submit(jobID(1), st)
	a.run(6 * time.Second)
	h.upstreams["w6"].crash()
	h.upstreams["w6"].draining = false
	h.sendHeartbeat("w6")
	a.run(time.Second)
	h.putWave(2, "m1", "m2")
	for range 40 {
		a.run(500 * time.Millisecond)
		f.rejoin(func() time.Duration { return 400 * time.Millisecond })
	}
	for _, p := range a.problems {
		t.Error(p)
	}
	if !h.waveCompleted() || f.killed > 0 {
		t.Errorf("completed: %t, %d runs were killed", h.waveCompleted(), f.killed)
	}
}

// A task that starts up when the leadership changes, or when its upstream answers again, is away until it is at work.
func TestStartingTaskIsAwayAfterAChange(t *testing.T) {
	for name, change := range map[string]func(h *harness){
		"leader": func(h *harness) { h.newLeader() },
		"reconnect": func(h *harness) {
			h.upstreams["w3"].partitioned = true
			h.run(2 * time.Second)
			h.upstreams["w3"].partitioned = false
		},
	} {
		t.Run(name, func(t *testing.T) {
			h, _ := newWaveHarness(t, 3)
			h.upstreams["w3"].startup = time.Minute
			st := spreadStep(3, 1)
			a := watchAvailability(h, jobID(1), st)
			h.submit(jobID(1), st)
			a.run(500 * time.Millisecond)
			change(h)
			h.putWave(1, "m1")
			a.run(15 * time.Second)
			if a.orders > 0 {
				t.Errorf("%d orders ended a task while another one was starting up", a.orders)
			}
		})
	}
}

// A task that does not get to work does not hold its own VM's maintenance up.
func TestTaskThatNeverWorksIsMovedForMaintenance(t *testing.T) {
	h, f := newWaveHarness(t, 3)
	h.upstreams["w1"].startup = time.Hour
	st := spreadStep(3, 1)
	a := watchAvailability(h, jobID(1), st)
	h.submit(jobID(1), st)
	a.run(2 * time.Second)
	h.putWave(1, "m1")
	a.run(10 * time.Second)
	if f.orders != 1 || f.killed > 0 || len(a.problems) > 0 {
		t.Errorf("%d orders, %d runs were killed, %v", f.orders, f.killed, a.problems)
	}
}

// However long tasks start up, whatever is cut off or crashes, and whoever leads, waves end no task at work while as many
// others are away as may be; and they are completed.
func TestWavesKeepTasksAtWork(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 10))
		upstreams := 4 + rng.IntN(5)
		h, f := newWaveHarness(t, upstreams)
		startup := func() time.Duration { return time.Duration(rng.IntN(5000)) * time.Millisecond }
		var vms []string
		for i := range upstreams {
			h.upstreams[fmt.Sprintf("w%d", i+1)].startup = startup()
			vms = append(vms, fmt.Sprintf("m%d", i+1))
		}
		st := spreadStep(int32(upstreams-1), 1+rng.Int32N(2))
		a := watchAvailability(h, jobID(1), st)
		h.submit(jobID(1), st)
		a.run(startup())
		h.putWave(1+rng.Int32N(3), vms[:1+rng.IntN(upstreams)]...)
		for range 240 {
			a.run(250 * time.Millisecond)
			f.rejoin(startup)
			f.disturb(rng)
		}
		for range 240 {
			a.run(250 * time.Millisecond)
			f.rejoin(startup)
		}
		for _, p := range a.problems {
			t.Errorf("seed %d: %s", seed, p)
		}
		if !h.waveCompleted() {
			t.Errorf("seed %d: the wave is not completed", seed)
		}
	}
}

// disturb changes the leader, or cuts an upstream off for a while, now and then.
func (f *fakeVMs) disturb(rng *rand.Rand) {
	names := slices.Sorted(maps.Keys(f.upstream))
	for _, name := range names {
		if x := f.h.upstreams[f.upstream[name]]; x.partitioned && rng.IntN(8) == 0 && f.isUp(x) {
			x.partitioned = false
		}
	}
	switch rng.IntN(40) {
	case 0:
		f.h.newLeader()
	case 1:
		if x := f.h.upstreams[f.upstream[names[rng.IntN(len(names))]]]; f.isUp(x) {
			x.partitioned = true
		}
	}
}

// isUp reports whether an upstream is the present one of its VM, which is not in maintenance.
func (f *fakeVMs) isUp(x *fakeUpstream) bool {
	for name, id := range f.upstream {
		if _, down := f.downAt[name]; f.h.upstreams[id] == x {
			return !down
		}
	}
	return false
}
