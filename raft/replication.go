package raft

import "slices"

// reconcileProgress makes progress cover exactly the other members.
func (r *Raft) reconcileProgress() {
	for _, m := range r.members {
		if m.ID != r.cfg.ID && r.progress[m.ID] == nil {
			r.progress[m.ID] = &progress{next: r.log.lastIndex() + 1, probing: true, recentActive: true}
		}
	}
	for id := range r.progress {
		if !r.isMember(id) {
			delete(r.progress, id)
		}
	}
}

// others returns the IDs of the other members in the order of the membership.
func (r *Raft) others() []ID {
	ids := make([]ID, 0, len(r.members))
	for _, m := range r.members {
		if m.ID != r.cfg.ID {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// broadcastAppend sends entries to the other members, to each as far as they are due.
func (r *Raft) broadcastAppend() {
	for _, id := range r.others() {
		r.sendAppendsIfDue(id)
	}
}

// sendAppendsIfDue sends entries to a voter, to a learner that lags by more than Config.LearnerLag, or
// to one that is being probed. Other learners get them when they next reply to a heartbeat.
func (r *Raft) sendAppendsIfDue(id ID) {
	p := r.progress[id]
	if p != nil && !p.probing && !r.isVoter(id) && p.next+r.cfg.LearnerLag > r.log.lastIndex() {
		return
	}
	r.sendAppends(id)
}

// sendAppends sends entries to one replica as far as flow control allows. A probe is sent even
// without entries, so that it reaches a replica that was just added.
func (r *Raft) sendAppends(id ID) {
	p := r.progress[id]
	if p == nil {
		return
	}
	for p.canSend(r.cfg.MaxInflight) && (p.probing || p.next <= r.log.lastIndex()) {
		if !r.sendAppend(id, p) {
			return
		}
	}
}

// sendAppend sends one append. If the entry before it is compacted, it sends a snapshot instead and
// returns false.
func (r *Raft) sendAppend(id ID, p *progress) bool {
	prev := p.next - 1
	prevTerm, ok := r.log.term(prev)
	if !ok {
		r.sendSnapshot(id, p)
		return false
	}
	entries := r.log.slice(prev, r.log.lastIndex(), r.cfg.MaxAppendBytes)
	r.send(Message{Type: MsgAppend, To: id, LogIndex: prev, LogTerm: prevTerm,
		Commit: r.log.committed, Entries: entries})
	p.sent(prev + uint64(len(entries)))
	return true
}

// sendSnapshot sends the newest local snapshot, if there is one.
func (r *Raft) sendSnapshot(id ID, p *progress) {
	if r.latestSnapshot == nil {
		return
	}
	p.snapshotIndex, p.snapshotStallTicks = r.latestSnapshot.Index, 0
	p.next = r.latestSnapshot.Index + 1
	p.inflight = nil
	r.send(Message{Type: MsgSnapshot, To: id, Snapshot: r.latestSnapshot})
}

// ReportSnapshotFailed reports that a snapshot did not reach a replica. It is sent again once the
// replica replies to a later heartbeat.
func (r *Raft) ReportSnapshotFailed(id ID) {
	if p := r.progress[id]; p != nil && p.snapshotIndex != 0 {
		p.snapshotLost()
	}
}

// ReportSnapshotProgress reports that the transfer of a snapshot to a replica has progressed. Without
// such a report for Config.SnapshotTimeoutTicks, the snapshot is regarded as lost and sent again.
func (r *Raft) ReportSnapshotProgress(id ID) {
	if p := r.progress[id]; p != nil {
		p.snapshotStallTicks = 0
	}
}

// handleAppend adds the entries of an append to the log and acknowledges them, or rejects the append
// if the log does not contain the entry before them.
func (r *Raft) handleAppend(m Message) {
	if m.LogIndex < r.log.committed {
		r.send(Message{Type: MsgAppendReply, To: m.From, LogIndex: r.log.committed})
		return
	}
	if !r.log.matches(m.LogIndex, m.LogTerm) {
		hint := min(m.LogIndex, r.log.lastIndex())
		hint = r.conflictStart(hint, m.LogTerm)
		hintTerm, _ := r.log.term(hint)
		r.send(Message{Type: MsgAppendReply, To: m.From, Reject: true,
			LogIndex: m.LogIndex, HintIndex: hint, HintTerm: hintTerm})
		return
	}
	r.log.truncateAppend(m.Entries)
	r.revertMembers()
	for _, e := range m.Entries {
		r.adoptMembers(e)
	}
	last := m.LogIndex + uint64(len(m.Entries))
	r.log.commitTo(min(m.Commit, last))
	r.send(Message{Type: MsgAppendReply, To: m.From, LogIndex: last})
}

// conflictStart returns the highest index, up to from, whose entry has at most the given term. It stops
// at the last compacted index.
func (r *Raft) conflictStart(from, term uint64) uint64 {
	for from > r.log.snapIndex {
		t, ok := r.log.term(from)
		if !ok || t <= term {
			return from
		}
		from--
	}
	return from
}

func (r *Raft) handleAppendReply(m Message) {
	p := r.recordContact(m.From)
	if p == nil {
		return
	}
	if m.Reject {
		r.handleAppendReject(m, p)
		return
	}
	advanced := p.acked(m.LogIndex)
	if advanced && r.advanceCommit() {
		r.broadcastAppend()
		r.broadcastCommit()
	}
	if m.From == r.transferTo {
		r.sendTimeoutNow()
	}
	r.sendAppendsIfDue(m.From)
}

// handleAppendReject returns to probing from the entry after the last one that both logs can share,
// according to the hint of the reply. A reply to an older append is ignored.
func (r *Raft) handleAppendReject(m Message, p *progress) {
	stale := m.LogIndex <= p.match || p.probing && m.LogIndex != p.next-1
	if stale {
		return
	}
	next := m.HintIndex + 1
	if t, ok := r.log.term(m.HintIndex); ok && t != m.HintTerm {
		next = r.conflictStart(m.HintIndex, m.HintTerm) + 1
	}
	p.rejected(min(next, m.LogIndex))
	r.sendAppends(m.From)
}

// broadcastCommit sends the new commit index to replicas that have no entries left to receive, without
// waiting for a heartbeat.
func (r *Raft) broadcastCommit() {
	if r.cfg.LazyCommits {
		return
	}
	for _, id := range r.others() {
		p := r.progress[id]
		if p.probing || p.snapshotIndex != 0 || p.next <= r.log.lastIndex() {
			continue
		}
		prev := p.next - 1
		if t, ok := r.log.term(prev); ok {
			r.send(Message{Type: MsgAppend, To: id, LogIndex: prev, LogTerm: t, Commit: r.log.committed})
		}
	}
}

// recordContact records that a replica replied and returns its progress. It returns nil if this
// replica is not the leader or the other one is no member.
func (r *Raft) recordContact(id ID) *progress {
	p := r.progress[id]
	if r.role != Leader || p == nil {
		return nil
	}
	p.recentActive = true
	p.ticksSinceReply = 0
	return p
}

// advanceCommit commits up to the highest index that is durable on a majority of voters and on this
// replica, if its entry is of the current term. It reports whether the commit index has advanced.
func (r *Raft) advanceCommit() bool {
	var durable []uint64
	for _, m := range r.members {
		if !m.Voter {
			continue
		}
		durable = append(durable, r.durableIndex(m.ID))
	}
	if len(durable) == 0 {
		return false
	}
	slices.Sort(durable)
	// A leader commits nothing that is not durable in its own log, so that this log always
	// contains what is applied or covered by a snapshot.
	index := min(durable[(len(durable)-1)/2], r.log.stable)
	if t, ok := r.log.term(index); !ok || t != r.term || index <= r.log.committed {
		return false
	}
	r.log.committed = index
	r.answerConfirmedReads()
	return true
}

// durableIndex returns the highest index known to be durable on a member.
func (r *Raft) durableIndex(id ID) uint64 {
	if id == r.cfg.ID {
		return r.log.stable
	}
	if p := r.progress[id]; p != nil {
		return p.match
	}
	return 0
}

// broadcastHeartbeat sends a heartbeat to the other voters and, if learners is set, to the learners.
// A heartbeat that only confirms reads leaves them out, since reads need a quorum of voters.
func (r *Raft) broadcastHeartbeat(context uint64, learners bool) {
	silent := r.silentMembers()
	for _, id := range r.others() {
		if !learners && !r.isVoter(id) {
			continue
		}
		p := r.progress[id]
		r.send(Message{Type: MsgHeartbeat, To: id, Commit: min(p.match, r.log.committed),
			Context: context, AppendNumber: p.appendsSent, Silent: silent})
	}
}

func (r *Raft) handleHeartbeat(m Message) {
	r.lastContact = leaderContact{leader: m.From, silent: m.Silent}
	r.log.commitTo(m.Commit)
	r.send(Message{Type: MsgHeartbeatReply, To: m.From, Context: m.Context, AppendNumber: m.AppendNumber})
}

func (r *Raft) handleHeartbeatReply(m Message) {
	p := r.recordContact(m.From)
	if p == nil {
		return
	}
	p.heartbeatAcked(m.AppendNumber)
	r.confirmReads(m.From, m.Context)
	r.sendAppends(m.From)
}

// handleSnapshot replaces the log with a received snapshot, unless all entries that the snapshot covers
// are already committed here or the log contains its last entry. It acknowledges the snapshot in any
// case.
func (r *Raft) handleSnapshot(m Message) {
	s := m.Snapshot
	if s == nil {
		return
	}
	if s.Index <= r.log.committed {
		r.send(Message{Type: MsgAppendReply, To: m.From, LogIndex: r.log.committed})
		return
	}
	if r.log.matches(s.Index, s.Term) {
		// The entries after the snapshot may have been acknowledged and must be kept.
		r.log.commitTo(s.Index)
		r.send(Message{Type: MsgAppendReply, To: m.From, LogIndex: s.Index})
		return
	}
	r.log.restore(s)
	r.members = s.Members
	r.memberIndex, r.memberTerm = s.Index, s.Term
	r.memberHistory = nil
	r.pendingSnapshot = s
	r.latestSnapshot = &Snapshot{Index: s.Index, Term: s.Term, Members: s.Members}
	r.send(Message{Type: MsgAppendReply, To: m.From, LogIndex: s.Index})
}

// Compact reports that the owner has made a snapshot durable, and removes the log entries that it
// covers except for the last ones, of at most keepBytes in total. These allow a replica that lags a
// little to catch up without a snapshot. The index, term and members of s come from SnapshotMeta; its
// data is not retained. Errors are ErrNotApplied if s is beyond the last applied index, and
// ErrCompacted if a snapshot that is as new or newer was received or reported in the meantime.
func (r *Raft) Compact(s *Snapshot, keepBytes int) error {
	if s.Index > r.log.applied {
		return ErrNotApplied
	}
	if r.latestSnapshot != nil && s.Index <= r.latestSnapshot.Index {
		return ErrCompacted
	}
	r.latestSnapshot = &Snapshot{Index: s.Index, Term: s.Term, Members: s.Members}
	r.log.compact(r.log.compactionIndex(s.Index, keepBytes))
	return nil
}

// SnapshotMeta returns the snapshot, without data, at an applied index that is still in the log. It
// returns ErrCompacted for an index that is not.
func (r *Raft) SnapshotMeta(index uint64) (Snapshot, error) {
	t, ok := r.log.term(index)
	if !ok {
		return Snapshot{}, ErrCompacted
	}
	return Snapshot{Index: index, Term: t, Members: r.membersAt(index)}, nil
}
