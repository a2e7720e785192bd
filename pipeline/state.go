package pipeline

import (
	"time"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// Retention is how long an ended job is remembered. The users ask for two minutes of job
// states; the rest covers callers that resend late.
const Retention = 5 * time.Minute

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	observer Observer
	nowNS    int64
	config   *Config
	// domainsOut holds the failure domains that take no work.
	domainsOut       map[string]bool
	upstreams map[string]*Upstream
	jobs      map[string]*Job
	// usedByTeam is what each team has running.
	usedByTeam map[string]Resources
	// pendingByQueue counts the jobs of each queue of which no task has started.
	pendingByQueue map[string]int64
	waves   map[int64]*Wave
	// endedJobs holds endedJobs jobs in order, for Sweep.
	endedJobs []*Job
}

// Observer is told of every change while an entry is applied.
type Observer interface {
	ConfigChanged()
	DomainChanged(name string, out bool)
	UpstreamChanged(w *Upstream)
	UpstreamGone(w *Upstream)
	JobAdded(j *Job)
	JobEnded(j *Job)
	StepDone(s *Step)
	RunPlaced(r *Run)
	RunEnded(r *Run, kind pipelinev1.EndKind)
}

// Result is what a command led to; only the field of its kind is set.
type Result struct {
	Reply   *pipelinev1.Reply
	Refused []PlaceRefusal
	// Taken are the runs that were placed.
	Taken []*Run
}

// New returns an empty state.
func New() *State {
	s := &State{observer: nopObserver{}}
	s.clear()
	return s
}

func (s *State) clear() {
	s.config, s.endedJobs = nil, nil
	s.domainsOut = make(map[string]bool)
	s.upstreams = make(map[string]*Upstream)
	s.jobs = make(map[string]*Job)
	s.usedByTeam = make(map[string]Resources)
	s.pendingByQueue = make(map[string]int64)
	s.waves = make(map[int64]*Wave)
}

// Observe sets the observer; nil removes it.
func (s *State) Observe(o Observer) {
	if o == nil {
		o = nopObserver{}
	}
	s.observer = o
}

// Apply applies one command at a leader time, which never goes back.
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
		return &Result{Reply: s.cancel(c.Cancel.GetJob())}
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
		s.upkeepDone(c.UpkeepDone)
	default:
		panic("pipeline: log entry holds an unknown command; a newer version must have written it")
	}
	return &Result{}
}

func (s *State) setDomain(d *pipelinev1.SetDomain) *pipelinev1.Reply {
	if s.domainsOut[d.GetName()] != d.GetOut() {
		if d.GetOut() {
			s.domainsOut[d.GetName()] = true
		} else {
			delete(s.domainsOut, d.GetName())
		}
		s.observer.DomainChanged(d.GetName(), d.GetOut())
	}
	return &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_OK}
}

// sweep forgets jobs that ended long ago and have no run left.
func (s *State) sweep() {
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

func (s *State) addPending(j *Job, by int64) {
	if j.Spec.GetRepeatCount() == 0 {
		s.pendingByQueue[j.Spec.GetQueue()] += by
	}
}

// Config returns the configuration in force, or nil.
func (s *State) Config() *Config { return s.config }

// DomainOut reports whether a failure domain takes no work.
func (s *State) DomainOut(name string) bool { return s.domainsOut[name] }

// Upstreams returns all upstreams by identity. The caller must not change the map.
func (s *State) Upstreams() map[string]*Upstream { return s.upstreams }

// Jobs returns all remembered jobs by identity. The caller must not change the map.
func (s *State) Jobs() map[string]*Job { return s.jobs }

// Job returns a job, or nil.
func (s *State) Job(id string) *Job { return s.jobs[id] }

// Used returns what a team has running.
func (s *State) Used(team string) Resources { return s.usedByTeam[team] }

// Pending returns the number of a queue's accepted jobs of which no task has started.
func (s *State) Pending(queue string) int64 { return s.pendingByQueue[queue] }

// Task returns a task, or nil.
func (s *State) Task(k TaskKey) *Task {
	st := s.Step(k)
	if st == nil || k.Index < 0 || int(k.Index) >= len(st.Tasks) {
		return nil
	}
	return st.Tasks[k.Index]
}

// Step returns the step of a task's name, or nil.
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

// Terms returns the queue of a job: as it is now, or as it was when the job was accepted.
func (s *State) Terms(j *Job) *pipelinev1.Queue {
	if q := s.config.Queue(j.Spec.GetQueue()); q != nil {
		return q
	}
	return j.Terms
}

type nopObserver struct{}

func (nopObserver) ConfigChanged()                    {}
func (nopObserver) DomainChanged(string, bool)        {}
func (nopObserver) UpstreamChanged(*Upstream)         {}
func (nopObserver) UpstreamGone(*Upstream)            {}
func (nopObserver) JobAdded(*Job)                     {}
func (nopObserver) JobEnded(*Job)                     {}
func (nopObserver) StepDone(*Step)                    {}
func (nopObserver) RunPlaced(*Run)                    {}
func (nopObserver) RunEnded(*Run, pipelinev1.EndKind) {}
