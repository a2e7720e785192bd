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
	cfg     Config
	log     zerolog.Logger
	host    Host
	workers Workers
	// machines is nil where there is no machines' service.
	machines Machines
	state    *pipeline.State

	leading bool
	term    int64
	// leadAt is when the leadership began, confirmedAt when the last confirmed one was asked for.
	leadAt      time.Duration
	confirmedAt time.Duration
	confirming  bool
	nextSweep   time.Duration
	// lossyUntil is how long answers of workers are expected to get lost.
	lossyUntil time.Duration

	sessions map[string]*session
	steps    map[*pipeline.Step]*stepWork
	permits  planner
	learner  learner
	upkeep   upkeep
	// saved are checkpoints that workers showed and that no end has brought yet.
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

// New returns an engine; machines may be nil.
func New(cfg Config, log zerolog.Logger, host Host, workers Workers, machines Machines) *Engine {
	cfg.MaxHold = min(cfg.MaxHold, longestLease)
	e := &Engine{cfg: cfg, log: log, host: host, workers: workers, machines: machines, state: host.Pipelines()}
	e.clear()
	return e
}

func (e *Engine) clear() {
	e.leading, e.placing, e.confirming = false, false, false
	e.sessions = make(map[string]*session)
	e.steps = make(map[*pipeline.Step]*stepWork)
	e.saved = make(map[*pipeline.Task]string)
	e.tickets = make(map[pipeline.RunKey]string)
	e.learner = newLearner()
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
	for _, w := range e.state.Workers() {
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
	e.log.Info().Uint64("term", term).Int("workers", len(e.sessions)).Int("steps", len(e.steps)).
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
	e.forgetWorkers(now)
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
	if e.steps[st] == nil {
		e.steps[st] = newStepWork(st, e.now())
	}
	e.dirty = true
}

// observer keeps the engine in step with the state.
type observer Engine

// ConfigChanged implements pipeline.Observer.
func (o *observer) ConfigChanged() {
	o.dirty = true
	o.log.Info().Uint64("version", o.state.Config().GetVersion()).Int("queues", len(o.state.Config().GetQueues())).
		Msg("configuration in force")
}

// DomainChanged implements pipeline.Observer.
func (o *observer) DomainChanged(name string, out bool) {
	o.dirty = true
	o.log.Info().Str("failure_domain", name).Bool("out", out).Msg("failure domain changed")
}

// WorkerChanged implements pipeline.Observer.
func (o *observer) WorkerChanged(w *pipeline.Worker) {
	e := (*Engine)(o)
	e.dirty = true
	if s := e.sessions[w.GetId()]; s != nil {
		s.workerChanged(w)
		return
	}
	e.openSession(w)
}

// WorkerGone implements pipeline.Observer.
func (o *observer) WorkerGone(w *pipeline.Worker) {
	delete(o.sessions, w.GetId())
	o.dirty = true
	o.log.Info().Str("worker", w.GetId()).Int64("born", w.GetBorn()).Msg("worker is gone")
}

// JobAdded implements pipeline.Observer.
func (o *observer) JobAdded(j *pipeline.Job) {
	jobsAccepted.Add(1)
	(*Engine)(o).addJob(j)
}

// JobEnded implements pipeline.Observer.
func (o *observer) JobEnded(j *pipeline.Job) {
	e := (*Engine)(o)
	for _, oc := range j.Occurrences {
		for _, st := range oc.Steps {
			e.dropStep(st)
		}
	}
	e.stopRuns(j.LiveRuns(), "the job has ended")
	jobsEnded.Add(string(j.State), 1)
	e.log.Info().Str("request", j.Spec.GetId()).Str("queue", j.Spec.GetQueue()).Str("state", string(j.State)).
		Int64("after_ms", (j.EndedNS-j.SubmittedNS)/int64(time.Millisecond)).Msg("job ended")
}

func (e *Engine) dropStep(st *pipeline.Step) {
	if w := e.steps[st]; w != nil {
		e.permits.drop(w)
		delete(e.steps, st)
	}
}

// StepDone implements pipeline.Observer.
func (o *observer) StepDone(st *pipeline.Step) {
	e := (*Engine)(o)
	e.dropStep(st)
	for _, next := range st.Occurrence.Steps {
		if next.Undone > 0 && next.Ready() && !st.Job().Ended() {
			e.addStep(next)
		}
	}
}

// RunPlaced implements pipeline.Observer.
func (o *observer) RunPlaced(r *pipeline.Run) {
	e := (*Engine)(o)
	if s := e.sessions[r.Worker.GetId()]; s != nil {
		s.enqueueStart(r, e.tickets[r.Key()])
	}
	delete(e.tickets, r.Key())
}

// RunEnded implements pipeline.Observer.
func (o *observer) RunEnded(r *pipeline.Run, kind pipelinev1.EndKind) {
	e := (*Engine)(o)
	e.dirty = true
	runsEnded.Add(endNames[kind], 1)
	if s := e.sessions[r.Worker.GetId()]; s != nil {
		if at, answered := s.answeredAt[r.Key()]; answered && kind == pipelinev1.EndKind_END_KIND_DONE {
			e.learner.ran(r, e.now()-at)
		}
		s.forgetRun(r.Key())
	}
	if kind == pipelinev1.EndKind_END_KIND_DONE || kind == pipelinev1.EndKind_END_KIND_FAILED {
		e.noteEnd(r, kind == pipelinev1.EndKind_END_KIND_FAILED)
	}
	if !r.Task.Done {
		e.log.Info().Str("request", r.Task.Step.Job().Spec.GetId()).Int32("step", r.Task.Step.Index).Int32("task", r.Task.Index).
			Int32("run", r.Number).Str("worker", r.Worker.GetId()).Str("end", endNames[kind]).Msg("run ended without result")
	} else {
		delete(e.saved, r.Task)
	}
	switch {
	case r.Task.Step.Spec.GetGang() && kind != pipelinev1.EndKind_END_KIND_DONE:
		e.stopRuns(r.Task.Step.LiveRuns(), "another member of the gang ended")
	case r.Task.Done && !r.Task.Step.Spec.GetGang():
		e.stopRuns(append([]*pipeline.Run(nil), r.Task.Live...), "another copy is done")
	}
}

// stopRuns ends runs that are not wanted any more.
func (e *Engine) stopRuns(runs []*pipeline.Run, why string) {
	for _, r := range runs {
		if s := e.sessions[r.Worker.GetId()]; s != nil {
			s.enqueueStop(r, why)
		}
	}
}

// noteEnd tells workers that fail what they start apart from jobs that fail everywhere: a
// failed task tries another worker, and a worker with many failures is avoided.
func (e *Engine) noteEnd(r *pipeline.Run, failed bool) {
	worker := r.Worker.GetId()
	if failed && !r.Task.Step.Spec.GetLasting() {
		if w := e.steps[r.Task.Step]; w != nil {
			w.avoid(worker, e.now()+retryElsewhere)
		}
	}
	if e.learner.ended(worker, failed, e.now()) {
		workersAvoided.Add(1)
		e.log.Warn().Str("worker", worker).Dur("for", failPause).Msg("worker fails most of what it starts; it gets nothing new for a while")
	}
}

// logLoad says how busy the leader is.
func (e *Engine) logLoad() {
	e.log.Info().Int("steps", len(e.steps)).Int("workers", len(e.sessions)).Int("callers", len(e.permits.callers)).
		Int("questions_waiting", len(e.permits.waiting)).Dur("decision_p50", decisionTime.Quantile(50)).Dur("decision_p99", decisionTime.Quantile(99)).
		Dur("permit_p50", permitTime.Quantile(50)).Dur("permit_p99", permitTime.Quantile(99)).Dur("first_start_p99", startTime.Quantile(99)).
		Int64("orders", ordersSent.Value()).Int64("looks", looksSent.Value()).Msg("leader load")
}
