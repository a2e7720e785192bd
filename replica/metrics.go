package replica

import "expvar"

// Counters, summed over all nodes in the process. snapshots_failed counts failures to store, send
// or receive a snapshot, log_no_space the attempts to write the log that found no space.
var (
	logAppends        = expvar.NewInt("log_appends")
	logNoSpace        = expvar.NewInt("log_no_space")
	snapshotsStored   = expvar.NewInt("snapshots_stored")
	snapshotsFailed   = expvar.NewInt("snapshots_failed")
	snapshotsSent     = expvar.NewInt("snapshots_sent")
	snapshotsReceived = expvar.NewInt("snapshots_received")
)
