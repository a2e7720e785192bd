package state

import (
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	"github.com/bulrushwinch/bulrushwinch/pipeline"
	"github.com/bulrushwinch/bulrushwinch/resource"
)

// JobID numbers the jobs of a group, in order of acceptance, below the group's number.
type JobID uint64

// jobGroupShift is the position of the group's number in a JobID.
const jobGroupShift = 48

// Group returns the number of the placement group that took the job.
func (id JobID) Group() uint16 { return uint16(id >> jobGroupShift) }

// KeyHash is the SHA-256 of a key.
type KeyHash [32]byte

// RequestKey identifies a request within its team.
type RequestKey struct {
	Team string
	ID   string
}

// TaskRef names one attempt of one task.
type TaskRef struct {
	Job     JobID
	Index   int32
	Attempt uint32
}

// RefFromProto converts the public message.
func RefFromProto(r *apiv1.TaskRef) TaskRef {
	return TaskRef{Job: JobID(r.GetJobId()), Index: r.GetTask(), Attempt: r.GetAttempt()}
}

// Proto converts to the public message.
func (r TaskRef) Proto() *apiv1.TaskRef {
	return &apiv1.TaskRef{JobId: uint64(r.Job), Task: r.Index, Attempt: r.Attempt}
}

// Team is an organisation that submits work.
type Team struct {
	Name       string
	Share      int64
	Limit      resource.Vector
	MaxWaiting int64
	// Used is what the team's placed, running and stopping tasks reserve.
	Used    resource.Vector
	Waiting int64
	Running int64
	// Stored is the size of payloads, answers and checkpoints of the team's remembered jobs.
	Stored int64
	spec   *apiv1.Team
}

// Key lets its holder act for a team or as an operator or upstream.
type Key struct {
	ID        string
	Team      string
	Hash      KeyHash
	Role      apiv1.KeyRole
	Withdrawn bool
}

// Domain is a failure domain.
type Domain struct {
	Name   string
	Out    bool
	Notice time.Duration
}

// Upstream is the newest incarnation of a worker.
type Upstream struct {
	Name        string
	Incarnation uint64
	Domain      string
	Rack        string
	VM          string
	Capacity    resource.Vector
	// Used is what tasks on the upstream reserve.
	Used  resource.Vector
	State lifecycle.UpstreamState
	Tasks map[TaskRef]*Task
	// LostNS is the leader time at which the upstream was declared lost.
	LostNS int64
	// announced is what the upstream last said of itself; it is never changed in place.
	announced *apiv1.AnnounceRequest
}

// Job is one request for work.
type Job struct {
	ID        JobID
	Team      string
	Queue     string
	RequestID string
	Spec      *apiv1.JobSpec
	State     lifecycle.JobState
	Outcome   *apiv1.Outcome
	// Tasks has one element per task; its address is stable.
	Tasks []Task
	// SubmittedNS, StartDeadlineNS and EndedNS are leader times in Unix nanoseconds.
	SubmittedNS     int64
	StartDeadlineNS int64
	EndedNS         int64
	// Digest identifies the body of the request that created the job.
	Digest string
	// placed counts tasks that hold capacity, unended those without an outcome.
	placed  int
	unended int
	// answerBytes is the size of all answers, stored that of payloads and checkpoints as well.
	answerBytes int
	stored      int
	// captured is the last capture that has the job as it was.
	captured uint32
}

// Gang reports whether the job's tasks must all start together.
func (j *Job) Gang() bool { return j.Spec.Policy == apiv1.Policy_POLICY_GANG }

// Task is one task of a job.
type Task struct {
	Job     *Job
	Index   int32
	Attempt uint32
	State   lifecycle.TaskState
	// Spec is shared by equal tasks of the job.
	Spec     *apiv1.TaskSpec
	Upstream *Upstream
	Reserved resource.Vector
	// Failures counts attempts that failed by the task's own doing.
	Failures int32
	// NotBeforeNS delays the next attempt after a failure.
	NotBeforeNS int64
	// Started is set once the upstream has reported the current attempt as running.
	Started bool
	// Checkpointing is set when the pending stop asks for a checkpoint.
	Checkpointing bool
	Checkpoint    []byte
	Outcome       *apiv1.Outcome
	Answer        *apiv1.Answer
}

// Ref names the task's current attempt.
func (t *Task) Ref() TaskRef { return TaskRef{t.Job.ID, t.Index, t.Attempt} }

// Live reports whether the task holds capacity.
func (t *Task) Live() bool {
	return t.State == lifecycle.TaskPlaced || t.State == lifecycle.TaskRunning || t.State == lifecycle.TaskStopping
}

// Unended returns the number of tasks without an outcome.
func (j *Job) Unended() int { return j.unended }

// Request remembers what was decided for a request identity. Job is zero if it created none.
type Request struct {
	Key       RequestKey
	Job       JobID
	Digest    string
	Refusal   *apiv1.Outcome
	DecidedNS int64
}

// Operation remembers what was decided for an operator's change.
type Operation struct {
	ID        string
	Digest    string
	Response  *apiv1.ChangeResponse
	DecidedNS int64
}

// ReplicaIntent is an operator's accepted replica change that is still to be carried out.
type ReplicaIntent struct {
	OperationID string
	Replica     uint64
	Action      apiv1.ReplicaAction
	DecidedNS   int64
}

// Settings bound what the state keeps. They must be equal on all replicas.
type Settings struct {
	// Group is the number of the placement group; zero for the only one. It is part of
	// every job number, so that these are unique over all groups of a fleet.
	Group uint16
	// Retention is how long identities, answers and operations are remembered.
	Retention time.Duration
	// ClockMargin bounds how far a caller's clock may be off.
	ClockMargin time.Duration
	// DefaultMaxWaiting bounds a team's waiting tasks when the team sets no bound.
	DefaultMaxWaiting int64
	// DefaultMaxAttempts bounds failed attempts of a task when the job sets no bound.
	DefaultMaxAttempts int32
	// FailureBackoff delays a task's next attempt; it doubles with each failure.
	FailureBackoff time.Duration
	// ServiceBackoffMax bounds the delay before a service task is restarted.
	ServiceBackoffMax time.Duration
	// ServiceStableRun is how long a service task must have run for its earlier
	// failures to be forgotten.
	ServiceStableRun time.Duration
	// MaxTasksPerJob and MaxPayloadBytes bound one job; MaxAnswerBytes bounds one answer.
	MaxTasksPerJob  int
	MaxPayloadBytes int
	MaxAnswerBytes  int
	// MaxJobAnswerBytes bounds all answers of one job together.
	MaxJobAnswerBytes int
	// MaxStoredBytes bounds payloads, answers and checkpoints of all remembered jobs, and
	// MaxTeamStoredBytes those of one team. Above them no work is taken.
	MaxStoredBytes     int64
	MaxTeamStoredBytes int64
	// MaxRefusals bounds remembered identities that created no job. Above it a refusal is
	// not remembered and says so by being undetermined.
	MaxRefusals int
}

// DefaultSettings are used where a setting is zero.
var DefaultSettings = Settings{
	Retention:          24 * time.Hour,
	ClockMargin:        10 * time.Minute,
	DefaultMaxWaiting:  50_000,
	DefaultMaxAttempts: 3,
	FailureBackoff:     500 * time.Millisecond,
	ServiceBackoffMax:  time.Minute,
	ServiceStableRun:   10 * time.Minute,
	MaxTasksPerJob:     20_000,
	MaxPayloadBytes:    1 << 20,
	MaxAnswerBytes:     1 << 20,
	MaxJobAnswerBytes:  64 << 20,
	MaxStoredBytes:     1 << 30,
	MaxTeamStoredBytes: 256 << 20,
	MaxRefusals:        200_000,
}

// Observer is told of every change while a batch is applied.
type Observer interface {
	TeamChanged(t *Team)
	DomainChanged(d *Domain)
	UpstreamChanged(u *Upstream)
	JobAdded(j *Job)
	JobEnded(j *Job)
	TaskChanged(t *Task, from lifecycle.TaskState)
	// ConfigChanged follows each accepted change of configuration.
	ConfigChanged(revision uint64)
}

// Result is what one command led to; only the field of its kind is set.
type Result struct {
	Submit   *apiv1.SubmitResponse
	Cancel   *apiv1.CancelResponse
	Change   *apiv1.ChangeResponse
	Announce *apiv1.Outcome
	Place    *PlaceResult
	// Acknowledged lists ends that need no further report.
	Acknowledged []TaskRef
	// Pipeline is the result of a command on jobs of steps.
	Pipeline *pipeline.Result
	// Applied tells whether a command without another result changed anything.
	Applied bool
}

// PlaceResult tells which placements were taken.
type PlaceResult struct {
	Taken   []TaskRef
	Refused []PlaceRefusal
}

// PlaceRefusal is a placement that a check refused.
type PlaceRefusal struct {
	Task TaskRef
	Why  PlaceReason
}

// PlaceReason is the check that refused a placement.
type PlaceReason string

// Reasons to refuse a placement.
const (
	PlaceTaskGone           PlaceReason = "task is not waiting under this attempt"
	PlaceUpstreamGone       PlaceReason = "upstream incarnation is not active"
	PlaceDomainOut          PlaceReason = "failure domain is out"
	PlaceOverCapacity       PlaceReason = "VM capacity exceeded"
	PlaceOverLimit          PlaceReason = "team limit exceeded"
	PlaceGangPartial        PlaceReason = "gang is not placed as a whole"
	PlaceTeamGone           PlaceReason = "team no longer exists"
	PlaceTooEarly           PlaceReason = "task is backing off"
	PlaceInvalidReservation PlaceReason = "reservation is not positive"
)
