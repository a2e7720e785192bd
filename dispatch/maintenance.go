package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/pkg/errors"
)

// VM is the state of a VM as the VM service reports it.
type VM struct {
	// Name identifies the VM.
	Name string
	// Up is set while the VM runs an upstream that accepts work.
	Up bool
	// Upstream is the identity of the VM's upstream.
	Upstream string
}

// MaintenanceVerdict is the VM service's answer to an order to start the maintenance of a VM.
// The value is a text for logs.
type MaintenanceVerdict string

// Values of MaintenanceVerdict.
const (
	// MaintenanceBegun means that the maintenance has begun.
	MaintenanceBegun MaintenanceVerdict = "begun"
	// MaintenanceFenced means that the VM service has seen a higher token.
	MaintenanceFenced MaintenanceVerdict = "a higher token was seen"
	// MaintenanceBusy means that the VM is busy; the order is retried.
	MaintenanceBusy MaintenanceVerdict = "the VM is busy"
	// MaintenanceRefused means that the VM does not belong to the wave.
	MaintenanceRefused MaintenanceVerdict = "the VM is not of this wave"
	// MaintenanceUnknownVM means that the VM does not exist.
	MaintenanceUnknownVM MaintenanceVerdict = "there is no such VM"
)

// VMs calls the VM service. Its methods are called from goroutines other than the control
// goroutine.
type VMs interface {
	// List returns the VMs that the service knows.
	List(ctx context.Context) ([]VM, error)
	// StartMaintenance takes a VM down for maintenance in the given wave. It is idempotent, so it can be
	// repeated after an error. The token fences orders of older leaders.
	StartMaintenance(ctx context.Context, vm string, wave, token int64) (MaintenanceVerdict, error)
}

const (
	// maintenanceInterval is the time between listings of the VMs while a wave is open. The service
	// accepts 30 reads and 60 orders a second from all processes together.
	maintenanceInterval = 500 * time.Millisecond
	// vmCallTimeout bounds a call to the service, which may be slow.
	vmCallTimeout = 2 * time.Second
	// maintenanceTime is the approximate time from the start of a VM's maintenance until the VM is up
	// again.
	maintenanceTime = 3 * time.Second
	// waveReportEvery is the time between two reports that a wave waits for tasks to be at work.
	waveReportEvery = 2 * time.Second
)

// maintenance is the state of the maintenance waves. A wave is a set of VMs that undergo
// maintenance, at most a given number at a time. For each VM the engine moves the work off its
// upstream, orders the maintenance, and waits until the VM is up again.
type maintenance struct {
	// next is the earliest time of the next listing of the VMs.
	next time.Duration
	// busy is set while a call to the VM service is pending.
	busy bool
	// cordoned holds the upstreams that get no new work because they are being drained for
	// maintenance.
	cordoned map[string]cordon
	// unanswered holds the VMs of which an order was not answered and whose maintenance is not known to have begun.
	unanswered map[string]bool
	// waveOpen is set while a wave is open.
	waveOpen bool
	// nextReport is when it may be reported again that a wave waits for tasks to be at work.
	nextReport time.Duration
}

// advanceWaves lists the VMs and advances all open waves.
func (e *Engine) advanceWaves(now time.Duration) {
	waves := e.state.OpenWaves()
	e.maintenance.waveOpen = len(waves) > 0
	if len(waves) == 0 || e.vms == nil {
		e.maintenance.cordoned = nil
		clear(e.maintenance.unanswered)
		return
	}
	if e.maintenance.busy || now < e.maintenance.next || !e.leadershipConfirmed(now) {
		return
	}
	e.maintenance.busy, e.maintenance.next = true, now+maintenanceInterval
	e.async(vmCallTimeout, func(ctx context.Context) func() {
		list, err := e.vms.List(ctx)
		return func() {
			e.maintenance.busy = false
			if err != nil {
				e.log.Info().Err(err).Msg("cannot list VMs; waves are delayed")
				return
			}
			// The list may have taken long, or the process may have been paused.
			if now := e.now(); e.leadershipConfirmed(now) {
				before := e.renewCordons(list)
				for _, w := range e.state.OpenWaves() {
					e.advanceWave(w, list, before, now)
				}
			}
		}
	})
}

// advanceWave orders the maintenance of at most one VM. It does so only while fewer VMs of the
// wave are down than allowed, according to a list that is newer than the last order.
func (e *Engine) advanceWave(w *pipeline.Wave, list []VM, before map[string]cordon, now time.Duration) {
	byName := make(map[string]VM, len(list))
	for _, m := range list {
		byName[m.Name] = m
	}
	down := 0
	var next []VM
	for _, name := range w.GetVms() {
		m, known := byName[name]
		switch {
		case !known && !w.Done[name]:
			e.proposeMaintenanceDone(w, name, "the VM is no longer listed")
		case known && !m.Up:
			down++
		case known && !w.Done[name]:
			next = append(next, m)
		}
	}
	room, late := int(w.GetAtOnce())-down, e.isLate(w, len(next))
	for i, m := range next {
		if i >= room {
			break
		}
		if e.cordon(m, before, late) && !e.maintenance.busy && e.drainForMaintenance(m, late, now) {
			e.orderMaintenance(w, m)
		}
	}
}

// isLate reports whether the remaining time of a wave is shorter than the maintenance of its remaining VMs takes.
func (e *Engine) isLate(w *pipeline.Wave, left int) bool {
	ends := time.Duration(w.BegunNS) + time.Duration(w.GetDurationMs())*time.Millisecond
	needed := maintenanceTime * time.Duration((left+int(w.GetAtOnce())-1)/int(w.GetAtOnce()))
	return time.Duration(e.host.WallNS())+needed > ends
}

// drainForMaintenance moves work off a VM's upstream and reports whether the maintenance may
// begin. It may begin when no runs are left and none is being placed. It may also begin when the wave
// would be late and no run is left of a lasting step that limits how many of its tasks may be missing.
func (e *Engine) drainForMaintenance(m VM, late bool, now time.Duration) bool {
	s := e.sessions[m.Upstream]
	if s == nil {
		return true
	}
	if e.placedBeforeCordon(m.Upstream) {
		return false
	}
	if len(s.u.Runs) == 0 {
		return true
	}
	protected, mayMissAll := false, e.mayMissAllOn(s, now)
	for _, key := range s.runKeys() {
		r := s.u.Runs[key]
		spec := r.Task.Step.Spec
		switch {
		case isProtected(r):
			protected = true
			if !s.stopping[key] {
				e.drainProtected(s, r, m, mayMissAll, now)
			}
		case spec.GetLasting(), spec.GetCheckpointing() && !spec.GetGang():
			s.enqueueStop(r, "maintenance of its VM")
		}
	}
	return !protected && late
}

// drainDecision says whether a run of a protected step is stopped for the maintenance of its VM.
type drainDecision struct {
	// away is the number of the step's other tasks that are not at work, mayMiss how many it may miss.
	away, mayMiss int
	// helps is set if the task has a place elsewhere, or if the VM can be emptied of protected runs.
	helps bool
}

// stops reports whether the run is stopped.
func (d drainDecision) stops() bool { return d.away < d.mayMiss && d.helps }

// drainProtected stops a run of a protected step if its step may miss one task more.
func (e *Engine) drainProtected(s *session, r *pipeline.Run, m VM, mayMissAll bool, now time.Duration) {
	d := drainDecision{e.othersNotWorking(r.Task, now), int(r.Task.Step.Spec.GetMissAllowed()), mayMissAll || e.hasPlaceElsewhere(r, now)}
	e.logDrain(r, m, d, now)
	if d.stops() {
		s.enqueueStop(r, "maintenance of its VM")
	}
}

// logDrain logs the decision on a protected run; that it is not stopped is logged each waveReportEvery at most.
func (e *Engine) logDrain(r *pipeline.Run, m VM, d drainDecision, now time.Duration) {
	if !d.stops() {
		if now < e.maintenance.nextReport {
			return
		}
		e.maintenance.nextReport = now + waveReportEvery
	}
	key := r.Key()
	e.log.Info().Str("request", key.Job).Int32("step", key.Step).Int32("task", key.Index).Int32("run", key.Number).Str("vm", m.Name).Str("upstream", m.Upstream).
		Int("others_not_at_work", d.away).Int("may_miss", d.mayMiss).Bool("has_place_or_empties", d.helps).Bool("stopped", d.stops()).Msg("lasting task on a VM of a wave")
}

// othersNotWorking counts the other tasks of a lasting task's step that have no run at work.
func (e *Engine) othersNotWorking(of *pipeline.Task, now time.Duration) int {
	n := 0
	for _, t := range of.Step.Tasks {
		if t != of && !e.anyWorking(t, now) {
			n++
		}
	}
	return n
}

// anyWorking reports whether a lasting task has a run at work.
func (e *Engine) anyWorking(t *pipeline.Task, now time.Duration) bool {
	return slices.ContainsFunc(t.Live, func(r *pipeline.Run) bool {
		s := e.sessions[r.Upstream.GetId()]
		return s != nil && s.working(r.Key(), now)
	})
}

// orderMaintenance orders the maintenance of a VM.
func (e *Engine) orderMaintenance(w *pipeline.Wave, m VM) {
	e.maintenance.busy = true
	number, token, permitted := w.GetNumber(), e.term<<epochBits, e.permission()
	e.async(vmCallTimeout, func(ctx context.Context) func() {
		v, err := MaintenanceVerdict(""), error(errPermissionExpired)
		if permitted() {
			v, err = e.vms.StartMaintenance(ctx, m.Name, number, token)
		}
		return func() {
			e.maintenance.busy = false
			e.log.Info().Int64("wave", number).Str("vm", m.Name).Str("upstream", m.Upstream).Str("verdict", string(v)).Err(err).Msg("VM maintenance ordered")
			e.maintenanceAnswered(w, m, v, err)
		}
	})
}

// maintenanceAnswered handles the answer to a maintenance order. One without an answer may be carried out late, whatever
// is answered to later ones, until the maintenance has begun.
func (e *Engine) maintenanceAnswered(w *pipeline.Wave, m VM, v MaintenanceVerdict, err error) {
	switch {
	case errors.Is(err, ErrNotSent):
	case err != nil:
		e.maintenance.unanswered[m.Name] = true
	case v == MaintenanceBegun:
		delete(e.maintenance.unanswered, m.Name)
		e.proposeMaintenanceDone(w, m.Name, "its maintenance has begun")
	case v == MaintenanceUnknownVM:
		delete(e.maintenance.unanswered, m.Name)
		e.proposeMaintenanceDone(w, m.Name, "the VM does not exist")
	}
}

// proposeMaintenanceDone proposes that a VM of a wave needs no further order.
func (e *Engine) proposeMaintenanceDone(w *pipeline.Wave, vm, reason string) {
	e.log.Info().Int64("wave", w.GetNumber()).Str("vm", vm).Str("why", reason).Msg("VM of the wave needs no further order")
	e.host.Propose(&pipelinev1.Command{Command: &pipelinev1.Command_UpkeepDone{
		UpkeepDone: &pipelinev1.UpkeepDone{Wave: w.GetNumber(), Vm: vm}}}, nil)
}

// getWave answers whether a wave is completed.
func (e *Engine) getWave(number int64, done replyFunc) {
	e.read(done, func() *pipelinev1.Reply {
		w := e.state.Wave(number)
		if w == nil {
			return verdict(pipelinev1.Verdict_VERDICT_NO_WAVE, "no such wave")
		}
		return &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_OK, WaveCompleted: w.Completed()}
	})
}
