package dispatch

import (
	"context"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// fakeUpstream behaves as upstreams are described: it fences orders by token, keeps leases by its
// own clock, lists ends until they are acknowledged.
type fakeUpstream struct {
	w          *world
	born       int64
	bornAt     time.Duration
	token      int64
	deadlineMS int64
	running    map[pipeline.RunKey]time.Duration
	ended      []EndedTask
	lastNumber int64
	barred     map[pipeline.TaskKey]int32
	history    map[pipeline.RunKey]*ranTask
	runTime    time.Duration
	// uneven is how much longer each task of a step runs than the one before it.
	uneven   time.Duration
	draining bool
	rack     string
	delay    time.Duration

	// cut loses all calls before they arrive; mute carries calls out without an answer; late
	// carries starts out after a time, without an answer.
	// slow delays the answers to starts.
	cut, mute  bool
	late, slow time.Duration
	starts     int
	acked      int64
}

type ranTask struct {
	from, to time.Duration
	kind     pipelinev1.EndKind
	// excused is set when the upstream's lease ended before the end was acknowledged: the platform
	// then allows another run.
	excused bool
}

func newFakeUpstream(w *world, born int64) *fakeUpstream {
	return &fakeUpstream{w: w, born: born, bornAt: w.now, running: make(map[pipeline.RunKey]time.Duration), barred: make(map[pipeline.TaskKey]int32),
		history: make(map[pipeline.RunKey]*ranTask), runTime: time.Second}
}

func (f *fakeUpstream) describe(id string) *pipelinev1.Upstream {
	return &pipelinev1.Upstream{Id: id, Born: f.born, Service: "print", Address: id, FailureDomain: "prado", Rack: f.rack,
		Capacity: &pipelinev1.Resources{MilliCores: 4000, MemoryMib: 1000}, Draining: f.draining}
}

func (f *fakeUpstream) clockMS() int64 { return 1000 + (f.w.now - f.bornAt).Milliseconds() }

func (f *fakeUpstream) takeDelay() time.Duration {
	d := f.delay
	f.delay = 0
	return d
}

// advance ends what is finished or has lost its lease.
func (f *fakeUpstream) advance() {
	for _, e := range f.ended {
		if h := f.history[e.Run]; f.clockMS() > f.deadlineMS && e.Number > f.acked {
			h.excused = true
		}
	}
	for key, from := range f.running {
		switch {
		case f.clockMS() > f.deadlineMS:
			f.end(key, pipelinev1.EndKind_END_KIND_LAPSED)
		case f.w.now-from >= f.runTime+time.Duration(key.Index)*f.uneven:
			f.end(key, pipelinev1.EndKind_END_KIND_DONE)
		}
	}
}

func (f *fakeUpstream) end(key pipeline.RunKey, kind pipelinev1.EndKind) {
	delete(f.running, key)
	f.barred[key.TaskKey] = max(f.barred[key.TaskKey], key.Number)
	f.lastNumber++
	f.ended = append(f.ended, EndedTask{Number: f.lastNumber, Run: key, Kind: kind})
	f.history[key].to, f.history[key].kind = f.w.now, kind
}

// crash restarts the upstream under the same identity; everything on it is gone.
func (f *fakeUpstream) crash() {
	for key := range f.running {
		f.history[key].to, f.history[key].kind = f.w.now, pipelinev1.EndKind_END_KIND_LOST
	}
	f.born++
	f.bornAt = f.w.now
	f.token, f.deadlineMS, f.lastNumber, f.ended = 0, 0, 0, nil
	clear(f.running)
	clear(f.barred)
}

// fleet implements Upstreams over the world's fake upstreams.
type fleet struct{ w *world }

// reach returns the upstream that a call arrives at, or an error if it is lost.
func (c fleet) reach(ctx context.Context, to Target) (*fakeUpstream, error) {
	f := c.w.upstreams[to.Upstream]
	if f == nil || f.cut {
		if f != nil {
			f.delay = c.w.now + timeLeft(ctx)
		}
		return nil, errUnanswered
	}
	return f, nil
}

// timeLeft is when a call without an answer is given up.
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
	if f.late > 0 {
		f.delay = c.w.now + timeLeft(ctx)
		c.w.delayed = append(c.w.delayed, delayed{c.w.now + f.late, func() { f.start(s) }})
		return OrderReply{}, errUnanswered
	}
	v := f.start(s)
	if f.slow > 0 {
		f.delay = c.w.now + f.slow
	}
	if f.mute {
		f.delay = c.w.now + timeLeft(ctx)
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
	case f.barred[s.Task] >= s.Number:
		return Obsolete
	case s.DeadlineMS <= f.clockMS():
		return TooLate
	}
	f.deadlineMS = max(f.deadlineMS, min(s.DeadlineMS, f.clockMS()+testHold.Milliseconds()))
	if _, there := f.running[key]; !there {
		f.starts++
		f.running[key] = f.w.now
		f.history[key] = &ranTask{from: f.w.now}
	}
	return Obeyed
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
	f.token = o.Token
	key := pipeline.RunKey{TaskKey: o.Task, Number: o.Number}
	f.barred[o.Task] = max(f.barred[o.Task], o.Number)
	if _, there := f.running[key]; there {
		f.end(key, pipelinev1.EndKind_END_KIND_STOPPED)
	}
	return OrderReply{Verdict: Obeyed, ClockMS: f.clockMS()}, nil
}

// Look implements Upstreams. It answers at once, whatever the wait.
func (c fleet) Look(ctx context.Context, to Target, r LookRequest) (Look, error) {
	f, err := c.reach(ctx, to)
	if err != nil {
		return Look{}, err
	}
	if r.Token < f.token {
		return Look{Verdict: Fenced, ClockMS: f.clockMS(), Born: f.born}, nil
	}
	f.token = r.Token
	f.acked = max(f.acked, r.LastEnd)
	if r.DeadlineMS > 0 {
		f.deadlineMS = max(f.deadlineMS, min(r.DeadlineMS, f.clockMS()+testHold.Milliseconds()))
	}
	l := Look{Verdict: Obeyed, ClockMS: f.clockMS(), Born: f.born}
	for key := range f.running {
		l.Running = append(l.Running, RunningTask{Run: key})
	}
	for _, e := range f.ended {
		if e.Number > r.LastEnd {
			l.Ended = append(l.Ended, e)
		}
	}
	// A waiting look does not come back at once, so that virtual time can pass.
	if r.Wait > 0 && len(l.Ended) == 0 {
		f.delay = c.w.now + tickStep
	}
	return l, nil
}
