package replica

import "expvar"

// Counters, summed over all nodes in the process. snapshots_failed counts failures to store, send
// or receive a snapshot.
var (
	logAppends        = expvar.NewInt("log_appends")
	snapshotsStored   = expvar.NewInt("snapshots_stored")
	snapshotsFailed   = expvar.NewInt("snapshots_failed")
	snapshotsSent     = expvar.NewInt("snapshots_sent")
	snapshotsReceived = expvar.NewInt("snapshots_received")
)
