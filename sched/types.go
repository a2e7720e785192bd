package sched

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

// JobID identifies a job. IDs are assigned in order of acceptance.
type JobID uint64

// Policy tells how a job's tasks are placed.
type Policy uint8

// Policies.
const (
	// Batch tasks are packed onto few VMs, may wait, and may be checkpointed for other
	// work if they can be repeated.
	Batch Policy = iota + 1
	// Service tasks run without end, spread over failure domains and racks.
	Service
	// Gang tasks start all together or not at all.
	Gang
)

// String returns the policy's name.
func (p Policy) String() string {
	switch p {
	case Service:
		return "service"
	case Gang:
		return "gang"
	}
	return "batch"
}

// Team is an organisation with a share and an upper limit.
type Team struct {
	// Name identifies the team.
	Name string
	// Share is the weight by which teams divide a full cell; at least 1.
	Share int64
	// Limit bounds what the team's tasks may reserve; resource.Unlimited where there is
	// no bound.
	Limit resource.Vector
}

// Domain is a failure domain.
type Domain struct {
	// Name identifies the failure domain.
	Name string
	// Out is set while operators have taken the failure domain out.
	Out bool
	// Notice is how long running tasks have to checkpoint after the failure domain was
	// taken out.
	Notice time.Duration
}

// Upstream is a worker VM that runs tasks.
type Upstream struct {
	// Name identifies the upstream.
	Name string
	// Incarnation tells restarts of the upstream apart.
	Incarnation uint64
	// Domain names its failure domain.
	Domain string
	// Rack names its rack within the failure domain.
	Rack string
	// Capacity is what the VM offers to tasks.
	Capacity resource.Vector
	// Active is unset for upstreams that are leaving or lost.
	Active bool
	// Leaving is set for upstreams that drain.
	Leaving bool
}

// Job is a request to run one or more tasks.
type Job struct {
	// ID identifies the job.
	ID JobID
	// Team names the team that owns the job.
	Team string
	// Class names a kind of work within the team; run times and use are learned per
	// class.
	Class string
	// Queue and RequestID identify the call that submitted the job.
	Queue     string
	RequestID string
	// Policy tells how the tasks are placed.
	Policy Policy
	// Urgent work is placed before all other work, and batch may be checkpointed for it.
	Urgent bool
	// Repeatable is set if a task may be stopped and run again.
	Repeatable bool
	// Submitted is when the job was accepted.
	Submitted time.Time
	// ExpectedRunTime is the declared run time of a task; zero if unknown.
	ExpectedRunTime time.Duration
	// Needs holds the declared amounts of each task.
	Needs []resource.Vector
}

// TaskRef identifies one attempt of one task.
type TaskRef struct {
	// Job identifies the task's job.
	Job JobID
	// Index is the task's position in Job.Needs.
	Index int32
	// Attempt numbers the attempts of the task from 1.
	Attempt uint32
}

// Phase is the state of a task.
type Phase uint8

// Phases.
const (
	// Waiting tasks hold no capacity.
	Waiting Phase = iota
	// Placed tasks hold capacity and have not been reported as running.
	Placed
	// Running tasks hold capacity and have been reported as running.
	Running
	// Stopping tasks hold capacity until their end is reported.
	Stopping
	// Ended tasks will not run again.
	Ended
)

// TaskStatus is the current state of one task.
type TaskStatus struct {
	// Ref names the task and its current attempt.
	Ref TaskRef
	// Phase is the state of that attempt.
	Phase Phase
	// Upstream and Reserved are set while the task holds capacity.
	Upstream string
	Reserved resource.Vector
	// NotBefore is the earliest start of a waiting task's attempt; zero for no delay.
	NotBefore time.Time
}

// EndKind tells how an attempt ended, for the models and the quarantine of upstreams.
type EndKind uint8

// Ends of attempts.
const (
	// Succeeded means that the task did its work.
	Succeeded EndKind = iota + 1
	// Failed means that the task failed, which counts against its upstream.
	Failed
	// Interrupted means that the attempt was ended from outside; nothing is learned from it.
	Interrupted
)

// AttemptEnd is what an upstream reported at the end of an attempt.
type AttemptEnd struct {
	// Ref names the attempt.
	Ref TaskRef
	// Upstream names the upstream on which it ran.
	Upstream string
	// Kind tells how it ended.
	Kind EndKind
	// RunTime is how long it ran; zero if unknown.
	RunTime time.Duration
}

// Usage is the use of a running task as reported by its upstream, with a delay.
type Usage struct {
	// Ref names the attempt.
	Ref TaskRef
	// Used is its use; only cores and memory are evaluated.
	Used resource.Vector
}

// Placement proposes to run a task on an upstream.
type Placement struct {
	// Task names the attempt to start.
	Task TaskRef
	// Upstream and Incarnation identify the upstream.
	Upstream    string
	Incarnation uint64
	// Reserved is the capacity to reserve for the task.
	Reserved resource.Vector
}

// StopReason tells why a running task has to stop, as text for people.
type StopReason string

// Reasons to stop.
const (
	// StopDomainOut means that operators took the failure domain of its upstream out.
	StopDomainOut StopReason = "its failure domain was taken out"
	// StopLeaving means that its upstream is draining.
	StopLeaving StopReason = "its upstream is leaving"
	// StopPreempted means that urgent work or a displaced service needs the capacity.
	StopPreempted StopReason = "urgent work needs its place"
	// StopOverUse means that the reported use on its VM exceeds the capacity.
	StopOverUse StopReason = "it uses more than its VM can give"
	// StopOverLimit means that its team exceeds its limit.
	StopOverLimit StopReason = "its team is over its upper limit"
	// StopCapacity means that the reservations on its VM exceed the VM's capacity, which
	// was lowered.
	StopCapacity StopReason = "its VM's capacity was lowered"
	// StopForReservation means that the reservation of a gang or an overdue task has
	// expired and the job still needs the capacity. The text names a gang in both cases.
	StopForReservation StopReason = "a gang that waited to the end of its reservation needs its place"
	// StopForShort means that short work has waited longer than
	// Settings.ShortPreemptDelay.
	StopForShort StopReason = "short work waited too long for its place"
	// StopForShare means that a team below its share has waited longer than
	// Settings.SharePreemptDelay.
	StopForShare StopReason = "a team below its share waited too long for its place"
	// StopGangUnable means that other tasks of its gang could not start. Decide does not
	// use it; it is for owners that stop the rest of such a gang.
	StopGangUnable StopReason = "its gang could not start as a whole"
)

// Stop proposes to end a live attempt.
type Stop struct {
	// Task names the attempt.
	Task TaskRef
	// Checkpoint is set if the task should make a checkpoint first, if it can.
	Checkpoint bool
	// Reason tells why it has to stop.
	Reason StopReason
}

// Throttle asks an upstream to limit a task to its reservation.
type Throttle struct {
	// Task names the attempt.
	Task TaskRef
}

// RefusalReason tells why a job can never run.
type RefusalReason uint8

// Reasons to refuse a job.
const (
	// RefusalNeverFits is given when no VM is large enough for one of the tasks.
	RefusalNeverFits RefusalReason = iota + 1
	// RefusalGangTooLarge is given when the known VMs together can't hold all tasks of the
	// gang.
	RefusalGangTooLarge
)

// Refusal tells that a waiting job can never run.
type Refusal struct {
	// Job identifies the job.
	Job JobID
	// Reason is the kind of refusal.
	Reason RefusalReason
	// Detail explains the refusal in a sentence for people.
	Detail string
}

// Decision is what Decide proposes. Nothing changes until the owner carries it out and
// records the result with SetTask or RemoveJob.
type Decision struct {
	// Placements lists the tasks to start; the tasks of a gang are next to each other.
	Placements []Placement
	// Stops lists the attempts to end.
	Stops []Stop
	// Throttles lists the tasks to limit to their reservation.
	Throttles []Throttle
	// Refusals lists the jobs that can never run.
	Refusals []Refusal
}

// Empty reports whether the decision proposes nothing.
func (d *Decision) Empty() bool {
	return len(d.Placements)+len(d.Stops)+len(d.Throttles)+len(d.Refusals) == 0
}
