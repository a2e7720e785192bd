package raft

import "testing"

// TestFirstElectionComesSooner checks that a replica that has not known a leader since it started asks
// for votes after FirstElectionTicks, and after ElectionTicks once it has known one.
func TestFirstElectionComesSooner(t *testing.T) {
	const first = 3
	ticksToCampaign := func(heard bool) int {
		r, err := New(Config{ID: 1, ElectionTicks: 12, FirstElectionTicks: first, HeartbeatTicks: 2, MaxInflight: 8,
			MaxAppendBytes: 1 << 20, Seed: 1}, BootstrapGroup(testMembers(3, 0)))
		if err != nil {
			t.Fatal(err)
		}
		if heard {
			r.Step(Message{Type: MsgHeartbeat, From: 2, To: 1, Term: 2})
		}
		for n := 1; ; n++ {
			r.Tick()
			if r.Role() == PreCandidate {
				return n
			}
		}
	}
	if n := ticksToCampaign(false); n < first || n >= 2*first {
		t.Errorf("first election: asked for votes after %d ticks", n)
	}
	if n := ticksToCampaign(true); n < 12 {
		t.Errorf("asked for votes %d ticks after a heartbeat", n)
	}
}
