package sched

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

// JobID numbers jobs in order of acceptance.
type JobID uint64

// Policy tells how a job's tasks are placed.
type Policy uint8

// Policies.
const (
	// Batch tasks are packed, may be checkpointed and may wait.
	Batch Policy = iota + 1
	// Service tasks run without end, spread over failure domains and racks.
	Service
	// Gang tasks all start together or not at all.
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
	Name string
	// Share is the team's weight when the cell is full.
	Share int64
	// Limit bounds the team's use; resource.Unlimited where there is no bound.
	Limit resource.Vector
}

// Domain is a failure domain.
type Domain struct {
	Name string
	// Out is set while operators have taken the domain out.
	Out bool
	// Notice is how long running tasks have to checkpoint after the domain went out.
	Notice time.Duration
}

// Upstream is a worker.
type Upstream struct {
	Name        string
	Incarnation uint64
	Domain      string
	Rack        string
	Capacity    resource.Vector
	// Active is unset for upstreams that are leaving or lost.
	Active bool
	// Leaving is set for upstreams that drain.
	Leaving bool
}

// Job is a request for work.
type Job struct {
	ID    JobID
	Team  string
	Class string
	// Queue and RequestID name the call that handed the job in.
	Queue      string
	RequestID  string
	Policy     Policy
	Urgent     bool
	Repeatable bool
	Submitted  time.Time
	// Expected is the declared run time of a task; zero if unknown.
	Expected time.Duration
	// Needs holds the declared amounts per task.
	Needs []resource.Vector
}

// TaskRef names one attempt of one task.
type TaskRef struct {
	Job     JobID
	Index   int32
	Attempt uint32
}

// Phase tells where a task stands.
type Phase uint8

// Phases.
const (
	// Waiting tasks hold nothing.
	Waiting Phase = iota
	// Placed tasks hold capacity and have not been reported as running.
	Placed
	// Running tasks were reported as running.
	Running
	// Stopping tasks hold capacity until their end is reported.
	Stopping
	// Ended tasks are done.
	Ended
)

// TaskStatus is a fact about one task.
type TaskStatus struct {
	Ref   TaskRef
	Phase Phase
	// Upstream and Reserved are set while the task holds capacity.
	Upstream string
	Reserved resource.Vector
	// NotBefore delays the next attempt of a waiting task.
	NotBefore time.Time
}

// EndKind tells how an attempt ended, for learning.
type EndKind uint8

// Ends of attempts.
const (
	Succeeded EndKind = iota + 1
	Failed
	Interrupted
)

// AttemptEnd is what an upstream reported at the end of an attempt.
type AttemptEnd struct {
	Ref      TaskRef
	Upstream string
	Kind     EndKind
	RunTime  time.Duration
}

// Usage is what an upstream reported about a running task, with a lag.
type Usage struct {
	Ref  TaskRef
	Used resource.Vector
}

// Placement proposes to run a task on an upstream.
type Placement struct {
	Task        TaskRef
	Upstream    string
	Incarnation uint64
	Reserved    resource.Vector
}

// StopReason tells why a running task has to make room.
type StopReason string

// Reasons to stop.
const (
	StopDomainOut  StopReason = "its failure domain was taken out"
	StopLeaving    StopReason = "its upstream is leaving"
	StopPreempted  StopReason = "urgent work needs its place"
	StopOverUse    StopReason = "it uses more than its VM can give"
	StopOverLimit  StopReason = "its team is over its upper limit"
	StopCapacity   StopReason = "its VM's capacity was lowered"
	StopForGang    StopReason = "a gang that waited to the end of its reservation needs its place"
	StopForShort   StopReason = "short work waited too long for its place"
	StopForShare   StopReason = "a team below its share waited too long for its place"
	StopGangUnable StopReason = "its gang could not start as a whole"
)

// Stop proposes to end a live attempt, with a checkpoint if the task can make one.
type Stop struct {
	Task       TaskRef
	Checkpoint bool
	Why        StopReason
}

// Throttle asks an upstream to hold a task to its reservation.
type Throttle struct {
	Task TaskRef
}

// RefusalReason tells why a job can never run.
type RefusalReason uint8

// Reasons to refuse a job.
const (
	// RefusalNeverFits is given when no VM is large enough for one of the tasks.
	RefusalNeverFits RefusalReason = iota + 1
	// RefusalGangTooLarge is given when the gang is larger than the whole cell.
	RefusalGangTooLarge
)

// Refusal tells that a waiting job can never run.
type Refusal struct {
	Job    JobID
	Reason RefusalReason
	Detail string
}

// Decision is what Decide proposes.
type Decision struct {
	// Placements lists the tasks of a gang one after the other.
	Placements []Placement
	Stops      []Stop
	Throttles  []Throttle
	Refusals   []Refusal
}

// Empty reports whether the decision proposes nothing.
func (d *Decision) Empty() bool {
	return len(d.Placements)+len(d.Stops)+len(d.Throttles)+len(d.Refusals) == 0
}
