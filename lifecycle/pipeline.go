package lifecycle

import "github.com/qmuntal/stateless"

// PipelineState is the state of a job of steps, as callers see it.
type PipelineState string

// States of jobs of steps.
const (
	// PipelineQueued has no task that was placed yet.
	PipelineQueued    PipelineState = "queued"
	PipelineRunning   PipelineState = "running"
	PipelineCompleted PipelineState = "completed"
	// PipelineFailed has a task that failed as often as it may.
	PipelineFailed    PipelineState = "failed"
	PipelineCancelled PipelineState = "cancelled"
)

// PipelineTrigger moves a job of steps between states.
type PipelineTrigger string

// Triggers of jobs of steps.
const (
	PipelinePlace    PipelineTrigger = "place"
	PipelineComplete PipelineTrigger = "complete"
	PipelineFail     PipelineTrigger = "fail"
	PipelineCancel   PipelineTrigger = "cancel"
)

// Pipeline is the machine of jobs of steps. What has ended stays as it is.
var Pipeline = compile[PipelineState, PipelineTrigger](
	[]PipelineState{PipelineQueued, PipelineRunning, PipelineCompleted, PipelineFailed, PipelineCancelled},
	func(m *stateless.StateMachine) {
		m.Configure(PipelineQueued).
			Permit(PipelinePlace, PipelineRunning).
			Permit(PipelineCancel, PipelineCancelled)
		m.Configure(PipelineRunning).
			PermitReentry(PipelinePlace).
			Permit(PipelineComplete, PipelineCompleted).
			Permit(PipelineFail, PipelineFailed).
			Permit(PipelineCancel, PipelineCancelled)
		m.Configure(PipelineCompleted)
		m.Configure(PipelineFailed)
		m.Configure(PipelineCancelled)
	})

// SessionState is what a leader knows of an upstream that it calls.
type SessionState string

// States of a session with an upstream that is called.
const (
	// SessionOpening means that a look has to settle what the upstream has before any order.
	SessionOpening SessionState = "opening"
	SessionOpen    SessionState = "open"
	// SessionSilent means that calls failed: the lease is not extended any more.
	SessionSilent SessionState = "silent"
)

// SessionTrigger moves a session between states.
type SessionTrigger string

// Triggers of sessions.
const (
	SessionSettle SessionTrigger = "settle"
	// SessionDoubt follows an order without a clear answer, or a newer incarnation.
	SessionDoubt SessionTrigger = "doubt"
	SessionLose  SessionTrigger = "lose"
)

// Session is the machine of sessions with upstreams that are called.
var Session = compile[SessionState, SessionTrigger](
	[]SessionState{SessionOpening, SessionOpen, SessionSilent},
	func(m *stateless.StateMachine) {
		m.Configure(SessionOpening).
			PermitReentry(SessionDoubt).
			Permit(SessionSettle, SessionOpen).
			Permit(SessionLose, SessionSilent)
		m.Configure(SessionOpen).
			PermitReentry(SessionSettle).
			Permit(SessionDoubt, SessionOpening).
			Permit(SessionLose, SessionSilent)
		m.Configure(SessionSilent).
			PermitReentry(SessionLose).
			Permit(SessionSettle, SessionOpen).
			Permit(SessionDoubt, SessionOpening)
	})
