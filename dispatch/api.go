package dispatch

import (
	"context"
	"time"

	"github.com/bulrushwinch/bulrushwinch/lease"
	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/pkg/errors"
)

// ErrNotSent tells that a call to an upstream surely did not reach it.
var ErrNotSent = errors.New("dispatch: the call did not reach the upstream")

// Target is the incarnation of an upstream that a call is meant for.
type Target struct {
	Upstream string
	Address  string
}

// Order is the part that starts and stops share.
type Order struct {
	Task   pipeline.TaskKey
	Number int32
	// Token fences orders of older leaders and epochs.
	Token int64
}

// Start tells an upstream to start a run.
type Start struct {
	Order
	Payload string
	// DeadlineMS is the end of the upstream's lease by its own clock, in milliseconds.
	DeadlineMS int64
	Checkpoint string
	// Ticket proves that the permit service allows the upstream; empty where none is needed.
	Ticket string
}

// OrderVerdict is an upstream's answer to an order.
type OrderVerdict string

// Verdicts. All but Obeyed say that the upstream has done nothing.
const (
	Obeyed           OrderVerdict = "obeyed"
	Fenced           OrderVerdict = "a higher token was seen"
	Obsolete         OrderVerdict = "the run is not above one that ended or was stopped"
	TooLate          OrderVerdict = "the lease deadline has passed"
	NoRoom           OrderVerdict = "no room"
	BadTicket        OrderVerdict = "the ticket is not valid"
	Malformed        OrderVerdict = "the order is malformed"
	Unhealthy        OrderVerdict = "the upstream is unhealthy"
	OtherIncarnation OrderVerdict = "another incarnation answered"
)

// OrderReply is the answer to an order. ClockMS is the upstream's clock, zero if unknown.
type OrderReply struct {
	Verdict OrderVerdict
	ClockMS int64
}

// LookRequest asks for an upstream's runs and may extend its lease.
type LookRequest struct {
	Token int64
	// LastEnd acknowledges ends up to this number; the upstream forgets them.
	LastEnd int64
	// DeadlineMS extends the lease; zero leaves it as it is.
	DeadlineMS int64
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// RunningTask is a run that an upstream has.
type RunningTask struct {
	Run        pipeline.RunKey
	Checkpoint string
	// Usage is what a task that does not serve has in use lately, in thousandths of a core.
	Usage      int64
	UsageKnown bool
}

// EndedTask is an end that an upstream lists until it is acknowledged.
type EndedTask struct {
	Number     int64
	Run        pipeline.RunKey
	Kind       pipelinev1.EndKind
	Checkpoint string
}

// Look is the answer to a LookRequest.
type Look struct {
	Verdict OrderVerdict
	ClockMS int64
	// Born is the start of the incarnation that answered, in Unix milliseconds; zero if
	// it did not say.
	Born    int64
	Running []RunningTask
	Ended   []EndedTask
}

// Upstreams calls upstreams. Its methods run in goroutines of their own.
type Upstreams interface {
	Start(ctx context.Context, to Target, s Start) (OrderReply, error)
	Stop(ctx context.Context, to Target, o Order) (OrderReply, error)
	Look(ctx context.Context, to Target, r LookRequest) (Look, error)
}

// Host is what the engine needs of its replica.
type Host interface {
	// Propose adds a command to the next log entry; done may be nil.
	Propose(c *pipelinev1.Command, done func(*pipeline.Result, error))
	// Confirmed calls f once a quorum has confirmed the leadership after this call.
	Confirmed(f func(ok bool))
	// Async runs work elsewhere and the function that it returns on the control goroutine.
	Async(work func() func())
	// Voters returns the number of voters of the group.
	Voters() int
	Clock() lease.Clock
	// WallNS is the Unix time of the log, in nanoseconds.
	WallNS() int64
	Pipelines() *pipeline.State
}

// Config holds the settings of an Engine. The bounds come from the platform's settings.
type Config struct {
	// MaxHold is the longest lease that an upstream grants.
	MaxHold time.Duration
	// StopGrace is the longest time that an upstream needs for a stop.
	StopGrace time.Duration
	// MinVoters is the number of voters below which nothing is acknowledged.
	MinVoters int
	// Replicas returns the peer addresses of the group's members.
	Replicas func() []string
}

const (
	// confirmLife is how long a confirmed leadership may extend leases and order starts. Raft
	// elects no other leader within about 0.6 s of a quorum's last heartbeat.
	confirmLife = 1200 * time.Millisecond
	// confirmInterval is the time between confirmations, a third of confirmLife.
	confirmInterval = 400 * time.Millisecond
	// maxOrders is the number of orders under way at one upstream. A step's tasks go to few
	// upstreams; one order after the other took 50 ms in the median and 200 ms at the ninth decile
	// until the last of them was answered. A replica has 4,096 descriptors for 350 upstreams, so
	// that six connections to each leave half of them.
	maxOrders = 5
	// heardLately is how old the last answer of an upstream may be for several orders at a time;
	// otherwise one goes ahead, which takes a few milliseconds.
	heardLately = 300 * time.Millisecond
	// orderTimeout bounds one order or look without a wait, whatever round trips say. Upstreams answer
	// in under 10 ms; work that is placed on an upstream in the meantime is late if it is cut off.
	orderTimeout = 400 * time.Millisecond
	// watchWait is how long a look waits for an end; the platform allows two seconds. Together
	// with orderTimeout it bounds how late a silent upstream is noticed.
	watchWait = 800 * time.Millisecond
	// calmWait is the same where nothing urgent runs. Half of the looks of a calm day came back
	// without an end, and each is charged.
	calmWait = 1600 * time.Millisecond
	// lookPause lets further ends gather before the next look, unless one of them may close an
	// urgent step: closingTasks or fewer of its tasks are left.
	lookPause    = 150 * time.Millisecond
	closingTasks = 2
	// lossyWait bounds looks while answers get lost: an end behind a lost answer is noticed that
	// much later, and small jobs have about half a second to spare. lossyMemory is how long one
	// lost answer counts.
	lossyWait   = 200 * time.Millisecond
	lossyMemory = 2 * time.Second
	// longestLease bounds the lease below what upstreams grant: it has to outlast a restart of
	// all replicas (about three seconds), and the work of an upstream that is cut off waits for
	// its end.
	longestLease = 4500 * time.Millisecond
	// probeMin and probeMax bound the pauses between looks at a silent upstream.
	probeMin = 200 * time.Millisecond
	probeMax = 2 * time.Second
	// ackDelay lets further ends gather before an idle upstream's ends are acknowledged.
	ackDelay = 300 * time.Millisecond
	// lapseMargin is added to the stop grace before runs of a silent upstream count as lost.
	lapseMargin = 300 * time.Millisecond
	// slowClockPercent is how much slower an upstream's clock may run; the platform allows 2%.
	slowClockPercent = 2
	// avoidTime is how long no new work goes to an upstream that refused some; health changes in
	// about a second.
	avoidTime = time.Second
	// stallAfter is how long a run may use no core before it counts as standing still; upstreams
	// report the last half second.
	stallAfter = time.Second
	// stallPause is how long an upstream with such a run gets nothing new.
	stallPause = 3 * time.Second
	// leaveLife is how long an upstream that does not drain may still answer after it said that it
	// ends; then an older incarnation must have said so.
	leaveLife = time.Second
	// forgetAfter is how long a silent upstream without runs is remembered.
	forgetAfter = 30 * time.Second
	// maxEndsListed is the number of ends at which an upstream's list may be cut short.
	maxEndsListed = 500
	// epochBits is the part of a token below the term.
	epochBits = 16
)
