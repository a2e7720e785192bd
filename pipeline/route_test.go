package pipeline

import (
	"testing"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// reconfigure puts a configuration in force that differs from the harness's by change.
func (h *harness) reconfigure(change func(*pipelinev1.Config)) {
	h.t.Helper()
	c := h.config(h.Config().GetVersion() + 1)
	change(c)
	if r := h.put(c); r.GetVerdict() != pipelinev1.Verdict_VERDICT_OK {
		h.t.Fatalf("configuration refused: %v", r)
	}
}

// renameQueue gives testQueue another name.
func renameQueue(c *pipelinev1.Config) { c.Queues[0].Name = "renamed" }

// A snapshot of a version that did not record the accepting queue names it only. The job belongs to the queue that has
// the name in the snapshot's configuration, also when a later one renames it.
func TestSnapshotWithoutAcceptingQueue(t *testing.T) {
	h := newHarness(t)
	h.submit("a", step(1, 1))
	restored := &harness{State: New(), t: t, now: h.now}
	for _, r := range h.Records() {
		if j := r.GetJob(); j != nil {
			j.Terms = nil
		}
		if err := restored.Restore(r); err != nil {
			t.Fatal(err)
		}
	}
	restored.reconfigure(renameQueue)
	a, refused := restored.Access("h", "/labels/a", hashOf(testKey))
	if refused != nil || restored.JobOf(a) == nil {
		t.Errorf("the job is not known: %v", refused)
	}
}

// A submission is refused if another queue has got its path by the time it is applied, and the path names no job there.
func TestSubmissionWhosePathNamesNoJobAnyMore(t *testing.T) {
	h := newHarness(t)
	h.reconfigure(func(c *pipelinev1.Config) {
		c.Queues = append(c.Queues, &pipelinev1.Queue{Name: "longer", Host: "h", PathPrefix: "/labels/a", Service: "print", TimeoutMs: 1000})
	})
	s := &pipelinev1.Submit{KeySha256: hashOf(testKey), Host: "h", Path: "/labels/ab", Spec: &pipelinev1.JobSpec{Id: "ab", Queue: testQueue, Steps: []*pipelinev1.Step{step(1, 1)}}}
	if r := h.apply(&pipelinev1.Command{Command: &pipelinev1.Command_Submit{Submit: s}}).Reply; r.GetVerdict() != pipelinev1.Verdict_VERDICT_INVALID || len(h.Jobs()) > 0 {
		t.Errorf("got %v, %d jobs", r, len(h.Jobs()))
	}
}

// The settings of a job are those of the queue at its route in the active configuration, whatever its name, and those at
// acceptance while no queue is there. They were those of whichever queue had the name.
func TestSettingsFollowTheRoute(t *testing.T) {
	moved := func(c *pipelinev1.Config, name, service string) {
		renameQueue(c)
		c.Queues[0].Service, c.Queues[0].MaxAttempts = service, 7
		c.Queues = append(c.Queues, &pipelinev1.Queue{Name: name, Host: "h", PathPrefix: "/elsewhere/", Service: "other", MaxAttempts: 9, TimeoutMs: 1000})
	}
	gone := func(c *pipelinev1.Config) { c.Queues = c.Queues[1:] }
	for name, c := range map[string]struct {
		change   func(*pipelinev1.Config)
		service  string
		attempts int32
	}{
		"renamed, with new settings":                {func(c *pipelinev1.Config) { moved(c, "new", "print") }, "print", 7},
		"renamed, and another queue takes its name": {func(c *pipelinev1.Config) { moved(c, testQueue, "print") }, "print", 7},
		"renamed, with another service":             {func(c *pipelinev1.Config) { moved(c, "new", "other") }, "other", 7},
		"gone":                                      {gone, "print", 2},
		"gone, and another queue takes its name": {func(c *pipelinev1.Config) {
			gone(c)
			c.Queues[0].Name, c.Queues[0].Service = testQueue, "other"
		}, "print", 2},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.submit("a", step(1, 1))
			h.reconfigure(c.change)
			for _, h := range []*harness{h, h.restored()} {
				if q := h.JobQueue(h.Job("a")); q.GetService() != c.service || q.GetMaxAttempts() != c.attempts {
					t.Errorf("service %s, %d attempts", q.GetService(), q.GetMaxAttempts())
				}
			}
		})
	}
}

// A queue that is away for one configuration and comes back under another name is the same one.
func TestQueueComesBackUnderAnotherName(t *testing.T) {
	h := newHarness(t)
	h.submit("a", step(1, 1))
	h.reconfigure(func(c *pipelinev1.Config) { c.Queues = c.Queues[1:] })
	if _, refused := h.Access("h", "/labels/a", hashOf(testKey)); refused.GetVerdict() != pipelinev1.Verdict_VERDICT_NO_QUEUE {
		t.Errorf("while it is away: %v", refused)
	}
	h = h.restored()
	h.reconfigure(func(c *pipelinev1.Config) {
		renameQueue(c)
		c.Queues[0].MaxAttempts = 8
	})
	a, refused := h.Access("h", "/labels/a", hashOf(testKey))
	if refused != nil || h.JobOf(a) == nil || h.JobQueue(h.Job("a")).GetMaxAttempts() != 8 {
		t.Errorf("after its return: %v, job %v", refused, h.JobOf(a))
	}
}

// The letters of a host mean the same in either case, in a configuration and in a call. A route with a capital letter was
// never found.
func TestHostsAreComparedWithoutCase(t *testing.T) {
	h := newHarness(t)
	h.submit("a", step(1, 1))
	capital := func(c *pipelinev1.Config) { c.Queues[0].Host = "H" }
	h.reconfigure(capital)
	for _, host := range []string{"h", "H"} {
		a, refused := h.Access(host, "/labels/a", hashOf(testKey))
		if refused != nil || h.JobOf(a) == nil {
			t.Errorf("host %s: %v, job %v", host, refused, h.JobOf(a))
		}
	}
	if got := h.Pending(testRoute); got != 1 {
		t.Errorf("%d jobs are pending", got)
	}
	c := h.config(9)
	capital(c)
	c.Queues[1].Host, c.Queues[1].PathPrefix = "h", c.Queues[0].PathPrefix
	if got := h.put(c); got.GetVerdict() != pipelinev1.Verdict_VERDICT_INVALID {
		t.Errorf("two queues whose hosts differ in case only: %v", got)
	}
	c.StableIdentities = false
	if got := h.put(c); got.GetVerdict() != pipelinev1.Verdict_VERDICT_OK {
		t.Errorf("an entry of the release before: %v", got)
	}
}
