package dispatch

import (
	"context"
	"crypto/sha256"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/lease"
	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
)

const (
	tickStep  = 50 * time.Millisecond
	testHold  = 6 * time.Second
	testStop  = 200 * time.Millisecond
	testKey   = "a key"
	testQueue = "labels"
)

var errUnanswered = errors.New("no answer")

// harness runs the real engine and replicated state in virtual time, with fake upstreams.
type harness struct {
	t         testing.TB
	now       time.Duration
	state     *pipeline.State
	engine    *Engine
	upstreams map[string]*fakeUpstream
	// posted holds functions to run on the control goroutine; delayed holds those that wait for
	// their time.
	posted  []func()
	delayed []delayed
	// uncommitted holds proposals while commits are held back.
	uncommitted []func()
	// holdCommits holds back all commits until commit is called.
	holdCommits bool
	// transferring refuses all proposals, as during a transfer of the leadership.
	transferring bool
	// pauseBefore, if set, is asked before each call whether the process is paused there for pauseTime;
	// it is cleared by the pause.
	pauseBefore func() bool
	pauseTime   time.Duration
	// confirms is the result of confirming the leadership.
	confirms bool
	term     uint64
	vms      VMs
	// largest is the size of the largest command that was proposed, in bytes.
	largest int
	// onPropose, if set, is called with each command that is proposed.
	onPropose func(*pipelinev1.Command)
	// onOrder, if set, is called with each run that a stop or a maintenance is about to end.
	onOrder func(f *fakeUpstream, key pipeline.RunKey)
	// relays are the replicas that can carry calls.
	relays []Relay
}

type delayed struct {
	at time.Duration
	f  func()
}

// Now implements lease.Clock.
func (h *harness) Now() time.Duration { return h.now }

// Clock implements Host.
func (h *harness) Clock() lease.Clock { return h }

// Voters implements Host.
func (h *harness) Voters() int { return 3 }

// Relays implements Host.
func (h *harness) Relays() []Relay { return slices.Clone(h.relays) }

// Pipelines implements Host.
func (h *harness) Pipelines() *pipeline.State { return h.state }

// ConfirmLeadership implements Host.
func (h *harness) ConfirmLeadership(f func(ok bool)) {
	h.posted = append(h.posted, func() { f(h.confirms) })
}

// Propose implements Host.
func (h *harness) Propose(c *pipelinev1.Command, done func(*pipeline.Result, error)) {
	h.largest = max(h.largest, proto.Size(c))
	if h.onPropose != nil {
		h.onPropose(c)
	}
	commit := func() {
		r := h.state.Apply(h.wall(), c)
		if done != nil {
			done(r, nil)
		}
	}
	if h.transferring {
		h.posted = append(h.posted, func() {
			if done != nil {
				done(nil, raft.ErrTransferring)
			}
		})
		return
	}
	if h.holdCommits {
		h.uncommitted = append(h.uncommitted, commit)
		return
	}
	h.posted = append(h.posted, commit)
}

// WallNS implements Host.
func (h *harness) WallNS() int64 { return h.wall() }

// wall returns the time of the log, which follows the virtual clock.
func (h *harness) wall() int64 { return 1_000_000_000 + int64(h.now) }

// Async implements Host. The work runs at once; a fake upstream may delay the answer.
func (h *harness) Async(work func() func()) {
	h.posted = append(h.posted, func() {
		if h.pauseBefore != nil && h.pauseBefore() {
			h.pauseBefore = nil
			h.now += h.pauseTime
		}
		done := work()
		at := h.now
		for _, f := range h.upstreams {
			at = max(at, f.takeAnswerTime())
		}
		if at > h.now {
			h.delayed = append(h.delayed, delayed{at, done})
			return
		}
		h.posted = append(h.posted, done)
	})
}

// newHarness returns a harness with a leader that has sessions with the given upstreams.
func newHarness(t testing.TB, upstreams ...string) *harness {
	h := &harness{t: t, state: pipeline.New(), upstreams: make(map[string]*fakeUpstream), confirms: true}
	h.state.Apply(h.wall(), &pipelinev1.Command{Command: &pipelinev1.Command_PutConfig{PutConfig: testConfig()}})
	for _, id := range upstreams {
		h.upstreams[id] = newFakeUpstream(h, 10)
	}
	h.newLeader()
	for _, id := range upstreams {
		h.sendHeartbeat(id)
	}
	h.run(tickStep)
	return h
}

func testConfig() *pipelinev1.Config {
	sum := sha256.Sum256([]byte(testKey))
	return &pipelinev1.Config{Version: 1, Document: []byte("text"), StableIdentities: true, Services: []*pipelinev1.Service{{Name: "print"}},
		Queues: []*pipelinev1.Queue{{Name: testQueue, Host: "h", PathPrefix: "/labels/", Service: "print", MaxAttempts: 3, TimeoutMs: 1000, Stretch: 2}},
		Teams:  []*pipelinev1.Team{{Name: "montevideo", KeySha256: [][]byte{sum[:]}, Weight: 1}}}
}

// newLeader begins a new term with an engine that has only the replicated state.
func (h *harness) newLeader() {
	if h.engine != nil {
		h.engine.Reset()
	}
	h.term++
	h.posted, h.delayed = nil, nil
	h.engine = New(Config{MaxHold: testHold, StopGrace: testStop, MinVoters: 3, Replicas: func() []string { return nil }}, zerolog.Nop(), h, fleet{h}, h.vms)
	h.engine.withTimeout = context.WithTimeout
	h.engine.Lead(h.term)
	h.drain()
}

// drain runs all posted functions, including those that they post.
func (h *harness) drain() {
	for len(h.posted) > 0 {
		f := h.posted[0]
		h.posted = h.posted[1:]
		f()
		h.engine.Flush()
	}
	h.engine.Flush()
	if len(h.posted) > 0 {
		h.drain()
	}
}

// run advances virtual time in steps of tickStep.
func (h *harness) run(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += tickStep
		for _, f := range h.upstreams {
			f.advance()
		}
		due := h.delayed
		h.delayed = nil
		for _, x := range due {
			if x.at > h.now {
				h.delayed = append(h.delayed, x)
				continue
			}
			h.posted = append(h.posted, x.f)
		}
		h.engine.Tick(h.now)
		h.drain()
	}
}

// commit applies the proposals that were held back, and stops holding them back.
func (h *harness) commit() {
	h.holdCommits = false
	h.posted = append(h.posted, h.uncommitted...)
	h.uncommitted = nil
	h.drain()
}

// call handles a call to the engine and returns its reply.
func (h *harness) call(c *pipelinev1.Call) *pipelinev1.Reply {
	var got *pipelinev1.Reply
	h.engine.Handle(context.Background(), c, func(r *pipelinev1.Reply, err error) {
		if err != nil {
			h.t.Fatal(err)
		}
		got = r
	})
	h.drain()
	return got
}

// sendHeartbeat sends a heartbeat of an upstream.
func (h *harness) sendHeartbeat(id string) {
	f := h.upstreams[id]
	h.call(&pipelinev1.Call{Call: &pipelinev1.Call_Heartbeat{Heartbeat: &pipelinev1.HeartbeatCall{Upstream: f.describe(id)}}})
}

// submit submits a job with the given steps.
func (h *harness) submit(id string, steps ...*pipelinev1.Step) {
	h.t.Helper()
	h.submitSpec(id, &pipelinev1.JobSpec{Steps: steps})
}

func (h *harness) submitSpec(id string, spec *pipelinev1.JobSpec) {
	h.t.Helper()
	sum := sha256.Sum256([]byte(testKey))
	r := h.call(&pipelinev1.Call{Call: &pipelinev1.Call_Job{Job: &pipelinev1.JobCall{Verb: pipelinev1.JobVerb_JOB_VERB_SUBMIT, Host: "h",
		Path: "/labels/" + id, KeySha256: sum[:], Spec: spec}}})
	if r.GetVerdict() != pipelinev1.Verdict_VERDICT_OK {
		h.t.Fatalf("job refused: %v", r)
	}
}

// ordered reports a run that an order is about to end.
func (h *harness) ordered(f *fakeUpstream, key pipeline.RunKey) {
	if h.onOrder != nil {
		h.onOrder(f, key)
	}
}

func (h *harness) cancel(id string) {
	sum := sha256.Sum256([]byte(testKey))
	h.call(&pipelinev1.Call{Call: &pipelinev1.Call_Job{Job: &pipelinev1.JobCall{Verb: pipelinev1.JobVerb_JOB_VERB_CANCEL, Host: "h",
		Path: "/labels/" + id, KeySha256: sum[:]}}})
}

func (h *harness) jobState(id string) pipeline.JobState { return h.state.Job(id).State }

// jobID returns the job identity for a number.
func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// oneStep returns a step with the given number of tasks and estimate in milliseconds.
func oneStep(count int32, ms int64) *pipelinev1.Step {
	return &pipelinev1.Step{Count: count, Need: &pipelinev1.Resources{MilliCores: 1000, MemoryMib: 1}, EstimateMs: ms}
}

// check fails the test if a task had two runs at the same time, or ran again after it was done.
func (h *harness) check() {
	h.t.Helper()
	for _, problem := range h.problems() {
		h.t.Error(problem)
	}
}

// problems returns the violations that check reports.
func (h *harness) problems() (out []string) {
	type span struct {
		from, to time.Duration
		kind     pipelinev1.EndKind
		upstream string
		excused  bool
	}
	byTask := make(map[pipeline.TaskKey][]span)
	for id, f := range h.upstreams {
		for key, ran := range f.history {
			to := ran.to
			if ran.kind == 0 {
				to = h.now
			}
			byTask[key.TaskKey] = append(byTask[key.TaskKey], span{ran.from, to, ran.kind, id, ran.excused})
		}
	}
	for task, spans := range byTask {
		for i, a := range spans {
			for k, b := range spans {
				if i < k && a.from < b.to && b.from < a.to {
					out = append(out, fmt.Sprintf("task %v ran on %s and %s at the same time: %v, %v", task, a.upstream, b.upstream, a, b))
				}
				if a.kind == pipelinev1.EndKind_END_KIND_DONE && !a.excused && b.from > a.to {
					out = append(out, fmt.Sprintf("task %v ran again on %s after it was done on %s", task, b.upstream, a.upstream))
				}
			}
		}
	}
	return out
}
