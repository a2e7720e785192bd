package raft

import (
	"math/rand/v2"
	"slices"

	"github.com/pkg/errors"
)

// Config holds the settings of one replica.
type Config struct {
	ID ID
	// ElectionTicks is the shortest election timeout, in ticks.
	ElectionTicks int
	// FirstElectionTicks is the shortest election timeout of a replica that has not heard of a
	// leader since it started; zero means ElectionTicks. Pre-votes keep it from disturbing a
	// leader that it can't hear yet.
	FirstElectionTicks int
	// HeartbeatTicks is the interval between heartbeats, in ticks.
	HeartbeatTicks int
	// MaxInflight bounds unacknowledged appends per replica.
	MaxInflight int
	// MaxAppendBytes bounds the entry data of one append.
	MaxAppendBytes int
	// SnapshotTicks is the time without headway after which a snapshot in flight counts
	// as lost; see ReportSnapshotProgress. Zero means five times ElectionTicks.
	SnapshotTicks int
	// LazyCommits leaves followers to learn what is committed with the next append or heartbeat, in
	// place of a message for each commit. They apply entries that much later.
	LazyCommits bool
	// LearnerLag is how many entries a learner may be behind before it is sent more outside of
	// heartbeats; zero sends each entry at once.
	LearnerLag uint64
	// Seed randomizes election timeouts.
	Seed uint64
}

func (c Config) validate() error {
	switch {
	case c.ID == None:
		return errors.New("raft: ID is zero")
	case c.HeartbeatTicks < 1:
		return errors.New("raft: HeartbeatTicks is below 1")
	case c.ElectionTicks <= 2*c.HeartbeatTicks:
		return errors.New("raft: ElectionTicks must exceed twice HeartbeatTicks")
	case c.MaxInflight < 1 || c.MaxAppendBytes < 1:
		return errors.New("raft: MaxInflight and MaxAppendBytes must be positive")
	}
	return nil
}

// snapshotElections is the default of SnapshotTicks in election timeouts.
const snapshotElections = 5

// Raft is one replica. It is not safe for concurrent use.
type Raft struct {
	cfg     Config
	rng     *rand.Rand
	role    Role
	term    uint64
	vote    ID
	leader  ID
	log     log
	members []Member
	// memberIndex and memberTerm are the log position of the membership in force.
	memberIndex uint64
	memberTerm  uint64
	// history holds earlier memberships, to undo a truncated change.
	history []membershipAt

	progress map[ID]*progress
	votes    map[ID]bool

	electionElapsed  int
	heartbeatElapsed int
	timeout          int
	// heardLeader is set once a leader was heard of, or this replica led.
	heardLeader bool

	transferTo      ID
	transferElapsed int

	reads []pendingRead
	// readRound is the number of the newest round of heartbeats for reads.
	readRound uint64

	msgs       []Message
	readStates []ReadState
	savedHard  HardState
	pendSnap   *Snapshot
	// latest is the newest local snapshot, to send to lagging replicas.
	latest *Snapshot
}

type membershipAt struct {
	index   uint64
	term    uint64
	members []Member
}

// New returns a replica that continues from its durable state.
// Errors are those of an invalid Config.
func New(cfg Config, from Restored) (*Raft, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	if cfg.SnapshotTicks == 0 {
		cfg.SnapshotTicks = snapshotElections * cfg.ElectionTicks
	}
	r := &Raft{
		cfg:       cfg,
		rng:       rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.ID))),
		term:      from.HardState.Term,
		vote:      from.HardState.Vote,
		savedHard: from.HardState,
		members:   from.Snapshot.Members,
	}
	r.log.restore(&from.Snapshot)
	r.memberIndex, r.memberTerm = from.Snapshot.Index, from.Snapshot.Term
	if from.Snapshot.Index > 0 {
		r.latest = &Snapshot{Index: from.Snapshot.Index, Term: from.Snapshot.Term, Members: from.Snapshot.Members}
	}
	r.log.entries = slices.Clone(from.Entries)
	r.log.stable, r.log.written = r.log.lastIndex(), r.log.lastIndex()
	r.log.commitTo(from.HardState.Commit)
	if last := r.log.lastTerm(); last > r.term {
		// A crash kept the entries of a write but not the hard state that followed them.
		r.term, r.vote = last, None
	}
	for _, e := range from.Entries {
		r.adoptMembers(e)
	}
	r.becomeFollower(r.term, None)
	return r, nil
}

// Leads reports whether the replica leads in a term.
func (r *Raft) Leads(term uint64) bool { return r.role == Leader && r.term == term }

// Role returns the replica's role.
func (r *Raft) Role() Role { return r.role }

// Term returns the current term.
func (r *Raft) Term() uint64 { return r.term }

// LeaderID returns the leader of the current term, or None.
func (r *Raft) LeaderID() ID { return r.leader }

// Committed returns the highest committed index known here.
func (r *Raft) Committed() uint64 { return r.log.committed }

// LastIndex returns the index of the last entry in the log.
func (r *Raft) LastIndex() uint64 { return r.log.lastIndex() }

// Members returns a copy of the membership in force.
func (r *Raft) Members() []Member { return slices.Clone(r.members) }

// Tick advances logical time by one tick.
func (r *Raft) Tick() {
	r.electionElapsed++
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.electionElapsed >= r.timeout && r.mayCampaign() {
		r.electionElapsed = 0
		r.campaign(true, false)
	}
}

func (r *Raft) tickLeader() {
	for _, p := range r.progress {
		p.tick(r.cfg.SnapshotTicks)
	}
	if r.transferTo != None {
		r.transferElapsed++
		if r.transferElapsed >= r.cfg.ElectionTicks {
			r.transferTo = None
		}
	}
	if r.electionElapsed >= r.cfg.ElectionTicks {
		r.electionElapsed = 0
		if !r.quorumActive() {
			r.becomeFollower(r.term, None)
			return
		}
	}
	r.heartbeatElapsed++
	if r.heartbeatElapsed >= r.cfg.HeartbeatTicks {
		r.heartbeatElapsed = 0
		if r.readsWait() {
			r.readRound++
		}
		r.broadcastHeartbeat(r.readRound, true)
	}
}

// quorumActive reports whether a majority answered since the last check, and starts a new check.
func (r *Raft) quorumActive() bool {
	active := func(id ID) bool {
		return id == r.cfg.ID || r.progress[id] != nil && r.progress[id].recentActive
	}
	ok := r.quorum(active)
	for _, p := range r.progress {
		p.recentActive = false
	}
	return ok
}

// quorum reports whether a majority of voters satisfies f.
func (r *Raft) quorum(f func(ID) bool) bool {
	voters, yes := 0, 0
	for _, m := range r.members {
		if !m.Voter {
			continue
		}
		voters++
		if f(m.ID) {
			yes++
		}
	}
	return voters > 0 && yes > voters/2
}

func (r *Raft) isVoter(id ID) bool { return isVoterIn(r.members, id) }

func isVoterIn(members []Member, id ID) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.ID == id && m.Voter })
}

func (r *Raft) isMember(id ID) bool {
	return slices.ContainsFunc(r.members, func(m Member) bool { return m.ID == id })
}

func (r *Raft) resetTimeout() {
	r.electionElapsed = 0
	ticks := r.cfg.ElectionTicks
	if !r.heardLeader && r.cfg.FirstElectionTicks > 0 {
		ticks = r.cfg.FirstElectionTicks
	}
	r.timeout = ticks + r.rng.IntN(ticks)
}

func (r *Raft) becomeFollower(term uint64, leader ID) {
	if term != r.term {
		r.term = term
		r.vote = None
	}
	r.role = Follower
	r.leader = leader
	r.heardLeader = r.heardLeader || leader != None
	r.progress = nil
	r.reads = nil
	r.transferTo = None
	r.resetTimeout()
}

func (r *Raft) becomeLeader() {
	r.role = Leader
	r.leader, r.heardLeader = r.cfg.ID, true
	r.progress = make(map[ID]*progress)
	r.heartbeatElapsed, r.electionElapsed = 0, 0
	r.reads = nil
	r.syncProgress()
	r.append(Entry{Type: EntryNormal})
	r.broadcastAppend()
}

// Propose appends commands to the log of a leader and returns the index of the first.
// All of them share the leader's current term.
func (r *Raft) Propose(data ...[]byte) (first uint64, err error) {
	if r.role != Leader {
		return 0, ErrNotLeader
	}
	if r.transferTo != None {
		return 0, ErrTransferring
	}
	first = r.log.lastIndex() + 1
	for _, d := range data {
		r.append(Entry{Type: EntryNormal, Data: d})
	}
	r.broadcastAppend()
	return first, nil
}

func (r *Raft) append(e Entry) {
	e.Term = r.term
	e.Index = r.log.lastIndex() + 1
	r.log.entries = append(r.log.entries, e)
	r.adoptMembers(e)
}

func (r *Raft) send(m Message) {
	m.From = r.cfg.ID
	if m.Term == 0 {
		m.Term = r.term
	}
	r.msgs = append(r.msgs, m)
}
