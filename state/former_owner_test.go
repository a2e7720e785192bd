package state

import (
	"bytes"
	"testing"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
)

// openRequest submits a request on the open queue; an unknown key stands for none.
func (h *harness) openRequest(key, id string) *apiv1.SubmitResponse {
	req := request(id, apiv1.Policy_POLICY_BATCH, 1, true)
	req.Queue = "open"
	return h.submitAs(key, req)
}

// cancelOpen cancels requests on the open queue, or all of them.
func (h *harness) cancelOpen(key string, ids ...string) *apiv1.CancelResponse {
	return h.apply(&peerv1.Command{Command: &peerv1.Command_Cancel{Cancel: &peerv1.Cancel{KeySha256: keyHash(key), StableIdentities: true,
		Request: &apiv1.CancelRequest{Queue: "open", RequestIds: ids, WholeQueue: len(ids) == 0}}}}).Cancel
}

func (h *harness) restart(t *testing.T) {
	t.Helper()
	s := New(Settings{})
	if err := s.Restore(bytes.NewReader(h.s.Snapshot())); err != nil {
		t.Fatal(err)
	}
	h.s = s
}

// A request on an open queue stays the same one when the queue counts its work for another team, or asks for a key: sent
// again it is no second job, it is cancelled, and if it was cancelled before it arrived it does not run. Each was lost, and
// the request ran twice.
func TestRequestOnAnOpenQueueOutlivesItsTeam(t *testing.T) {
	for name, c := range map[string]struct {
		change []*apiv1.ChangeRequest
		key    string
	}{
		"another team":   {[]*apiv1.ChangeRequest{{Change: &apiv1.ChangeRequest_PutQueue{PutQueue: &apiv1.Queue{Name: "open", Team: "a", Open: true}}}}, ""},
		"asks for a key": {[]*apiv1.ChangeRequest{{Change: &apiv1.ChangeRequest_PutQueue{PutQueue: &apiv1.Queue{Name: "open"}}}}, "caller-a"},
		"another team, and back": {[]*apiv1.ChangeRequest{{Change: &apiv1.ChangeRequest_PutQueue{PutQueue: &apiv1.Queue{Name: "open", Team: "a", Open: true}}},
			{Change: &apiv1.ChangeRequest_PutQueue{PutQueue: &apiv1.Queue{Name: "open", Team: "b", Open: true}}}}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			first := h.openRequest("", "r")
			h.cancelOpen("", "cancelled")
			for _, change := range c.change {
				h.mustChange(change)
			}
			h.restart(t)
			if again := h.openRequest(c.key, "r"); !again.GetResent() || again.GetJobId() != first.GetJobId() || first.GetJobId() == 0 {
				t.Errorf("sent again: %v, first %v", again, first)
			}
			if r := h.openRequest(c.key, "cancelled"); r.GetJobId() != 0 {
				t.Errorf("cancelled before it arrived: %v", r)
			}
			j := h.s.Job(JobID(first.GetJobId()))
			if known := h.s.RequestAt("open", "a", "r"); known == nil || known.Job != j.ID || !h.s.MayAccess(keyHash(c.key), j) {
				t.Errorf("known as %v, accessible: %t", known, h.s.MayAccess(keyHash(c.key), j))
			}
			if n := len(h.cancelOpen(c.key).GetResults()); n != 1 || j.Unended() != 0 {
				t.Errorf("%d requests of the queue are cancelled, %d tasks go on", n, j.Unended())
			}
		})
	}
}

// Changes of the release before record no former team: replicas that apply them again must not know more than those that
// start from a later snapshot.
func TestChangeOfTheReleaseBeforeRemembersNoTeam(t *testing.T) {
	h := newHarness(t)
	req := &apiv1.ChangeRequest{OperationId: "older", Change: &apiv1.ChangeRequest_PutQueue{PutQueue: &apiv1.Queue{Name: "open", Team: "a", Open: true}}}
	h.apply(&peerv1.Command{Command: &peerv1.Command_Change{Change: &peerv1.Change{KeySha256: keyHash("operator"), Request: req}}})
	if len(h.s.formerOwners) > 0 {
		t.Errorf("remembered: %v", h.s.formerOwners)
	}
}

// A key's request has an identity of its own: one that was made at the queue without a key, under the same ID and with another
// body, does not stand in its way.
func TestRequestWithAKeyIsNotTakenForOneWithout(t *testing.T) {
	h := newHarness(t)
	first := h.openRequest("", "r")
	h.mustChange(&apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_PutQueue{PutQueue: &apiv1.Queue{Name: "open"}}})
	other := request("r", apiv1.Policy_POLICY_BATCH, 2, true)
	other.Queue = "open"
	if r := h.submitAs("caller-a", other); r.GetJobId() == 0 || r.GetJobId() == first.GetJobId() {
		t.Errorf("got %v, want a job of its own", r)
	}
}
