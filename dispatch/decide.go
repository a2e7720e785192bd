package dispatch

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

const (
	// maxRunsPerRound bounds one Place command.
	maxRunsPerRound = 512
	// overShareFactor is how far above the mean use by weight a team counts as over its share.
	overShareFactor = 2.0
	// headroom is the share of a service's cores that work with time to spare leaves free for
	// urgent queues. A burst of small jobs takes about an eighth of the cell at once.
	headroom = 0.12
	// spareSlack is the slack, in terms of the remaining time, above which work can wait.
	spareSlack = 0.25
	// retryElsewhere is how long a step avoids an upstream after a task failed or stalled there.
	retryElsewhere = 3 * time.Second
	// stragglerFactor and stragglerSlack say when a run takes so long that a copy pays: upstreams
	// differ by a half in speed, estimates by a half as well.
	stragglerFactor = 2.0
	stragglerSlack  = 200 * time.Millisecond
	// teamHeadroom is the share of a team's limit that its own work with time to spare leaves
	// free for its urgent queues; small jobs are a fifth of the work, in bursts two.
	teamHeadroom = 0.25
	// slowPenalty is how much room left an upstream's slowness outweighs when one is chosen.
	slowPenalty = 0.5
)

// round is one round of decisions. It keeps what the round has given away so far.
type round struct {
	e     *Engine
	now   time.Duration
	wall  int64
	taken map[string]pipeline.Resources
	used  map[string]pipeline.Resources
	// onUpstream counts the tasks of the step that is being placed by upstream.
	onUpstream map[string]int
	// free and total are the cores of each service's usable upstreams.
	freeCores, totalCores map[string]int64
	urgencies             map[*pipeline.Step]urgency
	preemptRoom           map[*session]pipeline.Resources
	runs                  []*pipelinev1.Run
	left                  []demand
}

// decide places what can be placed and asks for the permits that are missing.
func (e *Engine) decide(now time.Duration) {
	r := &round{e: e, now: now, wall: e.host.WallNS(), taken: make(map[string]pipeline.Resources), used: make(map[string]pipeline.Resources),
		urgencies: make(map[*pipeline.Step]urgency), preemptRoom: make(map[*session]pipeline.Resources)}
	r.countCores()
	for _, d := range r.demands() {
		if len(r.runs) >= maxRunsPerRound {
			break
		}
		r.placeStep(d)
	}
	for _, d := range r.left {
		r.preempt(d)
		r.askFor(d)
		r.explain(d)
	}
	r.askAhead()
	r.propose()
}

// placeStep gives the step's waiting tasks their upstreams.
func (r *round) placeStep(d demand) {
	st := d.work.step
	r.onUpstream = make(map[string]int)
	candidates, nearer := r.candidates(d), r.nearerToAsk(d)
	var placed []*pipelinev1.Run
	for i, t := range d.tasks {
		s := r.best(t, len(d.tasks)-i, candidates)
		if s == nil || r.far(d.work, s) && nearer || !r.withinLimit(st) || r.leavesHeadroom(d) {
			break
		}
		placed = append(placed, r.take(t, s))
	}
	rest := d.tasks[len(placed):]
	if st.Spec.GetGang() && len(rest) > 0 {
		r.giveBack(st, placed)
		placed, rest = nil, d.tasks
	}
	for _, p := range placed {
		r.e.tickets[pipeline.RunKey{TaskKey: pipeline.KeyOf(p.GetTask()), Number: p.GetNumber()}] = d.work.permits[p.GetUpstream()].ticket
	}
	r.runs = append(r.runs, placed...)
	if len(rest) > 0 {
		d.tasks = rest
		r.left = append(r.left, d)
	}
}

func (r *round) take(t *pipeline.Task, s *session) *pipelinev1.Run {
	st, id := t.Step, s.u.GetId()
	r.taken[id] = r.taken[id].Plus(st.Need)
	r.used[st.Job().Team] = r.used[st.Job().Team].Plus(st.Need)
	r.onUpstream[id]++
	r.freeCores[s.u.GetService()] -= st.Need.MilliCores
	number := t.LastRun + 1
	if st.Spec.GetGang() {
		number = st.LastRun + 1
	}
	return &pipelinev1.Run{Task: t.Key().Proto(), Number: number, Upstream: id, Born: s.u.GetBorn()}
}

func (r *round) giveBack(st *pipeline.Step, placed []*pipelinev1.Run) {
	for _, p := range placed {
		r.taken[p.GetUpstream()] = r.taken[p.GetUpstream()].Minus(st.Need)
		r.used[st.Job().Team] = r.used[st.Job().Team].Minus(st.Need)
		r.freeCores[r.e.state.Terms(st.Job()).GetService()] += st.Need.MilliCores
	}
}

// propose puts the round's runs into the log.
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
			e.placed(result)
		})
}

// placed counts and logs what became of a Place command.
func (e *Engine) placed(result *pipeline.Result) {
	runsPlaced.Add(int64(len(result.Taken)))
	for _, p := range result.Refused {
		runsRefused.Add(string(p.Why), 1)
		key := pipeline.RunKey{TaskKey: pipeline.KeyOf(p.Run.GetTask()), Number: p.Run.GetNumber()}
		delete(e.tickets, key)
		e.log.Info().Str("request", key.Job).Int32("step", key.Step).Int32("task", key.Index).Str("upstream", p.Run.GetUpstream()).
			Str("why", string(p.Why)).Msg("placement was refused when it was applied")
	}
	for i := 0; i < len(result.Taken); {
		n := i + 1
		for n < len(result.Taken) && result.Taken[n].Task.Step == result.Taken[i].Task.Step {
			n++
		}
		e.logPlaced(result.Taken[i:n])
		i = n
	}
}

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
