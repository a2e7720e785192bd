package dispatch

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/bulrushwinch/bulrushwinch/placement"
	"google.golang.org/protobuf/proto"
)

// fakeCaller simulates a process that forwards questions to the permit service. An answer takes
// answerTime; upstreams in denied are never allowed.
type fakeCaller struct {
	h          *harness
	process    string
	answerTime time.Duration
	denied     map[string]bool
	// asked holds the received questions in order.
	asked []*pipelinev1.PermitQuestion
}

const ticketLife = 2 * time.Second

// pollAs begins polling under a process name with the given answer time.
func (c *fakeCaller) pollAs(process string, takes time.Duration) {
	c.process, c.answerTime = process, takes
	c.poll(nil)
}

// poll sends a poll with an answer, which may be nil, and then answers the questions that it
// receives.
func (c *fakeCaller) poll(answer *pipelinev1.PermitAnswer) {
	call := &pipelinev1.Call{Call: &pipelinev1.Call_PermitPoll{PermitPoll: &pipelinev1.PermitPoll{Process: c.process, Answer: answer, CanAsk: true}}}
	c.h.engine.Handle(context.Background(), call, func(r *pipelinev1.Reply, err error) {
		q := r.GetQuestion()
		if err != nil {
			return
		}
		if q == nil {
			c.h.delayed = append(c.h.delayed, delayed{c.h.now + tickStep, func() { c.poll(nil) }})
			return
		}
		c.asked = append(c.asked, q)
		c.h.delayed = append(c.h.delayed, delayed{c.h.now + c.answerTime, func() { c.poll(c.answer(q)) }})
	})
}

// answer allows all upstreams of a question that are not denied.
func (c *fakeCaller) answer(q *pipelinev1.PermitQuestion) *pipelinev1.PermitAnswer {
	out := &pipelinev1.PermitAnswer{Id: q.GetId(), Answered: true, ValidMs: ticketLife.Milliseconds()}
	for _, id := range q.GetUpstreams() {
		if !c.denied[id] {
			out.Permits = append(out.Permits, &pipelinev1.Permit{Upstream: id, Ticket: "ticket"})
		}
	}
	return out
}

// withPermits makes the test queue require permits, and returns a caller that does not poll yet.
func withPermits(h *harness, decisionMS, perUpstreamMS float64) *fakeCaller {
	c := testConfig()
	c.Version = 2
	c.Queues[0].Permits = &pipelinev1.PermitTerms{DecisionMs: decisionMS, PerUpstreamMs: perUpstreamMS, ValidMs: ticketLife.Milliseconds()}
	h.call(&pipelinev1.Call{Call: &pipelinev1.Call_PutConfig{PutConfig: &pipelinev1.PutConfigCall{Config: c}}})
	return &fakeCaller{h: h, process: "entry-1", answerTime: 3 * tickStep, denied: make(map[string]bool)}
}

// Permits for the next step are requested while the previous step still runs.
func TestPermitsOfTheNextStepAreAskedAhead(t *testing.T) {
	h := newHarness(t, "w1", "w2")
	c := withPermits(h, 20, 0.3)
	c.poll(nil)
	second := oneStep(2, 1000)
	second.DependsOn = []int32{0}
	h.submit(jobID(1), oneStep(2, 1000), second)
	job := h.state.Job(jobID(1))
	for job.Occurrences[0].Steps[0].Undone > 0 && h.now < 10*time.Second {
		h.run(tickStep)
	}
	if len(c.asked) != 2 || c.asked[1].GetStep().GetStep() != 1 {
		t.Fatalf("%d questions before the first step was done", len(c.asked))
	}
	h.run(tickStep)
	if got := len(job.Occurrences[0].Steps[1].LiveRuns()); got != 2 {
		t.Errorf("%d of 2 tasks of the second step run right after the first one", got)
	}
	h.run(3 * time.Second)
	if got := h.jobState(jobID(1)); got != pipeline.Completed {
		t.Errorf("state %s", got)
	}
	if len(c.asked) != 2 {
		t.Errorf("%d questions were asked for two steps", len(c.asked))
	}
}

// A gang that needs more upstreams than fit in one question asks several questions.
func TestLargeGangIsAskedForInSeveralQuestions(t *testing.T) {
	var names []string
	for i := range 60 {
		names = append(names, string(rune('a'+i/26))+string(rune('a'+i%26)))
	}
	h := newHarness(t, names...)
	c := withPermits(h, 420, 6)
	for i, id := range names {
		c.denied[id] = i%3 != 0
	}
	c.poll(nil)
	gang := oneStep(20, 1000)
	gang.Gang, gang.Need.MilliCores = true, 3000
	h.submit(jobID(1), gang)
	h.run(10 * time.Second)
	if got := h.jobState(jobID(1)); got != pipeline.Completed {
		t.Errorf("state %s after %d questions", got, len(c.asked))
	}
	h.check()
}

// A gang finds capacity in a cell that small steps keep full, with and without permits.
func TestGangDoesNotStarve(t *testing.T) {
	t.Run("permits", func(t *testing.T) {
		h := newHarness(t, "w1", "w2", "w3", "w4", "w5", "w6")
		for _, name := range []string{"entry-1", "entry-2", "entry-3", "entry-4", "entry-5", "entry-6"} {
			withPermits(h, 420, 6).pollAs(name, tickStep)
		}
		testGangDoesNotStarve(t, h)
	})
	t.Run("none", func(t *testing.T) { testGangDoesNotStarve(t, newHarness(t, "w1", "w2", "w3", "w4", "w5", "w6")) })
}

func testGangDoesNotStarve(t *testing.T, h *harness) {
	for _, f := range h.upstreams {
		f.extraPerIndex = 450 * time.Millisecond
	}
	next := 10
	small := func(rounds int) {
		for range rounds {
			for range 2 {
				h.submit(jobID(next), oneStep(2, 100))
				next++
			}
			h.run(2 * tickStep)
		}
	}
	small(15)
	gang := oneStep(2, 1000)
	gang.Gang, gang.Need.MilliCores = true, 4000
	h.submit(jobID(1), gang)
	small(90)
	if job := h.state.Job(jobID(1)); job.State == pipeline.Queued {
		t.Error("the gang has not started within nine seconds")
	}
	h.check()
}

// A job that comes after a burst does not wait for the permits of all jobs of the burst.
func TestJobAfterABurstWaitsForThePermitsOfTheBurst(t *testing.T) {
	var names []string
	for i := range 40 {
		names = append(names, fmt.Sprintf("w%02d", i))
	}
	h := newHarness(t, names...)
	c := withPermits(h, 20, 0.3)
	c.pollAs("entry-1", tickStep)
	const burst = 120
	for i := range burst {
		h.submit(jobID(i), oneStep(1, 500))
	}
	h.run(2 * time.Second)
	if n := len(h.engine.permits.waiting); n > 1 {
		t.Errorf("%d questions were composed for one caller long before it could put them", n)
	}
	h.submit(jobID(burst), oneStep(1, 500))
	h.run(time.Second)
	if got := h.jobState(jobID(burst)); got != pipeline.Completed && got != pipeline.Running {
		t.Errorf("the job that came after the burst is %s after a second", got)
	}
	h.run(10 * time.Second)
	for i := range burst + 1 {
		if got := h.jobState(jobID(i)); got != pipeline.Completed {
			t.Errorf("job %d: state %s", i, got)
		}
	}
	h.check()
}

// A question of an urgent queue does not wait until those of other queues are put.
func TestUrgentQuestionWaitsUntilOthersArePut(t *testing.T) {
	h := newHarness(t, "w1", "w2", "w3", "w4")
	c := withPermits(h, 20, 0.3)
	config := testConfig()
	config.Version = 3
	config.Queues[0].Permits = &pipelinev1.PermitTerms{DecisionMs: 20, PerUpstreamMs: 0.3, ValidMs: ticketLife.Milliseconds()}
	batch := proto.CloneOf(config.Queues[0])
	batch.Name, batch.PathPrefix, batch.Priority = "batch", "/labels/batch/", 2
	config.Queues = append(config.Queues, batch)
	h.call(&pipelinev1.Call{Call: &pipelinev1.Call_PutConfig{PutConfig: &pipelinev1.PutConfigCall{Config: config}}})
	c.answerTime = time.Second
	c.poll(nil)
	for i := range 5 {
		h.submit("batch/"+jobID(i), oneStep(1, 500))
	}
	h.submit(jobID(5), oneStep(1, 500))
	h.run(tickStep)
	if w := h.engine.cell.Steps[h.state.Job(jobID(5)).Occurrences[0].Steps[0]]; len(w.Pending) == 0 {
		t.Error("the urgent step's question is not queued")
	}
}

// Questions for work that is past its use are put after all others, whatever its queue: under overload they would keep
// callers from work that can still be of use.
func TestQuestionsPastUseArePutLast(t *testing.T) {
	var p permitScheduler
	for _, q := range []*placement.Question{{Priority: 0, PastUse: true}, {Priority: 2}, {Priority: 0}, {Priority: 2, PastUse: true}} {
		p.enqueue(q, 0)
	}
	var got []uint64
	for _, q := range p.waiting {
		got = append(got, q.ID)
	}
	if want := []uint64{3, 2, 1, 4}; !slices.Equal(got, want) {
		t.Errorf("questions are put in the order %v, not %v", got, want)
	}
}
