package replica

import "expvar"

// Counters, summed over all nodes in the process. snapshots_failed counts failures to store, send
// or receive a snapshot, log_no_space the attempts to write the log that found no space.
// log_waits_for_space is the number of nodes that wait for space now.
var (
	logAppends        = expvar.NewInt("log_appends")
	logNoSpace        = expvar.NewInt("log_no_space")
	logWaitsForSpace  = expvar.NewInt("log_waits_for_space")
	snapshotsStored   = expvar.NewInt("snapshots_stored")
	snapshotsFailed   = expvar.NewInt("snapshots_failed")
	snapshotsSent     = expvar.NewInt("snapshots_sent")
	snapshotsReceived = expvar.NewInt("snapshots_received")
)
