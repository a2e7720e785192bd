// Package raft implements the Raft consensus protocol as a deterministic state
// machine.
//
// It performs no I/O, reads no clock and starts no goroutine. The owner, that is
// the program that embeds a Raft, passes messages (Step), elapsed time (Tick)
// and proposals (Propose) to it, and reads from Ready what must be made durable,
// sent and applied:
//
//	r, err := raft.New(cfg, restored)
//	for {
//		// Step, Tick or Propose ...
//		rd := r.Ready()
//		// 1. send rd.Early
//		// 2. persist rd.Snapshot, rd.Entries and rd.HardState; sync them if rd.MustSync
//		// 3. send rd.Messages
//		// 4. apply rd.Committed in order
//		// 5. answer the reads in rd.Reads
//		r.Advance(rd)
//	}
//
// It provides pre-vote, check-quorum, leadership transfer, learners,
// membership changes of one replica at a time, batched and pipelined appends
// with flow control, snapshots and linearizable reads (ReadIndex).
//
// A replica's ID is bound to its durable storage: a replica that lost its
// storage must rejoin under a new ID, as a learner.
package raft
