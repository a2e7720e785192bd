package lifecycle

import "github.com/qmuntal/stateless"

// PipelineState is the state of a pipeline, which is a job whose tasks form steps, as callers
// see it.
type PipelineState string

// States of pipelines.
const (
	// PipelineQueued means that no task of the pipeline has been placed yet.
	PipelineQueued PipelineState = "queued"
	// PipelineRunning means that a task has been placed and the pipeline has not ended.
	PipelineRunning PipelineState = "running"
	// PipelineCompleted means that the pipeline ended with success.
	PipelineCompleted PipelineState = "completed"
	// PipelineFailed means that a task failed and has no attempts left.
	PipelineFailed PipelineState = "failed"
	// PipelineCancelled means that the pipeline was cancelled before it ended.
	PipelineCancelled PipelineState = "cancelled"
)

// PipelineTrigger moves a pipeline between states.
type PipelineTrigger string

// Triggers of pipelines.
const (
	// PipelinePlace follows the placement of a task.
	PipelinePlace PipelineTrigger = "place"
	// PipelineComplete ends the pipeline with success.
	PipelineComplete PipelineTrigger = "complete"
	// PipelineFail ends the pipeline after a task has used up its attempts.
	PipelineFail PipelineTrigger = "fail"
	// PipelineCancel cancels the pipeline.
	PipelineCancel PipelineTrigger = "cancel"
)

// Pipeline is the state machine of pipelines. The states of an ended pipeline permit no trigger.
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

// SessionState is the state of a leader's session with an upstream that it calls, as opposed
// to one that polls.
type SessionState string

// States of a session with an upstream that the leader calls.
const (
	// SessionOpening means that the leader does not know for certain what the upstream runs. A
	// status request has to be answered before any order is sent.
	SessionOpening SessionState = "opening"
	// SessionOpen means that the leader knows what the upstream runs and may send orders.
	SessionOpen SessionState = "open"
	// SessionSilent means that calls to the upstream failed; its lease is no longer extended.
	SessionSilent SessionState = "silent"
)

// SessionTrigger moves a session between states.
type SessionTrigger string

// Triggers of sessions.
const (
	// SessionReconcile follows the answer to a status request, which lists what the upstream runs.
	SessionReconcile SessionTrigger = "settle"
	// SessionSuspect follows an order without a clear answer, or a newer incarnation.
	SessionSuspect SessionTrigger = "doubt"
	// SessionFail follows a call that failed or was refused.
	SessionFail SessionTrigger = "lose"
)

// Session is the state machine of sessions with upstreams that the leader calls.
var Session = compile[SessionState, SessionTrigger](
	[]SessionState{SessionOpening, SessionOpen, SessionSilent},
	func(m *stateless.StateMachine) {
		m.Configure(SessionOpening).
			PermitReentry(SessionSuspect).
			Permit(SessionReconcile, SessionOpen).
			Permit(SessionFail, SessionSilent)
		m.Configure(SessionOpen).
			PermitReentry(SessionReconcile).
			Permit(SessionSuspect, SessionOpening).
			Permit(SessionFail, SessionSilent)
		m.Configure(SessionSilent).
			PermitReentry(SessionFail).
			Permit(SessionReconcile, SessionOpen).
			Permit(SessionSuspect, SessionOpening)
	})
