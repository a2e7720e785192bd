package dispatch

import (
	"expvar"

	"github.com/bulrushwinch/bulrushwinch/metrics"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

var (
	jobsAccepted          = expvar.NewInt("pipeline_jobs_accepted")
	jobsRefused           = expvar.NewMap("pipeline_jobs_refused")
	backlogLeft           = expvar.NewMap("pipeline_backlog_core_ms")
	backlogStart          = expvar.NewMap("pipeline_backlog_start_s")
	jobsEnded             = expvar.NewMap("pipeline_jobs_ended")
	jobsFailed            = expvar.NewMap("pipeline_jobs_failed_by_reason")
	tasksHeld             = expvar.NewInt("pipeline_tasks_held_for_crashes")
	runsPlaced            = expvar.NewInt("pipeline_runs_placed")
	runsRefused           = expvar.NewMap("pipeline_runs_refused_by_reason")
	runsEnded             = expvar.NewMap("pipeline_runs_ended")
	ordersSent            = expvar.NewInt("pipeline_orders_sent")
	ordersRefused         = expvar.NewMap("pipeline_orders_refused_by_verdict")
	ordersUnanswered      = expvar.NewInt("pipeline_orders_unanswered")
	timeoutsExtended      = expvar.NewInt("pipeline_timeouts_extended")
	unansweredCarriedOut  = expvar.NewInt("pipeline_orders_unanswered_carried_out")
	statusRequestsSent    = expvar.NewInt("pipeline_looks_sent")
	upstreamsUnresponsive = expvar.NewInt("pipeline_upstreams_turned_silent")
	waysChanged           = expvar.NewInt("pipeline_ways_changed")
	upstreamsAvoided      = expvar.NewInt("pipeline_upstreams_avoided")
	roundsOverloaded      = expvar.NewInt("pipeline_rounds_overloaded")
	runsPreempted         = expvar.NewInt("pipeline_runs_preempted")
	copiesStarted         = expvar.NewInt("pipeline_copies_started")
	copiesEndedFirst      = expvar.NewInt("pipeline_copies_ended_first")
	copiesRefused         = expvar.NewInt("pipeline_copies_refused_by_budget")
	gangsReserved         = expvar.NewInt("pipeline_gangs_reserved")
	runsStalled           = expvar.NewInt("pipeline_runs_stalled")
	fillersStopped        = expvar.NewInt("pipeline_fillers_stopped_for_targets")
	leasesExpired         = expvar.NewInt("pipeline_upstreams_lapsed")
	claimsRefuted         = expvar.NewInt("pipeline_claims_refuted")
	questionsAsked        = expvar.NewInt("pipeline_permit_questions")
	questionsUnanswered   = expvar.NewInt("pipeline_permit_questions_unanswered")

	// decisionTime is the duration of a scheduling round.
	decisionTime = metrics.NewHistogram("pipeline_decision_time")
	// controlDelay is how long the result of a call waits for the control goroutine.
	controlDelay = metrics.NewHistogram("pipeline_control_delay")
	// timeoutOverrun is how long after its timeout an unanswered call to an upstream returns.
	timeoutOverrun = metrics.NewHistogram("pipeline_timeout_overrun")
	// startTime is the time from the acceptance of a job to the commit of its first run.
	startTime = metrics.NewHistogram("pipeline_first_start_time")
	// permitTime is the time from queueing a permit question to its answer.
	permitTime = metrics.NewHistogram("pipeline_permit_time")
)

// endNames holds the names of the kinds of ends in logs and metrics.
var endNames = map[pipelinev1.EndKind]string{
	pipelinev1.EndKind_END_KIND_DONE:          "done",
	pipelinev1.EndKind_END_KIND_FAILED:        "failed",
	pipelinev1.EndKind_END_KIND_STOPPED:       "stopped",
	pipelinev1.EndKind_END_KIND_LAPSED:        "lapsed",
	pipelinev1.EndKind_END_KIND_BROKEN:        "broken",
	pipelinev1.EndKind_END_KIND_ALONE:         "alone",
	pipelinev1.EndKind_END_KIND_NEVER_STARTED: "never started",
	pipelinev1.EndKind_END_KIND_LOST:          "lost",
	pipelinev1.EndKind_END_KIND_CRASHED:       "crashed",
	pipelinev1.EndKind_END_KIND_EXPIRED:       "expired",
}
