package raft

import "slices"

// syncProgress makes the leader's view cover exactly the other members.
func (r *Raft) syncProgress() {
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

// others returns the other members in the order of the membership.
func (r *Raft) others() []ID {
	ids := make([]ID, 0, len(r.members))
	for _, m := range r.members {
		if m.ID != r.cfg.ID {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

func (r *Raft) broadcastAppend() {
	for _, id := range r.others() {
		r.sendAppendsIfDue(id)
	}
}

// sendAppendsIfDue sends entries to voters, and to learners that are far behind. Others
// get theirs when they next answer a heartbeat.
func (r *Raft) sendAppendsIfDue(id ID) {
	p := r.progress[id]
	if p != nil && !p.probing && !r.isVoter(id) && p.next+r.cfg.LearnerLag > r.log.lastIndex() {
		return
	}
	r.sendAppends(id)
}

// sendAppends sends entries to one replica as far as flow control allows. A probe goes out
// even without entries, so that a replica that was just added is reached.
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

func (r *Raft) sendSnapshot(id ID, p *progress) {
	if r.latest == nil {
		return
	}
	p.snapshotAt, p.snapshotTicks = r.latest.Index, 0
	p.next = r.latest.Index + 1
	p.inflight = nil
	r.send(Message{Type: MsgSnapshot, To: id, Snapshot: r.latest})
}

// ReportSnapshotFailed tells that a snapshot did not reach a replica; it is sent again
// once the replica shows a sign of life.
func (r *Raft) ReportSnapshotFailed(id ID) {
	if p := r.progress[id]; p != nil && p.snapshotAt != 0 {
		p.snapshotLost()
	}
}

// ReportSnapshotProgress tells that a snapshot on its way to a replica made headway.
// Without it a snapshot counts as lost after Config.SnapshotTicks.
func (r *Raft) ReportSnapshotProgress(id ID) {
	if p := r.progress[id]; p != nil {
		p.snapshotTicks = 0
	}
}

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
	r.undoMembers()
	for _, e := range m.Entries {
		r.adoptMembers(e)
	}
	last := m.LogIndex + uint64(len(m.Entries))
	r.log.commitTo(min(m.Commit, last))
	r.send(Message{Type: MsgAppendReply, To: m.From, LogIndex: last})
}

// conflictStart returns the highest index up to from whose term is at most term.
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
	p := r.touch(m.From)
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

// broadcastCommit tells idle replicas the new commit index without waiting for a heartbeat.
func (r *Raft) broadcastCommit() {
	if r.cfg.LazyCommits {
		return
	}
	for _, id := range r.others() {
		p := r.progress[id]
		if p.probing || p.snapshotAt != 0 || p.next <= r.log.lastIndex() {
			continue
		}
		prev := p.next - 1
		if t, ok := r.log.term(prev); ok {
			r.send(Message{Type: MsgAppend, To: id, LogIndex: prev, LogTerm: t, Commit: r.log.committed})
		}
	}
}

// touch records a sign of life of a replica and returns its progress, or nil if we don't lead it.
func (r *Raft) touch(id ID) *progress {
	p := r.progress[id]
	if r.role != Leader || p == nil {
		return nil
	}
	p.recentActive = true
	p.silentTicks = 0
	return p
}

// advanceCommit commits the highest index of this term that a majority holds durably.
func (r *Raft) advanceCommit() bool {
	var held []uint64
	for _, m := range r.members {
		if !m.Voter {
			continue
		}
		held = append(held, r.durableAt(m.ID))
	}
	if len(held) == 0 {
		return false
	}
	slices.Sort(held)
	// Nothing is committed here before it is durable here: what is applied, or covered by a
	// snapshot, is always in the own log.
	index := min(held[(len(held)-1)/2], r.log.stable)
	if t, ok := r.log.term(index); !ok || t != r.term || index <= r.log.committed {
		return false
	}
	r.log.committed = index
	r.releaseReads()
	return true
}

func (r *Raft) durableAt(id ID) uint64 {
	if id == r.cfg.ID {
		return r.log.stable
	}
	if p := r.progress[id]; p != nil {
		return p.match
	}
	return 0
}

// broadcastHeartbeat sends a heartbeat to the other voters, and to the learners too if it is not
// only for reads, which need a quorum.
func (r *Raft) broadcastHeartbeat(context uint64, learners bool) {
	for _, id := range r.others() {
		if !learners && !r.isVoter(id) {
			continue
		}
		p := r.progress[id]
		r.send(Message{Type: MsgHeartbeat, To: id, Commit: min(p.match, r.log.committed),
			Context: context, Number: p.sends})
	}
}

func (r *Raft) handleHeartbeat(m Message) {
	r.log.commitTo(m.Commit)
	r.send(Message{Type: MsgHeartbeatReply, To: m.From, Context: m.Context, Number: m.Number})
}

func (r *Raft) handleHeartbeatReply(m Message) {
	p := r.touch(m.From)
	if p == nil {
		return
	}
	p.heartbeatAcked(m.Number)
	r.confirmReads(m.From, m.Context)
	r.sendAppends(m.From)
}

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
		// The entries after the snapshot may have been acknowledged; they stay.
		r.log.commitTo(s.Index)
		r.send(Message{Type: MsgAppendReply, To: m.From, LogIndex: s.Index})
		return
	}
	r.log.restore(s)
	r.members = s.Members
	r.memberIndex, r.memberTerm = s.Index, s.Term
	r.history = nil
	r.pendSnap = s
	r.latest = &Snapshot{Index: s.Index, Term: s.Term, Members: s.Members}
	r.send(Message{Type: MsgAppendReply, To: m.From, LogIndex: s.Index})
}

// Compact tells that the owner has made a snapshot durable, and drops the log up to it
// but for about keepBytes of entry data, which spare replicas that lag a little a whole
// snapshot. The snapshot's position and members come from SnapshotMeta; its data is not
// kept. ErrCompacted means that a newer snapshot has come in since.
func (r *Raft) Compact(s *Snapshot, keepBytes int) error {
	if s.Index > r.log.applied {
		return ErrNotApplied
	}
	if r.latest != nil && s.Index <= r.latest.Index {
		return ErrCompacted
	}
	r.latest = &Snapshot{Index: s.Index, Term: s.Term, Members: s.Members}
	r.log.compact(r.log.tailStart(s.Index, keepBytes))
	return nil
}

// SnapshotMeta returns a snapshot without data at an applied index that is still in the log.
func (r *Raft) SnapshotMeta(index uint64) (Snapshot, error) {
	t, ok := r.log.term(index)
	if !ok {
		return Snapshot{}, ErrCompacted
	}
	return Snapshot{Index: index, Term: t, Members: r.membersAt(index)}, nil
}
