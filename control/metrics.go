package control

import (
	"expvar"

	"github.com/bulrushwinch/bulrushwinch/metrics"
)

var (
	// placementsAccepted counts placements that the state accepted, placementsRefused those that it
	// refused, and placementsRefusedBy the latter by reason.
	placementsAccepted  = expvar.NewInt("placements_taken")
	placementsRefused   = expvar.NewInt("placements_refused")
	placementsRefusedBy = expvar.NewMap("placements_refused_by_reason")
	// polls counts all polls, stalePolls those refused because a later poll was seen or a newer
	// incarnation is being announced.
	polls      = expvar.NewInt("polls")
	stalePolls = expvar.NewInt("polls_stale")
	// startsSent counts start and prepare commands that were sent, including repeated ones.
	startsSent = expvar.NewInt("starts_handed")
	// withdrawals counts proposed withdrawals of placements that never started.
	withdrawals = expvar.NewInt("withdrawals")
	// leaseExpiries counts upstreams that the leader proposed as lost.
	leaseExpiries = expvar.NewInt("lease_expiries")
	// upstreamCrashes counts incarnations that ended without notice while they held their lease,
	// attemptsCrashed the attempts that the leader reported as failed for it.
	upstreamCrashes = expvar.NewInt("upstream_crashes")
	attemptsCrashed = expvar.NewInt("attempts_crashed")

	// waitingTime is the time from a job's submission to the commit of the start of each task's
	// first attempt.
	waitingTime = metrics.NewHistogram("waiting_time")
	// decisionTime is the duration of one scheduling round.
	decisionTime = metrics.NewHistogram("decision_time")
	// commitTime is the time from the proposal of a log entry until it is applied.
	commitTime = metrics.NewHistogram("commit_time")
)
