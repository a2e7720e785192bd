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

// position identifies an applied entry.
type position struct {
	term uint64
	sum  uint64
}

// simNode is a replica with a disk that keeps what was synced.
type simNode struct {
	*Raft
	disk  Restored
	sum   uint64
	reads []ReadState
	down  bool
	// writing is a Ready of a leader whose entries are on their way to the disk.
	writing *Ready
}

// simGroup is a group of replicas over a lossy network.
type simGroup struct {
	t     *testing.T
	rng   *rand.Rand
	seed  uint64
	nodes map[ID]*simNode
	ids   []ID
	queue []Message
	// lost decides which messages are dropped on sending; nil means none.
	lost func(Message) bool
	// slowDisks lets writes of leaders take their time; lazy spares messages to followers and
	// learners.
	slowDisks, lazy bool
	// crashing stops a node in the middle of its next write.
	crashing ID

	leaders map[uint64]ID
	applied map[uint64]position
	highest uint64
}

func testMembers(voters, learners int) []Member {
	var out []Member
	for i := range voters + learners {
		out = append(out, Member{ID: ID(i + 1), Voter: i < voters})
	}
	return out
}

func newSimGroup(t *testing.T, seed uint64, members []Member) *simGroup {
	g := &simGroup{t: t, rng: rand.New(rand.NewPCG(seed, 1)), seed: seed, nodes: make(map[ID]*simNode),
		leaders: make(map[uint64]ID), applied: make(map[uint64]position)}
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

func (g *simGroup) restart(id ID) {
	n := g.nodes[id]
	g.seed++
	disk := n.disk
	disk.Entries = slices.Clone(disk.Entries)
	cfg := testConfig(id, g.seed)
	if g.lazy {
		cfg.LazyCommits, cfg.LearnerLag = true, 3
	}
	n.writing = nil
	r, err := New(cfg, disk)
	if err != nil {
		g.t.Fatal(err)
	}
	n.Raft, n.down, n.sum = r, false, decodeSum(disk.Snapshot.Data)
	g.drive(id)
}

func decodeSum(data []byte) uint64 {
	if len(data) == 0 {
		return 0
	}
	return binary.LittleEndian.Uint64(data)
}

// persist writes a Ready as a wal does; a torn write keeps a prefix of its entries only.
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

// drive does a node's work; it returns early if the node crashes in the middle.
func (g *simGroup) drive(id ID) {
	n := g.nodes[id]
	for !n.down && n.HasReady() {
		if n.writing != nil && !n.Leads(n.writing.Term) {
			n.finishWrite(g.rng)
		}
		rd := n.Ready()
		g.send(rd.Early)
		if g.crashing == id && rd.MustSync {
			n.persist(rd, true, g.rng)
			n.down, g.crashing = true, None
			return
		}
		overlaps := rd.Overlaps && g.slowDisks
		if overlaps {
			n.writing = &rd
		} else {
			n.persist(rd, false, g.rng)
		}
		g.send(rd.Messages)
		g.noteLeader(id, rd)
		if rd.Snapshot != nil {
			n.sum = decodeSum(rd.Snapshot.Data)
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

// finishWrite ends the write that is under way.
func (n *simNode) finishWrite(rng *rand.Rand) {
	if n.writing != nil {
		n.persist(*n.writing, false, rng)
		n.writing = nil
		n.Written()
	}
}

// crash ends a process; a write that is under way is torn.
func (g *simGroup) crash(n *simNode) {
	if n.writing != nil {
		n.persist(*n.writing, true, g.rng)
	}
	n.down = true
}

// noteLeader checks election safety and leader completeness.
func (g *simGroup) noteLeader(id ID, rd Ready) {
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
	for i := n.log.snapIndex + 1; i <= g.highest; i++ {
		if at, known := g.applied[i]; known && !n.log.matches(i, at.term) {
			g.t.Fatalf("leader %d of term %d lacks committed entry %d", id, rd.Term, i)
		}
	}
}

// apply checks state-machine safety.
func (g *simGroup) apply(n *simNode, entries []Entry) {
	for _, e := range entries {
		h := fnv.New64a()
		_ = binary.Write(h, binary.LittleEndian, []uint64{n.sum, e.Index, e.Term})
		_, _ = h.Write(e.Data)
		n.sum = h.Sum64()
		at := position{e.Term, n.sum}
		if old, ok := g.applied[e.Index]; ok && old != at {
			g.t.Fatalf("entry %d applied as %v and %v", e.Index, old, at)
		}
		g.applied[e.Index] = at
		g.highest = max(g.highest, e.Index)
	}
}

func (g *simGroup) send(messages []Message) {
	for _, m := range messages {
		if g.lost != nil && g.lost(m) {
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

// deliver steps the message at a place in the queue.
func (g *simGroup) deliver(i int) {
	m := g.queue[i]
	g.queue = slices.Delete(g.queue, i, i+1)
	if n := g.nodes[m.To]; n != nil && !n.down {
		n.Step(m)
		g.drive(m.To)
	}
}

// settle delivers messages in order until none is left.
func (g *simGroup) settle() {
	for len(g.queue) > 0 {
		g.deliver(0)
	}
}

// tick advances one node, then settles.
func (g *simGroup) tick(id ID, ticks int) {
	for range ticks {
		if n := g.nodes[id]; !n.down {
			n.Tick()
			g.drive(id)
			g.settle()
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

// elect lets a node campaign until it leads.
func (g *simGroup) elect(id ID) *simNode {
	g.t.Helper()
	for range 20 * testElectionTicks {
		if g.nodes[id].Role() == Leader {
			return g.nodes[id]
		}
		g.tick(id, 1)
	}
	g.t.Fatalf("replica %d does not lead", id)
	return nil
}

func (g *simGroup) propose(id ID, data string) {
	g.t.Helper()
	if _, err := g.nodes[id].Propose([]byte(data)); err != nil {
		g.t.Fatal(err)
	}
	g.drive(id)
	g.settle()
}

// snapshot compacts a node's log at what it has applied.
func (g *simGroup) snapshot(id ID, keepBytes int) {
	n := g.nodes[id]
	s, err := n.SnapshotMeta(n.log.applied)
	if err != nil || s.Index <= n.disk.Snapshot.Index {
		return
	}
	s.Data = binary.LittleEndian.AppendUint64(nil, n.sum)
	n.disk.Entries = slices.Clone(n.disk.Entries[s.Index-n.disk.Snapshot.Index:])
	n.disk.Snapshot = s
	if err := n.Compact(&s, keepBytes); err != nil {
		g.t.Fatal(err)
	}
}

// checkLogMatching fails if two logs agree at an index and differ before it.
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

// disturb does one random step: mostly traffic and time, now and then a fault.
func (g *simGroup) disturb() {
	id := g.ids[g.rng.IntN(len(g.ids))]
	n := g.nodes[id]
	switch p := g.rng.IntN(1000); {
	case p < 700:
		g.disturbNetwork(p)
	case p < 703:
		g.crash(n)
	case p < 706:
		g.crashing = id
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
		g.drive(id)
	}
}

// disturbNetwork mostly delivers a message out of order, and drops or repeats some.
func (g *simGroup) disturbNetwork(p int) {
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

// randomChange changes the standing of one replica.
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

// TestSafetyUnderFaults runs seeded random schedules of loss, duplication, reordering and
// crashes with torn writes, and expects agreement, and progress once the faults are over.
func TestSafetyUnderFaults(t *testing.T) {
	for seed := range uint64(300) {
		t.Log("seed", seed)
		g := newSimGroup(t, seed, testMembers(3, 2))
		g.slowDisks, g.lazy = seed%2 == 1, seed%4 > 1
		for _, id := range g.ids {
			g.restart(id)
		}
		for step := range 10_000 {
			g.disturb()
			if step%200 == 0 {
				g.checkLogMatching()
			}
		}
		g.recover()
	}
}

// recover ends all faults and expects a command to reach every member.
func (g *simGroup) recover() {
	g.t.Helper()
	g.settle()
	g.crashing, g.slowDisks = None, false
	for _, id := range g.ids {
		if g.nodes[id].down {
			g.restart(id)
		}
		g.nodes[id].finishWrite(g.rng)
		g.drive(id)
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
			g.drive(id)
			g.tickAll(testElectionTicks)
			if g.reached(n, first) {
				return
			}
		}
	}
	for _, id := range g.ids {
		n := g.nodes[id]
		g.t.Logf("replica %d: %s, term %d, members %v, log %d to %d, applied %d", id, n.Role(), n.Term(), n.Members(),
			n.log.snapIndex, n.log.lastIndex(), n.log.applied)
	}
	g.t.Fatal("the group does not recover")
}

func (g *simGroup) reached(leader *simNode, index uint64) bool {
	return !slices.ContainsFunc(leader.Members(), func(m Member) bool { return g.nodes[m.ID].log.applied < index })
}
