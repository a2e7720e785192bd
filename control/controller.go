package control

import (
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/contain"
	"github.com/bulrushwinch/bulrushwinch/lease"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/bulrushwinch/bulrushwinch/replica"
	"github.com/bulrushwinch/bulrushwinch/sched"
	"github.com/bulrushwinch/bulrushwinch/state"
	"github.com/bulrushwinch/bulrushwinch/timeline"
	"google.golang.org/protobuf/proto"
)

// Config holds the settings of a Controller.
type Config struct {
	// Terms are the durations of upstream leases.
	Terms lease.Terms
	// PollHold is how long a poll, or a View call, is held when there is nothing new to answer.
	PollHold time.Duration
	// PrepareTimeout bounds how long some tasks of a gang may stay prepared while others are not.
	PrepareTimeout time.Duration
	// Membership says when the leader changes the members of the group without an operator.
	Membership MembershipPolicy
	// OperatorKey is the SHA-256 hash of the first operator's key, which the leader of a group
	// without any keys creates; if it is empty, none is created.
	OperatorKey []byte
	// Sched holds the scheduler's settings.
	Sched sched.Settings
}

// DefaultConfig holds settings that suit a cell of any size.
var DefaultConfig = Config{
	Terms:          lease.DefaultTerms,
	PollHold:       time.Second,
	PrepareTimeout: 10 * time.Second,
	Membership:     DefaultMembershipPolicy,
	Sched:          sched.DefaultSettings,
}

const (
	// maxBatchBytes is the encoded size of commands at which a log entry is closed, so that it
	// fits into the messages between replicas.
	maxBatchBytes = 4 << 20
	// maxPlacementsPerRound limits the placements in one Place command.
	maxPlacementsPerRound = 256
	// sweepInterval is the time between Sweep commands.
	sweepInterval = time.Minute
	// idleDecideInterval is the time between scheduling rounds while the state does not change.
	idleDecideInterval = 200 * time.Millisecond
)

// Controller does the work of a group's leader. While its replica does not lead, or has not
// finished its takeover, calls are answered with NOT_LEADER.
type Controller struct {
	cfg    Config
	node   *replica.Node[[]state.Result]
	state  *state.State
	cell   *sched.Cell
	clock  lease.Clock
	events *timeline.Recorder
	// engine serves pipelines; nil if this process serves none.
	engine Engine

	// leading is set from the end of a takeover until the leadership ends.
	leading bool
	// term is the raft term of the current leadership, or of the last one.
	term uint64
	// takeover is set from Lead until the scheduler cell is complete.
	takeover *takeover
	// leader is the member that leads while this replica follows, if it is known.
	leader raft.Member
	// contain ends a call that meets an unexpected error.
	contain contain.Reporter
	// passOn sends a call to another replica; nil if this replica passes none on.
	passOn Forward

	// commands go into the next log entries; completions are called with their results.
	commands    []*peerv1.Command
	completions []completion

	// unconfirmed are callbacks that wait for a quorum's next confirmation of the leadership.
	unconfirmed []func(ok bool)
	// confirming is set while a confirmation of the leadership is under way.
	confirming bool

	// sessions holds the session of each upstream by name.
	sessions map[string]*session
	// checkQueue are the sessions whose held poll is checked for updates in the next flush.
	checkQueue []*session
	timers     timers
	// memberTimer fires for the next check of the group's members.
	memberTimer timer
	deadlines   deadlineHeap
	gangs       map[state.JobID]*gang
	// waiters are the held Wait calls of each job, views the held View calls.
	waiters map[state.JobID][]*jobWaiter
	views   []*viewWaiter
	// processes holds the last report of each process by name.
	processes map[string]processInfo

	// dirty is set when a scheduling round is due.
	dirty bool
	// pendingDecisions counts the commands of the last scheduling round that have no result yet.
	pendingDecisions int
	// nextDecide and nextSweep are when the next round and the next Sweep command are due, on clock.
	nextDecide time.Duration
	nextSweep  time.Duration
}

// completion is called with the result of one command, with raft.ErrNotLeader or
// raft.ErrTransferring if it was not proposed, or with replica.ErrLost if it may or may not be
// committed.
type completion func(state.Result, error)

// New returns a Controller that follows. Attach must be called before its node runs. events
// may be nil.
func New(cfg Config, st *state.State, clock lease.Clock, events *timeline.Recorder) *Controller {
	return &Controller{cfg: cfg, state: st, clock: clock, events: events,
		waiters: make(map[state.JobID][]*jobWaiter), processes: make(map[string]processInfo)}
}

// Attach sets the node whose control goroutine the Controller belongs to.
func (c *Controller) Attach(n *replica.Node[[]state.Result]) { c.node = n }

// Follow implements replica.Owner: it ends a leadership and records the new leader.
func (c *Controller) Follow(leader raft.Member) {
	if c.leading {
		c.event(&apiv1.Event{Kind: "follow", Detail: "leadership ended"})
	}
	c.reset()
	c.leader = leader
}

// reset discards all state that belongs to one leadership.
func (c *Controller) reset() {
	c.leading = false
	c.state.Observe(nil)
	c.failAll()
	c.sessions = make(map[string]*session)
	c.checkQueue, c.timers, c.deadlines, c.memberTimer = nil, timers{}, nil, timer{}
	c.gangs = make(map[state.JobID]*gang)
	c.cell, c.takeover = nil, nil
	c.pendingDecisions, c.confirming = 0, false
	if c.engine != nil {
		c.engine.Reset()
	}
}

// failAll answers every call that waits for this leadership with an error.
func (c *Controller) failAll() {
	completions := c.completions
	c.commands, c.completions = nil, nil
	for _, done := range completions {
		if done != nil {
			done(state.Result{}, raft.ErrNotLeader)
		}
	}
	callbacks := c.unconfirmed
	c.unconfirmed = nil
	for _, f := range callbacks {
		f(false)
	}
	for _, s := range c.sessions {
		s.failPoll(ErrNotLeader)
	}
	for id, list := range c.waiters {
		delete(c.waiters, id)
		for _, w := range list {
			w.reply(nil, ErrNotLeader)
		}
	}
	for _, v := range c.views {
		v.reply(nil, ErrNotLeader)
	}
	c.views = nil
}

// Tick implements replica.Owner: it runs whatever is due by time.
func (c *Controller) Tick() {
	if !c.leading {
		return
	}
	now := c.clock.Now()
	c.timers.run(now)
	c.answerExpiredViews(now)
	c.refuseOverdue()
	if now >= c.nextSweep {
		c.nextSweep = now + sweepInterval
		c.propose(&peerv1.Command{Command: &peerv1.Command_Sweep{Sweep: &peerv1.Sweep{}}}, nil)
	}
	if now >= c.nextDecide {
		c.dirty = true
	}
	if c.engine != nil {
		c.engine.Tick(now)
	}
}

// Flush implements replica.Owner: it runs a scheduling round if one is due, proposes the
// queued commands as log entries, and requests one confirmation of the leadership for all
// callbacks that wait for one.
func (c *Controller) Flush() {
	if !c.leading {
		return
	}
	if c.dirty && c.pendingDecisions == 0 {
		began := time.Now()
		c.decide()
		decisionTime.Record(time.Since(began))
	}
	c.runCheckQueue()
	if c.engine != nil {
		c.engine.Flush()
	}
	c.proposeBatch()
	c.confirmBatch()
}

// propose adds a command to the next log entry. done may be nil.
func (c *Controller) propose(cmd *peerv1.Command, done completion) {
	c.commands = append(c.commands, cmd)
	c.completions = append(c.completions, done)
}

// proposeBatch proposes the queued commands. An entry is closed once it reaches
// maxBatchBytes, so only its last command can take it beyond that.
func (c *Controller) proposeBatch() {
	if c.node.Writing() {
		// Commands that arrive during a write share the next entry: an entry costs as much as
		// dozens of commands.
		return
	}
	commands, completions := c.commands, c.completions
	c.commands, c.completions = nil, nil
	for len(commands) > 0 {
		n, size := 1, proto.Size(commands[0])
		for n < len(commands) && size < maxBatchBytes {
			size += proto.Size(commands[n])
			n++
		}
		c.proposeEntry(commands[:n], completions[:n])
		commands, completions = commands[n:], completions[n:]
	}
}

// proposeEntry proposes one log entry and passes each command its result.
func (c *Controller) proposeEntry(commands []*peerv1.Command, completions []completion) {
	batch := &peerv1.Batch{NowNs: c.WallNS(), Commands: commands}
	data, err := proto.Marshal(batch)
	if err != nil {
		panic("control: batch can't be encoded: " + err.Error())
	}
	began := time.Now()
	c.node.Propose(data, func(results []state.Result, err error) {
		if err == nil {
			commitTime.Record(time.Since(began))
		}
		for i, done := range completions {
			switch {
			case done == nil:
			case err != nil:
				done(state.Result{}, err)
			default:
				done(results[i], nil)
			}
		}
	})
}

// whenConfirmed calls f(true) once a quorum has confirmed, after this call, that this replica
// still leads, and f(false) if the leadership ends first.
func (c *Controller) whenConfirmed(f func(ok bool)) {
	c.unconfirmed = append(c.unconfirmed, f)
}

// confirmBatch requests one confirmation for all callbacks that wait, unless one is under way.
func (c *Controller) confirmBatch() {
	if c.confirming || len(c.unconfirmed) == 0 {
		return
	}
	batch := c.unconfirmed
	c.unconfirmed, c.confirming = nil, true
	term := c.term
	c.node.Confirm(func(ok bool) {
		if c.term == term {
			c.confirming = false
		}
		for _, f := range batch {
			f(ok && c.leading && c.term == term)
		}
	})
}

// event records an event in this process's timeline, if it has one.
func (c *Controller) event(e *apiv1.Event) {
	if c.events != nil {
		c.events.Add(e)
	}
}

// Leading reports whether the Controller leads and has finished its takeover.
func (c *Controller) Leading() bool { return c.leading }
