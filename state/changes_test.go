package state

import (
	"testing"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
)

func TestRevisionRace(t *testing.T) {
	h := newHarness(t)
	base := h.s.Revision()
	put := func(op string, share int64) *apiv1.ChangeResponse {
		return h.change(&apiv1.ChangeRequest{OperationId: op, BaseRevision: base,
			Change: &apiv1.ChangeRequest_PutTeam{PutTeam: &apiv1.Team{Name: "a", Share: share}}})
	}
	won, lost := put("first", 2), put("second", 3)
	if !won.GetApplied() || lost.GetApplied() || lost.GetWinnerOperationId() != "first" || lost.GetRevision() != base+1 {
		t.Errorf("first change: %v, second change: %v", won, lost)
	}
	if again := put("first", 2); !again.GetApplied() || !again.GetResent() || again.GetRevision() != won.GetRevision() {
		t.Errorf("resent applied change: %v", again)
	}
	if again := put("second", 3); again.GetApplied() || !again.GetResent() {
		t.Errorf("resent refused change: %v", again)
	}
	if reused := put("first", 4); reused.GetOutcome().GetReason() != apiv1.Reason_REASON_IDENTITY_REUSED {
		t.Errorf("operation ID reused for another change: %v", reused)
	}
	if h.s.Team("a").Share != 2 {
		t.Errorf("share is %d, want 2", h.s.Team("a").Share)
	}
}

// A resend of a change that was decided is not answered with "not run" once its key is withdrawn: the change may be
// in force.
func TestResentChangeWithAWithdrawnKeyIsUndetermined(t *testing.T) {
	h := newHarness(t)
	h.grantKey("second", "", apiv1.KeyRole_KEY_ROLE_OPERATOR)
	change := func(op string) *apiv1.ChangeResponse {
		return h.apply(&peerv1.Command{Command: &peerv1.Command_Change{Change: &peerv1.Change{KeySha256: keyHash("second"),
			Request: &apiv1.ChangeRequest{OperationId: op, Change: &apiv1.ChangeRequest_PutTeam{PutTeam: &apiv1.Team{Name: "b", Share: 2}}}}}}).Change
	}
	if r := change("first"); !r.GetApplied() {
		t.Fatalf("change: %v", r)
	}
	h.mustChange(&apiv1.ChangeRequest{Change: &apiv1.ChangeRequest_WithdrawKey{WithdrawKey: "second"}})
	for op, want := range map[string]apiv1.OutcomeKind{"first": undeterminedKind, "new": notRunKind} {
		if r := change(op); r.GetOutcome().GetKind() != want || r.GetApplied() {
			t.Errorf("operation %s: %v, want %v", op, r, want)
		}
	}
}

// A change that was held up while another one was made is neither applied nor remembered: the same operation may be
// sent again.
func TestChangeThatWasHeldUpIsNotDecidedOn(t *testing.T) {
	h := newHarness(t)
	domain := func(op string, seen *uint64, st apiv1.DomainState) *apiv1.ChangeResponse {
		return h.apply(&peerv1.Command{Command: &peerv1.Command_Change{Change: &peerv1.Change{KeySha256: keyHash("operator"), SeenRevision: seen,
			Request: &apiv1.ChangeRequest{OperationId: op, Change: &apiv1.ChangeRequest_PutFailureDomain{PutFailureDomain: &apiv1.FailureDomain{Name: "d1", State: st}}}}}}).Change
	}
	in, out := apiv1.DomainState_DOMAIN_STATE_IN, apiv1.DomainState_DOMAIN_STATE_OUT
	seen := h.s.Revision()
	for _, op := range []string{"back", "out-again"} {
		if r := domain(op, nil, map[string]apiv1.DomainState{"back": in, "out-again": out}[op]); !r.GetApplied() {
			t.Fatalf("%s: %v", op, r)
		}
	}
	late := domain("held-up", &seen, in)
	if late.GetApplied() || late.GetOutcome().GetKind() != undeterminedKind || late.GetRevision() != seen+2 || !h.s.Domains()["d1"].Out {
		t.Errorf("the late change: %v, out is %t", late, h.s.Domains()["d1"].Out)
	}
	seen = late.GetRevision()
	if again := domain("held-up", &seen, in); !again.GetApplied() || again.GetResent() || h.s.Domains()["d1"].Out {
		t.Errorf("sent again: %v", again)
	}
	if resent := domain("held-up", &seen, in); !resent.GetApplied() || !resent.GetResent() {
		t.Errorf("resent after it was applied: %v", resent)
	}
}
