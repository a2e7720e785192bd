// Package faults is a fault-injection test. It runs a cell, which is a whole system of real
// replicas, scheduler, entries and upstream agents, in virtual time, injects a fault at one
// step of the work, and checks every invariant of the system against the history that the run
// recorded.
//
//	go test ./faults                        all cells, pairs and process tests
//	go test ./faults -run TestMatrix -update  also rewrites docs/FAULTS.md
//	go test ./faults -run 'TestMatrix/cells/place/leader_dies$' -v  one cell
//
// With FAULTS_TRACE=1 and -v a run logs the timeline events of its replicas.
//
// Only the network, the disks (except for the fault "torn log tail") and the tasks are
// simulated. Package daemon is covered by TestProcesses, which runs real processes.
package faults
