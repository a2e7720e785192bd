package raft

import (
	"math/rand/v2"
	"slices"

	"github.com/pkg/errors"
)

const (
	// firstElectionGrowth is the factor by which the timeout of a first election grows with each election that was
	// held since the replica started. An election takes 20 ms where a sync takes 8, and 370 ms on a disk that takes
	// 180.
	firstElectionGrowth = 4
	// maxFirstElectionGrowth bounds the exponent of that growth.
	maxFirstElectionGrowth = 4
)

// Config holds the settings of one replica.
type Config struct {
	// ID identifies the replica; it must not be None.
	ID ID
	// ElectionTicks is the minimum election timeout, in ticks; the actual one is randomized
	// between it and twice as long. It must exceed twice HeartbeatTicks. It is also the interval
	// at which a leader checks that a quorum has replied, and steps down otherwise.
	ElectionTicks int
	// FirstElectionTicks is the minimum election timeout, in ticks, of a replica that has not
	// known a leader since it started. Zero means ElectionTicks. A low value does not disrupt an
	// existing leader whose messages have not arrived yet, since the pre-vote fails. Once votes were
	// cast, the timeout is longer, so that a slow disk has time to write them.
	FirstElectionTicks int
	// HeartbeatTicks is the interval between heartbeats, in ticks.
	HeartbeatTicks int
	// MaxInflight is the maximum number of unacknowledged appends per replica.
	MaxInflight int
	// MaxAppendBytes is the maximum size of the entry data in one append, in bytes. An append may
	// exceed it with a single entry.
	MaxAppendBytes int
	// SnapshotTimeoutTicks is the time without reported progress, in ticks, after which a snapshot in
	// flight is regarded as lost; see ReportSnapshotProgress. Zero means five times ElectionTicks.
	SnapshotTimeoutTicks int
	// LazyCommits makes the leader announce its commit index only with the next append or
	// heartbeat, not with a message for each commit. Followers apply entries that much later.
	LazyCommits bool
	// LearnerLag is the number of entries by which a learner may lag before the leader sends it
	// entries without waiting for its next heartbeat reply. Zero sends each entry at once.
	LearnerLag uint64
	// Seed seeds the randomization of election timeouts, together with ID.
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

// defaultSnapshotElectionTimeouts is the default snapshot timeout, as a multiple of ElectionTicks.
const defaultSnapshotElectionTimeouts = 5

// Raft is one replica of a group. It is not safe for concurrent use.
type Raft struct {
	cfg     Config
	rng     *rand.Rand
	role    Role
	term    uint64
	vote    ID
	leader  ID
	log     log
	members []Member
	// memberIndex and memberTerm are the index and term of the entry that set members.
	memberIndex uint64
	memberTerm  uint64
	// memberHistory holds earlier memberships, oldest first, to revert a change that is truncated.
	memberHistory []membershipAt

	// progress holds the replication state of the other members; it is nil unless this replica is
	// the leader.
	progress map[ID]*progress
	// votes holds the replies in the current pre-vote or election.
	votes map[ID]bool

	// electionElapsed counts the ticks since the election timeout was last reset or, on a leader,
	// since the last quorum check.
	electionElapsed  int
	heartbeatElapsed int
	electionTimeout  int
	// lastContact is what the last leader told about silent members.
	lastContact leaderContact
	// startTerm is the term in which this replica started.
	startTerm uint64
	// heardLeader is set once this replica has known a leader since it started, or led itself.
	heardLeader bool

	// transferTo is the target of the leadership transfer in progress, or None.
	transferTo      ID
	transferElapsed int

	pendingReads []pendingRead
	// readRound is the number of the last round of heartbeats sent to confirm reads.
	readRound uint64

	msgs            []Message
	readStates      []ReadState
	savedHardState  HardState
	pendingSnapshot *Snapshot
	// latestSnapshot is the newest local snapshot without its data, to send to lagging replicas.
	latestSnapshot *Snapshot
}

// membershipAt is a membership with the index and term of the entry that set it.
type membershipAt struct {
	index   uint64
	term    uint64
	members []Member
}

// New returns a replica that continues from its durable state. It returns an error if the Config is
// invalid.
func New(cfg Config, from DurableState) (*Raft, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	if cfg.SnapshotTimeoutTicks == 0 {
		cfg.SnapshotTimeoutTicks = defaultSnapshotElectionTimeouts * cfg.ElectionTicks
	}
	r := &Raft{
		cfg:            cfg,
		rng:            rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.ID))),
		term:           from.HardState.Term,
		startTerm:      from.HardState.Term,
		vote:           from.HardState.Vote,
		savedHardState: from.HardState,
		members:        from.Snapshot.Members,
	}
	r.log.restore(&from.Snapshot)
	r.memberIndex, r.memberTerm = from.Snapshot.Index, from.Snapshot.Term
	if from.Snapshot.Index > 0 {
		r.latestSnapshot = &Snapshot{Index: from.Snapshot.Index, Term: from.Snapshot.Term, Members: from.Snapshot.Members}
	}
	r.log.entries = slices.Clone(from.Entries)
	r.log.stable, r.log.writeIssued = r.log.lastIndex(), r.log.lastIndex()
	r.log.commitTo(from.HardState.Commit)
	if last := r.log.lastTerm(); last > r.term {
		// A crash in the middle of a write preserved its entries but not the hard state
		// written after them.
		r.term, r.vote = last, None
	}
	for _, e := range from.Entries {
		r.adoptMembers(e)
	}
	r.becomeFollower(r.term, None)
	return r, nil
}

// IsLeaderIn reports whether the replica is the leader and the given term is its current term.
func (r *Raft) IsLeaderIn(term uint64) bool { return r.role == Leader && r.term == term }

// Role returns the replica's role.
func (r *Raft) Role() Role { return r.role }

// Term returns the current term.
func (r *Raft) Term() uint64 { return r.term }

// LeaderID returns the known leader of the current term, or None.
func (r *Raft) LeaderID() ID { return r.leader }

// TicksSinceLeader returns, on a replica that follows a leader, the number of ticks since the leader
// was last heard.
func (r *Raft) TicksSinceLeader() int { return r.electionElapsed }

// Committed returns the highest index that this replica knows to be committed.
func (r *Raft) Committed() uint64 { return r.log.committed }

// LastIndex returns the index of the last entry in the log.
func (r *Raft) LastIndex() uint64 { return r.log.lastIndex() }

// Members returns a copy of the current membership, which may be uncommitted; see
// MembersCommitted.
func (r *Raft) Members() []Member { return slices.Clone(r.members) }

// Tick advances the logical time by one tick. The owner calls it at a fixed interval, which is the
// unit of all times in Config.
func (r *Raft) Tick() {
	r.electionElapsed++
	if r.role == Leader {
		r.tickLeader()
		return
	}
	r.lastContact.age++
	if r.electionElapsed >= r.electionTimeout && r.mayCampaign() {
		r.electionElapsed = 0
		r.campaign(true, false)
	}
}

// tickLeader does the periodic work of a leader: it detects lost snapshots, abandons a transfer that
// takes too long, steps down without a quorum, and sends heartbeats.
func (r *Raft) tickLeader() {
	for _, p := range r.progress {
		p.tick(r.cfg.SnapshotTimeoutTicks)
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
		if r.hasUnstartedReads() {
			r.readRound++
		}
		r.broadcastHeartbeat(r.readRound, true)
	}
}

// quorumActive reports whether a majority of voters has replied since the previous call, and resets
// the record of replies.
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

// resetTimeout restarts the election timeout with a new random duration.
func (r *Raft) resetTimeout() {
	r.electionElapsed = 0
	ticks := r.cfg.ElectionTicks
	if !r.heardLeader && r.cfg.FirstElectionTicks > 0 {
		ticks = r.firstElectionTicks()
	}
	r.electionTimeout = ticks + r.rng.IntN(ticks)
}

// firstElectionTicks returns the minimum election timeout, in ticks, of a replica that has not known a leader since it
// started. It grows with the elections since then, which need a write at the candidate and at its voters, up to
// ElectionTicks.
func (r *Raft) firstElectionTicks() int {
	ticks := r.cfg.FirstElectionTicks
	for range min(r.term-r.startTerm, maxFirstElectionGrowth) {
		ticks *= firstElectionGrowth
	}
	return min(ticks, r.cfg.ElectionTicks)
}

func (r *Raft) becomeFollower(term uint64, leader ID) {
	if term != r.term {
		r.term = term
		r.vote = None
	}
	if r.role == Leader {
		r.lastContact = leaderContact{leader: r.cfg.ID, silent: r.silentMembers()}
	}
	r.role = Follower
	r.leader = leader
	r.heardLeader = r.heardLeader || leader != None
	r.progress = nil
	r.pendingReads = nil
	r.transferTo = None
	r.resetTimeout()
}

func (r *Raft) becomeLeader() {
	r.role = Leader
	r.leader, r.heardLeader = r.cfg.ID, true
	r.progress = make(map[ID]*progress)
	r.heartbeatElapsed, r.electionElapsed = 0, 0
	r.pendingReads = nil
	r.reconcileProgress()
	r.continueSilences()
	r.append(Entry{Type: EntryNormal})
	r.broadcastAppend()
}

// Propose appends commands to the log of the leader and returns the index of the first; the others
// follow it. All of them get the leader's current term. A command is committed once Ready returns it
// in Committed with that index and term. Errors are ErrNotLeader and ErrTransferring.
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

// append adds an entry of the current term to the end of the log.
func (r *Raft) append(e Entry) {
	e.Term = r.term
	e.Index = r.log.lastIndex() + 1
	r.log.entries = append(r.log.entries, e)
	r.adoptMembers(e)
}

// send queues a message for the next Ready, in the current term unless m sets another.
func (r *Raft) send(m Message) {
	m.From = r.cfg.ID
	if m.Term == 0 {
		m.Term = r.term
	}
	r.msgs = append(r.msgs, m)
}
