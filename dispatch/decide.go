package dispatch

import (
	"cmp"
	"slices"
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
	// retryElsewhere is how long a step avoids a worker after a task failed or stalled there.
	retryElsewhere = 3 * time.Second
	// stragglerFactor and stragglerSlack say when a run takes so long that a copy pays: workers
	// differ by a half in speed, estimates by a half as well.
	stragglerFactor = 2.0
	stragglerSlack  = 200 * time.Millisecond
	// teamHeadroom is the share of a team's limit that its own work with time to spare leaves
	// free for its urgent queues; small jobs are a fifth of the work, in bursts two.
	teamHeadroom = 0.25
	// slowPenalty is how much room left a worker's slowness outweighs when one is chosen.
	slowPenalty = 0.5
)

// stepWork is a step that has tasks without a result and whose turn has come.
type stepWork struct {
	step    *pipeline.Step
	readyAt time.Duration
	// permits and denied hold the answers of the permit service by worker; they never change
	// but for the tickets' life.
	permits  map[string]permit
	denied   map[string]bool
	question *question
	// avoided holds until when a worker gets no task of the step, after one failed or stalled there.
	avoided map[string]time.Duration
	// preemptAgain is when the step may take room from other work again.
	preemptAgain time.Duration
	// explainAgain is when the log may say again why the step waits.
	explainAgain time.Duration
}

func newStepWork(st *pipeline.Step, now time.Duration) *stepWork {
	return &stepWork{step: st, readyAt: now, permits: make(map[string]permit), denied: make(map[string]bool), avoided: make(map[string]time.Duration)}
}

func (w *stepWork) avoid(worker string, until time.Duration) { w.avoided[worker] = until }

// key names the step; the index of a task is zero in it.
func (w *stepWork) key() pipeline.TaskKey {
	return pipeline.TaskKey{Job: w.step.Job().Spec.GetId(), Occurrence: w.step.Occurrence.Index, Step: w.step.Index}
}

// waiting returns the tasks that need a run. A gang waits as a whole.
func (w *stepWork) waiting() []*pipeline.Task {
	var out []*pipeline.Task
	for _, t := range w.step.Tasks {
		if t.Waiting() {
			out = append(out, t)
		}
	}
	if w.step.Spec.GetGang() && len(out) < len(w.step.Tasks) {
		return nil
	}
	return out
}

// round is one round of decisions. It keeps what the round has given away so far.
type round struct {
	e     *Engine
	now   time.Duration
	wall  int64
	taken map[string]pipeline.Resources
	used  map[string]pipeline.Resources
	// onWorker counts the tasks of the step that is being placed by worker.
	onWorker map[string]int
	// free and total are the cores of each service's usable workers.
	freeCores, totalCores map[string]int64
	urgencies             map[*pipeline.Step]urgency
	preemptRoom           map[*session]pipeline.Resources
	runs                  []*pipelinev1.Run
	left                  []demand
}

// demand is a step with the tasks that have no place yet.
type demand struct {
	work    *stepWork
	tasks   []*pipeline.Task
	queue   *pipelinev1.Queue
	urgency urgency
	// copies is set when the tasks have a run each that takes long, and get another one.
	copies bool
	// overShare is set while the team uses far more than its share.
	overShare bool
}

// decide places what can be placed and asks for the permits that are missing.
func (e *Engine) decide(now time.Duration) {
	r := &round{e: e, now: now, wall: time.Now().UnixNano(), taken: make(map[string]pipeline.Resources), used: make(map[string]pipeline.Resources),
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
	r.propose()
}

// demands returns the steps with waiting tasks: by the queue's priority; teams that use far
// more than their share come later; then jobs that can still meet their objective, those
// with the least time to spare first.
func (r *round) demands() []demand {
	var out []demand
	for _, w := range r.e.steps {
		if w.step.Occurrence.DueNS > r.wall {
			continue
		}
		tasks, copies := w.waiting(), false
		if len(tasks) == 0 && w.step.Spec.GetCopies() {
			tasks, copies = r.stragglers(w), true
		}
		if len(tasks) > 0 {
			q := r.e.state.Terms(w.step.Job())
			out = append(out, demand{work: w, tasks: tasks, queue: q, copies: copies, urgency: r.urgency(w.step)})
		}
	}
	r.markOverShare(out)
	slices.SortFunc(out, func(a, b demand) int {
		return cmp.Or(cmp.Compare(a.queue.GetPriority(), b.queue.GetPriority()), compareBools(a.copies, b.copies), compareBools(a.overShare, b.overShare),
			cmp.Compare(a.urgency.hope, b.urgency.hope), cmp.Compare(a.urgency.slack, b.urgency.slack),
			cmp.Compare(a.work.step.Job().SubmittedNS, b.work.step.Job().SubmittedNS), compareKeys(a.work.key(), b.work.key()))
	})
	return out
}

// stragglers returns the tasks whose only run takes much longer than expected, or is on a
// worker that does not answer.
func (r *round) stragglers(w *stepWork) []*pipeline.Task {
	var out []*pipeline.Task
	bound := time.Duration(stragglerFactor*float64(r.e.learner.expected(w.step))) + stragglerSlack
	for _, t := range w.step.Tasks {
		if t.Done || len(t.Live) != 1 || r.e.state.Exhausted(t) {
			continue
		}
		s := r.e.sessions[t.Live[0].Worker.GetId()]
		if time.Duration(r.wall-t.Live[0].PlacedNS) > bound || s == nil || s.phase == phaseSilent {
			out = append(out, t)
		}
	}
	return out
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// markOverShare marks the demands of teams that use over overShareFactor times the mean of
// all teams that want work, by weight.
func (r *round) markOverShare(demands []demand) {
	shares := make(map[string]float64)
	sum := 0.0
	for _, d := range demands {
		team := d.work.step.Job().Team
		if _, known := shares[team]; !known {
			shares[team] = r.share(team)
			sum += shares[team]
		}
	}
	bound := overShareFactor * sum / float64(max(1, len(shares)))
	for i := range demands {
		demands[i].overShare = shares[demands[i].work.step.Job().Team] > bound
	}
}

func compareKeys(a, b pipeline.TaskKey) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step))
}

// share returns the processor time that a team uses over its weight.
func (r *round) share(team string) float64 {
	weight := int64(1)
	if t := r.e.state.Config().Team(team); t != nil {
		weight = max(1, t.GetWeight())
	}
	return float64(r.e.state.Used(team).MilliCores) / float64(weight)
}

// placeStep gives the step's waiting tasks their workers.
func (r *round) placeStep(d demand) {
	st := d.work.step
	r.onWorker = make(map[string]int)
	candidates := r.candidates(d)
	var placed []*pipelinev1.Run
	for i, t := range d.tasks {
		s := r.best(t, len(d.tasks)-i, candidates)
		if s == nil || !r.withinLimit(st) || r.leavesHeadroom(d) {
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
		r.e.tickets[pipeline.RunKey{TaskKey: pipeline.KeyOf(p.GetTask()), Number: p.GetNumber()}] = d.work.permits[p.GetWorker()].ticket
	}
	r.runs = append(r.runs, placed...)
	if len(rest) > 0 {
		d.tasks = rest
		r.left = append(r.left, d)
	}
}

// candidates returns the workers that may run the step now: with a valid ticket, or all
// where none is needed.
func (r *round) candidates(d demand) []*session {
	var out []*session
	if d.queue.GetPermits() == nil {
		for _, s := range r.e.sessions {
			if r.fits(d.work.step, s) {
				out = append(out, s)
			}
		}
	} else {
		for id, p := range d.work.permits {
			s := r.e.sessions[id]
			if s != nil && p.born == s.w.GetBorn() && r.now < p.expires && r.fits(d.work.step, s) {
				out = append(out, s)
			}
		}
	}
	slices.SortFunc(out, func(a, b *session) int { return cmp.Compare(a.w.GetId(), b.w.GetId()) })
	return out
}

// free returns the worker's room after what the round gave away.
func (r *round) free(s *session) pipeline.Resources {
	return s.w.Free().Minus(r.taken[s.w.GetId()])
}

// fits reports whether one more task of the step may run on the worker.
func (r *round) fits(st *pipeline.Step, s *session) bool {
	return st.Need.Fits(r.free(s)) && r.suits(st, s) && r.e.state.CheckWorker(st, s.w) == ""
}

// suits reports whether a worker may take tasks of the step when it has room.
func (r *round) suits(st *pipeline.Step, s *session) bool {
	if !s.usable(r.now) || r.now < r.e.steps[st].avoided[s.w.GetId()] {
		return false
	}
	bound := int(st.Spec.GetMaxPerWorker())
	return bound == 0 || s.w.RunsOf(st)+r.onWorker[s.w.GetId()] < bound
}

// choice ranks a candidate for one task; smaller is better.
type choice struct {
	// far is set when the task's data is on another rack.
	far bool
	// holds is for how many of the step's waiting tasks the worker has room.
	holds int
	// left is the share of the worker that stays free, and a penalty for slow workers.
	left float64
}

func (a choice) betterThan(b choice) bool {
	switch {
	case a.far != b.far:
		return b.far
	case a.holds != b.holds:
		return a.holds > b.holds
	}
	return a.left < b.left
}

// best returns the candidate for a task: near its data first, then one with room for most of the
// waiting tasks, then the one with the least room left. Few workers for a step mean few steps
// that suffer when a worker is lost. What lasts is spread instead.
func (r *round) best(t *pipeline.Task, waiting int, candidates []*session) *session {
	st := t.Step
	var best *session
	var rank choice
	for _, s := range candidates {
		if !r.fits(st, s) || t.RunsOn(s.w) {
			continue
		}
		c := choice{far: !s.w.HasLabel(st.Spec.GetDataRack()), holds: r.capacity(st, s, waiting),
			left: roomLeft(r.free(s).Minus(st.Need), s.w.Capacity) + slowPenalty*r.e.learner.slowness(s.w.GetId())}
		if st.Spec.GetLasting() {
			c.holds = -r.onWorker[s.w.GetId()]
		}
		if best == nil || c.betterThan(rank) {
			best, rank = s, c
		}
	}
	return best
}

// roomLeft is the larger share of a worker's capacity that is left in its dimensions.
func roomLeft(free, capacity pipeline.Resources) float64 {
	share := func(a, b int64) float64 {
		if b == 0 {
			return 0
		}
		return float64(a) / float64(b)
	}
	return max(share(free.MilliCores, capacity.MilliCores), share(free.MemoryMiB, capacity.MemoryMiB))
}

func (r *round) withinLimit(st *pipeline.Step) bool {
	team := r.e.state.Config().Team(st.Job().Team)
	if team == nil {
		return true
	}
	used := r.e.state.Used(team.GetName()).Plus(r.used[team.GetName()]).Plus(st.Need)
	return used.Within(pipeline.ResourcesFromProto(team.GetLimit()))
}

func (r *round) take(t *pipeline.Task, s *session) *pipelinev1.Run {
	st, id := t.Step, s.w.GetId()
	r.taken[id] = r.taken[id].Plus(st.Need)
	r.used[st.Job().Team] = r.used[st.Job().Team].Plus(st.Need)
	r.onWorker[id]++
	r.freeCores[s.w.GetService()] -= st.Need.MilliCores
	number := t.LastRun + 1
	if st.Spec.GetGang() {
		number = st.LastRun + 1
	}
	return &pipelinev1.Run{Task: t.Key().Proto(), Number: number, Worker: id, Born: s.w.GetBorn()}
}

func (r *round) giveBack(st *pipeline.Step, placed []*pipelinev1.Run) {
	for _, p := range placed {
		r.taken[p.GetWorker()] = r.taken[p.GetWorker()].Minus(st.Need)
		r.used[st.Job().Team] = r.used[st.Job().Team].Minus(st.Need)
		r.freeCores[r.e.state.Terms(st.Job()).GetService()] += st.Need.MilliCores
	}
}

func (r *round) countCores() {
	r.freeCores, r.totalCores = make(map[string]int64), make(map[string]int64)
	for _, s := range r.e.sessions {
		if s.usable(r.now) && !r.e.state.DomainOut(s.w.GetFailureDomain()) {
			r.freeCores[s.w.GetService()] += s.w.Free().MilliCores
			r.totalCores[s.w.GetService()] += s.w.Capacity.MilliCores
		}
	}
}

// leavesHeadroom reports whether a demand can wait and should, so that urgent work finds room.
func (r *round) leavesHeadroom(d demand) bool {
	if d.queue.GetPriority() == 0 || d.work.step.Spec.GetLasting() {
		return false
	}
	if d.urgency.hope == inTime && float64(d.urgency.slack) < spareSlack*float64(d.urgency.remaining) {
		return false
	}
	if limit := r.e.state.Config().Team(d.work.step.Job().Team).GetLimit().GetMilliCores(); limit > 0 {
		team := d.work.step.Job().Team
		used := r.e.state.Used(team).MilliCores + r.used[team].MilliCores + d.work.step.Need.MilliCores
		if float64(used) > (1-teamHeadroom)*float64(limit) {
			return true
		}
	}
	service := d.queue.GetService()
	return float64(r.freeCores[service]-d.work.step.Need.MilliCores) < headroom*float64(r.totalCores[service])
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
		e.log.Info().Str("request", key.Job).Int32("step", key.Step).Int32("task", key.Index).Str("worker", p.Run.GetWorker()).
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
	workers := make([]string, 0, len(runs))
	first := true
	for _, r := range runs {
		workers = append(workers, r.Worker.GetId())
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
	e.log.Info().Str("request", st.Job().Spec.GetId()).Int32("step", st.Index).Int32("run", runs[0].Number).Strs("workers", workers).
		Int("tasks_left", left).Dur("since_accepted", waited).Msg("runs placed")
}
