package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bulrushwinch/bulrushwinch/control"
	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/bulrushwinch/bulrushwinch/placement"
	"github.com/bulrushwinch/bulrushwinch/retry"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// sweepInterval is the time between Sweep commands.
const sweepInterval = 10 * time.Second

// Engine places tasks and orders runs while its replica is the leader. It implements
// control.Engine.
type Engine struct {
	cfg Config
	// longestGrant is the longest lease that an upstream grants; cfg.MaxHold is bounded below it.
	longestGrant time.Duration

	log       zerolog.Logger
	host      Host
	upstreams Upstreams
	// vms is nil where there is no VM service.
	vms   VMs
	state *pipeline.State
	// withTimeout returns the context of a call; tests in virtual time replace it.
	withTimeout func(context.Context, time.Duration) (context.Context, context.CancelFunc)

	leading bool
	term    int64
	// leadingSince is when the leadership began; confirmedAt is when the confirmation that
	// succeeded last was requested.
	leadingSince time.Duration
	confirmedAt  time.Duration
	confirming   bool
	nextSweep    time.Duration
	load         load
	// roundTrip estimates how long upstreams take to answer.
	roundTrip roundTrip
	// lossyUntil is the time until which answers of upstreams are expected to get lost.
	lossyUntil time.Duration

	// relays are the replicas that can carry calls to upstreams.
	relays   relays
	sessions map[string]*session
	// epochs holds the last epoch of each upstream that was removed in this leadership. Should it
	// come back, it still knows the tokens of that epoch.
	epochs map[string]int64
	// cell is the view of the cell that scheduling rounds decide upon.
	cell placement.Cell
	// admission says which new jobs are taken; submitting are the uncommitted ones.
	admission  *placement.Admission
	submitting inFlight
	// flow measures the work that is admitted and completed; backlog is summarized from it and from the cell, next at
	// nextBacklog.
	flow        *placement.Flow
	backlog     *placement.Backlog
	nextBacklog time.Duration
	// registering are the uncommitted descriptions of upstreams.
	registering inFlight
	permits     permitScheduler
	maintenance maintenance
	where       whereDesk
	// unstarted tells of each job that is running in the replicated state whether none of its runs is known to
	// have started.
	unstarted map[*pipeline.Job]bool
	// given counts the jobs that the configuration which is being applied gives to other teams.
	given map[teamChange]int
	// checkpoints holds the checkpoints that upstreams reported and that no committed end
	// contains yet.
	checkpoints map[*pipeline.Task]string
	// tickets holds the tickets of placed runs until their start orders are queued.
	tickets map[pipeline.RunKey]string
	// placing is set while a Place command waits for its commit, and places is the number of those that were proposed.
	placing bool
	places  int64
	// dirty is set when something changed since the last round.
	dirty bool
	// longestDelay is how long an answer has waited for the control goroutine, at most, since the last
	// round. nextDecide is when the next round may begin; wakePending is set while a timer runs that
	// leads to a call of Flush.
	longestDelay time.Duration
	nextDecide   time.Duration
	wakePending  bool
}

// New returns an engine. Leases are limited to the smaller of cfg.MaxHold and 4.5 s. vms may be
// nil; maintenance waves then have no effect.
func New(cfg Config, log zerolog.Logger, host Host, upstreams Upstreams, vms VMs) *Engine {
	longest := cfg.MaxHold
	cfg.MaxHold = min(cfg.MaxHold, maxLease)
	e := &Engine{cfg: cfg, longestGrant: longest, log: log, host: host, upstreams: upstreams, vms: vms, state: host.Pipelines(), withTimeout: withTimeout}
	e.clear()
	return e
}

// clear resets the state that belongs to one leadership.
func (e *Engine) clear() {
	e.leading, e.placing, e.confirming = false, false, false
	e.longestDelay = 0
	e.sessions = make(map[string]*session)
	e.epochs = make(map[string]int64)
	e.cell = placement.Cell{State: e.state, Steps: make(map[*pipeline.Step]*placement.Work), Prefetched: make(map[*pipeline.Step]*placement.Work),
		Learner: placement.NewLearner(), RecentUse: placement.NewRecentUse(), Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	e.admission, e.submitting, e.registering = placement.NewAdmission(pipeline.MaxLiveJobs), make(inFlight), make(inFlight)
	e.flow, e.backlog, e.nextBacklog = placement.NewFlow(e.now()), nil, 0
	e.unstarted = make(map[*pipeline.Job]bool)
	e.given = make(map[teamChange]int)
	e.checkpoints = make(map[*pipeline.Task]string)
	e.tickets = make(map[pipeline.RunKey]string)
	e.roundTrip = roundTrip{}
	e.relays = relays{}
	e.maintenance, e.where = maintenance{unanswered: make(map[string]bool)}, whereDesk{}
}

func (e *Engine) now() time.Duration { return e.host.Clock().Now() }

// Lead implements control.Engine. It opens sessions with all known upstreams and resumes all
// unfinished jobs.
func (e *Engine) Lead(term uint64) {
	e.clear()
	e.leading, e.term = true, int64(term)
	e.leadingSince = e.now()
	e.confirmedAt = e.leadingSince
	e.nextSweep = e.leadingSince + sweepInterval
	e.load = newLoad(e.leadingSince)
	e.updateRelays()
	e.state.Observe((*observer)(e))
	for _, u := range e.state.Upstreams() {
		e.openSession(u)
	}
	for _, j := range e.state.Jobs() {
		if !j.Ended() {
			e.addJob(j)
			if j.State == pipeline.Running {
				e.unstarted[j] = !j.Begun
			}
			continue
		}
		e.stopRuns(j.LiveRuns(), "the job has ended")
	}
	e.dirty = true
	e.log.Info().Uint64("term", term).Int("upstreams", len(e.sessions)).Int("steps", len(e.cell.Steps)).
		Uint64("config_version", e.state.Config().Version()).Msg("leadership begins")
}

// Reset implements control.Engine. Pending permit polls get control.ErrNotLeader.
func (e *Engine) Reset() {
	if e.leading {
		e.log.Info().Int64("term", e.term).Msg("leadership ended")
		e.state.Observe(nil)
	}
	e.permits.fail(control.ErrNotLeader)
	e.where.fail(control.ErrNotLeader)
	e.clear()
}

// Tick implements control.Engine. It runs all periodic work.
func (e *Engine) Tick(now time.Duration) {
	if !e.leading {
		return
	}
	e.updateRelays()
	if now-e.confirmedAt >= confirmInterval {
		e.confirm(now)
	}
	if now >= e.nextSweep {
		e.nextSweep = now + sweepInterval
		e.host.Propose(&pipelinev1.Command{Command: &pipelinev1.Command_Sweep{Sweep: &pipelinev1.Sweep{}}}, nil)
	}
	if now >= e.load.next {
		e.logLoad(now)
	}
	for _, s := range e.sessions {
		s.runDueWork(now)
	}
	e.permits.tick(e, now)
	e.removeUnresponsiveUpstreams(now)
	e.advanceWaves(now)
	e.dirty = true
}

// confirm requests a confirmation of the leadership, which is required for extending leases and
// ordering starts.
func (e *Engine) confirm(now time.Duration) {
	if e.confirming {
		return
	}
	e.confirming = true
	term := e.term
	e.host.ConfirmLeadership(func(ok bool) {
		if e.term != term || !e.leading {
			return
		}
		e.confirming = false
		if ok {
			e.confirmedAt = max(e.confirmedAt, now)
		}
	})
}

// leadershipConfirmed reports whether the last confirmation of the leadership is still valid.
func (e *Engine) leadershipConfirmed(now time.Duration) bool {
	return e.leading && now-e.confirmedAt < confirmValidity
}

// errPermissionExpired reports a call that was not made because the process was paused, or delayed, for
// longer than the leadership was confirmed.
var errPermissionExpired = errors.Wrap(ErrNotSent, "the confirmation of the leadership expired before the call")

// permission returns a function that reports whether the leadership that is confirmed now still is, for use
// in the goroutine of a call: between the decision and the call the process may be paused.
func (e *Engine) permission() func() bool {
	clock, until := e.host.Clock(), e.confirmedAt+confirmValidity
	return func() bool { return clock.Now() < until }
}

// Flush implements control.Engine. It runs a scheduling round if one is due.
func (e *Engine) Flush() {
	e.answerWhere()
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
	e.load.decision.add(took)
	e.nextDecide = now + took + pauseAfter(took, e.longestDelay)
	e.longestDelay = 0
}

// wake causes a call of Flush after the given time.
func (e *Engine) wake(after time.Duration) {
	if e.wakePending {
		return
	}
	e.wakePending = true
	e.host.Async(func() func() {
		time.Sleep(after)
		return func() { e.wakePending = false }
	})
}

// withTimeout returns a context with a timeout that stalls of this process extend.
func withTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	return retry.WithTimeout(ctx, timeout, func() { timeoutsExtended.Add(1) })
}

// async runs a call in another goroutine. Its result is dropped if the leadership has ended in
// the meantime.
func (e *Engine) async(timeout time.Duration, call func(ctx context.Context) func()) {
	term := e.term
	e.host.Async(func() func() {
		ctx, cancel := e.withTimeout(context.Background(), timeout)
		defer cancel()
		done := call(ctx)
		returned := e.now()
		return func() {
			if !e.leading || e.term != term {
				return
			}
			delay := e.now() - returned
			controlDelay.Record(delay)
			e.load.controlDelay.add(delay)
			e.longestDelay = max(e.longestDelay, delay)
			done()
		}
	})
}

// addJob adds the ready, unfinished steps of a job.
func (e *Engine) addJob(j *pipeline.Job) {
	e.admission.JobAdded(j.Team)
	for _, o := range j.Occurrences {
		for _, st := range o.Steps {
			if st.Undone > 0 && st.Ready() {
				e.addStep(st)
			}
		}
	}
}

// addStep adds a ready step, with the permits that were prefetched for it.
func (e *Engine) addStep(st *pipeline.Step) {
	e.dirty = true
	if e.cell.Steps[st] != nil {
		return
	}
	w := e.cell.Prefetched[st]
	delete(e.cell.Prefetched, st)
	if w == nil {
		w = placement.NewWork(st, e.now())
	}
	w.ReadyAt = e.now()
	e.cell.Steps[st] = w
}

// work returns what is known of a step, or nil.
func (e *Engine) work(st *pipeline.Step) *placement.Work {
	if w := e.cell.Steps[st]; w != nil {
		return w
	}
	return e.cell.Prefetched[st]
}

// isUrgent reports whether a step belongs to one of the most urgent queues and is not lasting.
func (e *Engine) isUrgent(st *pipeline.Step) bool { return placement.Urgent(e.state, st) }
