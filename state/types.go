package state

import (
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	"github.com/bulrushwinch/bulrushwinch/pipeline"
	"github.com/bulrushwinch/bulrushwinch/resource"
)

// JobID identifies a job. Its 16 high bits are the number of the placement group that accepted
// the job; its 48 low bits number the jobs of that group from 1, in order of acceptance.
type JobID uint64

// jobGroupShift is the bit position of the group's number in a JobID.
const jobGroupShift = 48

// Group returns the number of the placement group that accepted the job.
func (id JobID) Group() uint16 { return uint16(id >> jobGroupShift) }

// KeyHash is the SHA-256 digest of an API key.
type KeyHash [32]byte

// RequestKey is the identity of a request: an ID that the caller chose, within its team.
type RequestKey struct {
	// Team is the name of the team.
	Team string
	// ID is the request ID chosen by the caller.
	ID string
}

// TaskRef identifies one attempt of one task.
type TaskRef struct {
	// Job is the job of the task.
	Job JobID
	// Index is the position of the task in Job.Tasks.
	Index int32
	// Attempt numbers the attempts of the task from 1.
	Attempt uint32
}

// RefFromProto converts a reference from the public message.
func RefFromProto(r *apiv1.TaskRef) TaskRef {
	return TaskRef{Job: JobID(r.GetJobId()), Index: r.GetTask(), Attempt: r.GetAttempt()}
}

// Proto converts the reference to the public message.
func (r TaskRef) Proto() *apiv1.TaskRef {
	return &apiv1.TaskRef{JobId: uint64(r.Job), Task: r.Index, Attempt: r.Attempt}
}

// Team is an organisation that submits work.
type Team struct {
	// Name identifies the team.
	Name string
	// Share is the weight of the team, from 1 to 1,000,000, when teams compete for capacity.
	Share int64
	// Limit is the most that the team's tasks may reserve at one time.
	Limit resource.Vector
	// MaxWaiting is the most tasks that may wait at one time.
	MaxWaiting int64
	// Used is what the team's placed, running and stopping tasks reserve.
	Used resource.Vector
	// Waiting is the number of waiting tasks.
	Waiting int64
	// Running is the number of placed, running and stopping tasks.
	Running int64
	// Stored is the size in bytes of the payloads, answers and checkpoints of the team's
	// retained jobs.
	Stored int64
	spec   *apiv1.Team
}

// Key is an API key. It authorizes its holder to act for a team, as an operator or as an
// upstream.
type Key struct {
	// ID is the public name of the key.
	ID string
	// Team is the team that a caller's key acts for.
	Team string
	// Hash identifies the secret, which is not stored.
	Hash KeyHash
	// Role is caller, operator or upstream.
	Role apiv1.KeyRole
	// Withdrawn is set once the key is no longer valid.
	Withdrawn bool
}

// Domain is a failure domain.
type Domain struct {
	// Name identifies the failure domain.
	Name string
	// Out is set while no task may be placed in the failure domain.
	Out bool
	// Notice is the time that running tasks are given to checkpoint before they are stopped.
	Notice time.Duration
}

// Upstream is a worker that runs tasks, in its newest incarnation.
type Upstream struct {
	// Name identifies the upstream.
	Name string
	// Incarnation grows with every start of the upstream's process.
	Incarnation uint64
	// Domain is the name of its failure domain.
	Domain string
	// Rack is the name of its rack.
	Rack string
	// VM is the name of the VM that it runs on. A VM has at most one upstream that isn't lost.
	VM string
	// Capacity is what tasks on the upstream may reserve together.
	Capacity resource.Vector
	// Used is what tasks on the upstream reserve.
	Used resource.Vector
	// State tells whether the upstream accepts new tasks, is leaving or was lost.
	State lifecycle.UpstreamState
	// Tasks are the attempts that hold capacity on the upstream.
	Tasks map[TaskRef]*Task
	// LostNS is the leader time, in Unix nanoseconds, at which the upstream was declared lost.
	LostNS int64
	// announced is the last accepted announcement; it is never changed in place.
	announced *apiv1.AnnounceRequest
}

// Job is one accepted request for work.
type Job struct {
	// ID identifies the job.
	ID JobID
	// Team is the name of the team that the job belongs to.
	Team string
	// Queue is the name of the queue that the job was submitted to.
	Queue string
	// RequestID is the ID of the request, which is unique within the team.
	RequestID string
	// Spec is the work as submitted.
	Spec *apiv1.JobSpec
	// State is the state of the whole job.
	State lifecycle.JobState
	// Outcome is the result of the job once it has ended. While a job is being cancelled for
	// another reason than the caller's request, it holds that reason.
	Outcome *apiv1.Outcome
	// Tasks has one element per task. Elements are never moved, so pointers to them stay valid.
	Tasks []Task
	// SubmittedNS is the leader time of acceptance, in Unix nanoseconds.
	SubmittedNS int64
	// StartDeadlineNS is the leader time, in Unix nanoseconds, by which the job must have
	// started; zero if there is no deadline.
	StartDeadlineNS int64
	// EndedNS is the leader time of the job's end, in Unix nanoseconds; zero before.
	EndedNS int64
	// Digest identifies the body of the request that created the job.
	Digest string
	// placed counts tasks that hold capacity, unended those without an outcome.
	placed  int
	unended int
	// answerBytes is the size of all answers; stored includes payloads and checkpoints.
	answerBytes int
	stored      int
	// captured is the epoch of the last capture that has saved or encoded the job.
	captured uint32
}

// Gang reports whether the job's tasks must all start together.
func (j *Job) Gang() bool { return j.Spec.Policy == apiv1.Policy_POLICY_GANG }

// Task is one task of a job.
type Task struct {
	// Job is the job of the task.
	Job *Job
	// Index is the position of the task in Job.Tasks.
	Index int32
	// Attempt numbers the current attempt from 1.
	Attempt uint32
	// State is the state of the current attempt.
	State lifecycle.TaskState
	// Spec is shared by equal tasks of the job.
	Spec *apiv1.TaskSpec
	// Upstream is where the task is placed, or nil.
	Upstream *Upstream
	// Reserved is what the task reserves on the upstream; zero while it isn't placed.
	Reserved resource.Vector
	// Failures counts attempts that failed by themselves, not through a stop or the loss of the
	// upstream, and those that the leader suspects of having crashed their upstream. For a service
	// it also counts successful ends; see Settings.ServiceStableRun.
	Failures int32
	// NotBeforeNS is the earliest leader time of the next attempt after a failure, in Unix
	// nanoseconds.
	NotBeforeNS int64
	// Started is set once the upstream has reported the current attempt as running.
	Started bool
	// Checkpointing is set when the pending stop asks for a checkpoint.
	Checkpointing bool
	// Checkpoint is what the next attempt continues from; nil to start from the beginning.
	Checkpoint []byte
	// Outcome is the result of the task once it has ended.
	Outcome *apiv1.Outcome
	// Answer is the result that a successful task returned.
	Answer *apiv1.Answer
}

// Ref returns the reference to the task's current attempt.
func (t *Task) Ref() TaskRef { return TaskRef{t.Job.ID, t.Index, t.Attempt} }

// Live reports whether the task holds capacity: it is placed, running or stopping.
func (t *Task) Live() bool {
	return t.State == lifecycle.TaskPlaced || t.State == lifecycle.TaskRunning || t.State == lifecycle.TaskStopping
}

// Unended returns the number of tasks without an outcome.
func (j *Job) Unended() int { return j.unended }

// Request is the retained decision on a request.
type Request struct {
	// Key is the identity of the request.
	Key RequestKey
	// Job is the job that the request created; zero if it created none.
	Job JobID
	// Digest identifies the body of the request; empty if the request was cancelled before it
	// was submitted.
	Digest string
	// Refusal is the outcome of a request that created no job; nil otherwise.
	Refusal *apiv1.Outcome
	// Queue is the queue of a request that was cancelled before it was submitted; empty where an older version recorded it.
	Queue string
	// DecidedNS is the leader time of the decision, in Unix nanoseconds.
	DecidedNS int64
}

// Operation is the retained decision on an operator's change.
type Operation struct {
	// ID is the operation ID that the operator chose.
	ID string
	// Digest is the SHA-256 digest of the change request.
	Digest string
	// Response is the response to the operator.
	Response *apiv1.ChangeResponse
	// DecidedNS is the leader time of the decision, in Unix nanoseconds.
	DecidedNS int64
}

// PendingReplicaChange is an operator's replica change that was accepted and has yet to be carried
// out.
type PendingReplicaChange struct {
	// OperationID is the ID of the operator's change.
	OperationID string
	// Replica is the ID of the replica.
	Replica uint64
	// Action is remove, promote or transfer leadership.
	Action apiv1.ReplicaAction
	// DecidedNS is the leader time of acceptance, in Unix nanoseconds.
	DecidedNS int64
}

// Settings are the limits and delays that Apply uses. They must be equal on all replicas. A
// zero field stands for its value in DefaultSettings.
type Settings struct {
	// Group is the number of the placement group; zero for the only one. It is part of every
	// JobID, so that job IDs are unique over all groups of a fleet.
	Group uint16
	// Retention is how long decided requests and operations, ended jobs and lost upstreams are
	// retained.
	Retention time.Duration
	// ClockMargin is the largest accepted error of a caller's clock.
	ClockMargin time.Duration
	// DefaultMaxWaiting limits a team's waiting tasks when the team sets no limit.
	DefaultMaxWaiting int64
	// DefaultMaxAttempts limits the failed attempts of a task when the job sets no limit.
	DefaultMaxAttempts int32
	// FailureBackoff is the delay before the next attempt after the first failure of a task. It
	// doubles with each further failure.
	FailureBackoff time.Duration
	// ServiceBackoffMax limits the delay before a service task is restarted.
	ServiceBackoffMax time.Duration
	// ServiceStableRun is how long an attempt of a service task must have run for the count of
	// its earlier failures to be reset.
	ServiceStableRun time.Duration
	// MaxTasksPerJob limits the number of tasks of one job.
	MaxTasksPerJob int
	// MaxPayloadBytes limits the payloads of one job together.
	MaxPayloadBytes int
	// MaxAnswerBytes limits one answer or checkpoint.
	MaxAnswerBytes int
	// MaxJobAnswerBytes limits the answers of one job together.
	MaxJobAnswerBytes int
	// MaxStoredBytes limits the payloads, answers and checkpoints of all retained jobs: a job
	// whose payloads would exceed it is refused. Answers and checkpoints of accepted jobs are
	// stored even if they exceed it.
	MaxStoredBytes int64
	// MaxTeamStoredBytes limits the same for the retained jobs of one team.
	MaxTeamStoredBytes int64
	// MaxRefusals limits the number of retained request identities that created no job. Above
	// it a refusal is not retained, and its outcome is undetermined, since a delayed duplicate
	// might still be accepted.
	MaxRefusals int
}

// DefaultSettings holds the values that replace zero fields of Settings.
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

// Observer is notified of changes while Apply runs. Restore notifies it only of the restored teams.
// It must not change what it is passed.
type Observer interface {
	// TeamChanged follows the creation or change of a team.
	TeamChanged(t *Team)
	// DomainChanged follows the creation or change of a failure domain.
	DomainChanged(d *Domain)
	// UpstreamChanged follows an accepted announcement and each change of an upstream's state.
	UpstreamChanged(u *Upstream)
	// JobAdded follows the acceptance of a job.
	JobAdded(j *Job)
	// JobEnded follows the end of a job's last task.
	JobEnded(j *Job)
	// TaskChanged follows the transition of a task from one state to its present one.
	TaskChanged(t *Task, from lifecycle.TaskState)
	// ConfigChanged follows each accepted change of configuration.
	ConfigChanged(revision uint64)
}

// Result is the result of one command. Only the field that belongs to the command is set.
type Result struct {
	// Submit is the response to a submission.
	Submit *apiv1.SubmitResponse
	// Cancel is the response to a cancellation.
	Cancel *apiv1.CancelResponse
	// Change is the response to an operator's change.
	Change *apiv1.ChangeResponse
	// Announce is the outcome of an upstream's announcement.
	Announce *apiv1.Outcome
	// Place lists accepted and refused placements.
	Place *PlaceResult
	// Acknowledged lists ended attempts that the upstream need not report again.
	Acknowledged []TaskRef
	// Pipeline is the result of a command on pipeline jobs; see package pipeline.
	Pipeline *pipeline.Result
	// Applied tells whether a command without another result changed anything.
	Applied bool
}

// PlaceResult lists the placements of one command by whether they were accepted.
type PlaceResult struct {
	// Accepted lists the attempts that were placed.
	Accepted []TaskRef
	// Refused lists the refused placements with the reason for each.
	Refused []PlaceRefusal
}

// PlaceRefusal is a placement that failed a check.
type PlaceRefusal struct {
	// Task is the attempt that was to be placed.
	Task TaskRef
	// Reason names the check that failed.
	Reason PlaceReason
}

// PlaceReason is the reason why a placement was refused.
type PlaceReason string

// Reasons to refuse a placement.
const (
	// PlaceTaskGone means that the task isn't waiting, that the placement is for another
	// attempt, or that the job is being cancelled.
	PlaceTaskGone PlaceReason = "task is not waiting under this attempt"
	// PlaceUpstreamGone means that the upstream is unknown, leaving or lost, or has another
	// incarnation.
	PlaceUpstreamGone PlaceReason = "upstream incarnation is not active"
	// PlaceDomainOut means that the failure domain of the upstream is out.
	PlaceDomainOut PlaceReason = "failure domain is out"
	// PlaceOverCapacity means that the reservations would exceed the upstream's capacity.
	PlaceOverCapacity PlaceReason = "VM capacity exceeded"
	// PlaceOverLimit means that the reservations would exceed what the team may use in this
	// group.
	PlaceOverLimit PlaceReason = "team limit exceeded"
	// PlaceGangPartial means that the placements don't cover all unended tasks of a gang.
	PlaceGangPartial PlaceReason = "gang is not placed as a whole"
	// PlaceTeamGone means that the team of the job was deleted.
	PlaceTeamGone PlaceReason = "team no longer exists"
	// PlaceTooEarly means that the delay after a failed attempt has not passed yet.
	PlaceTooEarly PlaceReason = "task is backing off"
	// PlaceInvalidReservation means that less than one slot or a negative amount is reserved.
	PlaceInvalidReservation PlaceReason = "reservation is not positive"
)
