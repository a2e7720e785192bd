package raft

import (
	"slices"
	"testing"

	"github.com/pkg/errors"
)

func TestLearnerDoesNotCount(t *testing.T) {
	g := newSimGroup(t, 8, testMembers(2, 1))
	leader := g.elect(1)
	g.drop = isolate(2)
	g.propose(1, "x")
	if leader.Committed() == leader.LastIndex() {
		t.Error("an entry was committed with the acknowledgement of a learner")
	}
	g.tick(3, 10*testElectionTicks)
	if g.nodes[3].Role() != Follower {
		t.Error("a learner started an election")
	}
}

func TestMembershipChangesOneAtATime(t *testing.T) {
	g := newSimGroup(t, 9, testMembers(3, 0))
	g.add(4, DurableState{})
	leader := g.elect(1)
	added := append(leader.Members(), Member{ID: 4})
	promoted := slices.Clone(added)
	promoted[3].Voter = true
	for name, members := range map[string][]Member{
		"same": leader.Members(), "two": append(slices.Clone(added), Member{ID: 5}),
		"duplicate": append(slices.Clone(added), Member{ID: 4}), "no voter": {},
	} {
		if _, err := leader.ProposeMembers(members); !errors.Is(err, ErrInvalidChange) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := leader.ProposeMembers(added); err != nil {
		t.Fatal(err)
	}
	if _, err := leader.ProposeMembers(promoted); !errors.Is(err, ErrChangePending) {
		t.Errorf("second change: %v, want ErrChangePending", err)
	}
	g.processReady(1)
	g.deliverAll()
	g.tickAll(testElectionTicks)
	if got := g.nodes[4].LastIndex(); got != leader.LastIndex() {
		t.Errorf("the log of the new learner ends at %d, that of the leader at %d, without further proposals", got, leader.LastIndex())
	}
	if _, err := leader.ProposeMembers(promoted); err != nil {
		t.Error(err)
	}
}

// TestChangeWaitsForCommitOfOwnTerm checks that a new leader refuses a membership change before an
// entry of its term is committed.
func TestChangeWaitsForCommitOfOwnTerm(t *testing.T) {
	g := newSimGroup(t, 10, testMembers(3, 0))
	g.drop = func(m Message) bool { return m.Type == MsgAppendReply }
	leader := g.elect(1)
	if _, err := leader.ProposeMembers(append(leader.Members(), Member{ID: 4})); !errors.Is(err, ErrChangePending) {
		t.Error(err)
	}
}

// TestTruncatedChangeIsUndone checks that a leader that was cut off reverts its uncommitted membership
// change when a successor replaces the entry, also if it was restarted in between.
func TestTruncatedChangeIsUndone(t *testing.T) {
	for _, restart := range []bool{false, true} {
		g := newSimGroup(t, 11, testMembers(3, 0))
		old := g.elect(1)
		g.drop = isolate(1)
		if _, err := old.ProposeMembers(old.Members()[:2]); err != nil {
			t.Fatal(err)
		}
		g.processReady(1)
		g.deliverAll()
		g.tickAll(4 * testElectionTicks)
		if restart {
			g.restart(1)
		}
		if n := len(old.Members()); n != 2 {
			t.Fatalf("%d members before the change is reverted, want 2", n)
		}
		g.drop = nil
		g.tickAll(testElectionTicks)
		if n := len(old.Members()); n != 3 {
			t.Errorf("restart %v: %d members after the change was replaced", restart, n)
		}
	}
}

func TestTransfer(t *testing.T) {
	g := newSimGroup(t, 12, testMembers(3, 0))
	leader := g.elect(1)
	g.drop = isolate(2)
	g.propose(1, "x")
	if err := leader.TransferLeadership(2); err != nil {
		t.Fatal(err)
	}
	if _, err := leader.Propose([]byte("y")); !errors.Is(err, ErrTransferring) {
		t.Errorf("proposal during the transfer: %v, want ErrTransferring", err)
	}
	g.drop = nil
	g.tick(1, 2*testHeartbeatTicks)
	if g.nodes[2].Role() != Leader || g.nodes[2].LastIndex() <= 2 {
		t.Fatalf("the transfer target is %s", g.nodes[2].Role())
	}
	g.drop = isolate(3)
	if err := g.nodes[2].TransferLeadership(3); err != nil {
		t.Fatal(err)
	}
	g.tick(2, testElectionTicks)
	if _, err := g.nodes[2].Propose([]byte("z")); err != nil {
		t.Errorf("proposal after a failed transfer: %v", err)
	}
}

// TestRemovedLeaderHandsOver checks that a leader that is removed from the group has a successor before
// any election timeout expires.
func TestRemovedLeaderHandsOver(t *testing.T) {
	g := newSimGroup(t, 13, testMembers(3, 0))
	leader := g.elect(1)
	if _, err := leader.ProposeMembers(leader.Members()[1:]); err != nil {
		t.Fatal(err)
	}
	g.processReady(1)
	g.deliverAll()
	if leader.Role() == Leader {
		t.Error("the removed replica is still the leader")
	}
	if g.nodes[2].Role() != Leader && g.nodes[3].Role() != Leader {
		t.Error("no other replica became the leader")
	}
}
