package raft

// pendingRead is a read that waits until a quorum has confirmed that this replica is the leader.
type pendingRead struct {
	context uint64
	// round is the number of the first round of heartbeats that can confirm this read.
	round uint64
	// acks holds the replicas that have confirmed it, including this one.
	acks map[ID]bool
}

// ReadIndex starts a linearizable read: it asks a quorum to confirm that this replica is still the
// leader. The answer appears in Ready.Reads with the same context; there is none if leadership is lost
// first. Reads that are requested while a round of heartbeats is in progress share the next round. The
// error is ErrNotLeader.
func (r *Raft) ReadIndex(context uint64) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	roundInProgress := len(r.pendingReads) > 0 && r.pendingReads[0].round <= r.readRound
	r.pendingReads = append(r.pendingReads, pendingRead{
		context: context, round: r.readRound + 1,
		acks: map[ID]bool{r.cfg.ID: true},
	})
	if !roundInProgress {
		r.startReadRound()
	}
	r.answerConfirmedReads()
	return nil
}

// startReadRound sends the heartbeats that confirm all reads requested so far.
func (r *Raft) startReadRound() {
	r.readRound++
	r.broadcastHeartbeat(r.readRound, false)
}

// hasUnstartedReads reports whether any read waits for a round of heartbeats that has not started.
func (r *Raft) hasUnstartedReads() bool {
	n := len(r.pendingReads)
	return n > 0 && r.pendingReads[n-1].round > r.readRound
}

// confirmReads records a reply to the heartbeat of a round for every read that the round confirms.
func (r *Raft) confirmReads(from ID, round uint64) {
	for i := range r.pendingReads {
		if r.pendingReads[i].round <= round {
			r.pendingReads[i].acks[from] = true
		}
	}
	r.answerConfirmedReads()
}

// answerConfirmedReads answers the reads that a quorum has confirmed, once an entry of this term is
// committed. If all that remain wait for a round that has not started, it starts that round.
func (r *Raft) answerConfirmedReads() {
	if t, _ := r.log.term(r.log.committed); t != r.term {
		return
	}
	n := 0
	for n < len(r.pendingReads) && r.quorum(func(id ID) bool { return r.pendingReads[n].acks[id] }) {
		r.readStates = append(r.readStates, ReadState{Context: r.pendingReads[n].context, Index: r.log.committed})
		n++
	}
	r.pendingReads = r.pendingReads[n:]
	if r.hasUnstartedReads() && r.pendingReads[0].round > r.readRound {
		r.startReadRound()
	}
}
