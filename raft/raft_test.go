package raft

import (
	"testing"

	"github.com/pkg/errors"
)

// entriesOfTerms returns consecutive entries from index first on, one for each term.
func entriesOfTerms(first uint64, terms ...uint64) []Entry {
	var out []Entry
	for i, term := range terms {
		out = append(out, Entry{Index: first + uint64(i), Term: term, Data: []byte{byte(term)}})
	}
	return out
}

// follower returns replica 1 of three voters in the given term. Its log has one entry for each of
// terms, from index 2 on.
func follower(t *testing.T, term uint64, terms ...uint64) *Raft {
	t.Helper()
	r, err := New(testConfig(1, 1), DurableState{HardState: HardState{Term: term, Commit: 1},
		Snapshot: Snapshot{Index: 1, Term: 1, Members: testMembers(3, 0)}, Entries: entriesOfTerms(2, terms...)})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// drainReady returns the pending messages of a replica and advances it past its pending work.
func drainReady(r *Raft) []Message {
	rd := r.Ready()
	r.Advance(rd)
	return append(rd.Early, rd.Messages...)
}

// isolate returns a drop function for a network partition that cuts off one replica.
func isolate(id ID) func(Message) bool {
	return func(m Message) bool { return m.From == id || m.To == id }
}

func TestVotes(t *testing.T) {
	for name, c := range map[string]struct {
		before []Message
		m      Message
		silent bool
		reject bool
	}{
		"longer log":     {m: Message{Type: MsgVote, Term: 3, LogIndex: 4, LogTerm: 2}},
		"equal log":      {m: Message{Type: MsgVote, Term: 3, LogIndex: 3, LogTerm: 2}},
		"newer last":     {m: Message{Type: MsgVote, Term: 3, LogIndex: 1, LogTerm: 3}},
		"shorter log":    {m: Message{Type: MsgVote, Term: 3, LogIndex: 2, LogTerm: 2}, reject: true},
		"older last":     {m: Message{Type: MsgVote, Term: 3, LogIndex: 9, LogTerm: 1}, reject: true},
		"older term":     {m: Message{Type: MsgVote, Term: 1, LogIndex: 9, LogTerm: 9}, silent: true},
		"pre-vote":       {m: Message{Type: MsgPreVote, Term: 3, LogIndex: 3, LogTerm: 2}},
		"stale pre-vote": {m: Message{Type: MsgPreVote, Term: 2, LogIndex: 3, LogTerm: 2}, reject: true},
		"voted already": {before: []Message{{Type: MsgVote, From: 3, Term: 3, LogIndex: 3, LogTerm: 2}},
			m: Message{Type: MsgVote, Term: 3, LogIndex: 3, LogTerm: 2}, reject: true},
		"voted for it": {before: []Message{{Type: MsgVote, From: 2, Term: 3, LogIndex: 3, LogTerm: 2}},
			m: Message{Type: MsgVote, Term: 3, LogIndex: 3, LogTerm: 2}},
		"live leader": {before: []Message{{Type: MsgHeartbeat, From: 3, Term: 2}},
			m: Message{Type: MsgVote, Term: 3, LogIndex: 9, LogTerm: 2}, silent: true},
		"pre-vote with a live leader": {before: []Message{{Type: MsgHeartbeat, From: 3, Term: 2}},
			m: Message{Type: MsgPreVote, Term: 3, LogIndex: 9, LogTerm: 2}, silent: true},
		"transfer from a live leader": {before: []Message{{Type: MsgHeartbeat, From: 3, Term: 2}},
			m: Message{Type: MsgVote, Term: 3, LogIndex: 3, LogTerm: 2, Context: 1}},
	} {
		r := follower(t, 2, 2, 2)
		for _, m := range c.before {
			m.To = 1
			r.Step(m)
		}
		drainReady(r)
		c.m.From, c.m.To = 2, 1
		r.Step(c.m)
		replies := drainReady(r)
		if c.silent != (len(replies) == 0) || !c.silent && replies[0].Reject != c.reject {
			t.Errorf("%s: replies %+v", name, replies)
		}
	}
}

func TestAppends(t *testing.T) {
	for name, c := range map[string]struct {
		m         Message
		reject    bool
		index     uint64
		hint      uint64
		lastIndex uint64
		committed uint64
	}{
		"follows":            {m: Message{LogIndex: 4, LogTerm: 3, Entries: entriesOfTerms(5, 5), Commit: 4}, index: 5, lastIndex: 5, committed: 4},
		"repeated":           {m: Message{LogIndex: 1, LogTerm: 1, Entries: entriesOfTerms(2, 2)}, index: 2, lastIndex: 4, committed: 1},
		"replaces a suffix":  {m: Message{LogIndex: 2, LogTerm: 2, Entries: entriesOfTerms(3, 5)}, index: 3, lastIndex: 3, committed: 1},
		"commit is bounded":  {m: Message{LogIndex: 2, LogTerm: 2, Commit: 4}, index: 2, lastIndex: 4, committed: 2},
		"gap":                {m: Message{LogIndex: 9, LogTerm: 5}, reject: true, index: 9, hint: 4, lastIndex: 4, committed: 1},
		"conflict skips":     {m: Message{LogIndex: 4, LogTerm: 2}, reject: true, index: 4, hint: 2, lastIndex: 4, committed: 1},
		"before the commit":  {m: Message{LogIndex: 0, LogTerm: 0}, index: 1, lastIndex: 4, committed: 1},
		"stale before a log": {m: Message{LogIndex: 4, LogTerm: 3, Entries: nil}, index: 4, lastIndex: 4, committed: 1},
	} {
		r := follower(t, 5, 2, 3, 3)
		c.m.Type, c.m.From, c.m.To, c.m.Term = MsgAppend, 2, 1, 5
		r.Step(c.m)
		m := drainReady(r)[0]
		if m.Reject != c.reject || m.LogIndex != c.index || m.HintIndex != c.hint ||
			r.LastIndex() != c.lastIndex || r.Committed() != c.committed {
			t.Errorf("%s: reply %+v, last %d, committed %d", name, m, r.LastIndex(), r.Committed())
		}
	}
}

func TestRestoreTakesTermOfTornWrite(t *testing.T) {
	r := follower(t, 2, 2, 3)
	if r.Term() != 3 {
		t.Errorf("term %d for a log whose last entry has term 3", r.Term())
	}
}

func TestPartitionedFollowerDoesNotDisturb(t *testing.T) {
	g := newSimGroup(t, 1, testMembers(3, 0))
	leader := g.elect(1)
	term := leader.Term()
	g.drop = isolate(3)
	g.tickAll(10 * testElectionTicks)
	g.drop = nil
	g.tickAll(testElectionTicks)
	if leader.Role() != Leader || leader.Term() != term {
		t.Errorf("role %s in term %d, want the leader of term %d", leader.Role(), leader.Term(), term)
	}
}

// TestSimultaneousCandidates checks that the lower ID wins, without a split vote, when the election
// timeouts of two of three replicas expire in the same tick and the third replica is down.
func TestSimultaneousCandidates(t *testing.T) {
	g := newSimGroup(t, 17, testMembers(3, 0))
	g.nodes[1].down = true
	for _, id := range []ID{3, 2} {
		for g.nodes[id].Role() != PreCandidate {
			g.nodes[id].Tick()
		}
		g.processReady(id)
	}
	g.deliverAll()
	if g.nodes[2].Role() != Leader {
		t.Errorf("replica 2 is %s, replica 3 is %s", g.nodes[2].Role(), g.nodes[3].Role())
	}
}

func TestCutOffLeaderStepsDown(t *testing.T) {
	g := newSimGroup(t, 2, testMembers(3, 0))
	old := g.elect(1)
	g.drop = isolate(1)
	g.tick(1, 2*testElectionTicks)
	if old.Role() == Leader {
		t.Error("still the leader without a quorum")
	}
	if _, err := old.Propose([]byte("x")); !errors.Is(err, ErrNotLeader) {
		t.Errorf("proposal to a former leader: %v, want ErrNotLeader", err)
	}
	g.tickAll(4 * testElectionTicks)
	if g.nodes[2].Role() != Leader && g.nodes[3].Role() != Leader {
		t.Error("no other replica became the leader")
	}
}

// TestPausedLeaderReadsNothing requests a read on a former leader that did not notice the election of
// another one. The read must not be answered, since it could be stale.
func TestPausedLeaderReadsNothing(t *testing.T) {
	g := newSimGroup(t, 3, testMembers(3, 0))
	old := g.elect(1)
	g.drop = isolate(1)
	for range 5 * testElectionTicks {
		g.tick(2, 1)
		g.tick(3, 1)
	}
	g.drop = nil
	if err := old.ReadIndex(7); err != nil {
		t.Fatal(err)
	}
	g.processReady(1)
	g.deliverAll()
	if len(old.reads) != 0 || old.Role() == Leader {
		t.Errorf("former leader: answered reads %v, role %s", old.reads, old.Role())
	}
}

func TestReadWaitsForCommitOfOwnTerm(t *testing.T) {
	g := newSimGroup(t, 4, testMembers(3, 0))
	g.drop = func(m Message) bool { return m.Type == MsgAppendReply }
	leader := g.elect(1)
	if err := leader.ReadIndex(7); err != nil {
		t.Fatal(err)
	}
	g.processReady(1)
	g.deliverAll()
	if len(leader.reads) != 0 {
		t.Fatalf("read answered before an entry of this term is committed: %v", leader.reads)
	}
	g.drop = nil
	g.tickAll(2 * testHeartbeatTicks)
	if len(leader.reads) != 1 || leader.reads[0].Context != 7 || leader.reads[0].Index != leader.Committed() {
		t.Errorf("reads %v, committed %d", leader.reads, leader.Committed())
	}
}

// TestReadsShareRounds requests 50 reads while heartbeats are in flight. All are answered in order
// after two rounds of heartbeats, one for the first read and one for the rest. If the first round is
// lost, the second confirms all of them.
func TestReadsShareRounds(t *testing.T) {
	for name, c := range map[string]struct {
		lose       bool
		heartbeats int
	}{"whole": {false, 4}, "first round lost": {true, 4}} {
		g := newSimGroup(t, 18, testMembers(3, 0))
		leader := g.elect(1)
		heartbeats := 0
		g.drop = func(m Message) bool {
			if m.Type == MsgHeartbeat {
				heartbeats++
			}
			return c.lose && m.Type == MsgHeartbeat && heartbeats <= 2
		}
		for i := range uint64(50) {
			if err := leader.ReadIndex(i); err != nil {
				t.Fatal(err)
			}
			g.processReady(1)
		}
		g.deliverAll()
		if c.lose {
			g.tick(1, testHeartbeatTicks)
		}
		if len(leader.reads) != 50 || leader.reads[0].Context != 0 || leader.reads[49].Context != 49 || heartbeats != c.heartbeats {
			t.Errorf("%s: %d reads answered with %d heartbeats", name, len(leader.reads), heartbeats)
		}
	}
}

// TestOldTermsCommitOnlyWithTheNew checks that an entry of an older term that is on a quorum is
// committed only together with an entry of the current term. Otherwise a later leader could still
// overwrite it.
func TestOldTermsCommitOnlyWithTheNew(t *testing.T) {
	g := newSimGroup(t, 5, testMembers(3, 0))
	for _, id := range []ID{1, 2} {
		g.nodes[id].disk.Entries = entriesOfTerms(2, 2)
		g.nodes[id].disk.HardState = HardState{Term: 2, Commit: 1}
		g.restart(id)
	}
	g.drop = func(m Message) bool { return m.Type == MsgAppend && len(m.Entries) > 0 }
	leader := g.elect(1)
	g.tick(1, testHeartbeatTicks)
	leader.Step(Message{Type: MsgAppendReply, From: 2, To: 1, Term: leader.Term(), LogIndex: 2})
	if leader.Committed() != 1 {
		t.Fatal("an entry of an older term was committed by counting replicas")
	}
	leader.Step(Message{Type: MsgAppendReply, From: 2, To: 1, Term: leader.Term(), LogIndex: 3})
	if leader.Committed() != 3 {
		t.Errorf("committed %d, want 3", leader.Committed())
	}
}

// TestLeaderCountsItselfAfterItsSync checks that an entry which the follower acknowledges before the
// leader's own sync is committed only after that sync.
func TestLeaderCountsItselfAfterItsSync(t *testing.T) {
	g := newSimGroup(t, 6, testMembers(2, 0))
	leader := g.elect(1)
	before := leader.Committed()
	index, err := leader.Propose([]byte("x"))
	if err != nil {
		t.Fatal(err)
	}
	rd := leader.Ready()
	if len(rd.Early) != 1 || rd.Early[0].Type != MsgAppend {
		t.Fatalf("messages before the sync %+v, want one append", rd.Early)
	}
	leader.Step(Message{Type: MsgAppendReply, From: 2, To: 1, Term: leader.Term(), LogIndex: index})
	if leader.Committed() != before {
		t.Fatal("committed before the leader's own sync")
	}
	leader.Advance(rd)
	if leader.Committed() != index {
		t.Errorf("committed %d, want %d", leader.Committed(), index)
	}
}

// TestNewTermIsDurableBeforeItsEntriesTravel elects the only voter of a group, which votes for itself
// and becomes the leader in one step. Its entries must not be sent before the new term is durable.
func TestNewTermIsDurableBeforeItsEntriesTravel(t *testing.T) {
	g := newSimGroup(t, 7, testMembers(1, 1))
	r := g.nodes[1].Raft
	for r.Role() != Leader {
		r.Tick()
	}
	if rd := r.Ready(); len(rd.Early) != 0 || len(rd.Messages) == 0 || !rd.MustSync {
		t.Errorf("messages before the sync %+v, after it %+v", rd.Early, rd.Messages)
	}
}

// TestSnapshotToLaggingFollower drops the first snapshot without a report of the failure, and expects
// the leader to send it again after the snapshot timeout.
func TestSnapshotToLaggingFollower(t *testing.T) {
	g := newSimGroup(t, 14, testMembers(3, 0))
	leader := g.elect(1)
	g.drop = isolate(3)
	for range 10 {
		g.propose(1, "x")
	}
	g.snapshot(1, 0)
	snapshots := 0
	g.drop = func(m Message) bool {
		if m.Type == MsgSnapshot {
			snapshots++
		}
		return m.Type == MsgSnapshot && snapshots == 1
	}
	g.tickAll(defaultSnapshotElectionTimeouts*testElectionTicks + 2*testHeartbeatTicks)
	if snapshots != 2 || g.nodes[3].Committed() != leader.Committed() {
		t.Errorf("%d snapshots sent, follower at %d of %d", snapshots, g.nodes[3].Committed(), leader.Committed())
	}
}

// TestCompactionKeepsATail checks that a replica catches up without a snapshot if it lags by fewer
// entries than compaction retains.
func TestCompactionKeepsATail(t *testing.T) {
	g := newSimGroup(t, 15, testMembers(3, 0))
	g.elect(1)
	g.drop = isolate(3)
	for range 10 {
		g.propose(1, "x")
	}
	g.snapshot(1, 100*entryOverheadBytes)
	g.drop = func(m Message) bool { return m.Type == MsgSnapshot }
	g.tickAll(testElectionTicks)
	if g.nodes[3].Committed() != g.nodes[1].Committed() {
		t.Errorf("follower at %d of %d without a snapshot", g.nodes[3].Committed(), g.nodes[1].Committed())
	}
}

// TestSnapshotOfHeldEntriesKeepsTheRest sends a follower a snapshot whose last entry its log already
// contains. The entries after it must be kept.
func TestSnapshotOfHeldEntriesKeepsTheRest(t *testing.T) {
	r := follower(t, 2, 2, 2, 2)
	r.Step(Message{Type: MsgSnapshot, From: 2, To: 1, Term: 2, Snapshot: &Snapshot{Index: 3, Term: 2}})
	if r.LastIndex() != 4 || r.Committed() != 3 || r.Ready().Snapshot != nil {
		t.Errorf("log ends at %d, committed %d", r.LastIndex(), r.Committed())
	}
}

// TestOnlyLostAppendsAreSentAgain pipelines appends with heartbeats between them. Appends in flight
// must not be sent again, and a lost one must.
func TestOnlyLostAppendsAreSentAgain(t *testing.T) {
	for name, c := range map[string]struct {
		lose bool
		sent int
	}{"in flight": {false, 3}, "lost": {true, 4}} {
		g := newSimGroup(t, 16, testMembers(2, 0))
		leader := g.elect(1)
		appends := 0
		g.drop = func(m Message) bool {
			full := m.Type == MsgAppend && len(m.Entries) > 0
			if full {
				appends++
			}
			return full && c.lose && appends == 1
		}
		for range 3 {
			for range testHeartbeatTicks {
				leader.Tick()
			}
			if _, err := leader.Propose([]byte("x")); err != nil {
				t.Fatal(err)
			}
			g.processReady(1)
		}
		g.deliverAll()
		if appends != c.sent || g.nodes[2].LastIndex() != leader.LastIndex() {
			t.Errorf("%s: %d appends for 3 entries, follower at %d of %d", name, appends, g.nodes[2].LastIndex(), leader.LastIndex())
		}
	}
}
