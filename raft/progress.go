package raft

// sentAppend is an append that the receiving replica has not acknowledged yet.
type sentAppend struct {
	// last is the index of the append's last entry.
	last uint64
	// number is the append's sequence number among those sent to the replica in this term.
	number uint64
}

// progress is the replication state of one other replica, as the leader knows it.
type progress struct {
	// match is the highest index up to which the replica's log is known to be durable and equal.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// probing limits the replica to one append in flight until the leader knows where the two
	// logs agree.
	probing bool
	// paused holds back further probing appends until the last one is answered, or a heartbeat
	// that was sent after it.
	paused bool
	// snapshotIndex is the index of the snapshot in flight, or zero if there is none.
	snapshotIndex uint64
	// snapshotStallTicks counts the ticks since the last reported progress of that snapshot.
	snapshotStallTicks int
	// appendsSent is the number of the last append sent. Heartbeats carry it, so that a reply
	// tells which appends should have arrived before the heartbeat.
	appendsSent uint64
	// probeNumber is the number of the last append sent while probing.
	probeNumber uint64
	// inflight holds the unacknowledged appends, oldest first.
	inflight []sentAppend
	// recentActive is set by any reply since the last quorum check.
	recentActive bool
	// ticksSinceReply counts the ticks since the last reply.
	ticksSinceReply int
}

// canSend reports whether flow control allows another append.
func (p *progress) canSend(maxInflight int) bool {
	if p.snapshotIndex != 0 {
		return false
	}
	if p.probing {
		return !p.paused
	}
	return len(p.inflight) < maxInflight
}

// sent records that an append was sent whose last entry has the given index.
func (p *progress) sent(index uint64) {
	p.appendsSent++
	if p.probing {
		p.paused = true
		p.probeNumber = p.appendsSent
		return
	}
	p.next = index + 1
	p.inflight = append(p.inflight, sentAppend{last: index, number: p.appendsSent})
}

// acked records that the replica has made its log durable up to index. It reports whether match has
// advanced.
func (p *progress) acked(index uint64) bool {
	p.paused = false
	for len(p.inflight) > 0 && p.inflight[0].last <= index {
		p.inflight = p.inflight[1:]
	}
	advanced := index > p.match
	p.match = max(p.match, index)
	p.next = max(p.next, index+1)
	if p.snapshotIndex != 0 && p.match >= p.snapshotIndex {
		p.snapshotIndex = 0
	}
	p.probing = false
	return advanced
}

// rejected returns to probing, with index as the next entry to send but never one up to match.
func (p *progress) rejected(index uint64) {
	p.probing, p.paused = true, false
	p.inflight = nil
	p.next = max(p.match+1, index)
}

// heartbeatAcked handles the reply to a heartbeat that was sent after the append with the given
// number. If that append or an earlier one is still unacknowledged, it is regarded as lost and sent
// again.
func (p *progress) heartbeatAcked(number uint64) {
	if p.probing {
		if p.probeNumber <= number {
			p.paused = false
		}
		return
	}
	if len(p.inflight) > 0 && p.inflight[0].number <= number {
		p.rejected(p.match + 1)
	}
}

// snapshotLost returns to probing after a snapshot did not arrive. It is sent again after the reply
// to a later heartbeat, which shows that the replica is reachable.
func (p *progress) snapshotLost() {
	p.snapshotIndex = 0
	p.rejected(p.match + 1)
	p.appendsSent++
	p.paused, p.probeNumber = true, p.appendsSent
}

// tick advances the time by one tick. A snapshot in flight without progress for snapshotTimeoutTicks
// is regarded as lost.
func (p *progress) tick(snapshotTimeoutTicks int) {
	p.ticksSinceReply++
	if p.snapshotIndex == 0 {
		return
	}
	p.snapshotStallTicks++
	if p.snapshotStallTicks >= snapshotTimeoutTicks {
		p.snapshotLost()
	}
}
