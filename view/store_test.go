package view

import (
	"context"
	"fmt"
	"testing"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

type fakeClock struct{ now time.Duration }

func (c *fakeClock) Now() time.Duration { return c.now }

const statusOK = peerv1.ForwardStatus_FORWARD_STATUS_OK

func cancelledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// TestAgeIsCarriedAlong relays a view through a chain of three processes and expects each age,
// and with it staleness, to count from the leader's confirmation.
func TestAgeIsCarriedAlong(t *testing.T) {
	clock := &fakeClock{now: time.Hour}
	chain := []*Store{New(clock, 3*time.Second), New(clock, 3*time.Second), New(clock, 3*time.Second)}
	if err := chain[0].Update(&peerv1.ViewResponse{Status: statusOK, Revision: 1}, clock.now, FromLeader); err != nil {
		t.Fatal(err)
	}
	for i := range chain[1:] {
		sent := clock.now
		clock.now += time.Second
		resp := chain[i].Serve(cancelledContext(), &peerv1.ViewRequest{Process: "next"})
		resp.HeldNs = int64(time.Second)
		if err := chain[i+1].Update(resp, sent, FromProcess); err != nil {
			t.Fatal(err)
		}
		if age, _ := chain[i+1].Age(); age < time.Duration(i+1)*time.Second {
			t.Errorf("hop %d: age %s is less than one second per hop", i+1, age)
		}
	}
	if !chain[2].Fresh() {
		t.Error("a view of 2 s counts as stale")
	}
	clock.now += 2 * time.Second
	if chain[2].Fresh() {
		t.Error("a view of 4 s counts as fresh")
	}
	if resp := chain[1].Serve(cancelledContext(), &peerv1.ViewRequest{}); resp.GetStatus() == statusOK {
		t.Error("a stale view was served")
	}
}

func TestRevisionNeverReverts(t *testing.T) {
	s := New(&fakeClock{}, time.Second)
	for _, step := range []struct {
		resp *peerv1.ViewResponse
		want error
	}{
		{&peerv1.ViewResponse{Revision: 4, Delta: true}, ErrNoBaseView},
		{&peerv1.ViewResponse{Revision: 5}, nil},
		{&peerv1.ViewResponse{Revision: 4}, ErrStaleRevision},
		{&peerv1.ViewResponse{Revision: 6, Delta: true}, nil},
	} {
		if err := s.Update(step.resp, 0, FromProcess); !errors.Is(err, step.want) {
			t.Errorf("%v: %v", step.resp, err)
		}
	}
}

// TestOnlyTheRootServesRelays expects a process without the leader to redirect a relay, which
// may fetch only from the leader's process, to the leader.
func TestOnlyTheRootServesRelays(t *testing.T) {
	s := New(&fakeClock{}, time.Second)
	_ = s.Update(&peerv1.ViewResponse{Revision: 1, LeaderAddress: "10.0.0.1:7401"}, 0, FromProcess)
	resp := s.Serve(cancelledContext(), &peerv1.ViewRequest{FromLeader: true})
	if resp.GetStatus() != peerv1.ForwardStatus_FORWARD_STATUS_NOT_LEADER || resp.GetLeaderAddress() != "10.0.0.1:7401" {
		t.Errorf("got %v", resp)
	}
}

func TestAuthorize(t *testing.T) {
	hash := func(b byte) []byte { h := make([]byte, 32); h[0] = b; return h }
	s := New(&fakeClock{}, time.Second)
	_ = s.Update(&peerv1.ViewResponse{Revision: 1,
		Queues: []*apiv1.Queue{{Name: "open", Team: "a", Open: true}, {Name: "qa", Team: "a"}, {Name: "any"}},
		Keys: []*peerv1.KeyRecord{
			{KeyId: "a", Team: "a", KeySha256: hash(1), Role: apiv1.KeyRole_KEY_ROLE_CALLER},
			{KeyId: "b", Team: "b", KeySha256: hash(2), Role: apiv1.KeyRole_KEY_ROLE_CALLER},
			{KeyId: "old", Team: "a", KeySha256: hash(3), Role: apiv1.KeyRole_KEY_ROLE_CALLER, Withdrawn: true},
			{KeyId: "op", KeySha256: hash(4), Role: apiv1.KeyRole_KEY_ROLE_OPERATOR}}}, 0, FromLeader)
	for _, c := range []struct {
		hash    []byte
		queue   string
		verdict Verdict
		reason  apiv1.Reason
		team    string
	}{
		{nil, "open", Allowed, 0, "a"},
		{nil, "qa", Refused, apiv1.Reason_REASON_KEY_UNKNOWN, ""},
		{hash(1), "qa", Allowed, 0, "a"},
		{hash(2), "any", Allowed, 0, "b"},
		{hash(2), "qa", Refused, apiv1.Reason_REASON_KEY_OF_ANOTHER_TEAM, ""},
		{hash(3), "qa", Refused, apiv1.Reason_REASON_KEY_WITHDRAWN, ""},
		{hash(4), "qa", Refused, apiv1.Reason_REASON_NOT_PERMITTED, ""},
		{hash(9), "qa", Unknown, 0, ""},
		{hash(1), "made a moment ago", Unknown, 0, ""},
	} {
		if d := s.ForQueue(c.hash, c.queue); d.Verdict != c.verdict || d.Reason != c.reason || d.Team != c.team {
			t.Errorf("%v on %s: %+v", c.hash, c.queue, d)
		}
	}
	if d := s.ForRole(hash(4), apiv1.KeyRole_KEY_ROLE_OPERATOR); d.Verdict != Allowed {
		t.Errorf("operator: %+v", d)
	}
}

// TestDeltasConverge applies random changes and restarts, and expects the last process of a
// relay chain to hold the leader's configuration after each fetch.
func TestDeltasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := &fakeClock{}
		want := map[string]int64{}
		revision := uint64(1)
		fresh := func() *Store { return New(clock, time.Second) }
		root, relay, leaf := fresh(), fresh(), fresh()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := fmt.Sprintf("team-%d", rapid.IntRange(0, 5).Draw(t, "team"))
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1:
				revision++
				want[name] = int64(revision)
			case 2:
				revision++
				delete(want, name)
			case 3:
				relay = fresh()
			case 4:
				transferView(t, root, relay)
			case 5:
				leaf = fresh()
			}
			full := &peerv1.ViewResponse{Status: statusOK, Revision: revision}
			for n, share := range want {
				full.Teams = append(full.Teams, &apiv1.Team{Name: n, Share: share})
			}
			if err := root.Update(full, clock.now, FromLeader); err != nil {
				t.Fatal(err)
			}
			if rapid.Bool().Draw(t, "fetch") {
				transferView(t, root, relay)
				transferView(t, relay, leaf)
				checkTeams(t, leaf, want, revision)
			}
		}
	})
}

func transferView(t *rapid.T, from, to *Store) {
	resp := from.Serve(cancelledContext(), &peerv1.ViewRequest{KnownRevision: to.Revision()})
	if resp.GetStatus() != statusOK {
		return
	}
	if err := to.Update(resp, 0, FromProcess); err != nil && !errors.Is(err, ErrStaleRevision) {
		t.Fatal(err)
	}
}

func checkTeams(t *rapid.T, s *Store, want map[string]int64, revision uint64) {
	if s.Revision() != revision || len(s.teams.rows) != len(want) {
		t.Fatalf("revision %d with %d teams; want %d with %d", s.Revision(), len(s.teams.rows), revision, len(want))
	}
	for name, share := range want {
		if got, _ := s.teams.get(name); got.GetShare() != share {
			t.Fatalf("%s: %v", name, got)
		}
	}
}
