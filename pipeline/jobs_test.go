package pipeline

import (
	"fmt"
	"testing"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"google.golang.org/protobuf/proto"
)

func TestStepsRunInOrder(t *testing.T) {
	w := newTestState(t)
	w.submit("j", step(2, 1), step(1, 1, 0))
	w.mustPlace(run("j", 0, 0, 1, "w1"), run("j", 0, 1, 1, "w2"))
	w.end(run("j", 0, 0, 1, "w1"), done, 1)
	if got := w.place(run("j", 1, 0, 1, "w1")); len(got.Refused) != 1 || got.Refused[0].Why != PlaceDependency {
		t.Fatalf("got %v", got.Refused)
	}
	w.end(run("j", 0, 1, 1, "w2"), done, 1)
	w.mustPlace(run("j", 1, 0, 1, "w1"))
	if j := w.Job("j"); j.State != Running {
		t.Fatalf("state %s", j.State)
	}
	w.end(run("j", 1, 0, 1, "w1"), done, 2)
	if j := w.Job("j"); j.State != Completed {
		t.Fatalf("state %s", j.State)
	}
}

// Only END_KIND_FAILED counts as a failed attempt, and a task that is done never runs again.
func TestAttempts(t *testing.T) {
	w := newTestState(t)
	w.submit("j", step(2, 1))
	w.mustPlace(run("j", 0, 0, 1, "w1"), run("j", 0, 1, 1, "w1"))
	w.end(run("j", 0, 0, 1, "w1"), lost, 0)
	w.end(run("j", 0, 1, 1, "w1"), done, 1)
	if got := w.place(run("j", 0, 1, 2, "w1")); len(got.Refused) != 1 || got.Refused[0].Why != PlaceNoTask {
		t.Fatalf("a done task was placed again: %v", got)
	}
	for n := int32(2); n <= 3; n++ {
		w.mustPlace(run("j", 0, 0, n, "w1"))
		w.end(run("j", 0, 0, n, "w1"), failed, int64(n))
	}
	if j := w.Job("j"); j.State != Failed {
		t.Errorf("state %s after two failed attempts of two", j.State)
	}
}

func TestLastingTasksHaveNoBoundOfAttempts(t *testing.T) {
	w := newTestState(t)
	lasting := step(1, 1)
	lasting.Lasting = true
	w.submit("j", lasting)
	for n := int32(1); n <= 5; n++ {
		w.mustPlace(run("j", 0, 0, n, "w1"))
		w.end(run("j", 0, 0, n, "w1"), failed, int64(n))
	}
	if j := w.Job("j"); j.State != Running {
		t.Errorf("state %s", j.State)
	}
}

// The first successful member of a gang completes the step, and several failed members of one run
// count as one failure.
func TestGangEnds(t *testing.T) {
	w := newTestState(t)
	gang := step(2, 1)
	gang.Gang = true
	w.submit("j", gang)
	w.mustPlace(run("j", 0, 0, 1, "w1"), run("j", 0, 1, 1, "w2"))
	w.end(run("j", 0, 0, 1, "w1"), failed, 1)
	w.end(run("j", 0, 1, 1, "w2"), failed, 1)
	if j := w.Job("j"); j.State != Running || j.Occurrences[0].Steps[0].Failures != 1 {
		t.Fatalf("state %s, failures %d", j.State, j.Occurrences[0].Steps[0].Failures)
	}
	w.mustPlace(run("j", 0, 0, 2, "w1"), run("j", 0, 1, 2, "w2"))
	w.end(run("j", 0, 0, 2, "w1"), done, 2)
	if j := w.Job("j"); j.State != Completed {
		t.Errorf("state %s", j.State)
	}
}

// A new incarnation loses the runs of the older one except those that it still lists.
func TestRebirthKeepsWhatIsListed(t *testing.T) {
	w := newTestState(t)
	w.submit("j", step(2, 1))
	w.mustPlace(run("j", 0, 0, 1, "w1"), run("j", 0, 1, 1, "w1"))
	w.replaceUpstream("w1", 20, run("j", 0, 1, 1, "w1"))
	tasks := w.Job("j").Occurrences[0].Steps[0].Tasks
	if len(tasks[0].Live) != 0 || len(tasks[1].Live) != 1 || tasks[1].Live[0].Born != 20 {
		t.Errorf("live %d and %d", len(tasks[0].Live), len(tasks[1].Live))
	}
	// A delayed heartbeat of the older incarnation changes nothing.
	w.replaceUpstream("w1", 10)
	if w.upstreams["w1"].GetBorn() != 20 || len(tasks[1].Live) != 1 {
		t.Error("an older incarnation replaced the newer one")
	}
}

func TestSubmitIsIdempotent(t *testing.T) {
	w := newTestState(t)
	first := w.submit("j", step(1, 1))
	again := w.submit("j", step(1, 1))
	if first.Verdict != pipelinev1.Verdict_VERDICT_OK || again.Verdict != pipelinev1.Verdict_VERDICT_OK || len(w.Jobs()) != 1 {
		t.Errorf("verdicts %v and %v, %d jobs", first.Verdict, again.Verdict, len(w.Jobs()))
	}
	other := w.apply(&pipelinev1.Command{Command: &pipelinev1.Command_Submit{Submit: &pipelinev1.Submit{KeySha256: hashOf(testKey),
		Spec: &pipelinev1.JobSpec{Id: "j", Queue: testQueue, Steps: []*pipelinev1.Step{step(2, 1)}}, Digest: []byte("other")}}}).Reply
	if other.Verdict != pipelinev1.Verdict_VERDICT_CONFLICT {
		t.Errorf("another job under the same identity: %v", other.Verdict)
	}
}

func TestWithdrawnKeyIsRefusedInTheLog(t *testing.T) {
	w := newTestState(t)
	c := w.config(2)
	c.Teams[0].KeySha256 = nil
	w.put(c)
	if got := w.submit("j", step(1, 1)); got.Verdict != pipelinev1.Verdict_VERDICT_UNKNOWN_KEY {
		t.Errorf("verdict %v", got.Verdict)
	}
	if got := w.submitAs("no key", "k", &pipelinev1.JobSpec{Id: "k", Queue: "open", Steps: []*pipelinev1.Step{step(1, 1)}}); got.Verdict != pipelinev1.Verdict_VERDICT_OK {
		t.Errorf("open queue: %v", got.Verdict)
	}
}

func TestConfigVersions(t *testing.T) {
	w := newTestState(t)
	w.put(w.config(5))
	older := w.config(3)
	older.Queues = older.Queues[:1]
	same := w.config(5)
	same.Document = []byte("other text")
	for _, c := range []*pipelinev1.Config{older, same} {
		if got := w.put(c); got.Verdict != pipelinev1.Verdict_VERDICT_OK {
			t.Errorf("version %d: %v", c.Version, got.Verdict)
		}
		if w.Config().Version() != 5 || string(w.Config().GetDocument()) != "text" || w.Config().Queue("open") == nil {
			t.Errorf("version %d took effect", c.Version)
		}
	}
}

func TestInvalidConfigs(t *testing.T) {
	tests := map[string]func(*pipelinev1.Config){
		"unknown service": func(c *pipelinev1.Config) { c.Queues[0].Service = "nowhere" },
		"same place":      func(c *pipelinev1.Config) { c.Queues[1].PathPrefix = c.Queues[0].PathPrefix },
		"no timeout":      func(c *pipelinev1.Config) { c.Queues[0].TimeoutMs = 0 },
		"shared key": func(c *pipelinev1.Config) {
			c.Teams = append(c.Teams, &pipelinev1.Team{Name: "x", KeySha256: c.Teams[0].KeySha256})
		},
	}
	for name, mutate := range tests {
		w := newTestState(t)
		c := w.config(9)
		mutate(c)
		if got := w.put(c); got.Verdict != pipelinev1.Verdict_VERDICT_INVALID || w.Config().Version() != 1 {
			t.Errorf("%s: %v, version %d in force", name, got.Verdict, w.Config().Version())
		}
	}
}

func TestBadSpecs(t *testing.T) {
	tests := map[string]*pipelinev1.JobSpec{
		"no steps":      {},
		"zero count":    {Steps: []*pipelinev1.Step{step(0, 1)}},
		"own successor": {Steps: []*pipelinev1.Step{step(1, 1, 0)}},
		"later step":    {Steps: []*pipelinev1.Step{step(1, 1, 1), step(1, 1)}},
		"negative":      {Steps: []*pipelinev1.Step{step(1, -1)}},
		"huge":          {Steps: []*pipelinev1.Step{step(MaxTasks+1, 1)}},
		"many times":    {Steps: []*pipelinev1.Step{step(1, 1)}, RepeatCount: MaxOccurrences + 1},
	}
	for name, spec := range tests {
		if CheckSpec(spec) == "" {
			t.Errorf("%s: accepted", name)
		}
	}
}

// A state restored from a snapshot encodes to the same records and has the same counts as the
// original.
func TestSnapshotRestores(t *testing.T) {
	w := newTestState(t)
	w.submit("a", step(2, 1), step(1, 1, 0))
	w.submit("b", step(1, 1))
	w.submit("c", step(1, 1))
	w.mustPlace(run("a", 0, 0, 1, "w1"), run("a", 0, 1, 1, "w2"))
	w.end(run("a", 0, 0, 1, "w1"), done, 7)
	w.cancel("b")
	w.setDomain(&pipelinev1.SetDomain{Name: "cordon", Out: true})
	restored := New()
	restored.Reset()
	for _, r := range w.Records() {
		data, err := proto.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		back := &pipelinev1.Record{}
		if err := proto.Unmarshal(data, back); err != nil {
			t.Fatal(err)
		}
		if err := restored.Restore(back); err != nil {
			t.Fatal(err)
		}
	}
	first, second := w.Records(), restored.Records()
	if len(first) != len(second) {
		t.Fatalf("%d records, then %d", len(first), len(second))
	}
	for i := range first {
		if !proto.Equal(first[i], second[i]) {
			t.Errorf("record %d: %v, then %v", i, first[i], second[i])
		}
	}
	if restored.Pending(testQueue) != w.Pending(testQueue) || restored.Used(testTeam) != w.Used(testTeam) {
		t.Errorf("pending %d and %d, used %v and %v", restored.Pending(testQueue), w.Pending(testQueue), restored.Used(testTeam), w.Used(testTeam))
	}
}

func TestTooManyLiveJobsAreRefused(t *testing.T) {
	w := newTestState(t)
	spec := func(n int) *pipelinev1.JobSpec {
		return &pipelinev1.JobSpec{Id: fmt.Sprint(n), Queue: testQueue, Steps: []*pipelinev1.Step{step(1, 1)}}
	}
	for n := range MaxLiveJobs {
		w.submitAs(testKey, fmt.Sprint(n), spec(n))
	}
	if got := w.submitAs(testKey, "more", spec(MaxLiveJobs)); got.Verdict != pipelinev1.Verdict_VERDICT_NOT_NOW || got.RetryAfterMs == 0 {
		t.Errorf("one job too many: %v", got)
	}
	if got := w.submitAs(testKey, "0", spec(0)); got.Verdict != pipelinev1.Verdict_VERDICT_OK {
		t.Errorf("a known job sent again: %v", got.Verdict)
	}
	w.cancel("0")
	if got := w.submitAs(testKey, "more", spec(MaxLiveJobs)); got.Verdict != pipelinev1.Verdict_VERDICT_OK {
		t.Errorf("after one has ended: %v", got.Verdict)
	}
}

func TestSweepKeepsJobsWithRuns(t *testing.T) {
	w := newTestState(t)
	w.submit("a", step(1, 1))
	w.submit("b", step(1, 1))
	w.mustPlace(run("a", 0, 0, 1, "w1"))
	w.cancel("a")
	w.cancel("b")
	w.now += 2 * int64(Retention)
	w.apply(&pipelinev1.Command{Command: &pipelinev1.Command_Sweep{Sweep: &pipelinev1.Sweep{}}})
	if w.Job("a") == nil || w.Job("b") != nil {
		t.Errorf("a kept: %t, b kept: %t", w.Job("a") != nil, w.Job("b") != nil)
	}
}

// A job whose task has used up its attempts ends only when no copy of the task is left, because the
// copy may still succeed.
func TestCopyMayStillBeDoneAfterTheLastFailure(t *testing.T) {
	for _, test := range []struct {
		end  pipelinev1.EndKind
		want JobState
	}{{done, Completed}, {lost, Failed}} {
		w := newTestState(t)
		copies := step(1, 1)
		copies.Copies = true
		w.submit("j", copies)
		w.mustPlace(run("j", 0, 0, 1, "w1"))
		w.end(run("j", 0, 0, 1, "w1"), failed, 1)
		w.mustPlace(run("j", 0, 0, 2, "w1"))
		w.mustPlace(run("j", 0, 0, 3, "w2"))
		w.end(run("j", 0, 0, 2, "w1"), failed, 2)
		if got := w.Job("j").State; got != Running {
			t.Fatalf("state %s with a copy left", got)
		}
		if got := w.place(run("j", 0, 0, 4, "w1")); len(got.Refused) != 1 || got.Refused[0].Why != PlaceExhausted {
			t.Fatalf("placed after the last attempt: %v", got.Refused)
		}
		w.end(run("j", 0, 0, 3, "w2"), test.end, 1)
		if got := w.Job("j").State; got != test.want {
			t.Errorf("state %s after the copy's end, want %s", got, test.want)
		}
	}
}
