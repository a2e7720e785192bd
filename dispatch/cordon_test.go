package dispatch

import (
	"testing"
	"time"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// A wave that allows all VMs of a service to be down at once leaves upstreams for the tasks that it moves, and for
// new work.
func TestWaveOnAllVMsLeavesRoom(t *testing.T) {
	h, f := newWaveHarness(t, 3)
	st := spreadStep(3, 1)
	a := watchAvailability(h, jobID(1), st)
	h.submit(jobID(1), st)
	a.run(2 * time.Second)
	h.putWave(3, "m1", "m2", "m3")
	busy := oneStep(30, 60_000)
	busy.Need.MilliCores = 100
	h.submit(jobID(2), busy)
	a.run(100 * time.Millisecond)
	h.submit(jobID(3), oneStep(1, 1000))
	a.run(2 * time.Second)
	if len(h.state.Job(jobID(3)).LiveRuns()) == 0 {
		t.Error("a new job has not started")
	}
	h.cancel(jobID(2))
	h.cancel(jobID(3))
	for range 40 {
		a.run(500 * time.Millisecond)
		f.rejoin(func() time.Duration { return 0 })
	}
	if !h.waveCompleted() || f.killed > 0 || len(a.problems) > 0 {
		t.Errorf("completed: %t, %d runs were killed, %v", h.waveCompleted(), f.killed, a.problems)
	}
	for i := range st.GetCount() {
		if !a.atWork(i) {
			t.Errorf("task %d is not at work", i)
		}
	}
}

// A task that finds no place elsewhere is not stopped for a wave while its VM can't be emptied.
func TestTaskWithoutAnotherPlaceIsNotStopped(t *testing.T) {
	h, _ := newWaveHarness(t, 1)
	st := oneStep(2, 0)
	st.Lasting, st.MissAllowed = true, 1
	a := watchAvailability(h, jobID(1), st)
	h.submit(jobID(1), st)
	a.run(2 * time.Second)
	h.putWave(1, "m1")
	a.run(20 * time.Second)
	if a.orders > 0 {
		t.Errorf("%d runs were stopped", a.orders)
	}
}

// An upstream that comes back under its identity after its VM's maintenance gets work while the wave goes on.
func TestUpstreamThatIsBackGetsWork(t *testing.T) {
	h, f := newWaveHarness(t, 2)
	f.keepsIdentity = true
	st := spreadStep(2, 1)
	h.submit(jobID(1), st)
	h.run(2 * time.Second)
	h.putWave(1, "m1", "m2")
	for range 20 {
		h.run(time.Second)
		f.advance()
		for id, x := range h.upstreams {
			if x.runTime = time.Hour; !x.partitioned {
				h.sendHeartbeat(id)
			}
		}
	}
	if running := len(h.upstreams["w1"].running) + len(h.upstreams["w2"].running); !h.waveCompleted() || running != 2 {
		t.Errorf("completed: %t, %d tasks run", h.waveCompleted(), running)
	}
}

// Maintenance waits for a placement that was under way when its upstream was cordoned.
func TestMaintenanceWaitsForAPlacementUnderWay(t *testing.T) {
	h, f := newWaveHarness(t, 1)
	h.run(time.Second)
	h.holdCommits = true
	st := oneStep(1, 0)
	st.Lasting = true
	h.state.Apply(h.wall(), &pipelinev1.Command{Command: &pipelinev1.Command_PutWave{PutWave: &pipelinev1.Wave{Number: 1, Vms: []string{"m1"}, DurationMs: 60_000, AtOnce: 1}}})
	spec := submitCommand(jobID(1))
	spec.GetSubmit().GetSpec().Steps = []*pipelinev1.Step{st}
	h.state.Apply(h.wall(), spec)
	h.engine.dirty = true
	h.engine.Flush()
	h.run(2 * time.Second)
	if f.orders > 0 {
		t.Errorf("%d orders while a placement was under way", f.orders)
	}
	h.commit()
	h.run(5 * time.Second)
	if f.orders != 1 || f.killed > 0 {
		t.Errorf("%d orders, %d runs were killed; expected one order and none", f.orders, f.killed)
	}
}

// An upstream stays cordoned after an order without an answer, which may be carried out late, whatever becomes of later
// orders, until the maintenance has begun.
func TestCordonOutlivesAnUnansweredOrder(t *testing.T) {
	h, _ := newWaveHarness(t, 1)
	h.putWave(1, "m1")
	w, m := h.state.Wave(1), VM{Name: "m1", Up: true, Upstream: "w1"}
	h.engine.maintenance.cordoned = map[string]cordon{"w1": {vm: "m1"}}
	for _, answer := range []struct {
		verdict MaintenanceVerdict
		err     error
		stays   bool
	}{{"", errUnanswered, true}, {"", errPermissionExpired, true}, {MaintenanceBusy, nil, true}, {MaintenanceBegun, nil, false}} {
		h.engine.maintenanceAnswered(w, m, answer.verdict, answer.err)
		h.engine.renewCordons([]VM{m})
		if _, stays := h.engine.maintenance.cordoned["w1"]; stays != answer.stays {
			t.Errorf("after %q, %v the upstream is cordoned: %t", answer.verdict, answer.err, stays)
		}
	}
}
