package raft

// pendingRead waits for a quorum to confirm the leadership.
type pendingRead struct {
	context uint64
	// round is the heartbeat context that confirms this read.
	round uint64
	acks  map[ID]bool
}

// ReadIndex asks for confirmation that this replica still leads. The answer appears in
// Ready.Reads under the same context; none appears if leadership is lost first. Reads that
// come while a round of heartbeats is under way share the next one.
func (r *Raft) ReadIndex(context uint64) error {
	if r.role != Leader {
		return ErrNotLeader
	}
	underWay := len(r.reads) > 0 && r.reads[0].round <= r.readRound
	r.reads = append(r.reads, pendingRead{
		context: context, round: r.readRound + 1,
		acks: map[ID]bool{r.cfg.ID: true},
	})
	if !underWay {
		r.startReadRound()
	}
	r.releaseReads()
	return nil
}

// startReadRound sends the heartbeats that confirm the reads up to now.
func (r *Raft) startReadRound() {
	r.readRound++
	r.broadcastHeartbeat(r.readRound, false)
}

// readsWait reports whether reads wait for a round that has not started.
func (r *Raft) readsWait() bool {
	n := len(r.reads)
	return n > 0 && r.reads[n-1].round > r.readRound
}

// confirmReads counts an acknowledgement for every read up to the heartbeat's round.
func (r *Raft) confirmReads(from ID, round uint64) {
	for i := range r.reads {
		if r.reads[i].round <= round {
			r.reads[i].acks[from] = true
		}
	}
	r.releaseReads()
}

// releaseReads answers confirmed reads once an entry of this term is committed.
func (r *Raft) releaseReads() {
	if t, _ := r.log.term(r.log.committed); t != r.term {
		return
	}
	n := 0
	for n < len(r.reads) && r.quorum(func(id ID) bool { return r.reads[n].acks[id] }) {
		r.readStates = append(r.readStates, ReadState{Context: r.reads[n].context, Index: r.log.committed})
		n++
	}
	r.reads = r.reads[n:]
	if r.readsWait() && r.reads[0].round > r.readRound {
		r.startReadRound()
	}
}
