package lifecycle

import "github.com/qmuntal/stateless"

// TaskState is the state of one task.
type TaskState string

// Task states.
const (
	// TaskWaiting means that the task is not placed on an upstream.
	TaskWaiting TaskState = "waiting"
	// TaskPlaced means that the task holds capacity on an upstream that has not yet reported
	// its start.
	TaskPlaced TaskState = "placed"
	// TaskRunning means that the upstream has reported the task's start.
	TaskRunning TaskState = "running"
	// TaskStopping means that the task is being stopped. It holds its capacity until the
	// upstream reports the end or is known not to have the task.
	TaskStopping TaskState = "stopping"
	// TaskEnded means that the task has its final outcome.
	TaskEnded TaskState = "ended"
)

// TaskTrigger moves a task between states.
type TaskTrigger string

// Task triggers.
const (
	// TaskPlace places a waiting task on an upstream.
	TaskPlace TaskTrigger = "place"
	// TaskStarted follows the upstream's report that the task runs.
	TaskStarted TaskTrigger = "started"
	// TaskStop asks for the task to be stopped.
	TaskStop TaskTrigger = "stop"
	// TaskFinish ends the task with an outcome.
	TaskFinish TaskTrigger = "finish"
	// TaskRequeue makes the task wait for another attempt.
	TaskRequeue TaskTrigger = "requeue"
	// TaskWithdraw cancels a placement that its upstream never started.
	TaskWithdraw TaskTrigger = "withdraw"
)

// Task is the state machine of tasks.
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
	// JobWaiting means that no task of the job holds capacity.
	JobWaiting JobState = "waiting"
	// JobRunning means that a task of the job holds capacity on an upstream.
	JobRunning JobState = "running"
	// JobCancelling means that the job was cancelled and some of its tasks have not ended.
	JobCancelling JobState = "cancelling"
	// JobEnded means that the job has its final outcome.
	JobEnded JobState = "ended"
)

// JobTrigger moves a job between states.
type JobTrigger string

// Job triggers.
const (
	// JobPlaced follows the placement of a task.
	JobPlaced JobTrigger = "placed"
	// JobIdle follows once no task of the job holds capacity any more.
	JobIdle JobTrigger = "idle"
	// JobCancel cancels the job.
	JobCancel JobTrigger = "cancel"
	// JobFinish ends the job with an outcome.
	JobFinish JobTrigger = "finish"
)

// Job is the state machine of jobs.
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
	// UpstreamActive means that the upstream accepts new work.
	UpstreamActive UpstreamState = "active"
	// UpstreamLeaving means that the upstream finishes its tasks and accepts no new ones.
	UpstreamLeaving UpstreamState = "leaving"
	// UpstreamLost means that the upstream's lease has ended.
	UpstreamLost UpstreamState = "lost"
)

// UpstreamTrigger moves an upstream between states.
type UpstreamTrigger string

// Upstream triggers.
const (
	// UpstreamAnnounce follows an announcement of the upstream.
	UpstreamAnnounce UpstreamTrigger = "announce"
	// UpstreamLeave follows the upstream's request to leave.
	UpstreamLeave UpstreamTrigger = "leave"
	// UpstreamExpire follows the end of the upstream's lease.
	UpstreamExpire UpstreamTrigger = "expire"
)

// Upstream is the state machine of upstreams that poll.
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
	// DaemonStarting means that the daemon has not had a current view of the configuration yet.
	DaemonStarting DaemonState = "starting"
	// DaemonReady means that the daemon's view of the configuration is current.
	DaemonReady DaemonState = "ready"
	// DaemonUnready means that the view of a daemon that was ready has become too old.
	DaemonUnready DaemonState = "unready"
	// DaemonDraining means that the daemon finishes its work before it stops.
	DaemonDraining DaemonState = "draining"
	// DaemonStopped means that the daemon has stopped.
	DaemonStopped DaemonState = "stopped"
)

// DaemonTrigger moves a daemon between states.
type DaemonTrigger string

// Daemon triggers.
const (
	// DaemonViewFresh follows a check that found the view current.
	DaemonViewFresh DaemonTrigger = "view-fresh"
	// DaemonViewStale follows a check that found the view too old or missing.
	DaemonViewStale DaemonTrigger = "view-stale"
	// DaemonDrain begins a graceful shutdown.
	DaemonDrain DaemonTrigger = "drain"
	// DaemonStop follows the end of the daemon's work.
	DaemonStop DaemonTrigger = "stop"
)

// Daemon is the state machine of daemon processes.
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
