package dispatch

import (
	"context"
	"time"

	"github.com/bulrushwinch/bulrushwinch/control"
	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/rs/zerolog"
)

// decidePause is how many times the length of a round passes before the next one, so that
// decisions leave three quarters of the processor to calls and commits.
const decidePause = 3

// sweepInterval is the time between Sweep commands.
const sweepInterval = 10 * time.Second

// Engine implements control.Engine.
type Engine struct {
	cfg       Config
	log       zerolog.Logger
	host      Host
	upstreams Upstreams
	// VMs is nil where there is no VM service.
	vms   VMs
	state *pipeline.State

	leading bool
	term    int64
	// leadAt is when the leadership began, confirmedAt when the last confirmed one was asked for.
	leadAt      time.Duration
	confirmedAt time.Duration
	confirming  bool
	nextSweep   time.Duration
	// roundTrip tells how long answers of upstreams take.
	roundTrip roundTrip
	// lossyUntil is how long answers of upstreams are expected to get lost.
	lossyUntil time.Duration

	sessions map[string]*session
	steps    map[*pipeline.Step]*stepWork
	// ahead holds steps whose turn comes soon and whose permits are asked for already.
	ahead   map[*pipeline.Step]*stepWork
	permits planner
	learner learner
	// reserveAgain is when upstreams may be reserved for a gang again.
	reserveAgain time.Duration
	upkeep       upkeep
	// saved are checkpoints that upstreams showed and that no end has brought yet.
	saved map[*pipeline.Task]string
	// tickets are those of placed runs that aren't ordered yet.
	tickets map[pipeline.RunKey]string
	// placing is set while a Place command is in the log's queue.
	placing bool
	dirty   bool
	// nextDecide is when the next round may begin; waking is set while a call of Flush is due.
	nextDecide time.Duration
	waking     bool
}

// New returns an engine; VMs may be nil.
func New(cfg Config, log zerolog.Logger, host Host, upstreams Upstreams, vms VMs) *Engine {
	cfg.MaxHold = min(cfg.MaxHold, longestLease)
	e := &Engine{cfg: cfg, log: log, host: host, upstreams: upstreams, vms: vms, state: host.Pipelines()}
	e.clear()
	return e
}

func (e *Engine) clear() {
	e.leading, e.placing, e.confirming = false, false, false
	e.sessions = make(map[string]*session)
	e.steps = make(map[*pipeline.Step]*stepWork)
	e.ahead = make(map[*pipeline.Step]*stepWork)
	e.saved = make(map[*pipeline.Task]string)
	e.tickets = make(map[pipeline.RunKey]string)
	e.learner = newLearner()
	e.reserveAgain = 0
	e.roundTrip = roundTrip{}
	e.upkeep = upkeep{cordoned: make(map[string]bool)}
}

func (e *Engine) now() time.Duration { return e.host.Clock().Now() }

// Lead implements control.Engine.
func (e *Engine) Lead(term uint64) {
	e.clear()
	e.leading, e.term = true, int64(term)
	e.leadAt = e.now()
	e.confirmedAt = e.leadAt
	e.nextSweep = e.leadAt + sweepInterval
	e.state.Observe((*observer)(e))
	for _, w := range e.state.Upstreams() {
		e.openSession(w)
	}
	for _, j := range e.state.Jobs() {
		if !j.Ended() {
			e.addJob(j)
			continue
		}
		e.stopRuns(j.LiveRuns(), "the job has ended")
	}
	e.dirty = true
	e.log.Info().Uint64("term", term).Int("upstreams", len(e.sessions)).Int("steps", len(e.steps)).
		Uint64("config_version", e.state.Config().Version()).Msg("leadership begins")
}

// Reset implements control.Engine.
func (e *Engine) Reset() {
	if e.leading {
		e.log.Info().Int64("term", e.term).Msg("leadership ended")
		e.state.Observe(nil)
	}
	e.permits.fail(control.ErrNotLeader)
	e.clear()
}

// Tick implements control.Engine.
func (e *Engine) Tick(now time.Duration) {
	if !e.leading {
		return
	}
	if now-e.confirmedAt >= confirmInterval {
		e.confirm(now)
	}
	if now >= e.nextSweep {
		e.nextSweep = now + sweepInterval
		e.logLoad()
		e.host.Propose(&pipelinev1.Command{Command: &pipelinev1.Command_Sweep{Sweep: &pipelinev1.Sweep{}}}, nil)
	}
	for _, s := range e.sessions {
		s.pump(now)
	}
	e.permits.tick(e, now)
	e.forgetUpstreams(now)
	e.tendWaves(now)
	e.dirty = true
}

// confirm renews the right to extend leases and to order starts.
func (e *Engine) confirm(now time.Duration) {
	if e.confirming {
		return
	}
	e.confirming = true
	term := e.term
	e.host.Confirmed(func(ok bool) {
		if e.term != term || !e.leading {
			return
		}
		e.confirming = false
		if ok {
			e.confirmedAt = max(e.confirmedAt, now)
		}
	})
}

// mayOrder reports whether the leadership was confirmed lately.
func (e *Engine) mayOrder(now time.Duration) bool {
	return e.leading && now-e.confirmedAt < confirmLife
}

// Flush implements control.Engine.
func (e *Engine) Flush() {
	if !e.leading || !e.dirty || e.placing {
		return
	}
	now := e.now()
	if now < e.nextDecide {
		e.wake(e.nextDecide - now)
		return
	}
	e.dirty = false
	e.decide(now)
	took := e.now() - now
	decisionTime.Record(took)
	e.nextDecide = now + (decidePause+1)*took
}

// wake lets Flush be called again after a time.
func (e *Engine) wake(after time.Duration) {
	if e.waking {
		return
	}
	e.waking = true
	e.host.Async(func() func() {
		time.Sleep(after)
		return func() { e.waking = false }
	})
}

// async runs a call elsewhere; its answer is dropped if the leadership has ended meanwhile.
func (e *Engine) async(timeout time.Duration, call func(ctx context.Context) func()) {
	term := e.term
	e.host.Async(func() func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		done := call(ctx)
		return func() {
			if e.leading && e.term == term {
				done()
			}
		}
	})
}

// addJob takes up the steps of a job that have work left.
func (e *Engine) addJob(j *pipeline.Job) {
	for _, o := range j.Occurrences {
		for _, st := range o.Steps {
			if st.Undone > 0 && st.Ready() {
				e.addStep(st)
			}
		}
	}
}

func (e *Engine) addStep(st *pipeline.Step) {
	e.dirty = true
	if e.steps[st] != nil {
		return
	}
	w := e.ahead[st]
	delete(e.ahead, st)
	if w == nil {
		w = newStepWork(st, e.now())
	}
	w.readyAt = e.now()
	e.steps[st] = w
}

// logLoad says how busy the leader is.
func (e *Engine) logLoad() {
	e.log.Info().Int("steps", len(e.steps)).Int("upstreams", len(e.sessions)).Int("callers", len(e.permits.callers)).
		Int("questions_waiting", len(e.permits.waiting)).Dur("decision_p50", decisionTime.Quantile(50)).Dur("decision_p99", decisionTime.Quantile(99)).
		Dur("permit_p50", permitTime.Quantile(50)).Dur("permit_p99", permitTime.Quantile(99)).Dur("first_start_p99", startTime.Quantile(99)).
		Int64("orders", ordersSent.Value()).Int64("looks", looksSent.Value()).Msg("leader load")
}
