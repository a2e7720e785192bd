package raft

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
)

const (
	testElectionTicks  = 10
	testHeartbeatTicks = 2
)

// appliedEntry identifies an entry that was applied, and the state after it.
type appliedEntry struct {
	term      uint64
	stateHash uint64
}

// simNode is a replica with a simulated disk, which preserves what was synced.
type simNode struct {
	*Raft
	disk      Restored
	stateHash uint64
	reads     []ReadState
	down      bool
	// pendingWrite is the Ready of a leader whose entries are being written to the disk, or nil.
	pendingWrite *Ready
}

// simGroup is a group of replicas on a simulated network that may lose messages.
type simGroup struct {
	t     *testing.T
	rng   *rand.Rand
	seed  uint64
	nodes map[ID]*simNode
	ids   []ID
	queue []Message
	// drop reports whether a message is lost when it is sent. If it is nil, none is.
	drop func(Message) bool
	// asyncWrites makes the writes of leaders end after a delay. fewerMessages sets LazyCommits and
	// LearnerLag in the Config of all replicas.
	asyncWrites, fewerMessages bool
	// crashOnWrite is the node that crashes in the middle of its next write, or None.
	crashOnWrite ID

	// leaders holds the leader of each term, applied the entry at each index that any replica has
	// applied, and highestApplied the last of these indexes.
	leaders        map[uint64]ID
	applied        map[uint64]appliedEntry
	highestApplied uint64
}

// testMembers returns members with IDs from 1 on, the voters first.
func testMembers(voters, learners int) []Member {
	var out []Member
	for i := range voters + learners {
		out = append(out, Member{ID: ID(i + 1), Voter: i < voters})
	}
	return out
}

func newSimGroup(t *testing.T, seed uint64, members []Member) *simGroup {
	g := &simGroup{t: t, rng: rand.New(rand.NewPCG(seed, 1)), seed: seed, nodes: make(map[ID]*simNode),
		leaders: make(map[uint64]ID), applied: make(map[uint64]appliedEntry)}
	for _, m := range members {
		g.add(m.ID, Restored{HardState: HardState{Term: 1, Commit: 1}, Snapshot: Snapshot{Index: 1, Term: 1, Members: members}})
	}
	return g
}

func (g *simGroup) add(id ID, disk Restored) {
	g.nodes[id] = &simNode{disk: disk}
	g.ids = append(g.ids, id)
	g.restart(id)
}

func testConfig(id ID, seed uint64) Config {
	return Config{ID: id, ElectionTicks: testElectionTicks, HeartbeatTicks: testHeartbeatTicks,
		MaxInflight: 4, MaxAppendBytes: 64, Seed: seed}
}

// restart starts a node from its disk, as after a crash.
func (g *simGroup) restart(id ID) {
	n := g.nodes[id]
	g.seed++
	disk := n.disk
	disk.Entries = slices.Clone(disk.Entries)
	cfg := testConfig(id, g.seed)
	if g.fewerMessages {
		cfg.LazyCommits, cfg.LearnerLag = true, 3
	}
	n.pendingWrite = nil
	r, err := New(cfg, disk)
	if err != nil {
		g.t.Fatal(err)
	}
	n.Raft, n.down, n.stateHash = r, false, decodeStateHash(disk.Snapshot.Data)
	g.processReady(id)
}

func decodeStateHash(data []byte) uint64 {
	if len(data) == 0 {
		return 0
	}
	return binary.LittleEndian.Uint64(data)
}

// persist writes a Ready to the disk as package wal does. A torn write preserves only a prefix of its
// entries.
func (n *simNode) persist(rd Ready, torn bool, rng *rand.Rand) {
	if rd.Snapshot != nil {
		n.disk.Snapshot, n.disk.Entries = *rd.Snapshot, nil
	}
	entries := rd.Entries
	if torn {
		entries = entries[:rng.IntN(len(entries)+1)]
	}
	for _, e := range entries {
		keep := e.Index - n.disk.Snapshot.Index - 1
		n.disk.Entries = append(n.disk.Entries[:keep:keep], e)
	}
	if rd.MustSync && !torn {
		n.disk.HardState = rd.HardState
	}
}

// processReady does the work of a node's Ready until there is none left or the node crashes.
func (g *simGroup) processReady(id ID) {
	n := g.nodes[id]
	for !n.down && n.HasReady() {
		if n.pendingWrite != nil && !n.Leads(n.pendingWrite.Term) {
			n.finishWrite(g.rng)
		}
		rd := n.Ready()
		g.send(rd.Early)
		if g.crashOnWrite == id && rd.MustSync {
			n.persist(rd, true, g.rng)
			n.down, g.crashOnWrite = true, None
			return
		}
		overlaps := rd.Overlaps && g.asyncWrites
		if overlaps {
			n.pendingWrite = &rd
		} else {
			n.persist(rd, false, g.rng)
		}
		g.send(rd.Messages)
		g.checkLeader(id, rd)
		if rd.Snapshot != nil {
			n.stateHash = decodeStateHash(rd.Snapshot.Data)
		}
		g.apply(n, rd.Committed)
		n.reads = append(n.reads, rd.Reads...)
		if overlaps {
			n.AdvanceWriting(rd)
		} else {
			n.Advance(rd)
		}
	}
}

// finishWrite completes the write that is in progress, if any.
func (n *simNode) finishWrite(rng *rand.Rand) {
	if n.pendingWrite != nil {
		n.persist(*n.pendingWrite, false, rng)
		n.pendingWrite = nil
		n.Written()
	}
}

// crash stops a node. A write that is in progress is torn.
func (g *simGroup) crash(n *simNode) {
	if n.pendingWrite != nil {
		n.persist(*n.pendingWrite, true, g.rng)
	}
	n.down = true
}

// checkLeader fails unless a term has at most one leader (election safety) whose log contains all
// entries applied so far (leader completeness).
func (g *simGroup) checkLeader(id ID, rd Ready) {
	if rd.Role != Leader {
		return
	}
	if other, ok := g.leaders[rd.Term]; ok {
		if other != id {
			g.t.Fatalf("term %d has leaders %d and %d", rd.Term, other, id)
		}
		return
	}
	g.leaders[rd.Term] = id
	n := g.nodes[id]
	for i := n.log.snapIndex + 1; i <= g.highestApplied; i++ {
		if at, known := g.applied[i]; known && !n.log.matches(i, at.term) {
			g.t.Fatalf("leader %d of term %d lacks committed entry %d", id, rd.Term, i)
		}
	}
}

// apply applies entries, and fails if another node applied another entry at the same index or after
// other entries (state machine safety).
func (g *simGroup) apply(n *simNode, entries []Entry) {
	for _, e := range entries {
		h := fnv.New64a()
		_ = binary.Write(h, binary.LittleEndian, []uint64{n.stateHash, e.Index, e.Term})
		_, _ = h.Write(e.Data)
		n.stateHash = h.Sum64()
		at := appliedEntry{e.Term, n.stateHash}
		if old, ok := g.applied[e.Index]; ok && old != at {
			g.t.Fatalf("replicas applied different entries at index %d: %+v and %+v", e.Index, old, at)
		}
		g.applied[e.Index] = at
		g.highestApplied = max(g.highestApplied, e.Index)
	}
}

// send adds messages to the network, except those that are lost. Snapshots get the data of the sender's
// disk.
func (g *simGroup) send(messages []Message) {
	for _, m := range messages {
		if g.drop != nil && g.drop(m) {
			continue
		}
		if m.Type == MsgSnapshot {
			s := g.nodes[m.From].disk.Snapshot
			m.Snapshot = &s
		}
		m.Entries = slices.Clone(m.Entries)
		g.queue = append(g.queue, m)
	}
}

// deliver delivers the message at index i of the queue.
func (g *simGroup) deliver(i int) {
	m := g.queue[i]
	g.queue = slices.Delete(g.queue, i, i+1)
	if n := g.nodes[m.To]; n != nil && !n.down {
		n.Step(m)
		g.processReady(m.To)
	}
}

// deliverAll delivers messages in order, including replies, until none is left.
func (g *simGroup) deliverAll() {
	for len(g.queue) > 0 {
		g.deliver(0)
	}
}

// tick advances the time of one node and delivers all messages after each tick.
func (g *simGroup) tick(id ID, ticks int) {
	for range ticks {
		if n := g.nodes[id]; !n.down {
			n.Tick()
			g.processReady(id)
			g.deliverAll()
		}
	}
}

func (g *simGroup) tickAll(ticks int) {
	for range ticks {
		for _, id := range g.ids {
			g.tick(id, 1)
		}
	}
}

// elect advances the time of one node until it is the leader.
func (g *simGroup) elect(id ID) *simNode {
	g.t.Helper()
	for range 20 * testElectionTicks {
		if g.nodes[id].Role() == Leader {
			return g.nodes[id]
		}
		g.tick(id, 1)
	}
	g.t.Fatalf("replica %d was not elected", id)
	return nil
}

func (g *simGroup) propose(id ID, data string) {
	g.t.Helper()
	if _, err := g.nodes[id].Propose([]byte(data)); err != nil {
		g.t.Fatal(err)
	}
	g.processReady(id)
	g.deliverAll()
}

// snapshot takes a snapshot of a node at its last applied index and compacts its log.
func (g *simGroup) snapshot(id ID, keepBytes int) {
	n := g.nodes[id]
	s, err := n.SnapshotMeta(n.log.applied)
	if err != nil || s.Index <= n.disk.Snapshot.Index {
		return
	}
	s.Data = binary.LittleEndian.AppendUint64(nil, n.stateHash)
	n.disk.Entries = slices.Clone(n.disk.Entries[s.Index-n.disk.Snapshot.Index:])
	n.disk.Snapshot = s
	if err := n.Compact(&s, keepBytes); err != nil {
		g.t.Fatal(err)
	}
}

// checkLogMatching fails if two logs agree at an index and differ before it (log matching).
func (g *simGroup) checkLogMatching() {
	for i, a := range g.ids {
		for _, b := range g.ids[i+1:] {
			x, y := &g.nodes[a].log, &g.nodes[b].log
			agree := false
			for k := min(x.lastIndex(), y.lastIndex()); k > max(x.snapIndex, y.snapIndex); k-- {
				tx, _ := x.term(k)
				same := y.matches(k, tx)
				if agree && !same {
					g.t.Fatalf("logs of %d and %d agree after they differ at %d", a, b, k)
				}
				agree = same
			}
		}
	}
}

// randomStep does one random step: mostly the delivery of a message or the passing of time, sometimes
// a request or a fault.
func (g *simGroup) randomStep() {
	id := g.ids[g.rng.IntN(len(g.ids))]
	n := g.nodes[id]
	switch p := g.rng.IntN(1000); {
	case p < 700:
		g.randomNetworkStep(p)
	case p < 703:
		g.crash(n)
	case p < 706:
		g.crashOnWrite = id
	case p < 740 && n.down:
		g.restart(id)
	case n.down:
	case p < 745:
		n.finishWrite(g.rng)
		g.snapshot(id, g.rng.IntN(200))
	case p < 748:
		_ = n.TransferLeadership(g.ids[g.rng.IntN(len(g.ids))])
	case p < 752:
		_, _ = n.ProposeMembers(g.randomChange(n.Members()))
	case p < 800:
		_, _ = n.Propose([]byte(fmt.Sprint("command ", g.rng.Uint32())))
	case p < 810:
		_ = n.ReadIndex(g.rng.Uint64())
	case p < 900:
		n.finishWrite(g.rng)
	default:
		n.Tick()
	}
	if !n.down {
		g.processReady(id)
	}
}

// randomNetworkStep takes one of the oldest messages, out of order, and mostly delivers it, but drops or
// duplicates some.
func (g *simGroup) randomNetworkStep(p int) {
	if len(g.queue) == 0 {
		return
	}
	i := g.rng.IntN(min(len(g.queue), 8))
	switch {
	case p < 20:
		g.queue = slices.Delete(g.queue, i, i+1)
	case p < 40:
		g.queue = append(g.queue, g.queue[i])
	default:
		g.deliver(i)
	}
}

// randomChange adds or removes one replica, or makes it a voter or a learner.
func (g *simGroup) randomChange(members []Member) []Member {
	id := g.ids[g.rng.IntN(len(g.ids))]
	i := slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
	switch {
	case i < 0:
		return append(members, Member{ID: id, Voter: g.rng.IntN(2) == 0})
	case g.rng.IntN(2) == 0:
		return slices.Delete(members, i, i+1)
	}
	members[i].Voter = !members[i].Voter
	return members
}

// TestSafetyUnderFaults runs seeded random schedules of message loss, duplication and reordering, and of
// crashes with torn writes. It checks the safety properties of Raft throughout, and that the group
// makes progress again once the faults are over.
func TestSafetyUnderFaults(t *testing.T) {
	for seed := range uint64(300) {
		t.Log("seed", seed)
		g := newSimGroup(t, seed, testMembers(3, 2))
		g.asyncWrites, g.fewerMessages = seed%2 == 1, seed%4 > 1
		for _, id := range g.ids {
			g.restart(id)
		}
		for step := range 10_000 {
			g.randomStep()
			if step%200 == 0 {
				g.checkLogMatching()
			}
		}
		g.checkRecovery()
	}
}

// checkRecovery ends all faults and fails unless a command is applied on every member afterwards.
func (g *simGroup) checkRecovery() {
	g.t.Helper()
	g.deliverAll()
	g.crashOnWrite, g.asyncWrites = None, false
	for _, id := range g.ids {
		if g.nodes[id].down {
			g.restart(id)
		}
		g.nodes[id].finishWrite(g.rng)
		g.processReady(id)
	}
	for range 100 {
		g.tickAll(testElectionTicks)
		for _, id := range g.ids {
			n := g.nodes[id]
			if n.Role() != Leader || n.memberIndex > n.log.committed {
				continue
			}
			first, err := n.Propose([]byte("final"))
			if err != nil {
				continue
			}
			g.processReady(id)
			g.tickAll(testElectionTicks)
			if g.allApplied(n, first) {
				return
			}
		}
	}
	for _, id := range g.ids {
		n := g.nodes[id]
		g.t.Logf("replica %d: %s, term %d, members %v, log %d to %d, applied %d", id, n.Role(), n.Term(), n.Members(),
			n.log.snapIndex, n.log.lastIndex(), n.log.applied)
	}
	g.t.Fatal("no command was applied on every member after the faults ended")
}

// allApplied reports whether every member has applied the entry at index.
func (g *simGroup) allApplied(leader *simNode, index uint64) bool {
	return !slices.ContainsFunc(leader.Members(), func(m Member) bool { return g.nodes[m.ID].log.applied < index })
}
