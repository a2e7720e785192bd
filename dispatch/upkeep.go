package dispatch

import (
	"context"
	"time"

	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// VM is what the VM service says of one VM.
type VM struct {
	Name string
	// Up is set while the VM runs an upstream that takes work.
	Up bool
	// Upstream is the identity of its upstream.
	Upstream string
}

// UpkeepVerdict is the VM service's answer to an order for upkeep.
type UpkeepVerdict string

// Verdicts on upkeep.
const (
	UpkeepBegun   UpkeepVerdict = "begun"
	UpkeepFenced  UpkeepVerdict = "a higher token was seen"
	UpkeepBusy    UpkeepVerdict = "the VM is busy"
	UpkeepRefused UpkeepVerdict = "the VM is not of this wave"
	UpkeepUnknown UpkeepVerdict = "there is no such VM"
)

// VMs calls the VM service. Its methods run in goroutines of their own.
type VMs interface {
	List(ctx context.Context) ([]VM, error)
	// Upkeep takes a VM down for its upkeep; it is idempotent.
	Upkeep(ctx context.Context, vm string, wave, token int64) (UpkeepVerdict, error)
}

const (
	// upkeepInterval is the time between looks at the VMs while a wave is open. The
	// service takes 30 readings and 60 orders a second from all processes.
	upkeepInterval = 500 * time.Millisecond
	// upkeepCallTimeout bounds a call to the service, which may be slow.
	upkeepCallTimeout = 2 * time.Second
	// upkeepTime is about what one upkeep takes until the VM is up again.
	upkeepTime = 3 * time.Second
	// settledRun is how long a run must have been confirmed to count as at work.
	settledRun = time.Second
)

// upkeep carries out waves: it empties a VM, takes it down, and waits until it is back.
type upkeep struct {
	next time.Duration
	busy bool
	// cordoned are upstreams that are being emptied.
	cordoned map[string]bool
}

// tendWaves takes the open waves one step further.
func (e *Engine) tendWaves(now time.Duration) {
	waves := e.state.OpenWaves()
	if len(waves) == 0 || e.vms == nil {
		if len(e.upkeep.cordoned) > 0 {
			e.upkeep.cordoned = make(map[string]bool)
		}
		return
	}
	if e.upkeep.busy || now < e.upkeep.next || !e.mayOrder(now) {
		return
	}
	e.upkeep.busy, e.upkeep.next = true, now+upkeepInterval
	e.async(upkeepCallTimeout, func(ctx context.Context) func() {
		list, err := e.vms.List(ctx)
		return func() {
			e.upkeep.busy = false
			if err != nil {
				e.log.Info().Err(err).Msg("VMs can't be listed; waves wait")
				return
			}
			for _, w := range e.state.OpenWaves() {
				e.tendWave(w, list, e.now())
			}
		}
	})
}

// tendWave orders the upkeep of at most one VM, and only while fewer of the wave than
// allowed are down by a list that is newer than the last order.
func (e *Engine) tendWave(w *pipeline.Wave, list []VM, now time.Duration) {
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
			e.noteUpkeep(w, name, "the VM has left")
		case known && !m.Up:
			down++
		case known && !w.Done[name]:
			next = append(next, m)
		}
	}
	room := int(w.GetAtOnce()) - down
	for i, m := range next {
		if i >= room {
			break
		}
		e.upkeep.cordoned[m.Upstream] = true
		if !e.upkeep.busy && e.emptied(m, w, len(next), now) {
			e.orderUpkeep(w, m)
		}
	}
}

// emptied moves work off a VM's upstream, and reports whether the upkeep may begin: when
// nothing runs there, or when the wave's time runs out and nothing is left that must stay up.
func (e *Engine) emptied(m VM, w *pipeline.Wave, left int, now time.Duration) bool {
	s := e.sessions[m.Upstream]
	if s == nil || len(s.u.Runs) == 0 {
		return true
	}
	protected := false
	for _, key := range s.runKeys() {
		r := s.u.Runs[key]
		spec := r.Task.Step.Spec
		switch {
		case spec.GetLasting() && spec.GetMissAllowed() > 0:
			protected = true
			if e.away(r.Task.Step, now) < int(spec.GetMissAllowed()) {
				s.enqueueStop(r, "its VM has its upkeep")
			}
		case spec.GetLasting(), spec.GetCheckpointing() && !spec.GetGang():
			s.enqueueStop(r, "its VM has its upkeep")
		}
	}
	ends := time.Duration(w.BegunNS) + time.Duration(w.GetDurationMs())*time.Millisecond
	needed := upkeepTime * time.Duration((left+int(w.GetAtOnce())-1)/int(w.GetAtOnce()))
	return !protected && time.Duration(e.host.WallNS())+needed > ends
}

// away counts the tasks of a lasting step that are not surely at work.
func (e *Engine) away(st *pipeline.Step, now time.Duration) int {
	n := 0
	for _, t := range st.Tasks {
		atWork := false
		for _, r := range t.Live {
			s := e.sessions[r.Upstream.GetId()]
			if s == nil || s.phase != lifecycle.SessionOpen || s.stopping[r.Key()] {
				continue
			}
			at, answered := s.answeredAt[r.Key()]
			atWork = atWork || answered && now-at >= settledRun
		}
		if !atWork {
			n++
		}
	}
	return n
}

func (e *Engine) orderUpkeep(w *pipeline.Wave, m VM) {
	e.upkeep.busy = true
	number, token := w.GetNumber(), e.term<<epochBits
	e.async(upkeepCallTimeout, func(ctx context.Context) func() {
		v, err := e.vms.Upkeep(ctx, m.Name, number, token)
		return func() {
			e.upkeep.busy = false
			e.log.Info().Int64("wave", number).Str("vm", m.Name).Str("upstream", m.Upstream).Str("verdict", string(v)).Err(err).Msg("upkeep was ordered")
			switch {
			case err != nil:
			case v == UpkeepBegun:
				e.noteUpkeep(w, m.Name, "its upkeep has begun")
			case v == UpkeepUnknown:
				e.noteUpkeep(w, m.Name, "the VM does not exist")
			}
		}
	})
}

func (e *Engine) noteUpkeep(w *pipeline.Wave, vm, why string) {
	e.log.Info().Int64("wave", w.GetNumber()).Str("vm", vm).Str("why", why).Msg("VM of the wave needs nothing more")
	e.host.Propose(&pipelinev1.Command{Command: &pipelinev1.Command_UpkeepDone{
		UpkeepDone: &pipelinev1.UpkeepDone{Wave: w.GetNumber(), Vm: vm}}}, nil)
}

func (e *Engine) getWave(number int64, done finish) {
	e.read(done, func() *pipelinev1.Reply {
		w := e.state.Wave(number)
		if w == nil {
			return verdict(pipelinev1.Verdict_VERDICT_NO_WAVE, "no such wave")
		}
		return &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_OK, WaveCompleted: w.Completed()}
	})
}
