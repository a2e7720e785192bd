package raft

// sentAppend is an append that its replica has not acknowledged.
type sentAppend struct {
	// last is the index of the append's last entry.
	last uint64
	// number counts the appends sent to the replica in this term.
	number uint64
}

// progress is the leader's view of one other replica.
type progress struct {
	// match is the highest index known to be durable there.
	match uint64
	// next is the index to send next.
	next uint64
	// probing allows one append in flight until the logs are known to agree.
	probing bool
	// paused stops probing appends until a reply, or a reply to a later heartbeat.
	paused bool
	// snapshotAt is the index of a snapshot in flight, or zero.
	snapshotAt uint64
	// snapshotTicks counts ticks since the snapshot in flight last made headway.
	snapshotTicks int
	// sends numbers the appends; heartbeats carry it, so that their replies tell which
	// appends must have arrived before them.
	sends uint64
	// probe is the number of the last probing append.
	probe uint64
	// inflight holds the unacknowledged appends, oldest first.
	inflight []sentAppend
	// recentActive is set by any reply within the current quorum check.
	recentActive bool
	// silentTicks counts ticks since the last reply.
	silentTicks int
}

func (p *progress) canSend(maxInflight int) bool {
	if p.snapshotAt != 0 {
		return false
	}
	if p.probing {
		return !p.paused
	}
	return len(p.inflight) < maxInflight
}

// sent records an append whose last entry is index.
func (p *progress) sent(index uint64) {
	p.sends++
	if p.probing {
		p.paused = true
		p.probe = p.sends
		return
	}
	p.next = index + 1
	p.inflight = append(p.inflight, sentAppend{last: index, number: p.sends})
}

// acked records that everything up to index is durable there.
func (p *progress) acked(index uint64) bool {
	p.paused = false
	for len(p.inflight) > 0 && p.inflight[0].last <= index {
		p.inflight = p.inflight[1:]
	}
	advanced := index > p.match
	p.match = max(p.match, index)
	p.next = max(p.next, index+1)
	if p.snapshotAt != 0 && p.match >= p.snapshotAt {
		p.snapshotAt = 0
	}
	p.probing = false
	return advanced
}

// rejected moves back to probing from index.
func (p *progress) rejected(index uint64) {
	p.probing, p.paused = true, false
	p.inflight = nil
	p.next = max(p.match+1, index)
}

// heartbeatAcked takes the reply to a heartbeat that was sent after the append of the
// given number. An older append without an acknowledgement was lost on the way.
func (p *progress) heartbeatAcked(number uint64) {
	if p.probing {
		if p.probe <= number {
			p.paused = false
		}
		return
	}
	if len(p.inflight) > 0 && p.inflight[0].number <= number {
		p.rejected(p.match + 1)
	}
}

// snapshotLost goes back to probing after a snapshot that did not arrive. The next
// heartbeat reply, a sign of life, lets it be sent again.
func (p *progress) snapshotLost() {
	p.snapshotAt = 0
	p.rejected(p.match + 1)
	p.sends++
	p.paused, p.probe = true, p.sends
}

// tick advances the leader's view of the replica by one tick.
func (p *progress) tick(snapshotTicks int) {
	p.silentTicks++
	if p.snapshotAt == 0 {
		return
	}
	p.snapshotTicks++
	if p.snapshotTicks >= snapshotTicks {
		p.snapshotLost()
	}
}
