package control

import (
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
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
	Terms lease.Terms
	// PollHold is how long a poll is held when there is nothing to hand out.
	PollHold time.Duration
	// PrepareTimeout bounds how long a gang may stay prepared in part.
	PrepareTimeout time.Duration
	// Membership says when the leader changes the group by itself.
	Membership MembershipPolicy
	// OperatorKey is the hash of the first operator's key; empty if it is not set here.
	OperatorKey []byte
	Sched       sched.Settings
}

// DefaultConfig suits a cell of any size.
var DefaultConfig = Config{
	Terms:          lease.DefaultTerms,
	PollHold:       time.Second,
	PrepareTimeout: 10 * time.Second,
	Membership:     DefaultMembershipPolicy,
	Sched:          sched.DefaultSettings,
}

const (
	// maxBatchBytes bounds one log entry, so that it passes the bounds of messages between
	// replicas.
	maxBatchBytes = 4 << 20
	// maxPlacementsPerRound bounds one Place command.
	maxPlacementsPerRound = 256
	// sweepInterval is the time between Sweep commands.
	sweepInterval = time.Minute
	// idleDecideInterval is the time between decisions when no fact has changed.
	idleDecideInterval = 200 * time.Millisecond
)

// Controller is the leader's work on one group.
type Controller struct {
	cfg    Config
	node   *replica.Node[[]state.Result]
	state  *state.State
	cell   *sched.Cell
	clock  lease.Clock
	events *timeline.Recorder
	// engine may be nil.
	engine Engine

	leading bool
	term    uint64
	// takeover is set between Lead and the begin of the leader's work.
	takeover *takeover
	leader   raft.Member

	commands    []*peerv1.Command
	completions []completion

	// unconfirmed are answers that need a quorum's confirmation of the leadership.
	unconfirmed []func(ok bool)
	confirming  bool

	sessions map[string]*session
	// checkQueue are the sessions to look at in the next flush.
	checkQueue []*session
	timers     timers
	// memberTimer fires for the next look at the group's members.
	memberTimer timer
	deadlines   deadlineHeap
	gangs       map[state.JobID]*gang
	waiters     map[state.JobID][]*jobWaiter
	views       []*viewWaiter
	process     map[string]processView

	dirty bool
	// pendingDecisions counts proposals of the last decision without a result.
	pendingDecisions int
	nextDecide       time.Duration
	nextSweep        time.Duration
}

// completion is called with the result of one command, or with an error.
type completion func(state.Result, error)

// New returns a Controller. Attach must be called before its node runs.
func New(cfg Config, st *state.State, clock lease.Clock, events *timeline.Recorder) *Controller {
	return &Controller{cfg: cfg, state: st, clock: clock, events: events,
		waiters: make(map[state.JobID][]*jobWaiter), process: make(map[string]processView)}
}

// Attach sets the node whose control goroutine the Controller belongs to.
func (c *Controller) Attach(n *replica.Node[[]state.Result]) { c.node = n }

// Follow implements replica.Owner.
func (c *Controller) Follow(leader raft.Member) {
	if c.leading {
		c.event(&apiv1.Event{Kind: "follow", Detail: "leadership ended"})
	}
	c.reset()
	c.leader = leader
}

// reset drops everything that belongs to a leadership.
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

// failAll answers everything that waits for this leadership.
func (c *Controller) failAll() {
	completions := c.completions
	c.commands, c.completions = nil, nil
	for _, done := range completions {
		if done != nil {
			done(state.Result{}, raft.ErrNotLeader)
		}
	}
	awaiting := c.unconfirmed
	c.unconfirmed = nil
	for _, f := range awaiting {
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

// Tick implements replica.Owner.
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

// Flush implements replica.Owner: it decides, proposes what has gathered as one log
// entry, and asks for one confirmation of the leadership.
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

// proposeBatch proposes what has gathered, in entries that stay below maxBatchBytes unless
// one command alone is larger.
func (c *Controller) proposeBatch() {
	if c.node.Writing() {
		// One entry for all that comes meanwhile: an entry costs as much as dozens of commands.
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

// whenConfirmed calls f once a quorum has whenConfirmed the leadership after this call.
func (c *Controller) whenConfirmed(f func(ok bool)) {
	c.unconfirmed = append(c.unconfirmed, f)
}

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

// event records an event of this process.
func (c *Controller) event(e *apiv1.Event) {
	if c.events != nil {
		c.events.Add(e)
	}
}

// Leading reports whether the Controller leads.
func (c *Controller) Leading() bool { return c.leading }
