package dispatch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// fakeUpstream simulates an upstream as the platform specifies it: it fences orders by token,
// keeps its lease by its own clock, and lists ends until they are acknowledged.
type fakeUpstream struct {
	h          *harness
	born       int64
	bornAt     time.Duration
	token      int64
	deadlineMS int64
	running    map[pipeline.RunKey]time.Duration
	ended      []EndedTask
	lastNumber int64
	// lastEnded is the highest number of an ended or stopped run by task.
	lastEnded map[pipeline.TaskKey]int32
	history   map[pipeline.RunKey]*ranTask
	runTime   time.Duration
	// stopTime is how long a stop takes; stopAt holds when runs that are being stopped end.
	stopTime time.Duration
	stopAt   map[pipeline.RunKey]time.Duration
	// startup is how long a task starts up before it is at work.
	startup time.Duration
	// extraPerIndex is how much longer each task of a step runs than the task before it.
	extraPerIndex time.Duration
	draining      bool
	rack, vm      string
	// service is the name of the upstream's service; empty means "print".
	service string
	// address is where the upstream listens; empty means at its identity.
	address string
	// maxEnds bounds the ends in an answer; zero means no bound.
	maxEnds int
	// addRows, if set, changes the answers to status requests.
	addRows func(*StatusReply)
	// longestQueue is the largest number of orders that were queued when a stop came.
	longestQueue int
	// replaced is set once another upstream listens at the address.
	replaced bool
	// answerAt is the virtual time at which the pending answer arrives; zero if it is not delayed.
	answerAt time.Duration

	// partitioned drops all calls before they arrive. dropAnswers carries calls out but drops
	// their answers. startDelay carries starts out after a delay and drops their answers.
	// startAnswerDelay delays the answers to starts.
	// gone refuses the connections: the process has ended.
	partitioned, dropAnswers     bool
	gone                         bool
	startDelay, startAnswerDelay time.Duration
	starts                       int
	// deaf holds the ways on which calls arrive and answers are lost, lost those on which calls are
	// lost, down those whose relay is not up; the empty way is the direct one.
	deaf, lost, down map[string]bool
	// calls counts the calls by way.
	calls map[string]int
	acked int64
}

// ranTask is the history of a run.
type ranTask struct {
	from, to time.Duration
	kind     pipelinev1.EndKind
	// excused is set when the lease expired before the end was acknowledged: the platform then
	// allows the task to run again.
	excused bool
}

func newFakeUpstream(h *harness, born int64) *fakeUpstream {
	return &fakeUpstream{h: h, born: born, bornAt: h.now, running: make(map[pipeline.RunKey]time.Duration), lastEnded: make(map[pipeline.TaskKey]int32),
		history: make(map[pipeline.RunKey]*ranTask), calls: make(map[string]int), runTime: time.Second, stopAt: make(map[pipeline.RunKey]time.Duration)}
}

// describe returns the description of the upstream that its heartbeats contain.
func (f *fakeUpstream) describe(id string) *pipelinev1.Upstream {
	return &pipelinev1.Upstream{Id: id, Born: f.born, Service: cmp.Or(f.service, "print"), Address: cmp.Or(f.address, id), FailureDomain: "prado", Rack: f.rack, Vm: f.vm,
		Capacity: &pipelinev1.Resources{MilliCores: 4000, MemoryMib: 1000}, Draining: f.draining}
}

func (f *fakeUpstream) clockMS() int64 { return 1000 + (f.h.now - f.bornAt).Milliseconds() }

// takeAnswerTime returns and resets the arrival time of the pending answer.
func (f *fakeUpstream) takeAnswerTime() time.Duration {
	d := f.answerAt
	f.answerAt = 0
	return d
}

// advance ends the runs that are finished or have lost their lease.
func (f *fakeUpstream) advance() {
	for _, e := range f.ended {
		if h := f.history[e.Run]; f.clockMS() > f.deadlineMS && e.Number > f.acked {
			h.excused = true
		}
	}
	for key, from := range f.running {
		stopAt, stopping := f.stopAt[key]
		switch {
		case stopping && f.h.now >= stopAt:
			f.end(key, pipelinev1.EndKind_END_KIND_STOPPED)
		case f.clockMS() > f.deadlineMS:
			f.end(key, pipelinev1.EndKind_END_KIND_LAPSED)
		case f.h.now-from >= f.runTime+time.Duration(key.Index)*f.extraPerIndex:
			f.end(key, pipelinev1.EndKind_END_KIND_DONE)
		}
	}
}

func (f *fakeUpstream) end(key pipeline.RunKey, kind pipelinev1.EndKind) {
	delete(f.running, key)
	delete(f.stopAt, key)
	f.lastEnded[key.TaskKey] = max(f.lastEnded[key.TaskKey], key.Number)
	f.lastNumber++
	f.ended = append(f.ended, EndedTask{Number: f.lastNumber, Run: key, Kind: kind})
	f.history[key].to, f.history[key].kind = f.h.now, kind
}

// crash restarts the upstream under the same identity; all its runs are lost.
func (f *fakeUpstream) crash() {
	for key := range f.running {
		f.history[key].to, f.history[key].kind = f.h.now, pipelinev1.EndKind_END_KIND_LOST
	}
	f.born++
	f.bornAt = f.h.now
	f.token, f.deadlineMS, f.lastNumber, f.ended, f.acked = 0, 0, 0, nil, 0
	clear(f.running)
	clear(f.stopAt)
	clear(f.lastEnded)
}

// refusedAddress is an address at which nothing listens.
const refusedAddress = "refused"

// fleet implements Upstreams for the harness's fake upstreams.
type fleet struct{ h *harness }

// reach returns the upstream that a call reaches, or an error if the call is lost.
func (c fleet) reach(ctx context.Context, to Target) (*fakeUpstream, error) {
	f := c.h.upstreams[to.Upstream]
	if f != nil {
		f.calls[to.Via]++
	}
	if to.Address == refusedAddress {
		return nil, ErrNothingListens
	}
	if f != nil && f.down[to.Via] {
		return f, ErrNotSent
	}
	if f != nil && to.Address != cmp.Or(f.address, to.Upstream) {
		f.answerAt = c.h.now + timeLeft(ctx)
		return nil, errUnanswered
	}
	if f != nil && f.gone {
		return nil, ErrNothingListens
	}
	if f == nil || f.partitioned || f.lost[to.Via] {
		if f != nil {
			f.answerAt = c.h.now + timeLeft(ctx)
		}
		return nil, errUnanswered
	}
	return f, nil
}

// otherAt reports whether some upstream answers at an address.
func (c fleet) otherAt(address string) bool {
	for id, f := range c.h.upstreams {
		if cmp.Or(f.address, id) == address && !f.partitioned && !f.gone {
			return true
		}
	}
	return false
}

// timeLeft returns the time until the caller stops waiting for an answer.
func timeLeft(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return time.Until(deadline)
}

// Start implements Upstreams.
func (c fleet) Start(ctx context.Context, to Target, s Start) (OrderReply, error) {
	f, err := c.reach(ctx, to)
	if err != nil {
		return OrderReply{}, err
	}
	if f.startDelay > 0 {
		f.answerAt = c.h.now + timeLeft(ctx)
		c.h.delayed = append(c.h.delayed, delayed{c.h.now + f.startDelay, func() { f.start(s) }})
		return OrderReply{}, errUnanswered
	}
	v := f.start(s)
	if f.startAnswerDelay > 0 {
		f.answerAt = c.h.now + f.startAnswerDelay
	}
	if f.dropAnswers || f.deaf[to.Via] {
		f.answerAt = c.h.now + timeLeft(ctx)
		return OrderReply{}, errUnanswered
	}
	return OrderReply{Verdict: v, ClockMS: f.clockMS()}, nil
}

func (f *fakeUpstream) start(s Start) OrderVerdict {
	key := pipeline.RunKey{TaskKey: s.Task, Number: s.Number}
	if s.Token < f.token {
		return Fenced
	}
	f.token = s.Token
	switch {
	case f.lastEnded[s.Task] >= s.Number:
		return StaleRun
	case s.DeadlineMS <= f.clockMS():
		return DeadlinePassed
	}
	f.deadlineMS = max(f.deadlineMS, min(s.DeadlineMS, f.clockMS()+testHold.Milliseconds()))
	if _, there := f.running[key]; !there {
		f.starts++
		f.running[key] = f.h.now
		f.history[key] = &ranTask{from: f.h.now}
	}
	return Accepted
}

// percent returns how far the startup of a task has come.
func (f *fakeUpstream) percent(key pipeline.RunKey) float64 {
	return 100 * min(1, float64(f.h.now-f.running[key])/float64(max(1, f.startup)))
}

// Stop implements Upstreams.
func (c fleet) Stop(ctx context.Context, to Target, o Order) (OrderReply, error) {
	f, err := c.reach(ctx, to)
	if err != nil {
		return OrderReply{}, err
	}
	if o.Token < f.token {
		return OrderReply{Verdict: Fenced, ClockMS: f.clockMS()}, nil
	}
	if s := c.h.engine.sessions[to.Upstream]; s != nil {
		f.longestQueue = max(f.longestQueue, len(s.orders))
	}
	f.token = o.Token
	key := pipeline.RunKey{TaskKey: o.Task, Number: o.Number}
	f.lastEnded[o.Task] = max(f.lastEnded[o.Task], o.Number)
	_, there := f.running[key]
	if there {
		c.h.ordered(f, key)
	}
	switch {
	case there && f.stopTime > 0:
		f.stopAt[key] = c.h.now + f.stopTime
	case there:
		f.end(key, pipelinev1.EndKind_END_KIND_STOPPED)
	}
	return OrderReply{Verdict: Accepted, ClockMS: f.clockMS()}, nil
}

// Status implements Upstreams. It answers at once, whatever the wait.
func (c fleet) Status(ctx context.Context, to Target, r StatusRequest) (StatusReply, error) {
	f, err := c.reach(ctx, to)
	if f == nil && c.otherAt(to.Address) {
		return StatusReply{Verdict: OtherIncarnation}, nil
	}
	if err != nil {
		return StatusReply{}, err
	}
	if f.replaced {
		return StatusReply{Verdict: OtherIncarnation}, nil
	}
	if r.Token < f.token {
		return StatusReply{Verdict: Fenced, ClockMS: f.clockMS(), Born: f.born}, nil
	}
	f.token = r.Token
	f.acked = max(f.acked, min(r.LastEnd, f.lastNumber))
	if r.DeadlineMS > 0 {
		f.deadlineMS = max(f.deadlineMS, min(r.DeadlineMS, f.clockMS()+testHold.Milliseconds()))
	}
	reply := StatusReply{Verdict: Accepted, ClockMS: f.clockMS(), Born: f.born}
	for key := range f.running {
		reply.Running = append(reply.Running, RunningTask{Run: key, Percent: f.percent(key)})
	}
	f.ended = slices.DeleteFunc(f.ended, func(e EndedTask) bool { return e.Number <= r.LastEnd })
	reply.Ended = slices.Clone(f.ended[:min(len(f.ended), cmp.Or(f.maxEnds, len(f.ended)))])
	if f.addRows != nil {
		f.addRows(&reply)
	}
	if f.deaf[to.Via] {
		f.answerAt = c.h.now + timeLeft(ctx)
		return StatusReply{}, errUnanswered
	}
	// A status request with a wait is not answered at once, so that virtual time can pass.
	if r.Wait > 0 && len(reply.Ended) == 0 {
		f.answerAt = c.h.now + tickStep
	}
	return reply, nil
}
