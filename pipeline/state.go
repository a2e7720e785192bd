package pipeline

import (
	"time"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// Retention is how long a job is kept after it has ended. Users require that its state can be read
// for two minutes; the rest covers callers that retry a submission late.
const Retention = 5 * time.Minute

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	observer Observer
	// nowNS is the leader time of the entry that is being applied, in Unix nanoseconds.
	nowNS  int64
	config *Config
	// domainsOut holds the failure domains that accept no new runs.
	domainsOut map[string]bool
	// domainRevision counts the accepted orders on failure domains. An order that was delayed is told by
	// it from those that were given after it.
	domainRevision uint64
	upstreams      map[string]*Upstream
	jobs           map[string]*Job
	// usedByTeam is the amount that the runs of each team reserve.
	usedByTeam map[string]Resources
	// runsByTeam holds the runs of each team that may exist at an upstream.
	runsByTeam map[string]map[*Run]bool
	// pendingByRoute counts the jobs in state Queued that were accepted at each route, without repeating jobs.
	pendingByRoute map[Route]int64
	waves          map[int64]*Wave
	// endedJobs are the ended jobs in the order in which they ended, for Sweep.
	endedJobs []*Job
	// tombstones are of jobs that were cancelled before their submissions arrived.
	tombstones tombstones
}

// Observer receives synchronous callbacks while an entry is applied. Changes of waves and deletions by
// Sweep are not reported.
type Observer interface {
	// ConfigChanged reports that a new configuration is active, after the jobs that it gives to other teams. The one before
	// is nil if there was none.
	ConfigChanged(before *Config)
	// DomainChanged reports that a failure domain was taken out of service or put back.
	DomainChanged(name string, out bool)
	// UpstreamChanged reports a new upstream, a new incarnation or a changed description.
	UpstreamChanged(u *Upstream)
	// UpstreamGone reports that an upstream was removed.
	UpstreamGone(u *Upstream)
	// JobAdded reports that a job was accepted.
	JobAdded(j *Job)
	// JobGiven reports that a job, which may have ended, belongs to another team than before.
	JobGiven(j *Job, from string)
	// JobEnded reports that a job completed, failed or was cancelled.
	JobEnded(j *Job)
	// StepDone reports that all tasks of a step are done.
	StepDone(s *Step)
	// RunPlaced reports that a run was placed.
	RunPlaced(r *Run)
	// RunEnded reports that a run ended, after its resources were released.
	RunEnded(r *Run, kind pipelinev1.EndKind)
}

// Result is the outcome of a command. Place sets Refused and Accepted, commands that are answered
// set Reply, and all others leave it empty.
type Result struct {
	// Reply is the answer to the caller.
	Reply *pipelinev1.Reply
	// Refused are the runs that were not placed, with the reasons.
	Refused []PlaceRefusal
	// Accepted are the runs that were placed.
	Accepted []*Run
}

// New returns an empty state without an observer.
func New() *State {
	s := &State{observer: nopObserver{}}
	s.clear()
	return s
}

// clear drops everything but the observer.
func (s *State) clear() {
	s.config, s.endedJobs, s.tombstones = nil, nil, newTombstones()
	s.domainsOut, s.domainRevision = make(map[string]bool), 0
	s.upstreams = make(map[string]*Upstream)
	s.jobs = make(map[string]*Job)
	s.usedByTeam = make(map[string]Resources)
	s.runsByTeam = make(map[string]map[*Run]bool)
	s.pendingByRoute = make(map[Route]int64)
	s.waves = make(map[int64]*Wave)
}

// Observe sets the observer; nil removes it.
func (s *State) Observe(o Observer) {
	if o == nil {
		o = nopObserver{}
	}
	s.observer = o
}

// Apply applies one command. nowNS is the leader time of the log entry in Unix nanoseconds; it never
// decreases from one entry to the next. Apply panics on an unknown command
// and on a broken invariant.
func (s *State) Apply(nowNS int64, c *pipelinev1.Command) *Result {
	s.nowNS = nowNS
	switch c := c.GetCommand().(type) {
	case *pipelinev1.Command_PutConfig:
		return &Result{Reply: s.putConfig(c.PutConfig)}
	case *pipelinev1.Command_SetDomain:
		return &Result{Reply: s.setDomain(c.SetDomain)}
	case *pipelinev1.Command_Submit:
		return &Result{Reply: s.submit(c.Submit)}
	case *pipelinev1.Command_Cancel:
		return &Result{Reply: s.cancel(c.Cancel)}
	case *pipelinev1.Command_UpstreamSeen:
		s.upstreamSeen(c.UpstreamSeen)
	case *pipelinev1.Command_UpstreamGone:
		s.upstreamGone(c.UpstreamGone)
	case *pipelinev1.Command_Place:
		return s.place(c.Place)
	case *pipelinev1.Command_Ends:
		s.applyEnds(c.Ends)
	case *pipelinev1.Command_Sweep:
		s.sweep()
	case *pipelinev1.Command_PutWave:
		return &Result{Reply: s.putWave(c.PutWave)}
	case *pipelinev1.Command_UpkeepDone:
		s.maintenanceDone(c.UpkeepDone)
	default:
		panic("pipeline: log entry holds an unknown command; a newer version must have written it")
	}
	return &Result{}
}

// setDomain takes a failure domain out of service or puts it back, unless the order is outdated.
func (s *State) setDomain(d *pipelinev1.SetDomain) *pipelinev1.Reply {
	changes := s.domainsOut[d.GetName()] != d.GetOut()
	if changes && d.BaseRevision != nil && d.GetBaseRevision() != s.domainRevision {
		return &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_OUTDATED, Detail: "another order on a failure domain was accepted meanwhile",
			DomainRevision: s.domainRevision}
	}
	s.domainRevision++
	if changes {
		if d.GetOut() {
			s.domainsOut[d.GetName()] = true
		} else {
			delete(s.domainsOut, d.GetName())
		}
		s.observer.DomainChanged(d.GetName(), d.GetOut())
	}
	return &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_OK, DomainRevision: s.domainRevision}
}

// sweep deletes tombstones, and jobs without runs, that ended at least Retention ago.
func (s *State) sweep() {
	s.tombstones.sweep(s.nowNS)
	kept := s.endedJobs[:0]
	for _, j := range s.endedJobs {
		if s.nowNS-j.EndedNS < int64(Retention) || j.hasRuns() {
			kept = append(kept, j)
			continue
		}
		delete(s.jobs, j.Spec.GetId())
	}
	clear(s.endedJobs[len(kept):])
	s.endedJobs = kept
}

// hasRuns reports whether a run of the job may still exist at an upstream.
func (j *Job) hasRuns() bool {
	for _, o := range j.Occurrences {
		for _, st := range o.Steps {
			for _, t := range st.Tasks {
				if len(t.Live) > 0 {
					return true
				}
			}
		}
	}
	return false
}

// addPending adjusts the count of a queue's pending jobs. Repeating jobs are not counted.
func (s *State) addPending(j *Job, by int64) {
	if j.Spec.GetRepeatCount() == 0 {
		s.pendingByRoute[j.Route()] += by
	}
}

// Config returns the active configuration, or nil if there is none.
func (s *State) Config() *Config { return s.config }

// DomainOut reports whether a failure domain accepts no new runs.
func (s *State) DomainOut(name string) bool { return s.domainsOut[name] }

// DomainRevision returns the revision of the failure domains, which every accepted order on one increments.
func (s *State) DomainRevision() uint64 { return s.domainRevision }

// Upstreams returns all upstreams by ID. The caller must not change the map.
func (s *State) Upstreams() map[string]*Upstream { return s.upstreams }

// Jobs returns all jobs that Sweep has not deleted, by ID. The caller must not change the map.
func (s *State) Jobs() map[string]*Job { return s.jobs }

// Job returns the job with the given ID, or nil.
func (s *State) Job(id string) *Job { return s.jobs[id] }

// Used returns the amount that the runs of a team reserve.
func (s *State) Used(team string) Resources { return s.usedByTeam[team] }

// RunsOf returns the runs of a team that may exist at an upstream. The caller must not change the map.
func (s *State) RunsOf(team string) map[*Run]bool { return s.runsByTeam[team] }

// Pending returns the number of jobs in state Queued that were accepted at a route. Repeating jobs are not counted.
func (s *State) Pending(r Route) int64 { return s.pendingByRoute[r] }

// Task returns the task with the given key, or nil.
func (s *State) Task(k TaskKey) *Task {
	st := s.Step(k)
	if st == nil || k.Index < 0 || int(k.Index) >= len(st.Tasks) {
		return nil
	}
	return st.Tasks[k.Index]
}

// Step returns the step that a task key refers to, or nil. The task's index is not checked.
func (s *State) Step(k TaskKey) *Step {
	j := s.jobs[k.Job]
	if j == nil || k.Occurrence < 0 || int(k.Occurrence) >= len(j.Occurrences) {
		return nil
	}
	o := j.Occurrences[k.Occurrence]
	if k.Step < 0 || int(k.Step) >= len(o.Steps) {
		return nil
	}
	return o.Steps[k.Step]
}

// nopObserver ignores all changes.
type nopObserver struct{}

func (nopObserver) ConfigChanged(*Config)             {}
func (nopObserver) DomainChanged(string, bool)        {}
func (nopObserver) UpstreamChanged(*Upstream)         {}
func (nopObserver) UpstreamGone(*Upstream)            {}
func (nopObserver) JobAdded(*Job)                     {}
func (nopObserver) JobGiven(*Job, string)             {}
func (nopObserver) JobEnded(*Job)                     {}
func (nopObserver) StepDone(*Step)                    {}
func (nopObserver) RunPlaced(*Run)                    {}
func (nopObserver) RunEnded(*Run, pipelinev1.EndKind) {}
