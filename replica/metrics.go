package replica

import "expvar"

// Counters, summed over all nodes in the process.
var (
	logAppends        = expvar.NewInt("log_appends")
	snapshotsStored   = expvar.NewInt("snapshots_stored")
	snapshotsFailed   = expvar.NewInt("snapshots_failed")
	snapshotsSent     = expvar.NewInt("snapshots_sent")
	snapshotsReceived = expvar.NewInt("snapshots_received")
)
