package state

import (
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/resource"
)

// start is the leader time of the first entry.
var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func keyHash(key string) []byte {
	sum := sha256.Sum256([]byte(key))
	return sum[:]
}

// harness applies commands to a State, as a leader does.
type harness struct {
	t   testing.TB
	s   *State
	now time.Time
	ops int
}

// newHarness returns a harness with two teams, a queue for each of them, a shared and an open
// queue, and two failure domains with one upstream of 4 slots in each.
func newHarness(t testing.TB) *harness {
	h := &harness{t: t, s: New(Settings{}), now: start}
	h.apply(&peerv1.Command{Command: &peerv1.Command_Bootstrap{Bootstrap: &peerv1.Bootstrap{KeySha256: keyHash("operator")}}})
	for _, team := range []string{"a", "b"} {
		h.mustChange(&apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_PutTeam{PutTeam: &apiv1.Team{Name: team, Share: 1}}})
		h.mustChange(&apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_PutQueue{PutQueue: &apiv1.Queue{Name: "queue-" + team, Team: team}}})
		h.grantKey("caller-"+team, team, apiv1.KeyRole_KEY_ROLE_CALLER)
	}
	h.grantKey("upstream", "", apiv1.KeyRole_KEY_ROLE_UPSTREAM)
	h.mustChange(&apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_PutQueue{PutQueue: &apiv1.Queue{Name: "shared"}}})
	h.mustChange(&apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_PutQueue{PutQueue: &apiv1.Queue{Name: "open", Team: "b", Open: true}}})
	for _, d := range []string{"d1", "d2"} {
		h.putDomain(d, apiv1.DomainState_DOMAIN_STATE_IN)
		h.announce("u-"+d, 1, d)
	}
	return h
}

func (h *harness) apply(c *peerv1.Command) Result {
	return h.s.Apply(&peerv1.Batch{NowNs: h.now.UnixNano(), Commands: []*peerv1.Command{c}})[0]
}

func (h *harness) change(req *apiv1.ChangeRequest) *apiv1.ChangeResponse {
	if req.OperationId == "" {
		h.ops++
		req.OperationId = fmt.Sprintf("op-%d", h.ops)
	}
	return h.apply(&peerv1.Command{Command: &peerv1.Command_Change{Change: &peerv1.Change{KeySha256: keyHash("operator"), Request: req, StableIdentities: true}}}).Change
}

func (h *harness) mustChange(req *apiv1.ChangeRequest) {
	h.t.Helper()
	if r := h.change(req); !r.GetApplied() {
		h.t.Fatalf("change refused: %v", r.GetOutcome())
	}
}

func (h *harness) grantKey(key, team string, role apiv1.KeyRole) {
	h.mustChange(&apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_GrantKey{GrantKey: &apiv1.GrantKey{
		KeyId: key, Team: team, KeySha256: keyHash(key), Role: role}}})
}

func (h *harness) putDomain(name string, st apiv1.DomainState) {
	h.mustChange(&apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_PutFailureDomain{PutFailureDomain: &apiv1.FailureDomain{Name: name, State: st}}})
}

func (h *harness) limitSlots(team string, slots int64) {
	h.mustChange(&apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_PutTeam{PutTeam: &apiv1.Team{
		Name: team, Share: 1, Limit: &apiv1.Limit{Slots: &slots}}}})
}

func (h *harness) announceAs(req *apiv1.AnnounceRequest) *apiv1.Outcome {
	return h.apply(&peerv1.Command{Command: &peerv1.Command_Announce{Announce: &peerv1.Announce{KeySha256: keyHash("upstream"), Request: req}}}).Announce
}

func (h *harness) announce(name string, incarnation uint64, domain string) *apiv1.Outcome {
	return h.announceAs(&apiv1.AnnounceRequest{Upstream: name, Incarnation: incarnation, FailureDomain: domain, Rack: "r", Vm: "vm-" + name,
		Capacity: &apiv1.Resources{MilliCores: 4000, MemoryBytes: 4 << 30, Accelerators: 1, Slots: 4, Connections: 8}})
}

// crash replaces the incarnation of an upstream that crashed: as the leader does, it first reports the
// repeatable tasks as failed. Then a second passes, in which these pause.
func (h *harness) crash(name string, incarnation uint64, domain string) {
	h.reportCrash(h.s.Upstream(name))
	h.announce(name, incarnation, domain)
	h.now = h.now.Add(time.Second)
}

// reportCrash reports the repeatable tasks of a crashed incarnation as failed.
func (h *harness) reportCrash(u *Upstream) {
	report := &peerv1.Report{Upstream: u.Name, Incarnation: u.Incarnation}
	for _, ref := range sortedRefs(u.Tasks) {
		if u.Tasks[ref].Job.Spec.GetRepeatable() {
			report.Tasks = append(report.Tasks, &apiv1.TaskReport{Task: ref.Proto(), State: apiv1.ReportState_REPORT_STATE_FAILED, Detail: "the upstream crashed"})
		}
	}
	h.apply(&peerv1.Command{Command: &peerv1.Command_Report{Report: report}})
}

// request returns a submission of equal tasks that need one slot each.
func request(id string, policy apiv1.Policy, copies int32, repeatable bool) *apiv1.SubmitRequest {
	return &apiv1.SubmitRequest{RequestId: id, Queue: "queue-a", FirstSend: true, FirstSentUnixMs: start.UnixMilli(),
		Job: &apiv1.JobSpec{Policy: policy, Repeatable: repeatable, Tasks: []*apiv1.TaskSpec{{Copies: copies, Payload: []byte("ab")}}}}
}

func (h *harness) submitAs(key string, req *apiv1.SubmitRequest) *apiv1.SubmitResponse {
	digest := sha256.Sum256([]byte(req.GetJob().String()))
	return h.apply(&peerv1.Command{Command: &peerv1.Command_Submit{Submit: &peerv1.Submit{KeySha256: keyHash(key), Request: req, Digest: digest[:]}}}).Submit
}

// submit submits a job for team a, which must be accepted.
func (h *harness) submit(req *apiv1.SubmitRequest) *Job {
	h.t.Helper()
	r := h.submitAs("caller-a", req)
	if r.GetJobId() == 0 {
		h.t.Fatalf("submission refused: %v", r.GetOutcome())
	}
	return h.s.Job(JobID(r.GetJobId()))
}

func (h *harness) batch(id string) *Job {
	h.t.Helper()
	return h.submit(request(id, apiv1.Policy_POLICY_BATCH, 1, true))
}

func placement(t *Task, upstream string, reserved resource.Vector) *peerv1.Placement {
	return &peerv1.Placement{JobId: uint64(t.Job.ID), Task: t.Index, Attempt: t.Attempt, Upstream: upstream, Incarnation: 1, Reserved: reserved.Proto()}
}

var oneSlot = resource.Vector{resource.Slots: 1, resource.Connections: 1}

// place applies placements and returns why the first refused one was refused, or "".
func (h *harness) place(list ...*peerv1.Placement) PlaceReason {
	r := h.apply(&peerv1.Command{Command: &peerv1.Command_Place{Place: &peerv1.Place{Placements: list}}}).Place
	if len(r.Refused) > 0 {
		return r.Refused[0].Reason
	}
	return ""
}

// run places the first task of a job on u-d1 and reports it as running.
func (h *harness) run(j *Job) *Task {
	h.t.Helper()
	t := &j.Tasks[0]
	if reason := h.place(placement(t, "u-d1", oneSlot)); reason != "" {
		h.t.Fatalf("placement refused: %s", reason)
	}
	h.report(t, apiv1.ReportState_REPORT_STATE_RUNNING)
	return t
}

func (h *harness) report(t *Task, st apiv1.ReportState) []TaskRef {
	return h.reportAs(t.Upstream.Name, &apiv1.TaskReport{Task: t.Ref().Proto(), State: st, Answer: answerOf("done")})
}

func (h *harness) reportAs(upstream string, r *apiv1.TaskReport) []TaskRef {
	return h.apply(&peerv1.Command{Command: &peerv1.Command_Report{Report: &peerv1.Report{
		Upstream: upstream, Incarnation: 1, Tasks: []*apiv1.TaskReport{r}}}}).Acknowledged
}

func answerOf(body string) *apiv1.Answer {
	return &apiv1.Answer{Body: []byte(body), Length: uint64(len(body)), Sha256: keyHash(body)}
}

func (h *harness) loseUpstream(upstream string, never ...TaskRef) {
	cmd := &peerv1.UpstreamLost{Upstream: upstream, Incarnation: 1}
	for _, r := range never {
		cmd.NeverStarted = append(cmd.NeverStarted, r.Proto())
	}
	h.apply(&peerv1.Command{Command: &peerv1.Command_UpstreamLost{UpstreamLost: cmd}})
}

func (h *harness) cancel(ids ...string) *apiv1.Outcome {
	return h.apply(&peerv1.Command{Command: &peerv1.Command_Cancel{Cancel: &peerv1.Cancel{KeySha256: keyHash("caller-a"),
		Request: &apiv1.CancelRequest{Queue: "queue-a", RequestIds: ids}}}}).Cancel.Results[0].Outcome
}

func (h *harness) sweep() {
	h.apply(&peerv1.Command{Command: &peerv1.Command_Sweep{Sweep: &peerv1.Sweep{}}})
}

// checkCounters compares the counters of the state, which Apply updates step by step, with a
// count over all jobs and tasks.
func (h *harness) checkCounters() {
	h.t.Helper()
	used, byTeam := map[string]resource.Vector{}, map[string]resource.Vector{}
	running, waiting, unendedJobs := map[string]int64{}, map[string]int64{}, 0
	for _, j := range h.s.Jobs() {
		unended := 0
		for i := range j.Tasks {
			t := &j.Tasks[i]
			switch {
			case t.State == lifecycle.TaskEnded:
				continue
			case t.Live():
				used[t.Upstream.Name] = used[t.Upstream.Name].Add(t.Reserved)
				byTeam[j.Team] = byTeam[j.Team].Add(t.Reserved)
				running[j.Team]++
				if t.Upstream.Tasks[t.Ref()] != t {
					h.t.Fatalf("%v is missing on %s", t.Ref(), t.Upstream.Name)
				}
			default:
				waiting[j.Team]++
			}
			unended++
		}
		if unended != j.unended || (unended == 0) != (j.State == lifecycle.JobEnded) {
			h.t.Fatalf("job %d: %d tasks have not ended, counter says %d, state %s", j.ID, unended, j.unended, j.State)
		}
		if unended > 0 {
			unendedJobs++
		}
	}
	for name, u := range h.s.Upstreams() {
		if u.Used != used[name] {
			h.t.Fatalf("upstream %s: counter says %v used, tasks reserve %v", name, u.Used, used[name])
		}
	}
	for name, team := range h.s.Teams() {
		if team.Used != byTeam[name] || team.Running != running[name] || team.Waiting != waiting[name] {
			h.t.Fatalf("team %s: used, running and waiting are %v %d %d by counter, %v %d %d by task", name, team.Used, team.Running, team.Waiting, byTeam[name], running[name], waiting[name])
		}
	}
	stored, storedBy := int64(0), map[string]int64{}
	for _, j := range h.s.Jobs() {
		n := int64(payloadBytes(j.Spec))
		for i := range j.Tasks {
			n += int64(len(j.Tasks[i].Answer.GetBody()) + len(j.Tasks[i].Checkpoint))
		}
		stored += n
		storedBy[j.Team] += n
	}
	if stored != h.s.stored || storedBy["a"] != h.s.Team("a").Stored {
		h.t.Fatalf("stored bytes, of all teams and of team a: %d, %d by counter, %d, %d by job", h.s.stored, h.s.Team("a").Stored, stored, storedBy["a"])
	}
	queued := 0
	for _, jobs := range h.s.unendedByQueue {
		queued += len(jobs)
	}
	if queued != unendedJobs {
		h.t.Fatalf("%d unended jobs in queues, want %d", queued, unendedJobs)
	}
}
