package raft

// progress is the leader's view of one other replica.
type progress struct {
	// match is the highest index known to be durable there.
	match uint64
	// next is the index to send next.
	next uint64
	// probing allows one append in flight until the logs are known to agree.
	probing bool
	// paused stops probing appends until a reply or a heartbeat reply.
	paused bool
	// snapshotAt is the index of a snapshot in flight, or zero.
	snapshotAt uint64
	// inflight holds the last indexes of unacknowledged appends.
	inflight []uint64
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
	if p.probing {
		p.paused = true
		return
	}
	p.next = index + 1
	p.inflight = append(p.inflight, index)
}

// acked records that everything up to index is durable there.
func (p *progress) acked(index uint64) bool {
	p.paused = false
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
	advanced := index > p.match
	p.match = max(p.match, index)
	p.next = max(p.next, index+1)
	if p.snapshotAt != 0 && p.match >= p.snapshotAt {
		p.snapshotAt = 0
	}
	if advanced || p.probing {
		p.probing = false
	}
	return advanced
}

// rejected moves back to probing from index.
func (p *progress) rejected(index uint64) {
	p.probing, p.paused = true, false
	p.inflight = nil
	p.next = max(p.match+1, index)
}
