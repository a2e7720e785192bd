package control

import (
	"expvar"

	"github.com/bulrushwinch/bulrushwinch/metrics"
)

var (
	placementsTaken     = expvar.NewInt("placements_taken")
	placementsRefused   = expvar.NewInt("placements_refused")
	placementsRefusedBy = expvar.NewMap("placements_refused_by_reason")
	polls               = expvar.NewInt("polls")
	stalePolls          = expvar.NewInt("polls_stale")
	startsSent          = expvar.NewInt("starts_handed")
	withdrawals         = expvar.NewInt("withdrawals")
	leaseExpiries       = expvar.NewInt("lease_expiries")

	// waitingTime is from a task's submission to the commit of its first start.
	waitingTime = metrics.NewHistogram("waiting_time")
	// decisionTime is the time of one round of scheduling.
	decisionTime = metrics.NewHistogram("decision_time")
	// commitTime is from the proposal of a log entry until it is applied.
	commitTime = metrics.NewHistogram("commit_time")
)
