package state

import (
	"fmt"
	"strings"
	"testing"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/resource"
)

const (
	batchPolicy      = apiv1.Policy_POLICY_BATCH
	servicePolicy    = apiv1.Policy_POLICY_SERVICE
	gangPolicy       = apiv1.Policy_POLICY_GANG
	succeeded        = apiv1.ReportState_REPORT_STATE_SUCCEEDED
	failedReport     = apiv1.ReportState_REPORT_STATE_FAILED
	stoppedReport    = apiv1.ReportState_REPORT_STATE_STOPPED
	undeterminedKind = apiv1.OutcomeKind_OUTCOME_KIND_UNDETERMINED
	notRunKind       = apiv1.OutcomeKind_OUTCOME_KIND_NOT_RUN
)

// TestPlacementChecks guards against placements that violate a rule. Each case applies one
// placement that violates at most one.
func TestPlacementChecks(t *testing.T) {
	over := func(d resource.Dimension, amount int64) func(*harness, *Task) *peerv1.Placement {
		return func(_ *harness, task *Task) *peerv1.Placement {
			v := oneSlot
			v[d] = amount
			return placement(task, "u-d1", v)
		}
	}
	after := func(f func(*harness)) func(*harness, *Task) *peerv1.Placement {
		return func(h *harness, task *Task) *peerv1.Placement {
			f(h)
			return placement(task, "u-d1", oneSlot)
		}
	}
	altered := func(f func(*peerv1.Placement)) func(*harness, *Task) *peerv1.Placement {
		return func(_ *harness, task *Task) *peerv1.Placement {
			p := placement(task, "u-d1", oneSlot)
			f(p)
			return p
		}
	}
	cases := map[string]struct {
		make func(*harness, *Task) *peerv1.Placement
		want PlaceReason
	}{
		"fits":                 {over(resource.Slots, 4), ""},
		"cores":                {over(resource.Cores, 4001), PlaceOverCapacity},
		"memory":               {over(resource.Memory, 4<<30+1), PlaceOverCapacity},
		"accelerators":         {over(resource.Accelerators, 2), PlaceOverCapacity},
		"slots":                {over(resource.Slots, 5), PlaceOverCapacity},
		"connections":          {over(resource.Connections, 9), PlaceOverCapacity},
		"negative amount":      {over(resource.Memory, -1), PlaceInvalidReservation},
		"no slot":              {over(resource.Slots, 0), PlaceInvalidReservation},
		"stale incarnation":    {altered(func(p *peerv1.Placement) { p.Incarnation = 9 }), PlaceUpstreamGone},
		"unknown upstream":     {altered(func(p *peerv1.Placement) { p.Upstream = "none" }), PlaceUpstreamGone},
		"older attempt":        {altered(func(p *peerv1.Placement) { p.Attempt = 0 }), PlaceTaskGone},
		"later attempt":        {altered(func(p *peerv1.Placement) { p.Attempt = 2 }), PlaceTaskGone},
		"no such task":         {altered(func(p *peerv1.Placement) { p.Task = -1 }), PlaceTaskGone},
		"domain out":           {after(func(h *harness) { h.putDomain("d1", apiv1.DomainState_DOMAIN_STATE_OUT) }), PlaceDomainOut},
		"lost upstream":        {after(func(h *harness) { h.loseUpstream("u-d1") }), PlaceUpstreamGone},
		"limit below use":      {after(func(h *harness) { h.run(h.batch("x")); h.limitSlots("a", 1) }), PlaceOverLimit},
		"cancelled":            {after(func(h *harness) { h.cancel("job") }), PlaceTaskGone},
		"leaving":              {after(leaveUpstream), PlaceUpstreamGone},
		"capacity lowered":     {after(lowerCapacity), PlaceOverCapacity},
		"full of other tasks":  {after(fillUpstream), PlaceOverCapacity},
		"backing off":          {after(func(h *harness) { h.report(h.run(h.s.Job(1)), failedReport) }), PlaceTooEarly},
		"placed by the rival":  {after(func(h *harness) { h.run(h.s.Job(1)) }), PlaceTaskGone},
		"already ended":        {after(func(h *harness) { h.report(h.run(h.s.Job(1)), succeeded) }), PlaceTaskGone},
		"domain back in again": {after(func(h *harness) { h.putDomain("d1", apiv1.DomainState_DOMAIN_STATE_IN) }), ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			task := &h.batch("job").Tasks[0]
			before := task.Attempt
			p := c.make(h, task)
			if name == "backing off" && task.Attempt != before+1 {
				t.Fatalf("attempt is %d after a failure", task.Attempt)
			}
			if name == "backing off" {
				p.Attempt = task.Attempt
			}
			if reason := h.place(p); reason != c.want {
				t.Fatalf("placement refused with %q, want %q", reason, c.want)
			}
			h.checkCounters()
		})
	}
}

func leaveUpstream(h *harness) {
	h.apply(&peerv1.Command{Command: &peerv1.Command_Leaving{Leaving: &peerv1.Leaving{Upstream: "u-d1", Incarnation: 1}}})
}

func lowerCapacity(h *harness) {
	h.run(h.batch("x"))
	h.announceAs(&apiv1.AnnounceRequest{Upstream: "u-d1", Incarnation: 1, FailureDomain: "d1", Rack: "r", Vm: "vm-u-d1",
		Capacity: &apiv1.Resources{Slots: 1, Connections: 8}})
}

func fillUpstream(h *harness) {
	for _, id := range []string{"p", "q", "r", "s"} {
		h.run(h.batch(id))
	}
}

// TestOneUpstreamPerVM guards against two upstreams on one VM and two upstreams of one name.
func TestOneUpstreamPerVM(t *testing.T) {
	h := newHarness(t)
	req := func(name string, inc uint64, vm, domain string) *apiv1.AnnounceRequest {
		return &apiv1.AnnounceRequest{Upstream: name, Incarnation: inc, FailureDomain: domain, Rack: "r", Vm: vm, Capacity: &apiv1.Resources{Slots: 1}}
	}
	steps := []struct {
		name string
		req  *apiv1.AnnounceRequest
		want apiv1.Reason
	}{
		{"VM of another", req("u2", 1, "vm-u-d1", "d1"), apiv1.Reason_REASON_IN_USE},
		{"name from another VM", req("u-d1", 2, "vm-other", "d1"), apiv1.Reason_REASON_IN_USE},
		{"same incarnation in another domain", req("u-d1", 1, "vm-u-d1", "d2"), apiv1.Reason_REASON_BAD_REQUEST},
		{"unknown domain", req("u3", 1, "vm-3", "nowhere"), apiv1.Reason_REASON_BAD_REQUEST},
		{"older incarnation", req("u-d1", 0, "vm-u-d1", "d1"), apiv1.Reason_REASON_BAD_REQUEST},
		{"newer incarnation", req("u-d1", 3, "vm-u-d1", "d1"), 0},
		{"stale incarnation", req("u-d1", 2, "vm-u-d1", "d1"), apiv1.Reason_REASON_STALE_INCARNATION},
	}
	for _, s := range steps {
		if got := h.announceAs(s.req); got.GetReason() != s.want {
			t.Errorf("%s: %v", s.name, got)
		}
	}
	h.loseUpstream("u-d2")
	if got := h.announceAs(req("u2", 1, "vm-u-d2", "d2")); got.GetReason() != 0 {
		t.Errorf("announcement on the VM of a lost upstream: %v", got)
	}
	if got := h.announce("u-d2", 2, "d2"); got.GetReason() != apiv1.Reason_REASON_IN_USE {
		t.Errorf("announcement on the former VM, now of another upstream: %v", got)
	}
}

// TestAdmission checks which keys may submit to which queues, and that a request which may have
// been accepted before is never refused as "not run".
func TestAdmission(t *testing.T) {
	h := newHarness(t)
	withdraw := &apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_WithdrawKey{WithdrawKey: "caller-a"}}
	submit := func(key, queue, id string, first bool) *apiv1.Outcome {
		req := request(id, batchPolicy, 1, true)
		req.Queue, req.FirstSend = queue, first
		return h.submitAs(key, req).GetOutcome()
	}
	check := func(got *apiv1.Outcome, kind apiv1.OutcomeKind, reason apiv1.Reason) {
		t.Helper()
		if got.GetKind() != kind || got.GetReason() != reason {
			t.Errorf("got %v, want %v %v", got, kind, reason)
		}
	}
	acceptedKind := apiv1.OutcomeKind_OUTCOME_KIND_ACCEPTED
	check(submit("caller-a", "queue-a", "1", true), acceptedKind, 0)
	check(submit("caller-a", "shared", "2", true), acceptedKind, 0)
	check(submit("", "open", "3", true), acceptedKind, 0)
	check(submit("", "queue-a", "4", true), notRunKind, apiv1.Reason_REASON_KEY_UNKNOWN)
	check(submit("caller-a", "queue-b", "5", true), notRunKind, apiv1.Reason_REASON_KEY_OF_ANOTHER_TEAM)
	check(submit("operator", "queue-a", "6", true), notRunKind, apiv1.Reason_REASON_NOT_PERMITTED)
	check(submit("caller-a", "none", "7", true), notRunKind, apiv1.Reason_REASON_QUEUE_UNKNOWN)
	check(submit("caller-a", "none", "7", false), undeterminedKind, apiv1.Reason_REASON_QUEUE_UNKNOWN)
	if h.s.Job(3).Team != "b" {
		t.Errorf("job of the open queue belongs to team %q, want b", h.s.Job(3).Team)
	}
	h.mustChange(withdraw)
	check(submit("caller-a", "queue-a", "8", true), notRunKind, apiv1.Reason_REASON_KEY_WITHDRAWN)
	check(h.cancel("1"), undeterminedKind, apiv1.Reason_REASON_KEY_WITHDRAWN)
	check(submit("caller-a", "queue-a", "1", true), undeterminedKind, apiv1.Reason_REASON_KEY_WITHDRAWN)
	if r := h.change(&apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_GrantKey{GrantKey: &apiv1.GrantKey{KeyId: "new", Team: "a",
		KeySha256: keyHash("caller-a"), Role: apiv1.KeyRole_KEY_ROLE_CALLER}}}); r.GetApplied() {
		t.Error("hash of a withdrawn key was granted again")
	}
}

func TestRequestIdentity(t *testing.T) {
	h := newHarness(t)
	req := request("one", batchPolicy, 1, true)
	first := h.submitAs("caller-a", req)
	again := h.submitAs("caller-a", req)
	if again.GetJobId() != first.GetJobId() || !again.GetResent() {
		t.Errorf("resent request got %v after %v", again, first)
	}
	if got := h.submitAs("caller-a", request("one", batchPolicy, 2, true)).GetOutcome(); got.GetReason() != apiv1.Reason_REASON_IDENTITY_REUSED || got.GetKind() != undeterminedKind {
		t.Errorf("request ID reused with another body got %v", got)
	}
	h.limitSlots("a", 1)
	refused := h.submitAs("caller-a", request("big", gangPolicy, 2, true)).GetOutcome()
	h.limitSlots("a", 8)
	if got := h.submitAs("caller-a", request("big", gangPolicy, 2, true)).GetOutcome(); got.GetReason() != refused.GetReason() || got.GetKind() != notRunKind {
		t.Errorf("refused request: first outcome %v, outcome when resent %v", refused, got)
	}
	if got := h.cancel("later"); got.GetKind() != undeterminedKind {
		t.Errorf("cancellation of an unknown request: %v", got)
	}
	if got := h.submitAs("caller-a", request("later", batchPolicy, 1, true)); got.GetJobId() != 0 {
		t.Error("submission accepted after its cancellation")
	}
	if got := h.submitAs("caller-a", request(strings.Repeat("x", 500), batchPolicy, 1, true)).GetOutcome(); got.GetReason() != apiv1.Reason_REASON_BAD_REQUEST {
		t.Errorf("too long request ID got %v", got)
	}
	h.now = h.now.Add(h.s.settings.Retention)
	if got := h.submitAs("caller-a", request("old", batchPolicy, 1, true)).GetOutcome(); got.GetReason() != apiv1.Reason_REASON_IDENTITY_TOO_OLD || got.GetKind() != undeterminedKind {
		t.Errorf("request first sent longer ago than the retention got %v", got)
	}
}

// TestSweep checks that Sweep removes everything past its retention, but keeps a job that has not
// ended and its identity.
func TestSweep(t *testing.T) {
	h := newHarness(t)
	live := h.run(h.submit(request("service", servicePolicy, 1, true)))
	h.report(h.run(h.batch("done")), succeeded)
	h.cancel("unknown")
	h.loseUpstream("u-d2")
	h.mustChange(&apiv1.ChangeRequest{OperationId: "old", Change: &apiv1.ChangeRequest_PutQueue{PutQueue: &apiv1.Queue{Name: "extra"}}})
	h.now = h.now.Add(h.s.settings.Retention + time.Second)
	h.sweep()
	if len(h.s.identities) != 1 || h.s.jobs.count != 1 || len(h.s.operations) != 0 || h.s.Upstream("u-d2") != nil {
		t.Errorf("after Sweep: %d identities, %d jobs, %d operations, lost upstream retained: %t; want 1, 1, 0 and false", len(h.s.identities), h.s.jobs.count, len(h.s.operations), h.s.Upstream("u-d2") != nil)
	}
	resend := request("service", servicePolicy, 1, true)
	if got := h.submitAs("caller-a", resend); JobID(got.GetJobId()) != live.Job.ID {
		t.Errorf("resent request of the live service got %v", got)
	}
	h.checkCounters()
}

func TestDeletedTeamKeepsItsOutcomes(t *testing.T) {
	h := newHarness(t)
	task := h.run(h.batch("done"))
	h.mustChange(&apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_DeleteQueue{DeleteQueue: "queue-b"}})
	del := &apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_DeleteTeam{DeleteTeam: "a"}}
	delQueue := &apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_DeleteQueue{DeleteQueue: "queue-a"}}
	if h.change(delQueue).GetApplied() || h.change(del).GetApplied() {
		t.Fatal("queue or team deleted while it had a job that has not ended")
	}
	h.report(task, succeeded)
	delQueue.OperationId, del.OperationId = "", ""
	h.mustChange(delQueue)
	h.mustChange(del)
	restored := New(Settings{})
	if err := restored.Restore(strings.NewReader(string(h.s.Snapshot()))); err != nil {
		t.Fatal(err)
	}
	if restored.Job(task.Job.ID).Outcome.GetKind() != apiv1.OutcomeKind_OUTCOME_KIND_ANSWERED {
		t.Error("outcome of a job of the deleted team was lost")
	}
	h.mustChange(&apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_PutTeam{PutTeam: &apiv1.Team{Name: "a", Share: 1}}})
	h.checkCounters()
}

// TestLostAttempts guards against a second run of a task that may not be repeated, for each way
// in which the state learns that an upstream no longer has an attempt.
func TestLostAttempts(t *testing.T) {
	never := func(h *harness, task *Task) { h.loseUpstream("u-d1", task.Ref()) }
	lose := func(h *harness, _ *Task) { h.loseUpstream("u-d1") }
	newIncarnation := func(h *harness, _ *Task) { h.announce("u-d1", 2, "d1") }
	missing := func(h *harness, task *Task) {
		h.apply(&peerv1.Command{Command: &peerv1.Command_Report{Report: &peerv1.Report{Upstream: "u-d1", Incarnation: 1,
			Missing: []*apiv1.TaskRef{task.Ref().Proto()}}}})
	}
	cases := map[string]struct {
		repeatable, running bool
		loss                func(*harness, *Task)
		requeued            bool
	}{
		"repeatable":                {true, true, lose, true},
		"once, running":             {false, true, lose, false},
		"once, placed":              {false, false, lose, false},
		"once, never handed out":    {false, false, never, true},
		"once, running by report":   {false, true, never, false},
		"once, new incarnation":     {false, true, newIncarnation, false},
		"repeatable, no longer had": {true, true, missing, true},
		"once, no longer had":       {false, true, missing, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			task := &h.submit(request("job", batchPolicy, 1, c.repeatable)).Tasks[0]
			h.place(placement(task, "u-d1", oneSlot))
			if c.running {
				h.report(task, apiv1.ReportState_REPORT_STATE_RUNNING)
			}
			c.loss(h, task)
			if c.requeued && (task.State != lifecycle.TaskWaiting || task.Attempt != 2) {
				t.Errorf("task was not requeued: state %s, attempt %d", task.State, task.Attempt)
			}
			if !c.requeued && task.Outcome.GetKind() != undeterminedKind {
				t.Errorf("task did not end as undetermined: state %s, outcome %v", task.State, task.Outcome)
			}
			h.checkCounters()
		})
	}
}

func TestLateReportsOfOlderAttempts(t *testing.T) {
	h := newHarness(t)
	task := h.run(h.batch("job"))
	old := task.Ref()
	h.loseUpstream("u-d1")
	h.place(placement(task, "u-d2", oneSlot))
	h.reportAs("u-d2", &apiv1.TaskReport{Task: old.Proto(), State: succeeded, Answer: answerOf("late")})
	if task.State != lifecycle.TaskPlaced || task.Answer != nil {
		t.Errorf("answer of an older attempt was accepted: task is %s", task.State)
	}
}

func TestGang(t *testing.T) {
	h := newHarness(t)
	j := h.submit(request("gang", gangPolicy, 3, true))
	all := func(on ...string) (list []*peerv1.Placement) {
		for i := range j.Tasks {
			if j.Tasks[i].State == lifecycle.TaskWaiting {
				list = append(list, placement(&j.Tasks[i], on[i%len(on)], oneSlot))
			}
		}
		return list
	}
	if reason := h.place(all("u-d1")[:2]...); reason != PlaceGangPartial {
		t.Errorf("partial gang: got %q", reason)
	}
	two := all("u-d1")
	two[2] = two[0]
	if reason := h.place(two...); reason != PlaceTaskGone {
		t.Errorf("gang with one task placed twice: got %q", reason)
	}
	if reason := h.place(all("u-d1", "none")...); reason != PlaceUpstreamGone || h.s.Team("a").Running != 0 {
		t.Errorf("gang with one task on an unknown upstream: got %q, %d tasks running", reason, h.s.Team("a").Running)
	}
	if reason := h.place(all("u-d1", "u-d2")...); reason != "" {
		t.Fatalf("whole gang: got %q", reason)
	}
	for i := range j.Tasks {
		h.report(&j.Tasks[i], apiv1.ReportState_REPORT_STATE_RUNNING)
	}
	h.report(&j.Tasks[0], succeeded)
	h.report(&j.Tasks[1], failedReport)
	if j.Tasks[2].State != lifecycle.TaskStopping {
		t.Errorf("task is %s after another task of its gang failed, want stopping", j.Tasks[2].State)
	}
	h.report(&j.Tasks[2], stoppedReport)
	h.now = h.now.Add(time.Minute)
	if reason := h.place(all("u-d1", "u-d2")...); reason != "" {
		t.Errorf("unended tasks of the gang: got %q", reason)
	}
	h.checkCounters()
}

func TestServiceRestartsWithoutEnd(t *testing.T) {
	h := newHarness(t)
	j := h.submit(request("service", servicePolicy, 1, true))
	for i := range 20 {
		task := h.run(j)
		h.report(task, []apiv1.ReportState{failedReport, succeeded}[i%2])
		delay := time.Duration(task.NotBeforeNS - h.now.UnixNano())
		if task.State != lifecycle.TaskWaiting || delay <= 0 || delay > h.s.settings.ServiceBackoffMax {
			t.Fatalf("after end %d: task is %s, restart in %s", i, task.State, delay)
		}
		h.now = h.now.Add(delay)
	}
	h.cancel("service")
	once := h.run(h.submit(request("once", servicePolicy, 1, false)))
	if h.report(once, succeeded); once.State != lifecycle.TaskEnded {
		t.Errorf("task of a service that may not be repeated is %s after it ended", once.State)
	}
}

// TestCheckpoint guards against a second start of a task that may not be repeated: it may only
// continue from an intact checkpoint.
func TestCheckpoint(t *testing.T) {
	for name, c := range map[string]struct {
		answer *apiv1.Answer
		want   lifecycle.TaskState
	}{
		"whole": {answerOf("half done"), lifecycle.TaskWaiting},
		"torn":  {&apiv1.Answer{Body: []byte("half"), Length: 9}, lifecycle.TaskEnded},
	} {
		h := newHarness(t)
		task := h.run(h.submit(request("once", batchPolicy, 1, false)))
		h.reportAs("u-d1", &apiv1.TaskReport{Task: task.Ref().Proto(), State: apiv1.ReportState_REPORT_STATE_CHECKPOINTED, Answer: c.answer})
		if task.State != c.want {
			t.Errorf("%s checkpoint: task is %s, want %s", name, task.State, c.want)
		}
	}
}

// TestAnswerWins covers the race between the end of a task and the cancellation of its job. It
// also checks that a repeated report of an end is acknowledged.
func TestAnswerWins(t *testing.T) {
	h := newHarness(t)
	task := h.run(h.batch("job"))
	h.cancel("job")
	h.report(task, succeeded)
	if got := h.cancel("job"); got.GetKind() != apiv1.OutcomeKind_OUTCOME_KIND_ANSWERED {
		t.Errorf("outcome of a job that was answered while being cancelled: %v", got)
	}
	second := h.run(h.batch("second"))
	h.report(second, succeeded)
	if acked := h.reportAs("u-d1", &apiv1.TaskReport{Task: second.Ref().Proto(), State: succeeded}); len(acked) != 1 {
		t.Error("repeated report of an end was not acknowledged")
	}
}

func TestJobNumbersCarryTheGroup(t *testing.T) {
	h := newHarness(t)
	h.s.settings.Group = 7
	h.s.nextJob = New(h.s.settings).nextJob
	j := h.batch("job")
	if h.run(j); j.ID.Group() != 7 || j.ID != 7<<jobGroupShift+1 {
		t.Errorf("job ID is %d", j.ID)
	}
}

func TestTimeNeverGoesBack(t *testing.T) {
	h := newHarness(t)
	h.sweep()
	h.now = h.now.Add(-time.Hour)
	h.sweep()
	if !h.s.Now().Equal(start) {
		t.Errorf("leader time went back to %s", h.s.Now())
	}
}

func TestLentLimitsBoundAGroup(t *testing.T) {
	h := newHarness(t)
	lent := h.s.UseLentLimits()
	place := func() PlaceReason {
		return h.place(placement(&h.batch(fmt.Sprint(h.s.nextJob)).Tasks[0], "u-d1", oneSlot))
	}
	if reason := place(); reason != PlaceOverLimit {
		t.Errorf("placement without a loan: got %q", reason)
	}
	two := resource.Vector{resource.Slots: 2, resource.Connections: 9}
	lent.Set("a", two, h.now.Add(time.Hour))
	for i, want := range []PlaceReason{"", "", PlaceOverLimit} {
		if reason := place(); reason != want {
			t.Errorf("placement %d with a loan of 2 slots: got %q", i, reason)
		}
	}
	lent.Set("a", two.Add(two), h.now.Add(time.Hour))
	h.limitSlots("a", 3)
	for i, want := range []PlaceReason{"", PlaceOverLimit} {
		if reason := place(); reason != want {
			t.Errorf("placement %d with a team limit of 3 slots: got %q", i, reason)
		}
	}
	h.limitSlots("a", 9)
	h.now = h.now.Add(time.Hour)
	if reason := place(); reason != PlaceOverLimit {
		t.Errorf("placement after the loan ended: got %q", reason)
	}
}

func TestStoredBytesAndRefusalsAreBounded(t *testing.T) {
	h := newHarness(t)
	h.s.settings.MaxTeamStoredBytes, h.s.settings.MaxRefusals = 7, 2
	h.report(h.run(h.batch("1")), succeeded)
	for i, want := range []apiv1.OutcomeKind{notRunKind, notRunKind, undeterminedKind} {
		id := fmt.Sprint("refused-", i)
		if got := h.submitAs("caller-a", request(id, batchPolicy, 1, true)).GetOutcome(); got.GetKind() != want {
			t.Errorf("%s with 6 of 7 bytes stored: %v", id, got)
		}
	}
	if got := h.cancel("unknown"); got.GetReason() != apiv1.Reason_REASON_OVERLOADED {
		t.Errorf("cancellation that exceeds MaxRefusals: %v", got)
	}
	h.now = h.now.Add(h.s.settings.Retention)
	h.sweep()
	later := request("2", batchPolicy, 1, true)
	later.FirstSentUnixMs = h.now.UnixMilli()
	h.submit(later)
	h.checkCounters()
}
