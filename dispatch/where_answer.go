package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/bulrushwinch/bulrushwinch/placement"
)

// Where is the answer to where a job would go now. Times are in milliseconds, cores in thousandths.
type Where struct {
	Queue         string `json:"queue"`
	Team          string `json:"team"`
	ConfigVersion uint64 `json:"config_version"`
	// Confirmed is set if the leadership was confirmed lately; otherwise another replica may lead already.
	Confirmed bool `json:"confirmed"`
	// Admitted is set if the job would be accepted; otherwise Verdict and Reason say why not, and RetryAfterMS when
	// its caller would be asked to return, if another attempt can help.
	Admitted     bool   `json:"admitted"`
	Verdict      string `json:"verdict,omitempty"`
	Reason       string `json:"reason,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`

	// State is the state of a known job, and Route the host and path prefix where it was accepted. Queue is the name that the
	// queue there has now. If QueueGone is set there is none; Queue, Service and Priority are then those at acceptance.
	State     string     `json:"state,omitempty"`
	Route     string     `json:"route,omitempty"`
	QueueGone bool       `json:"queue_gone,omitempty"`
	Service   string     `json:"service,omitempty"`
	Priority  int32      `json:"priority"`
	TeamUse   WhereNeeds `json:"team_use"`
	TeamLimit WhereNeeds `json:"team_limit"`
	// Now holds the steps that are ready and what the next round would decide on them. Next holds those of them of
	// which tasks wait, as a later round would decide if all upstreams that are asked about are allowed.
	Now  []WhereStep `json:"now,omitempty"`
	Next []WhereStep `json:"next,omitempty"`
}

// WhereNeeds is an amount of resources; a limit of zero is none.
type WhereNeeds struct {
	MilliCores int64 `json:"milli_cores"`
	MemoryMiB  int64 `json:"memory_mib"`
	GPUs       int64 `json:"gpus"`
}

// WhereStep is the decision on one step.
type WhereStep struct {
	Occurrence int32 `json:"occurrence"`
	Step       int32 `json:"step"`
	// DueMS is the time until the step is due; nothing else is set if it is above zero.
	DueMS int64 `json:"due_ms,omitempty"`
	// Turn is the step's position among the Of steps with tasks to place.
	Turn int `json:"turn,omitempty"`
	Of   int `json:"of,omitempty"`
	// Upstreams are those that its tasks get, Asks those that the permit service is asked about.
	Upstreams []WhereUpstream `json:"upstreams,omitempty"`
	Asks      []WhereUpstream `json:"asks,omitempty"`
	// Rack is the rack that its tasks prefer; empty if any will do.
	Rack string `json:"rack,omitempty"`
	// Obstacles counts the service's upstreams by what keeps a task off them.
	Obstacles map[string]int `json:"obstacles,omitempty"`
	// Waiting is the number of tasks that wait, and Why the reason.
	Waiting int    `json:"waiting"`
	Why     string `json:"why,omitempty"`
	// Stops are the runs that would be stopped for the step, and Reserved the upstreams reserved for it, a gang.
	Stops    []WhereStop `json:"stops,omitempty"`
	Reserved int         `json:"reserved,omitempty"`
	// Free and Total are the cores of the service's usable upstreams.
	Free  int64 `json:"free_milli_cores"`
	Total int64 `json:"total_milli_cores"`
	// RemainingMS is the expected run time of the job, and SlackMS its time to spare.
	RemainingMS int64 `json:"remaining_ms"`
	SlackMS     int64 `json:"slack_ms"`
	InTime      bool  `json:"in_time"`
	Useful      bool  `json:"useful"`
	OverShare   bool  `json:"over_share"`
	Overloaded  bool  `json:"overloaded"`
}

// WhereUpstream is an upstream for some tasks of a step.
type WhereUpstream struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	Rack          string `json:"rack"`
	Tasks         int    `json:"tasks,omitempty"`
	// Free is what is free there before the round.
	Free WhereNeeds `json:"free"`
	// Slowness is the expected run time there relative to an upstream of average speed.
	Slowness float64 `json:"slowness"`
}

// WhereStop is a run that gives way.
type WhereStop struct {
	Request  string `json:"request"`
	Step     int32  `json:"step"`
	Task     int32  `json:"task"`
	Upstream string `json:"upstream"`
}

// refuse records the reply that refuses the job.
func (w *Where) refuse(r *pipelinev1.Reply) *Where {
	w.Verdict = strings.ToLower(strings.TrimPrefix(r.GetVerdict().String(), "VERDICT_"))
	w.Reason, w.RetryAfterMS = r.GetDetail(), r.GetRetryAfterMs()
	return w
}

// describe adds the figures of a job's queue and team.
func (w *Where) describe(e *Engine, j *pipeline.Job) {
	q := e.state.JobQueue(j)
	if w.Queue, w.Team = q.GetName(), j.Team; j.Spec.GetId() != whereJob {
		w.State, w.Route, w.QueueGone = string(e.shownState(j)), string(j.Route()), e.state.Config().QueueAt(j.Route()) == nil
	}
	w.Service, w.Priority = q.GetService(), q.GetPriority()
	w.TeamUse = WhereNeeds(e.state.Used(j.Team))
	w.TeamLimit = WhereNeeds(pipeline.ResourcesFromProto(e.state.Config().Team(j.Team).GetLimit()))
}

// stepsOf describes the previews for steps.
func stepsOf(cell *placement.Cell, list []placement.Preview) (out []WhereStep) {
	for _, f := range list {
		s := WhereStep{Occurrence: f.Step.Occurrence.Index, Step: f.Step.Index}
		if f.Due {
			addPreview(cell, &s, f)
		} else {
			s.DueMS = max(1, (f.Step.Occurrence.DueNS-cell.WallNS)/int64(time.Millisecond))
		}
		out = append(out, s)
	}
	return out
}

func addPreview(cell *placement.Cell, s *WhereStep, f placement.Preview) {
	w := f.Wait
	s.Turn, s.Of, s.Rack, s.Obstacles, s.Reserved = f.Turn, f.Of, f.Rack, f.Upstreams, f.Reserved
	s.Waiting, s.Why, s.Free, s.Total = w.Tasks, string(w.Reason), w.Free, w.Total
	s.RemainingMS, s.SlackMS, s.InTime, s.Useful = f.Remaining.Milliseconds(), w.Slack.Milliseconds(), f.InTime, f.Useful
	s.OverShare, s.Overloaded = w.OverShare, w.Overloaded
	for _, r := range f.Runs {
		at := slices.IndexFunc(s.Upstreams, func(u WhereUpstream) bool { return u.ID == r.GetUpstream() })
		if at < 0 {
			s.Upstreams, at = append(s.Upstreams, whereUpstream(cell, r.GetUpstream())), len(s.Upstreams)
		}
		s.Upstreams[at].Tasks++
	}
	for _, id := range f.Asks {
		if cell.Upstream(id) != nil {
			s.Asks = append(s.Asks, whereUpstream(cell, id))
		}
	}
	for _, r := range f.Stops {
		key := r.Key()
		s.Stops = append(s.Stops, WhereStop{key.Job, key.Step, key.Index, r.Upstream.GetId()})
	}
}

func whereUpstream(cell *placement.Cell, id string) WhereUpstream {
	u := cell.Upstream(id)
	return WhereUpstream{ID: id, FailureDomain: u.GetFailureDomain(), Rack: u.GetRack(), Free: WhereNeeds(u.Free()), Slowness: cell.Learner.Slowness(id)}
}
