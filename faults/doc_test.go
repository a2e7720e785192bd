// Package faults runs the real replicas, scheduler, entries and upstream agents of a
// cell in virtual time, brings one fault about at one step of the work, and checks
// every promise of the system from the history of the run.
//
//	go test ./faults                        all cells, pairs and process tests
//	go test ./faults -run TestMatrix -update  also rewrites docs/FAULTS.md
//	go test ./faults -run 'TestMatrix/cells/place/leader_dies$' -v  one cell
//
// With FAULTS_TRACE=1 and -v a run logs the events of its replicas.
//
// Only the network, the disks (except in the column of torn logs) and the tasks are
// stand-ins. Package daemon is covered by the tests with real processes.
package faults
