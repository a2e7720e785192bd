package dispatch

import (
	"context"
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/lease"
	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
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
	// confirms is the result of confirming the leadership.
	confirms bool
	term     uint64
	vms      VMs
}

type delayed struct {
	at time.Duration
	f  func()
}

// Now implements lease.Clock.
func (w *harness) Now() time.Duration { return w.now }

// Clock implements Host.
func (w *harness) Clock() lease.Clock { return w }

// Voters implements Host.
func (w *harness) Voters() int { return 3 }

// Pipelines implements Host.
func (w *harness) Pipelines() *pipeline.State { return w.state }

// ConfirmLeadership implements Host.
func (w *harness) ConfirmLeadership(f func(ok bool)) {
	w.posted = append(w.posted, func() { f(w.confirms) })
}

// Propose implements Host.
func (w *harness) Propose(c *pipelinev1.Command, done func(*pipeline.Result, error)) {
	commit := func() {
		r := w.state.Apply(w.wall(), c)
		if done != nil {
			done(r, nil)
		}
	}
	if w.holdCommits {
		w.uncommitted = append(w.uncommitted, commit)
		return
	}
	w.posted = append(w.posted, commit)
}

// WallNS implements Host.
func (w *harness) WallNS() int64 { return w.wall() }

// wall returns the time of the log, which follows the virtual clock.
func (w *harness) wall() int64 { return 1_000_000_000 + int64(w.now) }

// Async implements Host. The work runs at once; a fake upstream may delay the answer.
func (w *harness) Async(work func() func()) {
	w.posted = append(w.posted, func() {
		done := work()
		at := w.now
		for _, f := range w.upstreams {
			at = max(at, f.takeAnswerTime())
		}
		if at > w.now {
			w.delayed = append(w.delayed, delayed{at, done})
			return
		}
		w.posted = append(w.posted, done)
	})
}

// newHarness returns a harness with a leader that has sessions with the given upstreams.
func newHarness(t testing.TB, upstreams ...string) *harness {
	w := &harness{t: t, state: pipeline.New(), upstreams: make(map[string]*fakeUpstream), confirms: true}
	w.state.Apply(w.wall(), &pipelinev1.Command{Command: &pipelinev1.Command_PutConfig{PutConfig: testConfig()}})
	for _, id := range upstreams {
		w.upstreams[id] = newFakeUpstream(w, 10)
	}
	w.newLeader()
	for _, id := range upstreams {
		w.sendHeartbeat(id)
	}
	w.run(tickStep)
	return w
}

func testConfig() *pipelinev1.Config {
	sum := sha256.Sum256([]byte(testKey))
	return &pipelinev1.Config{Version: 1, Document: []byte("text"), Services: []*pipelinev1.Service{{Name: "print"}},
		Queues: []*pipelinev1.Queue{{Name: testQueue, Host: "h", PathPrefix: "/labels/", Service: "print", MaxAttempts: 3, TimeoutMs: 1000, Stretch: 2}},
		Teams:  []*pipelinev1.Team{{Name: "montevideo", KeySha256: [][]byte{sum[:]}, Weight: 1}}}
}

// newLeader begins a new term with an engine that has only the replicated state.
func (w *harness) newLeader() {
	if w.engine != nil {
		w.engine.Reset()
	}
	w.term++
	w.posted, w.delayed = nil, nil
	w.engine = New(Config{MaxHold: testHold, StopGrace: testStop, MinVoters: 3, Replicas: func() []string { return nil }}, zerolog.Nop(), w, fleet{w}, w.vms)
	w.engine.Lead(w.term)
	w.drain()
}

// drain runs all posted functions, including those that they post.
func (w *harness) drain() {
	for len(w.posted) > 0 {
		f := w.posted[0]
		w.posted = w.posted[1:]
		f()
		w.engine.Flush()
	}
	w.engine.Flush()
	if len(w.posted) > 0 {
		w.drain()
	}
}

// run advances virtual time in steps of tickStep.
func (w *harness) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += tickStep
		for _, f := range w.upstreams {
			f.advance()
		}
		due := w.delayed
		w.delayed = nil
		for _, x := range due {
			if x.at > w.now {
				w.delayed = append(w.delayed, x)
				continue
			}
			w.posted = append(w.posted, x.f)
		}
		w.engine.Tick(w.now)
		w.drain()
	}
}

// commit applies the proposals that were held back, and stops holding them back.
func (w *harness) commit() {
	w.holdCommits = false
	w.posted = append(w.posted, w.uncommitted...)
	w.uncommitted = nil
	w.drain()
}

// call handles a call to the engine and returns its reply.
func (w *harness) call(c *pipelinev1.Call) *pipelinev1.Reply {
	var got *pipelinev1.Reply
	w.engine.Handle(context.Background(), c, func(r *pipelinev1.Reply, err error) {
		if err != nil {
			w.t.Fatal(err)
		}
		got = r
	})
	w.drain()
	return got
}

// sendHeartbeat sends a heartbeat of an upstream.
func (w *harness) sendHeartbeat(id string) {
	f := w.upstreams[id]
	w.call(&pipelinev1.Call{Call: &pipelinev1.Call_Heartbeat{Heartbeat: &pipelinev1.HeartbeatCall{Upstream: f.describe(id)}}})
}

// submit submits a job with the given steps.
func (w *harness) submit(id string, steps ...*pipelinev1.Step) {
	w.t.Helper()
	w.submitSpec(id, &pipelinev1.JobSpec{Steps: steps})
}

func (w *harness) submitSpec(id string, spec *pipelinev1.JobSpec) {
	w.t.Helper()
	sum := sha256.Sum256([]byte(testKey))
	r := w.call(&pipelinev1.Call{Call: &pipelinev1.Call_Job{Job: &pipelinev1.JobCall{Verb: pipelinev1.JobVerb_JOB_VERB_SUBMIT, Host: "h",
		Path: "/labels/" + id, KeySha256: sum[:], Spec: spec}}})
	if r.GetVerdict() != pipelinev1.Verdict_VERDICT_OK {
		w.t.Fatalf("job refused: %v", r)
	}
}

func (w *harness) cancel(id string) {
	sum := sha256.Sum256([]byte(testKey))
	w.call(&pipelinev1.Call{Call: &pipelinev1.Call_Job{Job: &pipelinev1.JobCall{Verb: pipelinev1.JobVerb_JOB_VERB_CANCEL, Host: "h",
		Path: "/labels/" + id, KeySha256: sum[:]}}})
}

func (w *harness) jobState(id string) pipeline.JobState { return w.state.Job(id).State }

// jobID returns the job identity for a number.
func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// oneStep returns a step with the given number of tasks and estimate in milliseconds.
func oneStep(count int32, ms int64) *pipelinev1.Step {
	return &pipelinev1.Step{Count: count, Need: &pipelinev1.Resources{MilliCores: 1000, MemoryMib: 1}, EstimateMs: ms}
}

// check fails the test if a task had two runs at the same time, or ran again after it was done.
func (w *harness) check() {
	w.t.Helper()
	for _, problem := range w.problems() {
		w.t.Error(problem)
	}
}

// problems returns the violations that check reports.
func (w *harness) problems() (out []string) {
	type span struct {
		from, to time.Duration
		kind     pipelinev1.EndKind
		upstream string
		excused  bool
	}
	byTask := make(map[pipeline.TaskKey][]span)
	for id, f := range w.upstreams {
		for key, ran := range f.history {
			to := ran.to
			if ran.kind == 0 {
				to = w.now
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
