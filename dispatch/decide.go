package dispatch

import (
	"expvar"
	"strconv"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/bulrushwinch/bulrushwinch/placement"
)

// stepAvoidTime is how long a step avoids an upstream after a task of the step failed or stalled
// there.
const stepAvoidTime = 3 * time.Second

// decide runs one scheduling round and carries its decisions out.
func (e *Engine) decide(now time.Duration) {
	e.cell.Now, e.cell.WallNS, e.cell.Askers = now, e.host.WallNS(), e.permits.askers()
	for _, s := range e.sessions {
		s.view.Usable, s.view.Answers, s.view.Silent = s.usable(now), s.answers(), s.silent()
	}
	e.cell.RecentUse.Sample(e.state, now)
	e.summarize(now)
	d := placement.Decide(&e.cell)
	e.load.inspected += int64(d.Inspected)
	e.recordOverloads(d.Overloads)
	for _, stop := range d.Stops {
		e.stopVictim(stop)
	}
	for _, q := range d.Questions {
		e.permits.enqueue(q, now)
	}
	e.logDecision(d)
	e.logCopies(d)
	e.propose(d)
}

// summarize computes the backlog that decides on new jobs, if it is due.
func (e *Engine) summarize(now time.Duration) {
	if now < e.nextBacklog {
		return
	}
	e.backlog, e.nextBacklog = e.cell.Summarize(e.flow), now+placement.BacklogInterval
	e.backlog.Waits(func(service string, priority int32, left float64, start time.Duration) {
		key := service + "/" + strconv.Itoa(int(priority))
		setFloat(backlogLeft, key, left)
		setFloat(backlogStart, key, start.Seconds())
	})
}

// setFloat sets a number of a metric.
func setFloat(m *expvar.Map, key string, value float64) {
	f := new(expvar.Float)
	f.Set(value)
	m.Set(key, f)
}

// stopVictim stops a run to free capacity for a more urgent step.
func (e *Engine) stopVictim(stop placement.Stop) {
	runsPreempted.Add(1)
	s, key := e.sessions[stop.Run.Upstream.GetId()], stop.Run.Key()
	e.log.Info().Str("request", key.Job).Int32("step", key.Step).Int32("task", key.Index).Int32("run", key.Number).
		Str("upstream", s.u.GetId()).Str("for_request", stop.For.Job().Spec.GetId()).Msg("run is preempted; it resumes from its checkpoint")
	s.enqueueStop(stop.Run, "a more urgent queue needs the capacity")
}

// logDecision logs reservations and the reasons for which steps wait.
func (e *Engine) logDecision(d placement.Decision) {
	now := e.cell.Now
	for _, g := range d.Reserved {
		gangsReserved.Add(1)
		e.log.Info().Str("request", g.Work.Step.Job().Spec.GetId()).Int32("step", g.Work.Step.Index).Int("members", g.Members).
			Int("upstreams", g.Upstreams).Int64("cores", g.MilliCores).Dur("starts_in", g.Start-now).Dur("waits", now-g.Work.ReadyAt).Msg("upstreams are reserved for a gang")
	}
	for _, w := range d.Waits {
		st := w.Work.Step
		team := st.Job().Team
		line := e.log.Info()
		if g := w.Gang; g != nil {
			line = line.Bool("gang", true).Int("fit_permitted", g.Permitted).Int("fit_unasked", g.Unasked).Dur("starts_in", g.StartsIn)
		}
		line.Str("request", st.Job().Spec.GetId()).Int32("step", st.Index).Str("team", team).Int("tasks", w.Tasks).
			Str("why", string(w.Reason)).Dur("waits", now-w.Work.ReadyAt).Int("permitted", len(w.Work.Permits)).Int("denied", len(w.Work.Denied)).
			Int64("team_used", e.state.Used(team).MilliCores).Int64("team_limit", e.state.Config().Team(team).GetLimit().GetMilliCores()).
			Int64("team_used_mib", e.state.Used(team).MemoryMiB).Int64("team_limit_mib", e.state.Config().Team(team).GetLimit().GetMemoryMib()).
			Int64("free", w.Free).Int64("total", w.Total).Dur("slack", w.Slack).Bool("over_share", w.OverShare).Bool("overloaded", w.Overloaded).Float64("loss", w.Loss).Msg("step waits")
	}
}

// propose adds the round's runs to the log in a Place command.
func (e *Engine) propose(d placement.Decision) {
	if len(d.Runs) == 0 {
		return
	}
	for i, run := range d.Runs {
		e.tickets[pipeline.RunKey{TaskKey: pipeline.TaskKeyOf(run.GetTask()), Number: run.GetNumber()}] = d.Tickets[i]
	}
	e.placing = true
	e.places++
	e.host.Propose(&pipelinev1.Command{Command: &pipelinev1.Command_Place{Place: &pipelinev1.Place{Runs: d.Runs, Shares: true}}},
		func(result *pipeline.Result, err error) {
			e.placing, e.dirty = false, true
			if err != nil {
				e.log.Info().Err(err).Int("runs", len(d.Runs)).Msg("placements were not committed")
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
	if w := e.cell.Steps[st]; w != nil {
		left = len(w.Waiting())
	}
	e.log.Info().Str("request", st.Job().Spec.GetId()).Int32("step", st.Index).Int32("run", runs[0].Number).Strs("upstreams", upstreams).
		Int("tasks_left", left).Dur("since_accepted", waited).Msg("runs placed")
}
