// Package raft is a pure implementation of the raft agreement protocol.
//
// It performs no I/O, reads no clock and starts no goroutine. The owner feeds
// it messages (Step), elapsed time (Tick) and proposals (Propose), and takes
// from Ready what must be made durable, sent and applied:
//
//	r, err := raft.New(cfg, restored)
//	for {
//		// Step, Tick or Propose ...
//		rd := r.Ready()
//		// 1. send rd.Early
//		// 2. persist rd.Snapshot, rd.Entries and rd.HardState, and sync them
//		// 3. send rd.Messages
//		// 4. apply rd.Committed in order
//		r.Advance(rd)
//	}
//
// It provides pre-vote, check-quorum, leadership transfer, learners,
// one-at-a-time membership change, batched and pipelined appends with flow
// control, snapshots and read-index.
//
// A replica's ID belongs to its durable storage: a replica that lost its
// storage must come back under a new ID, as a learner.
package raft
