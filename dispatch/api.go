package dispatch

import (
	"context"
	"time"

	"github.com/bulrushwinch/bulrushwinch/control"
	"github.com/bulrushwinch/bulrushwinch/lease"
	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/pkg/errors"
)

// ErrNotSent reports that a call certainly did not reach the upstream, so that it had no effect.
var ErrNotSent = errors.New("dispatch: the call did not reach the upstream")

// ErrNothingListens is ErrNotSent where the host of the upstream refused the connection: the upstream's
// process has ended, and its runs with it.
var ErrNothingListens = errors.Wrap(ErrNotSent, "nothing listens at the upstream's address")

// Target identifies the upstream that a call is meant for.
type Target struct {
	// Upstream is the identity of the upstream.
	Upstream string
	// Address is the network address to call.
	Address string
	// Via is the peer address of the replica that relays the call; empty for a direct call.
	Via string
	// Timeout is how long the caller waits for the answer; a relay does not send the call later.
	Timeout time.Duration
}

// Relay is another replica that can carry calls to upstreams.
type Relay = control.Relay

// Order holds the fields that start and stop orders share.
type Order struct {
	// Task and Number identify the run.
	Task   pipeline.TaskKey
	Number int32
	// Token is the fencing token: an upstream refuses orders with a lower token than the highest
	// one that it has seen, that is, those of older leaders and of older epochs of the session.
	Token int64
}

// Start is an order to start a run.
type Start struct {
	Order
	// Payload is the payload of the job.
	Payload string
	// DeadlineMS is the end of the upstream's lease by the upstream's clock, in milliseconds.
	DeadlineMS int64
	// Checkpoint is the checkpoint to resume from; empty if there is none.
	Checkpoint string
	// Ticket proves that the permit service allows the run on this upstream; empty where no
	// permit is needed.
	Ticket string
}

// OrderVerdict is an upstream's answer to an order or to a status request. The value is a text
// for logs and metrics.
type OrderVerdict string

// Values of OrderVerdict. All but the first mean that the upstream has done nothing.
const (
	// Accepted means that the upstream has carried out the request.
	Accepted OrderVerdict = "obeyed"
	// Fenced means that the upstream has seen a higher token.
	Fenced OrderVerdict = "a higher token was seen"
	// StaleRun means that a run of the task with the same or a higher number has ended or was
	// stopped.
	StaleRun OrderVerdict = "the run is not above one that ended or was stopped"
	// DeadlinePassed means that the lease deadline of the order has passed on the upstream's clock.
	DeadlinePassed OrderVerdict = "the lease deadline has passed"
	// NoCapacity means that the upstream lacks the capacity for the run.
	NoCapacity OrderVerdict = "no room"
	// InvalidTicket means that the upstream refused the ticket.
	InvalidTicket OrderVerdict = "the ticket is not valid"
	// Malformed means that the upstream could not interpret the request.
	Malformed OrderVerdict = "the order is malformed"
	// Unhealthy means that the upstream takes no work at present.
	Unhealthy OrderVerdict = "the upstream is unhealthy"
	// OtherIncarnation means that another incarnation of the upstream answered.
	OtherIncarnation OrderVerdict = "another incarnation answered"
)

// OrderReply is the answer to an order.
type OrderReply struct {
	// Verdict says whether the order was carried out.
	Verdict OrderVerdict
	// ClockMS is the upstream's clock in milliseconds; zero if unknown.
	ClockMS int64
}

// StatusRequest asks an upstream for its runs and may extend its lease.
type StatusRequest struct {
	// Token is the fencing token, as in Order.
	Token int64
	// LastEnd acknowledges the ends up to this number; the upstream then removes them from its
	// list.
	LastEnd int64
	// DeadlineMS is the new end of the lease by the upstream's clock, in milliseconds; zero
	// leaves the lease unchanged.
	DeadlineMS int64
	// Wait is how long the upstream may hold back the answer until a run ends.
	Wait time.Duration
}

// RunningTask is a run that an upstream reports as running.
type RunningTask struct {
	// Run identifies the run.
	Run pipeline.RunKey
	// Checkpoint is the run's latest checkpoint; empty if there is none.
	Checkpoint string
	// Usage is the CPU recently used by a task that does not serve requests, in thousandths of a
	// core. It is valid only if UsageKnown is set.
	Usage int64
	// UsageKnown is set if the upstream reported the usage.
	UsageKnown bool
	// Percent is how far the task has come or, if it lasts, how far its startup has: a lasting task is at
	// work at 100. It is zero if the upstream does not report it.
	Percent float64
}

// EndedTask is the end of a run; an upstream lists it until it is acknowledged.
type EndedTask struct {
	// Number is the upstream's sequence number of the end.
	Number int64
	// Run identifies the run.
	Run pipeline.RunKey
	// Kind says how the run ended.
	Kind pipelinev1.EndKind
	// Checkpoint is the run's last checkpoint; empty if there is none.
	Checkpoint string
}

// StatusReply is the answer to a status request.
type StatusReply struct {
	// Verdict says whether the request was carried out.
	Verdict OrderVerdict
	// ClockMS is the upstream's clock in milliseconds; zero if unknown.
	ClockMS int64
	// Born is the start time of the incarnation that answered, in Unix milliseconds; zero if the
	// answer does not contain it.
	Born int64
	// Running lists the runs that the upstream has.
	Running []RunningTask
	// Ended lists the ends that were not acknowledged yet. It may be incomplete if it is long.
	Ended []EndedTask
}

// Upstreams calls upstreams. Its methods are called from goroutines other than the control
// goroutine. An error wraps ErrNotSent if the call certainly did not reach the upstream; after
// any other error it may have been carried out.
type Upstreams interface {
	// Start sends an order to start a run.
	Start(ctx context.Context, to Target, s Start) (OrderReply, error)
	// Stop sends an order to stop a run.
	Stop(ctx context.Context, to Target, o Order) (OrderReply, error)
	// Status sends a status request.
	Status(ctx context.Context, to Target, r StatusRequest) (StatusReply, error)
}

// Host is the part of the replica that the engine uses.
type Host interface {
	// Propose adds a command to the next log entry. done may be nil; otherwise it receives the
	// result of applying the command, or an error.
	Propose(c *pipelinev1.Command, done func(*pipeline.Result, error))
	// ConfirmLeadership calls f once a quorum has confirmed the leadership at a time after this
	// call; ok is false if it was not confirmed.
	ConfirmLeadership(f func(ok bool))
	// Async runs work in another goroutine, and then the function that work returns on the
	// control goroutine.
	Async(work func() func())
	// Voters returns the number of voters of the group.
	Voters() int
	// Relays returns the other replicas that have answered the leader lately.
	Relays() []Relay
	// Clock returns the clock that measures elapsed time on the replica.
	Clock() lease.Clock
	// WallNS returns the time of the log, in Unix nanoseconds.
	WallNS() int64
	// Pipelines returns the replicated state of jobs and upstreams.
	Pipelines() *pipeline.State
}

// Config holds the settings of an Engine. The bounds come from the settings of the platform.
type Config struct {
	// MaxHold is the longest lease that an upstream grants.
	MaxHold time.Duration
	// StopGrace is the longest time that an upstream needs to stop a run.
	StopGrace time.Duration
	// MinVoters is the number of voters below which calls that change the state are refused with
	// VERDICT_NOT_NOW.
	MinVoters int
	// Replicas returns the peer addresses of the group's members.
	Replicas func() []string
}

const (
	// confirmValidity is how long a confirmed leadership permits extending leases and ordering
	// starts. Raft elects no other leader within about 0.6 s of a quorum's last heartbeat. A new
	// leader adds confirmValidity when it waits for the leases of older leaders to expire.
	confirmValidity = 1200 * time.Millisecond
	// confirmInterval is the time between confirmations, a third of confirmValidity.
	confirmInterval = 400 * time.Millisecond
	// wayTime is how long a session uses another way to its upstream than the best one, after that one
	// failed.
	wayTime = 10 * time.Second
	// quickFailure is the time within which a call that was not sent is tried on the next way at once. Dials
	// within a region that fail do so sooner.
	quickFailure = 100 * time.Millisecond
	// maxOrders is the number of concurrent orders to one upstream. The tasks of a step go to few
	// upstreams; sent one after the other, the last of them is answered after 50 ms in the median
	// and 200 ms at the 90th percentile. A replica has 4,096 file descriptors for 350 upstreams,
	// so five orders and a status request to each use about half of them.
	maxOrders = 5
	// recentAnswer is the maximum age of an upstream's last answer for sending it several orders
	// concurrently. With an older answer a single order is sent first, which takes a few
	// milliseconds.
	recentAnswer = 300 * time.Millisecond
	// orderTimeout bounds one order or a status request without a wait, whatever the estimated
	// round trip. Upstreams answer in under 10 ms. Work that is placed on an unreachable upstream
	// before the timeout is delayed.
	orderTimeout = 400 * time.Millisecond
	// watchWait is how long a status request waits for an end; the platform allows two seconds.
	// Together with orderTimeout it bounds how late an unresponsive upstream is detected.
	watchWait = 800 * time.Millisecond
	// nonUrgentWait replaces watchWait where nothing urgent runs. Under low load about half of
	// the status requests return without an end, and each request is charged.
	nonUrgentWait = 1600 * time.Millisecond
	// startupWait replaces them where a task is starting up for which a wave of maintenance waits: its
	// first answer as being at work is not an end, for which the request would return.
	startupWait = 400 * time.Millisecond
	// statusPause delays the next status request so that it returns several ends at once. It is
	// skipped if the next end may complete an urgent step, that is, if lastTasks or fewer of its
	// tasks are left.
	statusPause = 150 * time.Millisecond
	lastTasks   = 2
	// lossyWait is the wait of status requests while answers are being lost: the detection of an
	// end is delayed by that much if its answer is lost, and small jobs have about half a second
	// to spare. lossyMemory is how long one lost answer has this effect.
	lossyWait   = 200 * time.Millisecond
	lossyMemory = 2 * time.Second
	// maxLease bounds the lease below what upstreams grant. A lease must outlast a restart of all
	// replicas (about three seconds), but the work of an upstream that is cut off cannot be
	// placed elsewhere until the lease ends.
	maxLease = 4500 * time.Millisecond
	// probeMin and probeMax bound the pauses between status requests to an unresponsive upstream.
	probeMin = 200 * time.Millisecond
	probeMax = 2 * time.Second
	// ackDelay delays acknowledging the ends of an idle upstream so that one request acknowledges
	// several.
	ackDelay = 300 * time.Millisecond
	// expiryMargin is added to the stop grace before the runs of an unresponsive upstream are
	// declared lost.
	expiryMargin = 300 * time.Millisecond
	// slowClockPercent is how much slower than this replica's clock an upstream's may run; the
	// platform allows 2%.
	slowClockPercent = 2
	// avoidTime is how long no new work is placed on an upstream that refused some; the health of
	// an upstream changes within about a second.
	avoidTime = time.Second
	// stallAfter is how long a run may use no CPU before it counts as stalled; upstreams report
	// the usage of the last half second.
	stallAfter = time.Second
	// stallPause is how long no new work is placed on an upstream that has a stalled run.
	stallPause = 3 * time.Second
	// leaveValidity is how long an upstream that is not draining may still answer after a leave
	// notice. If it answers later than that, the notice came from an older incarnation.
	leaveValidity = time.Second
	// removeUnresponsiveAfter is how long an upstream without runs may be unresponsive, and send no
	// heartbeat, before it is removed.
	removeUnresponsiveAfter = 30 * time.Second
	// maxQueuedStops is the number of queued orders to one upstream from which on no more unknown runs are stopped.
	maxQueuedStops = 1024
	// startAnswerWait is how long the acknowledgement of ends waits for the answers to starts. After that a status
	// request acknowledges nothing.
	startAnswerWait = 50 * time.Millisecond
	// maxEndsListed is the number of ends at which an upstream's list may be truncated.
	maxEndsListed = 500
	// epochBits is the number of low bits of a token that hold the session's epoch; the bits
	// above hold the term.
	epochBits = 16
)
