package pipeline

import (
	"crypto/sha256"
	"testing"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

const (
	testTeam  = "montevideo"
	testQueue = "labels"
	testKey   = "a key"
)

// testRoute is the route of testQueue.
const testRoute Route = "h/labels/"

// harness is a State with two queues, one team and two upstreams of four cores. Each command
// that it applies advances the leader time by 1 ns.
type harness struct {
	*State
	t   *testing.T
	now int64
}

func newHarness(t *testing.T) *harness {
	h := &harness{State: New(), t: t, now: 1}
	h.put(h.config(1))
	for _, id := range []string{"w1", "w2"} {
		h.apply(&pipelinev1.Command{Command: &pipelinev1.Command_UpstreamSeen{UpstreamSeen: &pipelinev1.UpstreamSeen{Upstream: h.upstream(id, 10)}}})
	}
	return h
}

// hashOf returns the SHA-256 of a key.
func hashOf(key string) []byte {
	sum := sha256.Sum256([]byte(key))
	return sum[:]
}

func (h *harness) config(version uint64) *pipelinev1.Config {
	return &pipelinev1.Config{Version: version, Document: []byte("text"), StableIdentities: true,
		Queues: []*pipelinev1.Queue{{Name: testQueue, Host: "h", PathPrefix: "/labels/", Service: "print", MaxAttempts: 2, TimeoutMs: 1000},
			{Name: "open", Host: "h", PathPrefix: "/open/", Service: "print", TimeoutMs: 1000, Open: true}},
		Services: []*pipelinev1.Service{{Name: "print"}, {Name: "other"}},
		Teams: []*pipelinev1.Team{{Name: testTeam, KeySha256: [][]byte{hashOf(testKey)}, Weight: 1,
			Limit: &pipelinev1.Resources{MilliCores: 6000}}}}
}

func (h *harness) upstream(id string, born int64) *pipelinev1.Upstream {
	return &pipelinev1.Upstream{Id: id, Born: born, Service: "print", Address: "10.0.0.1:80", FailureDomain: "prado",
		Labels: []string{"a", "r1"}, Capacity: &pipelinev1.Resources{MilliCores: 4000, MemoryMib: 1000}}
}

func (h *harness) apply(c *pipelinev1.Command) *Result {
	h.now++
	return h.State.Apply(h.now, c)
}

func (h *harness) put(c *pipelinev1.Config) *pipelinev1.Reply {
	return h.apply(&pipelinev1.Command{Command: &pipelinev1.Command_PutConfig{PutConfig: c}}).Reply
}

// step returns a step specification; cores is what each task needs.
func step(count int32, cores int64, dependsOn ...int32) *pipelinev1.Step {
	return &pipelinev1.Step{Count: count, Need: &pipelinev1.Resources{MilliCores: cores * 1000, MemoryMib: 1}, DependsOn: dependsOn}
}

func (h *harness) submit(id string, steps ...*pipelinev1.Step) *pipelinev1.Reply {
	return h.submitAs(testKey, id, &pipelinev1.JobSpec{Id: id, Queue: testQueue, Steps: steps})
}

func (h *harness) submitAs(key, id string, spec *pipelinev1.JobSpec) *pipelinev1.Reply {
	return h.apply(&pipelinev1.Command{Command: &pipelinev1.Command_Submit{Submit: &pipelinev1.Submit{
		KeySha256: hashOf(key), Spec: spec, Digest: []byte(id), Host: "h", Path: pathOf(spec)}}}).Reply
}

// pathOf returns the path at which a job is submitted.
func pathOf(spec *pipelinev1.JobSpec) string {
	if spec.GetQueue() == "open" {
		return "/open/" + spec.GetId()
	}
	return "/labels/" + spec.GetId()
}

// run returns a run of occurrence 0 on the first incarnation of an upstream.
func run(job string, step, index, number int32, upstream string) *pipelinev1.Run {
	return &pipelinev1.Run{Task: &pipelinev1.TaskRef{Job: job, Step: step, Index: index}, Number: number, Upstream: upstream, Born: 10}
}

func (h *harness) place(runs ...*pipelinev1.Run) *Result {
	return h.apply(&pipelinev1.Command{Command: &pipelinev1.Command_Place{Place: &pipelinev1.Place{Runs: runs}}})
}

// mustPlace places runs and fails the test if one is refused.
func (h *harness) mustPlace(runs ...*pipelinev1.Run) {
	h.t.Helper()
	if got := h.place(runs...); len(got.Refused) > 0 {
		h.t.Fatalf("refused: %v", got.Refused[0].Reason)
	}
}

// end records one end of a run; listed is its number at the upstream.
func (h *harness) end(r *pipelinev1.Run, kind pipelinev1.EndKind, listed int64) {
	h.apply(&pipelinev1.Command{Command: &pipelinev1.Command_Ends{Ends: &pipelinev1.Ends{Ends: []*pipelinev1.End{{Run: r, Kind: kind, Listed: listed}}}}})
}

// cancel cancels a job of testQueue.
func (h *harness) cancel(id string) *pipelinev1.Reply {
	return h.apply(&pipelinev1.Command{Command: &pipelinev1.Command_Cancel{Cancel: &pipelinev1.Cancel{Job: id, Queue: testQueue, KeySha256: hashOf(testKey), Host: "h", Path: "/labels/" + id}}}).Reply
}
