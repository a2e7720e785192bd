package lifecycle

import "github.com/qmuntal/stateless"

// TaskState is the state of one task.
type TaskState string

// Task states.
const (
	// TaskWaiting has no upstream.
	TaskWaiting TaskState = "waiting"
	// TaskPlaced holds capacity on an upstream that has not yet confirmed the start.
	TaskPlaced TaskState = "placed"
	// TaskRunning was reported by its upstream.
	TaskRunning TaskState = "running"
	// TaskStopping holds capacity until its upstream reports the end.
	TaskStopping TaskState = "stopping"
	// TaskEnded has an outcome.
	TaskEnded TaskState = "ended"
)

// TaskTrigger moves a task between states.
type TaskTrigger string

// Task triggers.
const (
	TaskPlace    TaskTrigger = "place"
	TaskStarted  TaskTrigger = "started"
	TaskStop     TaskTrigger = "stop"
	TaskFinish   TaskTrigger = "finish"
	TaskRequeue  TaskTrigger = "requeue"
	TaskWithdraw TaskTrigger = "withdraw"
)

// Task is the machine of tasks.
var Task = compile[TaskState, TaskTrigger](
	[]TaskState{TaskWaiting, TaskPlaced, TaskRunning, TaskStopping, TaskEnded},
	func(m *stateless.StateMachine) {
		m.Configure(TaskWaiting).
			Permit(TaskPlace, TaskPlaced).
			Permit(TaskFinish, TaskEnded)
		m.Configure(TaskPlaced).
			Permit(TaskStarted, TaskRunning).
			Permit(TaskStop, TaskStopping).
			Permit(TaskWithdraw, TaskWaiting).
			Permit(TaskRequeue, TaskWaiting).
			Permit(TaskFinish, TaskEnded)
		m.Configure(TaskRunning).
			PermitReentry(TaskStarted).
			Permit(TaskStop, TaskStopping).
			Permit(TaskRequeue, TaskWaiting).
			Permit(TaskFinish, TaskEnded)
		m.Configure(TaskStopping).
			PermitReentry(TaskStarted).
			PermitReentry(TaskStop).
			Permit(TaskWithdraw, TaskWaiting).
			Permit(TaskRequeue, TaskWaiting).
			Permit(TaskFinish, TaskEnded)
		m.Configure(TaskEnded)
	})

// JobState is the state of one job.
type JobState string

// Job states.
const (
	JobWaiting    JobState = "waiting"
	JobRunning    JobState = "running"
	JobCancelling JobState = "cancelling"
	JobEnded      JobState = "ended"
)

// JobTrigger moves a job between states.
type JobTrigger string

// Job triggers.
const (
	JobPlaced JobTrigger = "placed"
	JobIdle   JobTrigger = "idle"
	JobCancel JobTrigger = "cancel"
	JobFinish JobTrigger = "finish"
)

// Job is the machine of jobs.
var Job = compile[JobState, JobTrigger](
	[]JobState{JobWaiting, JobRunning, JobCancelling, JobEnded},
	func(m *stateless.StateMachine) {
		m.Configure(JobWaiting).
			Permit(JobPlaced, JobRunning).
			PermitReentry(JobIdle).
			Permit(JobCancel, JobCancelling).
			Permit(JobFinish, JobEnded)
		m.Configure(JobRunning).
			PermitReentry(JobPlaced).
			Permit(JobIdle, JobWaiting).
			Permit(JobCancel, JobCancelling).
			Permit(JobFinish, JobEnded)
		m.Configure(JobCancelling).
			PermitReentry(JobCancel).
			PermitReentry(JobIdle).
			Permit(JobFinish, JobEnded)
		m.Configure(JobEnded)
	})

// UpstreamState is the state of one incarnation of an upstream.
type UpstreamState string

// Upstream states.
const (
	UpstreamActive  UpstreamState = "active"
	UpstreamLeaving UpstreamState = "leaving"
	UpstreamLost    UpstreamState = "lost"
)

// UpstreamTrigger moves an upstream between states.
type UpstreamTrigger string

// Upstream triggers.
const (
	UpstreamAnnounce UpstreamTrigger = "announce"
	UpstreamLeave    UpstreamTrigger = "leave"
	UpstreamExpire   UpstreamTrigger = "expire"
)

// Upstream is the machine of upstreams.
var Upstream = compile[UpstreamState, UpstreamTrigger](
	[]UpstreamState{UpstreamActive, UpstreamLeaving, UpstreamLost},
	func(m *stateless.StateMachine) {
		m.Configure(UpstreamActive).
			PermitReentry(UpstreamAnnounce).
			Permit(UpstreamLeave, UpstreamLeaving).
			Permit(UpstreamExpire, UpstreamLost)
		m.Configure(UpstreamLeaving).
			PermitReentry(UpstreamLeave).
			Permit(UpstreamAnnounce, UpstreamActive).
			Permit(UpstreamExpire, UpstreamLost)
		m.Configure(UpstreamLost).
			Permit(UpstreamAnnounce, UpstreamActive)
	})

// DaemonState is the state of a daemon process.
type DaemonState string

// Daemon states.
const (
	DaemonStarting DaemonState = "starting"
	DaemonReady    DaemonState = "ready"
	DaemonUnready  DaemonState = "unready"
	DaemonDraining DaemonState = "draining"
	DaemonStopped  DaemonState = "stopped"
)

// DaemonTrigger moves a daemon between states.
type DaemonTrigger string

// Daemon triggers.
const (
	DaemonViewFresh DaemonTrigger = "view-fresh"
	DaemonViewStale DaemonTrigger = "view-stale"
	DaemonDrain     DaemonTrigger = "drain"
	DaemonStop      DaemonTrigger = "stop"
)

// Daemon is the machine of daemon processes.
var Daemon = compile[DaemonState, DaemonTrigger](
	[]DaemonState{DaemonStarting, DaemonReady, DaemonUnready, DaemonDraining, DaemonStopped},
	func(m *stateless.StateMachine) {
		m.Configure(DaemonStarting).
			Permit(DaemonViewFresh, DaemonReady).
			PermitReentry(DaemonViewStale).
			Permit(DaemonDrain, DaemonDraining).
			Permit(DaemonStop, DaemonStopped)
		m.Configure(DaemonReady).
			PermitReentry(DaemonViewFresh).
			Permit(DaemonViewStale, DaemonUnready).
			Permit(DaemonDrain, DaemonDraining).
			Permit(DaemonStop, DaemonStopped)
		m.Configure(DaemonUnready).
			PermitReentry(DaemonViewStale).
			Permit(DaemonViewFresh, DaemonReady).
			Permit(DaemonDrain, DaemonDraining).
			Permit(DaemonStop, DaemonStopped)
		m.Configure(DaemonDraining).
			PermitReentry(DaemonDrain).
			PermitReentry(DaemonViewFresh).
			PermitReentry(DaemonViewStale).
			Permit(DaemonStop, DaemonStopped)
		m.Configure(DaemonStopped)
	})
