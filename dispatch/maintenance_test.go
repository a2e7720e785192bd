package dispatch

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// fakeVMs simulates a VM service: maintenance kills the runs on the VM and takes two seconds;
// then a new upstream joins on the VM.
type fakeVMs struct {
	h        *harness
	upstream map[string]string
	downAt   map[string]time.Duration
	mostDown int
	// keepsIdentity is set if upstreams come back under their identities.
	keepsIdentity bool
	orders        int
	killed        int
}

// List implements VMs.
func (f *fakeVMs) List(context.Context) ([]VM, error) {
	f.advance()
	var out []VM
	for _, name := range slices.Sorted(maps.Keys(f.upstream)) {
		_, ordered := f.downAt[name]
		out = append(out, VM{Name: name, Up: !ordered, Upstream: f.upstream[name]})
	}
	return out, nil
}

// advance ends the maintenance of VMs that are back: a new upstream joins, or the same one again.
func (f *fakeVMs) advance() {
	for name, at := range f.downAt {
		if f.h.now-at < 2*time.Second {
			continue
		}
		delete(f.downAt, name)
		if f.keepsIdentity {
			f.h.upstreams[f.upstream[name]].partitioned = false
			continue
		}
		f.upstream[name] += "x"
		f.h.upstreams[f.upstream[name]] = newFakeUpstream(f.h, 20)
	}
}

// StartMaintenance implements VMs.
func (f *fakeVMs) StartMaintenance(_ context.Context, vm string, _, _ int64) (MaintenanceVerdict, error) {
	f.orders++
	old := f.h.upstreams[f.upstream[vm]]
	f.killed += len(old.running)
	for key := range old.running {
		f.h.ordered(old, key)
	}
	old.crash()
	old.partitioned = true
	f.downAt[vm] = f.h.now
	f.mostDown = max(f.mostDown, len(f.downAt))
	return MaintenanceBegun, nil
}

// newMaintenanceHarness returns a harness with three upstreams on three VMs.
func newMaintenanceHarness(t *testing.T) (*harness, *fakeVMs) {
	h := newHarness(t, "w1", "w2", "w3")
	f := &fakeVMs{h: h, upstream: map[string]string{"m1": "w1", "m2": "w2", "m3": "w3"}, downAt: make(map[string]time.Duration)}
	h.vms = f
	h.engine.vms = f
	return h, f
}

// A wave takes down no more VMs at once than allowed, moves lasting tasks off them first, and is
// completed when every VM has had its maintenance.
func TestWave(t *testing.T) {
	h, f := newMaintenanceHarness(t)
	for _, x := range h.upstreams {
		x.runTime = time.Hour
	}
	lasting := oneStep(3, 0)
	lasting.Lasting, lasting.MissAllowed = true, 1
	h.submit(jobID(1), lasting)
	h.run(2 * time.Second)
	h.call(&pipelinev1.Call{Call: &pipelinev1.Call_PutWave{PutWave: &pipelinev1.Wave{Number: 1, Vms: []string{"m1", "m2"}, DurationMs: 60000, AtOnce: 1}}})
	completed := func() bool {
		return h.call(&pipelinev1.Call{Call: &pipelinev1.Call_GetWave{GetWave: &pipelinev1.GetWaveCall{Number: 1}}}).GetWaveCompleted()
	}
	if completed() {
		t.Fatal("completed at once")
	}
	for range 40 {
		h.run(500 * time.Millisecond)
		for name, id := range f.upstream {
			if len(id) > 2 && f.h.upstreams[id] != nil {
				h.upstreams[id].runTime = time.Hour
				h.sendHeartbeat(id)
				_ = name
			}
		}
	}
	if !completed() || f.orders != 2 || f.mostDown != 1 || f.killed != 0 {
		t.Errorf("completed %t, %d orders, %d down at once, %d runs killed", completed(), f.orders, f.mostDown, f.killed)
	}
}
