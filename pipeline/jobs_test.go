package pipeline

import (
	"fmt"
	"testing"
	"time"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"google.golang.org/protobuf/proto"
)

func TestStepsRunInOrder(t *testing.T) {
	h := newHarness(t)
	h.submit("j", step(2, 1), step(1, 1, 0))
	h.mustPlace(run("j", 0, 0, 1, "w1"), run("j", 0, 1, 1, "w2"))
	h.end(run("j", 0, 0, 1, "w1"), done, 1)
	if got := h.place(run("j", 1, 0, 1, "w1")); len(got.Refused) != 1 || got.Refused[0].Reason != PlaceDependency {
		t.Fatalf("got %v", got.Refused)
	}
	h.end(run("j", 0, 1, 1, "w2"), done, 1)
	h.mustPlace(run("j", 1, 0, 1, "w1"))
	if j := h.Job("j"); j.State != Running {
		t.Fatalf("state %s", j.State)
	}
	h.end(run("j", 1, 0, 1, "w1"), done, 2)
	if j := h.Job("j"); j.State != Completed {
		t.Fatalf("state %s", j.State)
	}
}

// Only END_KIND_FAILED counts as a failed attempt, and a task that is done never runs again.
func TestAttempts(t *testing.T) {
	h := newHarness(t)
	h.submit("j", step(2, 1))
	h.mustPlace(run("j", 0, 0, 1, "w1"), run("j", 0, 1, 1, "w1"))
	h.end(run("j", 0, 0, 1, "w1"), lost, 0)
	h.end(run("j", 0, 1, 1, "w1"), done, 1)
	if got := h.place(run("j", 0, 1, 2, "w1")); len(got.Refused) != 1 || got.Refused[0].Reason != PlaceNoTask {
		t.Fatalf("a done task was placed again: %v", got)
	}
	for n := int32(2); n <= 3; n++ {
		h.mustPlace(run("j", 0, 0, n, "w1"))
		h.end(run("j", 0, 0, n, "w1"), failed, int64(n))
	}
	if j := h.Job("j"); j.State != Failed {
		t.Errorf("state %s after two failed attempts of two", j.State)
	}
}

func TestLastingTasksHaveNoBoundOfAttempts(t *testing.T) {
	h := newHarness(t)
	lasting := step(1, 1)
	lasting.Lasting = true
	h.submit("j", lasting)
	for n := int32(1); n <= 5; n++ {
		h.mustPlace(run("j", 0, 0, n, "w1"))
		h.end(run("j", 0, 0, n, "w1"), failed, int64(n))
	}
	if j := h.Job("j"); j.State != Running {
		t.Errorf("state %s", j.State)
	}
}

// The first successful member of a gang completes the step, and several failed members of one run
// count as one failure.
func TestGangEnds(t *testing.T) {
	h := newHarness(t)
	gang := step(2, 1)
	gang.Gang = true
	h.submit("j", gang)
	h.mustPlace(run("j", 0, 0, 1, "w1"), run("j", 0, 1, 1, "w2"))
	h.end(run("j", 0, 0, 1, "w1"), failed, 1)
	h.end(run("j", 0, 1, 1, "w2"), failed, 1)
	if j := h.Job("j"); j.State != Running || j.Occurrences[0].Steps[0].Failures != 1 {
		t.Fatalf("state %s, failures %d", j.State, j.Occurrences[0].Steps[0].Failures)
	}
	h.mustPlace(run("j", 0, 0, 2, "w1"), run("j", 0, 1, 2, "w2"))
	h.end(run("j", 0, 0, 2, "w1"), done, 2)
	if j := h.Job("j"); j.State != Completed {
		t.Errorf("state %s", j.State)
	}
}

// A new incarnation loses the runs of the older one except those that it still lists.
func TestRebirthKeepsWhatIsListed(t *testing.T) {
	h := newHarness(t)
	h.submit("j", step(2, 1))
	h.mustPlace(run("j", 0, 0, 1, "w1"), run("j", 0, 1, 1, "w1"))
	h.replaceUpstream("w1", 20, run("j", 0, 1, 1, "w1"))
	tasks := h.Job("j").Occurrences[0].Steps[0].Tasks
	if len(tasks[0].Live) != 0 || len(tasks[1].Live) != 1 || tasks[1].Live[0].Born != 20 {
		t.Errorf("live %d and %d", len(tasks[0].Live), len(tasks[1].Live))
	}
	// A delayed heartbeat of the older incarnation changes nothing.
	h.replaceUpstream("w1", 10)
	if h.upstreams["w1"].GetBorn() != 20 || len(tasks[1].Live) != 1 {
		t.Error("an older incarnation replaced the newer one")
	}
}

func TestSubmitIsIdempotent(t *testing.T) {
	h := newHarness(t)
	first := h.submit("j", step(1, 1))
	again := h.submit("j", step(1, 1))
	if first.Verdict != pipelinev1.Verdict_VERDICT_OK || again.Verdict != pipelinev1.Verdict_VERDICT_OK || len(h.Jobs()) != 1 {
		t.Errorf("verdicts %v and %v, %d jobs", first.Verdict, again.Verdict, len(h.Jobs()))
	}
	other := h.apply(&pipelinev1.Command{Command: &pipelinev1.Command_Submit{Submit: &pipelinev1.Submit{KeySha256: hashOf(testKey),
		Spec: &pipelinev1.JobSpec{Id: "j", Queue: testQueue, Steps: []*pipelinev1.Step{step(2, 1)}}, Digest: []byte("other")}}}).Reply
	if other.Verdict != pipelinev1.Verdict_VERDICT_CONFLICT {
		t.Errorf("another job under the same identity: %v", other.Verdict)
	}
}

func TestWithdrawnKeyIsRefusedInTheLog(t *testing.T) {
	h := newHarness(t)
	c := h.config(2)
	c.Teams[0].KeySha256 = nil
	h.put(c)
	if got := h.submit("j", step(1, 1)); got.Verdict != pipelinev1.Verdict_VERDICT_UNKNOWN_KEY {
		t.Errorf("verdict %v", got.Verdict)
	}
	if got := h.submitAs("no key", "k", &pipelinev1.JobSpec{Id: "k", Queue: "open", Steps: []*pipelinev1.Step{step(1, 1)}}); got.Verdict != pipelinev1.Verdict_VERDICT_OK {
		t.Errorf("open queue: %v", got.Verdict)
	}
}

func TestConfigVersions(t *testing.T) {
	h := newHarness(t)
	h.put(h.config(5))
	older := h.config(3)
	older.Queues = older.Queues[:1]
	same := h.config(5)
	same.Document = []byte("other text")
	for _, c := range []*pipelinev1.Config{older, same} {
		if got := h.put(c); got.Verdict != pipelinev1.Verdict_VERDICT_OK {
			t.Errorf("version %d: %v", c.Version, got.Verdict)
		}
		if h.Config().Version() != 5 || string(h.Config().GetDocument()) != "text" || h.Config().Queue("open") == nil {
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
		h := newHarness(t)
		c := h.config(9)
		mutate(c)
		if got := h.put(c); got.Verdict != pipelinev1.Verdict_VERDICT_INVALID || h.Config().Version() != 1 {
			t.Errorf("%s: %v, version %d in force", name, got.Verdict, h.Config().Version())
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
	h := newHarness(t)
	h.submit("a", step(2, 1), step(1, 1, 0))
	h.submit("b", step(1, 1))
	h.submit("c", step(1, 1))
	h.mustPlace(run("a", 0, 0, 1, "w1"), run("a", 0, 1, 1, "w2"))
	h.end(run("a", 0, 0, 1, "w1"), done, 7)
	h.cancel("b")
	h.setDomain(&pipelinev1.SetDomain{Name: "cordon", Out: true})
	restored := New()
	restored.Reset()
	for _, r := range h.Records() {
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
	first, second := h.Records(), restored.Records()
	if len(first) != len(second) {
		t.Fatalf("%d records, then %d", len(first), len(second))
	}
	for i := range first {
		if !proto.Equal(first[i], second[i]) {
			t.Errorf("record %d: %v, then %v", i, first[i], second[i])
		}
	}
	if restored.Pending(testRoute) != h.Pending(testRoute) || restored.Used(testTeam) != h.Used(testTeam) {
		t.Errorf("pending %d and %d, used %v and %v", restored.Pending(testRoute), h.Pending(testRoute), restored.Used(testTeam), h.Used(testTeam))
	}
}

// Runs keep the time at which they were placed: the leader copies and gives up those that take too long. A
// snapshot of an older version does not tell it, and its runs count from when their job was accepted.
func TestSnapshotKeepsWhenRunsWerePlaced(t *testing.T) {
	h := newHarness(t)
	h.submit("a", step(1, 1))
	accepted := h.now
	h.now += int64(time.Hour)
	h.mustPlace(run("a", 0, 0, 1, "w1"))
	placed := h.now
	for _, older := range []bool{false, true} {
		restored, want := New(), placed
		restored.Reset()
		for _, r := range h.Records() {
			if older {
				r = proto.CloneOf(r)
				want = accepted
				for _, o := range r.GetJob().GetOccurrences() {
					o.Steps[0].Tasks[0].LivePlacedNs = nil
				}
			}
			if err := restored.Restore(r); err != nil {
				t.Fatal(err)
			}
		}
		live := restored.Job("a").Occurrences[0].Steps[0].Tasks[0].Live
		if len(live) != 1 || live[0].PlacedNS != want {
			t.Errorf("written by an older version: %v; restored %v, want %d", older, live, want)
		}
	}
}

func TestTooManyLiveJobsAreRefused(t *testing.T) {
	h := newHarness(t)
	spec := func(n int) *pipelinev1.JobSpec {
		return &pipelinev1.JobSpec{Id: fmt.Sprint(n), Queue: testQueue, Steps: []*pipelinev1.Step{step(1, 1)}}
	}
	for n := range MaxLiveJobs {
		h.submitAs(testKey, fmt.Sprint(n), spec(n))
	}
	if got := h.submitAs(testKey, "more", spec(MaxLiveJobs)); got.Verdict != pipelinev1.Verdict_VERDICT_NOT_NOW || got.RetryAfterMs == 0 {
		t.Errorf("one job too many: %v", got)
	}
	if got := h.submitAs(testKey, "0", spec(0)); got.Verdict != pipelinev1.Verdict_VERDICT_OK {
		t.Errorf("a known job sent again: %v", got.Verdict)
	}
	h.cancel("0")
	if got := h.submitAs(testKey, "more", spec(MaxLiveJobs)); got.Verdict != pipelinev1.Verdict_VERDICT_OK {
		t.Errorf("after one has ended: %v", got.Verdict)
	}
}

func TestSweepKeepsJobsWithRuns(t *testing.T) {
	h := newHarness(t)
	h.submit("a", step(1, 1))
	h.submit("b", step(1, 1))
	h.mustPlace(run("a", 0, 0, 1, "w1"))
	h.cancel("a")
	h.cancel("b")
	h.now += 2 * int64(Retention)
	h.apply(&pipelinev1.Command{Command: &pipelinev1.Command_Sweep{Sweep: &pipelinev1.Sweep{}}})
	if h.Job("a") == nil || h.Job("b") != nil {
		t.Errorf("a kept: %t, b kept: %t", h.Job("a") != nil, h.Job("b") != nil)
	}
}

// A job whose task has used up its attempts ends only when no copy of the task is left, because the
// copy may still succeed.
func TestCopyMayStillBeDoneAfterTheLastFailure(t *testing.T) {
	for _, test := range []struct {
		end  pipelinev1.EndKind
		want JobState
	}{{done, Completed}, {lost, Failed}} {
		h := newHarness(t)
		copies := step(1, 1)
		copies.Copies = true
		h.submit("j", copies)
		h.mustPlace(run("j", 0, 0, 1, "w1"))
		h.end(run("j", 0, 0, 1, "w1"), failed, 1)
		h.mustPlace(run("j", 0, 0, 2, "w1"))
		h.mustPlace(run("j", 0, 0, 3, "w2"))
		h.end(run("j", 0, 0, 2, "w1"), failed, 2)
		if got := h.Job("j").State; got != Running {
			t.Fatalf("state %s with a copy left", got)
		}
		if got := h.place(run("j", 0, 0, 4, "w1")); len(got.Refused) != 1 || got.Refused[0].Reason != PlaceExhausted {
			t.Fatalf("placed after the last attempt: %v", got.Refused)
		}
		h.end(run("j", 0, 0, 3, "w2"), test.end, 1)
		if got := h.Job("j").State; got != test.want {
			t.Errorf("state %s after the copy's end, want %s", got, test.want)
		}
	}
}
