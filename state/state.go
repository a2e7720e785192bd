package state

import (
	"crypto/sha256"
	"iter"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/pipeline"
	"github.com/bulrushwinch/bulrushwinch/resource"
)

// State is the replicated state of one placement group. It is not safe for concurrent use,
// except for the functions that Capture returns.
type State struct {
	settings Settings
	observer Observer
	limits   Allowance

	// nowNS is the leader time of the last entry, in Unix nanoseconds.
	nowNS int64
	// revision numbers the configurations; lastOperation is the ID of the last applied change.
	revision      uint64
	nextJob       JobID
	lastOperation string

	teams     map[string]*Team
	keys      map[string]*Key
	keyByHash map[KeyHash]*Key
	queues    map[string]*apiv1.Queue
	domains   map[string]*Domain
	upstreams map[string]*Upstream
	// upstreamList holds the values of upstreams; no result depends on its order.
	upstreamList []*Upstream
	// vmOwner maps the name of a VM to the name of the upstream that last announced it.
	vmOwner map[string]string
	jobs    jobTable
	// unendedByQueue holds the jobs that have not ended, by queue name.
	unendedByQueue map[string]map[JobID]*Job
	identities     map[RequestKey]identity
	// formerOwners holds the teams that an open queue counted its work for before, by queue, oldest first.
	formerOwners map[string][]string
	operations   map[string]*Operation

	// endedJobs, requestOrder and operationOrder are in order of decision, so that the Sweep
	// command finds the oldest first. requestOrder holds the requests that created no job.
	endedJobs      []JobID
	requestOrder   []*Request
	operationOrder []*Operation
	// stored is the size in bytes of the payloads, answers and checkpoints of all jobs.
	stored int64
	// replicaChanges are operators' accepted replica changes that have yet to be carried out.
	replicaChanges []PendingReplicaChange

	// pipelines holds the pipeline jobs, whose tasks run on upstreams that the leader calls.
	pipelines *pipeline.State

	// capture is the last capture that Capture made, or nil once it is known to be encoded;
	// captures counts them.
	capture  *capture
	captures uint32
}

// identity is the decision on a request: the job that it created, or its refusal.
type identity struct {
	job     JobID
	refused *Request
}

// Allowance limits what a team may use in this group. With a single group it is the team's
// whole limit; with several it is the part of that limit that was lent to this group.
type Allowance interface {
	// Allowed returns the amount that the team's tasks may reserve in this group.
	Allowed(t *Team) resource.Vector
}

// wholeLimit is the Allowance of a single group.
type wholeLimit struct{}

// Allowed implements Allowance.
func (wholeLimit) Allowed(t *Team) resource.Vector { return t.Limit }

// New returns an empty state. Zero settings are replaced by those of DefaultSettings.
func New(settings Settings) *State {
	s := &State{settings: withDefaults(settings), observer: nopObserver{}, limits: wholeLimit{}}
	s.reset()
	return s
}

func withDefaults(s Settings) Settings {
	d := DefaultSettings
	setDefault(&s.Retention, d.Retention)
	setDefault(&s.ClockMargin, d.ClockMargin)
	setDefault(&s.DefaultMaxWaiting, d.DefaultMaxWaiting)
	setDefault(&s.DefaultMaxAttempts, d.DefaultMaxAttempts)
	setDefault(&s.FailureBackoff, d.FailureBackoff)
	setDefault(&s.ServiceBackoffMax, d.ServiceBackoffMax)
	setDefault(&s.ServiceStableRun, d.ServiceStableRun)
	setDefault(&s.MaxTasksPerJob, d.MaxTasksPerJob)
	setDefault(&s.MaxPayloadBytes, d.MaxPayloadBytes)
	setDefault(&s.MaxAnswerBytes, d.MaxAnswerBytes)
	setDefault(&s.MaxJobAnswerBytes, d.MaxJobAnswerBytes)
	setDefault(&s.MaxStoredBytes, d.MaxStoredBytes)
	setDefault(&s.MaxTeamStoredBytes, d.MaxTeamStoredBytes)
	setDefault(&s.MaxRefusals, d.MaxRefusals)
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (s *State) reset() {
	s.nowNS, s.revision, s.lastOperation = 0, 0, ""
	s.nextJob = JobID(s.settings.Group)<<jobGroupShift + 1
	s.teams = make(map[string]*Team)
	s.keys = make(map[string]*Key)
	s.keyByHash = make(map[KeyHash]*Key)
	s.queues = make(map[string]*apiv1.Queue)
	s.domains = make(map[string]*Domain)
	s.upstreams = make(map[string]*Upstream)
	s.upstreamList = nil
	s.vmOwner = make(map[string]string)
	s.jobs = jobTable{}
	s.unendedByQueue = make(map[string]map[JobID]*Job)
	s.identities = make(map[RequestKey]identity)
	s.formerOwners = make(map[string][]string)
	s.operations = make(map[string]*Operation)
	s.endedJobs, s.requestOrder, s.operationOrder, s.replicaChanges = nil, nil, nil, nil
	s.capture, s.stored = nil, 0
	if s.pipelines == nil {
		s.pipelines = pipeline.New()
	}
	s.pipelines.Reset()
}

// Observe sets the observer; nil removes it.
func (s *State) Observe(o Observer) {
	if o == nil {
		o = nopObserver{}
	}
	s.observer = o
}

// Apply applies one log entry and returns a Result per command, in order. It panics if an
// invariant is violated or a command is unknown.
func (s *State) Apply(b *peerv1.Batch) []Result {
	s.nowNS = max(s.nowNS, b.NowNs)
	results := make([]Result, len(b.Commands))
	for i, c := range b.Commands {
		results[i] = s.applyOne(c)
	}
	return results
}

func (s *State) applyOne(c *peerv1.Command) Result {
	switch c := c.Command.(type) {
	case *peerv1.Command_Submit:
		return Result{Submit: s.submit(c.Submit)}
	case *peerv1.Command_Cancel:
		return Result{Cancel: s.cancel(c.Cancel)}
	case *peerv1.Command_Place:
		return Result{Place: s.place(c.Place)}
	case *peerv1.Command_Report:
		return Result{Acknowledged: s.report(c.Report)}
	case *peerv1.Command_Announce:
		return Result{Announce: s.announce(c.Announce)}
	case *peerv1.Command_UpstreamLost:
		return Result{Applied: s.upstreamLost(c.UpstreamLost)}
	case *peerv1.Command_Change:
		return Result{Change: s.change(c.Change)}
	case *peerv1.Command_Withdraw:
		return Result{Applied: s.withdraw(c.Withdraw)}
	case *peerv1.Command_Stop:
		return Result{Applied: s.stop(c.Stop)}
	case *peerv1.Command_Leaving:
		return Result{Applied: s.leaving(c.Leaving)}
	case *peerv1.Command_Refuse:
		return Result{Applied: s.refuse(c.Refuse)}
	case *peerv1.Command_Sweep:
		return Result{Applied: s.sweep()}
	case *peerv1.Command_Bootstrap:
		return Result{Applied: s.bootstrap(c.Bootstrap)}
	case *peerv1.Command_ReplicaChangeDone:
		return Result{Applied: s.replicaChangeDone(c.ReplicaChangeDone)}
	case *peerv1.Command_Pipeline:
		return Result{Pipeline: s.pipelines.Apply(s.nowNS, c.Pipeline)}
	}
	panic("state: unknown command in log entry; it was probably written by a newer version")
}

// Pipelines returns the state of the pipeline jobs, whose tasks run in ordered steps.
func (s *State) Pipelines() *pipeline.State { return s.pipelines }

// Now returns the leader time of the last applied entry.
func (s *State) Now() time.Time { return time.Unix(0, s.nowNS) }

// Revision returns the revision number of the current configuration.
func (s *State) Revision() uint64 { return s.revision }

// Team returns a team, or nil.
func (s *State) Team(name string) *Team { return s.teams[name] }

// Teams returns all teams by name. The caller must not change the map.
func (s *State) Teams() map[string]*Team { return s.teams }

// Keys returns all keys by ID, including withdrawn ones. The caller must not change the map.
func (s *State) Keys() map[string]*Key { return s.keys }

// Queues returns all queues by name. The caller must not change the map.
func (s *State) Queues() map[string]*apiv1.Queue { return s.queues }

// Domains returns all failure domains by name. The caller must not change the map.
func (s *State) Domains() map[string]*Domain { return s.domains }

// Upstreams returns all upstreams by name. The caller must not change the map.
func (s *State) Upstreams() map[string]*Upstream { return s.upstreams }

// Upstream returns an upstream, or nil.
func (s *State) Upstream(name string) *Upstream { return s.upstreams[name] }

// Jobs iterates over all jobs, including ended ones, in ascending order of ID.
func (s *State) Jobs() iter.Seq2[JobID, *Job] { return s.jobs.all() }

// Job returns a job, or nil.
func (s *State) Job(id JobID) *Job { return s.jobs.get(id) }

// Request returns the retained decision on a request, or nil.
func (s *State) Request(k RequestKey) *Request {
	known := s.identities[k]
	if known.job == 0 {
		return known.refused
	}
	j := s.jobs.get(known.job)
	return &Request{Key: k, Job: j.ID, Digest: j.Digest, DecidedNS: j.SubmittedNS}
}

// KeyByHash returns the key with the given SHA-256 digest, or nil if there is none or it was
// withdrawn.
func (s *State) KeyByHash(hash []byte) *Key {
	if len(hash) != sha256.Size {
		return nil
	}
	k := s.keyByHash[KeyHash(hash)]
	if k == nil || k.Withdrawn {
		return nil
	}
	return k
}

// task returns the task that ref refers to, or nil if ref is not its current attempt.
func (s *State) task(ref TaskRef) *Task {
	j := s.jobs.get(ref.Job)
	if j == nil || ref.Index < 0 || int(ref.Index) >= len(j.Tasks) {
		return nil
	}
	t := &j.Tasks[ref.Index]
	if t.Attempt != ref.Attempt {
		return nil
	}
	return t
}

// nopObserver ignores all changes.
type nopObserver struct{}

func (nopObserver) TeamChanged(*Team)                      {}
func (nopObserver) DomainChanged(*Domain)                  {}
func (nopObserver) UpstreamChanged(*Upstream)              {}
func (nopObserver) JobAdded(*Job)                          {}
func (nopObserver) JobEnded(*Job)                          {}
func (nopObserver) TaskChanged(*Task, lifecycle.TaskState) {}
func (nopObserver) ConfigChanged(uint64)                   {}
