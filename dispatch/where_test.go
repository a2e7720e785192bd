package dispatch

import (
	"crypto/sha256"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/control"
	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/bulrushwinch/bulrushwinch/placement"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// leaderState returns the replicated state, and what the leader knows of steps, upstreams and questions, as text.
func (h *harness) leaderState() string {
	e := h.engine
	out := []any{e.tickets, e.checkpoints, e.submitting, e.unstarted, e.permits.waiting, e.dirty, e.nextDecide, e.cell.Askers, len(e.cell.Prefetched)}
	for _, r := range h.state.Records() {
		data, err := proto.MarshalOptions{Deterministic: true}.Marshal(r)
		if err != nil {
			h.t.Fatal(err)
		}
		out = append(out, data)
	}
	for _, u := range e.cell.Upstreams {
		out = append(out, *u)
	}
	works := make(map[*pipeline.Step]placement.Work)
	for st, w := range e.cell.Steps {
		works[st] = *w
	}
	return fmt.Sprintf("%+v %+v %+v", out, works, *e.cell.RecentUse)
}

// askWhere asks where a job would go, and fails the test if that changes the leader's state.
func (h *harness) askWhere(spec *pipelinev1.JobSpec) *Where {
	h.t.Helper()
	return h.askWhereOf(WhereQuestion{Team: "montevideo", Spec: spec})
}

func (h *harness) askWhereOf(q WhereQuestion) (answer *Where) {
	h.t.Helper()
	h.engine.where.next = 0
	h.now += 2 * tickStep // the last sample of the teams' use is out of date
	before, admission := h.leaderState(), h.engine.admission.Copy()
	h.engine.Where(q, func(w *Where, err error) {
		if answer = w; err != nil {
			h.t.Fatal(err)
		}
	})
	if h.leaderState() != before || !reflect.DeepEqual(h.engine.admission, admission) {
		h.t.Error("the question changed the leader's state")
	}
	return answer
}

// whereHarness has a full cell of four upstreams but for one task each on w1 and w2, an urgent queue with permits, and
// a caller for them.
func whereHarness(t *testing.T) (*harness, *fakeCaller) {
	h := newHarness(t, "w1", "w2", "w3", "w4")
	c := testConfig()
	c.Version, c.Queues[0].Priority, c.Queues[0].Stretch = 2, 2, 30
	c.Queues = append(c.Queues, &pipelinev1.Queue{Name: "urgent", Host: "h", PathPrefix: "/urgent/", Service: "print", MaxAttempts: 3, TimeoutMs: 1000, Stretch: 10,
		Permits: &pipelinev1.PermitTerms{DecisionMs: 20, PerUpstreamMs: 0.3, ValidMs: ticketLife.Milliseconds()}})
	if r := h.call(&pipelinev1.Call{Call: &pipelinev1.Call_PutConfig{PutConfig: &pipelinev1.PutConfigCall{Config: c}}}); h.state.Config().Version() != 2 {
		t.Fatal(r)
	}
	caller := &fakeCaller{h: h, process: "entry-1", answerTime: 3 * tickStep}
	caller.poll(nil)
	for _, f := range h.upstreams {
		f.runTime = time.Minute
	}
	filler := oneStep(14, 60_000)
	filler.Checkpointing = true
	h.submit(jobID(1), filler)
	h.run(time.Second)
	return h, caller
}

// byUpstream returns the numbers of tasks by upstream.
func byUpstream(list []WhereUpstream) string {
	counts := make(map[string]int)
	for _, u := range list {
		counts[u.ID] += u.Tasks
	}
	return fmt.Sprint(counts)
}

// TestWhereMatchesTheSubmission guards against an answer that differs from what the leader decides when the same job
// is submitted right after it, and against questions that change what the leader decides by.
func TestWhereMatchesTheSubmission(t *testing.T) {
	gang, wide, narrow, lasting := oneStep(2, 1000), oneStep(5, 1000), oneStep(1, 1000), oneStep(2, 1000)
	gang.Gang, lasting.Lasting, narrow.Constraint = true, true, "none has this label"
	tooLarge := oneStep(2, 1000)
	tooLarge.Gang, tooLarge.Need.MilliCores = true, 3000
	for name, step := range map[string]*pipelinev1.Step{"one task": oneStep(1, 1000), "gang": gang, "more than fits": wide, "no label": narrow, "lasting": lasting, "large gang": tooLarge} {
		t.Run(name, func(t *testing.T) {
			h, _ := whereHarness(t)
			spec := &pipelinev1.JobSpec{Queue: testQueue, Steps: []*pipelinev1.Step{step}}
			answer := h.askWhere(spec)
			if !answer.Admitted || len(answer.Now) != 1 {
				t.Fatalf("%+v", answer)
			}
			h.submitSpec(jobID(2), spec)
			h.run(tickStep)
			placed := make(map[string]int)
			st := h.state.Job(jobID(2)).Occurrences[0].Steps[0]
			for _, r := range st.LiveRuns() {
				placed[r.Upstream.GetId()]++
			}
			now := answer.Now[0]
			if got := byUpstream(now.Upstreams); got != fmt.Sprint(placed) || now.Waiting != len(st.Tasks)-len(st.LiveRuns()) {
				t.Errorf("forecast %s and %d waiting, placed %v of %d: %+v", got, now.Waiting, placed, len(st.Tasks), now)
			}
			if (now.Waiting > 0) != (now.Why != "") {
				t.Errorf("%d tasks wait: %q", now.Waiting, now.Why)
			}
			known := h.askWhereOf(WhereQuestion{Request: jobID(2)})
			if !known.Admitted || len(known.Now) != min(1, now.Waiting) || len(known.Now) > 0 && known.Now[0].Waiting != now.Waiting {
				t.Errorf("of the submitted job: %+v; want the %d tasks that wait", known, now.Waiting)
			}
		})
	}
}

// TestWhereTellsQuestionsAndPreemption expects the upstreams that a step with permits asks about, and the runs that it
// stops once they are allowed, to be those of the step that is then submitted.
func TestWhereTellsQuestionsAndPreemption(t *testing.T) {
	h, caller := whereHarness(t)
	spec := &pipelinev1.JobSpec{Queue: "urgent", Steps: []*pipelinev1.Step{oneStep(4, 1000)}}
	answer := h.askWhere(spec)
	if len(answer.Now) != 1 || len(answer.Next) != 1 || len(answer.Next[0].Stops) != 2 || answer.Now[0].Why == "" {
		t.Fatalf("%+v", answer)
	}
	stopped := make(map[string]bool)
	h.onOrder = func(_ *fakeUpstream, key pipeline.RunKey) { stopped[fmt.Sprint(key.Job, key.Step, key.Index)] = true }
	sum := sha256.Sum256([]byte(testKey))
	h.call(&pipelinev1.Call{Call: &pipelinev1.Call_Job{Job: &pipelinev1.JobCall{Verb: pipelinev1.JobVerb_JOB_VERB_SUBMIT, Host: "h",
		Path: "/urgent/" + jobID(2), KeySha256: sum[:], Spec: spec}}})
	h.run(time.Second)
	var asked []string
	for _, u := range answer.Now[0].Asks {
		asked = append(asked, u.ID)
	}
	first := caller.asked[0].GetUpstreams()
	slices.Sort(asked)
	slices.Sort(first)
	if !slices.Equal(asked, first) {
		t.Errorf("forecast a question about %v, asked about %v", asked, first)
	}
	for _, s := range answer.Next[0].Stops {
		if !stopped[fmt.Sprint(s.Request, s.Step, s.Task)] {
			t.Errorf("forecast a stop of %+v, stopped %v", s, stopped)
		}
	}
}

// TestWhereCountsNoCaller guards against questions that move the time at which refused callers return.
func TestWhereCountsNoCaller(t *testing.T) {
	h := newHarness(t, "w1")
	for range pipeline.MaxLiveJobs {
		h.engine.admission.JobAdded("other")
	}
	for range pipeline.MaxLiveJobs / 2 {
		h.engine.admission.JobAdded("montevideo")
	}
	spec := &pipelinev1.JobSpec{Queue: testQueue, Steps: []*pipelinev1.Step{oneStep(1, 1000)}}
	first := h.askWhere(spec)
	second := h.askWhere(spec)
	r := h.send(jobID(1), spec)
	h.drain()
	if first.Admitted || first.Reason != r.GetDetail() || first.RetryAfterMS != r.GetRetryAfterMs() || second.RetryAfterMS != first.RetryAfterMS {
		t.Errorf("answers %+v and %+v, submission %v", first, second, r.Reply)
	}
	unknown := h.askWhere(&pipelinev1.JobSpec{Queue: "none"})
	if unknown.Admitted || unknown.Verdict != "no_queue" {
		t.Errorf("%+v", unknown)
	}
}

// TestWhereIsBounded guards against questions that slow the leader: one is answered a second, none while placements
// are uncommitted, and none where the replica does not lead.
func TestWhereIsBounded(t *testing.T) {
	h := newHarness(t, "w1")
	spec := &pipelinev1.JobSpec{Queue: testQueue, Steps: []*pipelinev1.Step{oneStep(4, 1000)}}
	h.onPropose = func(c *pipelinev1.Command) { h.holdCommits = h.holdCommits || c.GetPlace() != nil }
	h.submit(jobID(1), oneStep(4, 1000))
	var answers []*Where
	var failures []error
	ask := func() {
		h.engine.Where(WhereQuestion{Team: "montevideo", Spec: spec}, func(w *Where, err error) {
			if err != nil {
				failures = append(failures, err)
				return
			}
			answers = append(answers, w)
		})
	}
	ask()
	if len(answers) > 0 || len(failures) > 0 {
		t.Fatal("answered before the placements were committed")
	}
	h.onPropose = nil
	h.commit()
	if len(answers) != 1 || answers[0].Now[0].Waiting != 4 {
		t.Fatalf("%+v %v; want an answer that counts the placements", answers, failures)
	}
	ask()
	if len(failures) != 1 || !errors.Is(failures[0], ErrWhereBusy) {
		t.Errorf("second question within a second: %v", failures)
	}
	h.engine.Reset()
	ask()
	if len(failures) != 2 || !errors.Is(failures[1], control.ErrNotLeader) {
		t.Errorf("without a leadership: %v", failures)
	}
}
