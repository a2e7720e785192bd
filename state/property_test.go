package state

import (
	"bytes"
	"flag"
	"fmt"
	"testing"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"pgregory.net/rapid"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20260105", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// TestRandomCommands guards against nondeterminism and lost state. It applies random commands to
// a state and, from a random point on, to another one restored from its snapshot. Both must give
// the same results, the counters must be right after each command, and a capture must contain
// the state as it was when the capture was made.
func TestRandomCommands(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		h := newHarness(t)
		steps := rapid.IntRange(5, 80).Draw(r, "steps")
		restoreAt := rapid.IntRange(0, steps-1).Draw(r, "restoreAt")
		captureAt := rapid.IntRange(0, steps-1).Draw(r, "captureAt")
		var restored *State
		var wantCapture []byte
		var writeCapture func(b *bytes.Buffer)
		for i := range steps {
			if i == restoreAt {
				restored = New(Settings{})
				if err := restored.Restore(bytes.NewReader(h.s.Snapshot())); err != nil {
					r.Fatal(err)
				}
			}
			if i == captureAt {
				wantCapture = h.s.Snapshot()
				capture := h.s.Capture()
				writeCapture = func(b *bytes.Buffer) {
					if err := capture(b); err != nil {
						r.Fatal(err)
					}
				}
			}
			h.now = h.now.Add(time.Duration(rapid.IntRange(0, 5).Draw(r, "seconds")) * time.Second)
			cmd := randomCommand(r, h)
			got := describe(h.apply(cmd))
			h.checkCounters()
			if restored == nil {
				continue
			}
			want := describe(restored.Apply(&peerv1.Batch{NowNs: h.now.UnixNano(), Commands: []*peerv1.Command{cmd}})[0])
			if got != want {
				r.Fatalf("command %v: result %s of the restored state, %s of the original", cmd, want, got)
			}
		}
		if !bytes.Equal(h.s.Snapshot(), restored.Snapshot()) {
			r.Fatal("the restored and the original state differ at the end")
		}
		var b bytes.Buffer
		writeCapture(&b)
		if !bytes.Equal(b.Bytes(), wantCapture) {
			r.Fatal("the capture contains later changes")
		}
	})
}

func describe(r Result) string {
	return fmt.Sprint(r.Submit, r.Cancel, r.Change, r.Announce, r.Acknowledged, r.Applied, r.Place)
}

func randomCommand(r *rapid.T, h *harness) *peerv1.Command {
	kinds := []func(*rapid.T, *harness) *peerv1.Command{randomSubmit, randomSubmit, randomPlace, randomPlace, randomPlace,
		randomReport, randomReport, randomReport, randomCancel, randomLoss, randomStop, randomChange, randomSweep, randomAnnounce}
	return rapid.SampledFrom(kinds).Draw(r, "kind")(r, h)
}

func drawID(r *rapid.T) string { return fmt.Sprint("id-", rapid.IntRange(0, 6).Draw(r, "id")) }

func drawUpstream(r *rapid.T) string {
	return rapid.SampledFrom([]string{"u-d1", "u-d2"}).Draw(r, "upstream")
}

// incarnationOf returns the incarnation of an upstream, or 0 if Sweep has removed it.
func incarnationOf(h *harness, upstream string) uint64 {
	if u := h.s.Upstream(upstream); u != nil {
		return u.Incarnation
	}
	return 0
}

// drawTask returns a random task for which want returns true, or nil if there is none.
func drawTask(r *rapid.T, h *harness, want func(*Task) bool) *Task {
	var list []*Task
	for _, j := range h.s.Jobs() {
		for i := range j.Tasks {
			if want(&j.Tasks[i]) {
				list = append(list, &j.Tasks[i])
			}
		}
	}
	if len(list) == 0 {
		return nil
	}
	return rapid.SampledFrom(list).Draw(r, "task")
}

func randomSubmit(r *rapid.T, h *harness) *peerv1.Command {
	req := request(drawID(r), rapid.SampledFrom([]apiv1.Policy{batchPolicy, servicePolicy, gangPolicy}).Draw(r, "policy"),
		rapid.Int32Range(1, 3).Draw(r, "copies"), rapid.Bool().Draw(r, "repeatable"))
	req.Queue = rapid.SampledFrom([]string{"queue-a", "shared", "open"}).Draw(r, "queue")
	req.FirstSentUnixMs = h.now.UnixMilli()
	return &peerv1.Command{Command: &peerv1.Command_Submit{Submit: &peerv1.Submit{KeySha256: keyHash("caller-a"), Request: req,
		Digest: keyHash(req.GetJob().String())}}}
}

func randomPlace(r *rapid.T, h *harness) *peerv1.Command {
	cmd := &peerv1.Place{}
	if t := drawTask(r, h, func(t *Task) bool { return t.State == lifecycle.TaskWaiting }); t != nil {
		for i := range t.Job.Tasks {
			if other := &t.Job.Tasks[i]; other == t || t.Job.Gang() && other.State == lifecycle.TaskWaiting {
				p := placement(other, drawUpstream(r), oneSlot)
				p.Incarnation = incarnationOf(h, p.Upstream)
				cmd.Placements = append(cmd.Placements, p)
			}
		}
	}
	return &peerv1.Command{Command: &peerv1.Command_Place{Place: cmd}}
}

func randomReport(r *rapid.T, h *harness) *peerv1.Command {
	cmd := &peerv1.Report{}
	if t := drawTask(r, h, (*Task).Live); t != nil {
		cmd.Upstream, cmd.Incarnation = t.Upstream.Name, t.Upstream.Incarnation
		report := &apiv1.TaskReport{Task: t.Ref().Proto(), Answer: answerOf("x"),
			State: rapid.SampledFrom([]apiv1.ReportState{2, 2, 3, 3, 4, 5, 6, 7}).Draw(r, "state")}
		if rapid.IntRange(0, 9).Draw(r, "missing") == 0 {
			cmd.Missing = append(cmd.Missing, t.Ref().Proto())
		} else {
			cmd.Tasks = append(cmd.Tasks, report)
		}
	}
	return &peerv1.Command{Command: &peerv1.Command_Report{Report: cmd}}
}

func randomCancel(r *rapid.T, _ *harness) *peerv1.Command {
	req := &apiv1.CancelRequest{Queue: "queue-a", RequestIds: []string{drawID(r)}, WholeQueue: rapid.IntRange(0, 4).Draw(r, "wave") == 0}
	return &peerv1.Command{Command: &peerv1.Command_Cancel{Cancel: &peerv1.Cancel{KeySha256: keyHash("caller-a"), Request: req}}}
}

func randomLoss(r *rapid.T, h *harness) *peerv1.Command {
	name := drawUpstream(r)
	cmd := &peerv1.UpstreamLost{Upstream: name, Incarnation: incarnationOf(h, name)}
	if t := drawTask(r, h, func(t *Task) bool { return t.Live() && t.Upstream.Name == name }); t != nil {
		cmd.NeverStarted = append(cmd.NeverStarted, t.Ref().Proto())
	}
	return &peerv1.Command{Command: &peerv1.Command_UpstreamLost{UpstreamLost: cmd}}
}

func randomStop(r *rapid.T, h *harness) *peerv1.Command {
	t := drawTask(r, h, (*Task).Live)
	if t == nil {
		return randomSweep(r, h)
	}
	refs := []*apiv1.TaskRef{t.Ref().Proto()}
	if t.State != lifecycle.TaskRunning && rapid.Bool().Draw(r, "withdraw") {
		return &peerv1.Command{Command: &peerv1.Command_Withdraw{Withdraw: &peerv1.Withdraw{Tasks: refs}}}
	}
	return &peerv1.Command{Command: &peerv1.Command_Stop{Stop: &peerv1.Stop{Tasks: refs, Checkpoint: rapid.Bool().Draw(r, "checkpoint")}}}
}

func randomChange(r *rapid.T, h *harness) *peerv1.Command {
	slots := rapid.Int64Range(0, 8).Draw(r, "slots")
	req := &apiv1.ChangeRequest{OperationId: drawID(r), BaseRevision: h.s.Revision() - uint64(rapid.IntRange(0, 1).Draw(r, "stale"))}
	switch rapid.IntRange(0, 2).Draw(r, "change") {
	case 0:
		req.Change = &apiv1.ChangeRequest_PutTeam{PutTeam: &apiv1.Team{Name: "a", Share: 1, Limit: &apiv1.Limit{Slots: &slots}}}
	case 1:
		req.Change = &apiv1.ChangeRequest_PutFailureDomain{PutFailureDomain: &apiv1.FailureDomain{Name: "d1", State: apiv1.DomainState(1 + slots%2)}}
	default:
		req.Change = &apiv1.ChangeRequest_Replica{Replica: &apiv1.ReplicaChange{ReplicaId: 1, Action: apiv1.ReplicaAction_REPLICA_ACTION_REMOVE}}
	}
	return &peerv1.Command{Command: &peerv1.Command_Change{Change: &peerv1.Change{KeySha256: keyHash("operator"), Request: req}}}
}

func randomSweep(r *rapid.T, h *harness) *peerv1.Command {
	if rapid.IntRange(0, 9).Draw(r, "nextDay") == 0 {
		h.now = h.now.Add(h.s.settings.Retention)
	}
	return &peerv1.Command{Command: &peerv1.Command_Sweep{Sweep: &peerv1.Sweep{}}}
}

func randomAnnounce(r *rapid.T, h *harness) *peerv1.Command {
	name := drawUpstream(r)
	req := &apiv1.AnnounceRequest{Upstream: name, Incarnation: rapid.Uint64Range(1, 3).Draw(r, "incarnation"), FailureDomain: name[2:],
		Rack: "r", Vm: "vm-" + name, Capacity: &apiv1.Resources{Slots: rapid.Int64Range(0, 4).Draw(r, "capacity"), Connections: 9}}
	return &peerv1.Command{Command: &peerv1.Command_Announce{Announce: &peerv1.Announce{KeySha256: keyHash("upstream"), Request: req}}}
}
