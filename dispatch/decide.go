package dispatch

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

const (
	// maxRunsPerRound is the number of runs after which a round places no further step. It limits
	// the size of a Place command.
	maxRunsPerRound = 512
	// overShareFactor is the multiple of the teams' mean weighted use above which a team is over
	// its share.
	overShareFactor = 2.0
	// headroom is the share of a service's cores that work with time to spare leaves free for
	// urgent queues. A burst of small jobs takes about an eighth of the cell at once.
	headroom = 0.12
	// spareSlack is the slack, as a share of the remaining time, from which work can wait.
	spareSlack = 0.25
	// stepAvoidTime is how long a step avoids an upstream after a task of the step failed or
	// stalled there.
	stepAvoidTime = 3 * time.Second
	// stragglerFactor and stragglerSlack set the run time beyond which a copy of a task is worth
	// its cost. Upstreams differ by a half in speed, and estimates are off by a half as well.
	stragglerFactor = 2.0
	stragglerSlack  = 200 * time.Millisecond
	// teamHeadroom is the share of a team's limit that its own work with time to spare leaves
	// free for the team's urgent queues. Small jobs are a fifth of the work, and two fifths in
	// bursts.
	teamHeadroom = 0.25
	// slowPenalty is the weight of an upstream's slowness against its free share when an upstream
	// is chosen.
	slowPenalty = 0.5
)

// round is the state of one scheduling round: its input, and the resources that it has assigned
// so far.
type round struct {
	e *Engine
	// now is the time of the replica's clock; wall is that of the log, in Unix nanoseconds.
	now  time.Duration
	wall int64
	// usable holds the upstreams that may get new work when the round begins.
	usable []*session
	// assigned and used are the resources that the round has assigned, by upstream and by team.
	assigned map[*session]pipeline.Resources
	used     map[string]pipeline.Resources
	// onUpstream counts the tasks placed on each upstream, for the step that is being placed.
	onUpstream map[string]int
	// freeCores and totalCores are the sums for each service's usable upstreams, in thousandths
	// of a core.
	freeCores, totalCores map[string]int64
	// urgencies and preemptibleResources cache values that are computed at most once in a round.
	urgencies            map[*pipeline.Step]urgency
	preemptibleResources map[*session]pipeline.Resources
	// runs are the runs to propose, unplaced the demands that found no place.
	runs     []*pipelinev1.Run
	unplaced []demand
}

// decide runs one scheduling round: it places the tasks that can be placed, and requests the
// missing permits.
func (e *Engine) decide(now time.Duration) {
	r := &round{e: e, now: now, wall: e.host.WallNS(), assigned: make(map[*session]pipeline.Resources), used: make(map[string]pipeline.Resources),
		urgencies: make(map[*pipeline.Step]urgency), preemptibleResources: make(map[*session]pipeline.Resources)}
	r.findUsable()
	for _, d := range r.demands() {
		if len(r.runs) >= maxRunsPerRound {
			break
		}
		r.placeStep(d)
	}
	for _, d := range r.unplaced {
		r.preempt(d)
	}
	r.requestAllPermits()
	for _, d := range r.unplaced {
		r.explain(d)
	}
	r.propose()
}

// placeStep assigns the step's waiting tasks to upstreams. A gang is placed as a whole or not at
// all.
func (r *round) placeStep(d demand) {
	st := d.work.step
	r.onUpstream = make(map[string]int)
	candidates, rackUnasked := r.candidates(d), r.preferredRackUnasked(d)
	var placed []*pipelinev1.Run
	for i, t := range d.tasks {
		s := r.best(t, len(d.tasks)-i, candidates)
		if s == nil || r.offPreferredRack(d.work, s) && rackUnasked || !r.withinLimit(st) || r.mustLeaveHeadroom(d) {
			break
		}
		placed = append(placed, r.assign(t, s))
	}
	rest := d.tasks[len(placed):]
	if st.Spec.GetGang() && len(rest) > 0 {
		r.unassign(st, placed)
		placed, rest = nil, d.tasks
	}
	for _, p := range placed {
		r.e.tickets[pipeline.RunKey{TaskKey: pipeline.TaskKeyOf(p.GetTask()), Number: p.GetNumber()}] = d.work.permits[p.GetUpstream()].ticket
	}
	r.runs = append(r.runs, placed...)
	if len(rest) > 0 {
		d.tasks = rest
		r.unplaced = append(r.unplaced, d)
	}
}

// assign books the task's resources on an upstream for the rest of the round and returns the new
// run.
func (r *round) assign(t *pipeline.Task, s *session) *pipelinev1.Run {
	st, id := t.Step, s.u.GetId()
	r.assigned[s] = r.assigned[s].Plus(st.Need)
	r.used[st.Job().Team] = r.used[st.Job().Team].Plus(st.Need)
	r.onUpstream[id]++
	r.freeCores[s.u.GetService()] -= st.Need.MilliCores
	number := t.LastRun + 1
	if st.Spec.GetGang() {
		number = st.LastRun + 1
	}
	return &pipelinev1.Run{Task: t.Key().Proto(), Number: number, Upstream: id, Born: s.u.GetBorn()}
}

// unassign returns the resources of runs that assign has booked.
func (r *round) unassign(st *pipeline.Step, placed []*pipelinev1.Run) {
	for _, p := range placed {
		s := r.e.sessions[p.GetUpstream()]
		r.assigned[s] = r.assigned[s].Minus(st.Need)
		r.used[st.Job().Team] = r.used[st.Job().Team].Minus(st.Need)
		r.freeCores[r.e.state.JobQueue(st.Job()).GetService()] += st.Need.MilliCores
	}
}

// propose adds the round's runs to the log in a Place command.
func (r *round) propose() {
	if len(r.runs) == 0 {
		return
	}
	e := r.e
	e.placing = true
	e.host.Propose(&pipelinev1.Command{Command: &pipelinev1.Command_Place{Place: &pipelinev1.Place{Runs: r.runs}}},
		func(result *pipeline.Result, err error) {
			e.placing, e.dirty = false, true
			if err != nil {
				e.log.Info().Err(err).Int("runs", len(r.runs)).Msg("placements were not committed")
				return
			}
			e.placeCommitted(result)
		})
}

// placeCommitted counts and logs the outcome of a Place command.
func (e *Engine) placeCommitted(result *pipeline.Result) {
	runsPlaced.Add(int64(len(result.Accepted)))
	for _, p := range result.Refused {
		runsRefused.Add(string(p.Reason), 1)
		key := pipeline.RunKey{TaskKey: pipeline.TaskKeyOf(p.Run.GetTask()), Number: p.Run.GetNumber()}
		delete(e.tickets, key)
		e.log.Info().Str("request", key.Job).Int32("step", key.Step).Int32("task", key.Index).Str("upstream", p.Run.GetUpstream()).
			Str("why", string(p.Reason)).Msg("placement was refused when it was applied")
	}
	for i := 0; i < len(result.Accepted); {
		n := i + 1
		for n < len(result.Accepted) && result.Accepted[n].Task.Step == result.Accepted[i].Task.Step {
			n++
		}
		e.logPlaced(result.Accepted[i:n])
		i = n
	}
}

// logPlaced logs the placed runs of one step.
func (e *Engine) logPlaced(runs []*pipeline.Run) {
	st := runs[0].Task.Step
	upstreams := make([]string, 0, len(runs))
	first := true
	for _, r := range runs {
		upstreams = append(upstreams, r.Upstream.GetId())
		first = first && r.Number == 1
	}
	waited := time.Duration(runs[0].PlacedNS - st.Job().SubmittedNS)
	if st.Index == 0 && first {
		startTime.Record(waited)
	}
	left := 0
	if w := e.steps[st]; w != nil {
		left = len(w.waiting())
	}
	e.log.Info().Str("request", st.Job().Spec.GetId()).Int32("step", st.Index).Int32("run", runs[0].Number).Strs("upstreams", upstreams).
		Int("tasks_left", left).Dur("since_accepted", waited).Msg("runs placed")
}
