package raft

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	restartTick     = 50 * time.Millisecond
	restartLatency  = 3 * time.Millisecond
	restartVoters   = 5
	restartGiveUp   = 10 * time.Second
	restartStep     = time.Millisecond
	restartMaxShort = 3
)

// restartedVoter is a voter that has lost power and returns at a time.
type restartedVoter struct {
	*Raft
	returns, busyUntil time.Duration
	ticks              time.Duration
}

// delivery is a message on its way.
type delivery struct {
	at time.Duration
	m  Message
}

// leaderAfterPowerLoss returns the time from the return of a majority of five voters until one of them leads. The
// voters return within spread, with logs that end up to restartMaxShort entries apart; a write takes sync.
func leaderAfterPowerLoss(t testing.TB, firstTicks int, spread, sync time.Duration, seed uint64) time.Duration {
	rng := rand.New(rand.NewPCG(seed, 2))
	voters := make(map[ID]*restartedVoter)
	var returns []time.Duration
	for _, m := range testMembers(restartVoters, 0) {
		entries := entriesOfTerms(2, 1, 1, 1, 1)[:4-rng.IntN(restartMaxShort+1)]
		cfg := testConfig(m.ID, seed*restartVoters+uint64(m.ID))
		cfg.ElectionTicks, cfg.FirstElectionTicks = 9, firstTicks
		r, err := New(cfg, DurableState{HardState: HardState{Term: 1, Commit: 1}, Entries: entries,
			Snapshot: Snapshot{Index: 1, Term: 1, Members: testMembers(restartVoters, 0)}})
		if err != nil {
			t.Fatal(err)
		}
		v := &restartedVoter{Raft: r, returns: time.Duration(rng.Int64N(int64(spread) + 1)).Truncate(restartStep)}
		voters[m.ID] = v
		returns = append(returns, v.returns)
	}
	slices.Sort(returns)
	majority := returns[restartVoters/2]
	var network []delivery
	for now := time.Duration(0); now < restartGiveUp; now += restartStep {
		network = slices.DeleteFunc(network, func(d delivery) bool {
			v := voters[d.m.To]
			if d.at <= now && v.returns <= now && v.busyUntil <= now {
				v.Step(d.m)
				return true
			}
			// Connections to a voter that is not there are refused.
			return d.at <= now && v.returns > now
		})
		for id := ID(1); id <= restartVoters; id++ {
			v := voters[id]
			if v.returns > now || v.busyUntil > now {
				continue
			}
			if v.Role() == Leader {
				return now - majority
			}
			if v.ticks < (now-v.returns)/restartTick {
				v.ticks++
				v.Tick()
			}
			network = append(network, v.runReady(now, sync)...)
		}
	}
	t.Errorf("seed %d: no leader after %v", seed, restartGiveUp)
	return restartGiveUp
}

// runReady carries out what a voter has ready and returns its messages, which leave after the write.
func (v *restartedVoter) runReady(now, sync time.Duration) (out []delivery) {
	for v.HasReady() {
		rd := v.Ready()
		if rd.MustSync {
			v.busyUntil = max(v.busyUntil, now) + sync
		}
		for _, m := range append(slices.Clone(rd.Early), rd.Messages...) {
			out = append(out, delivery{max(v.busyUntil, now) + restartLatency, m})
		}
		v.Advance(rd)
	}
	return out
}

// TestLeaderSoonAfterPowerLoss expects a leader soon after a majority of the voters is back, whether all come back at
// once or one after the other, and also on slow disks. Every call is refused until then. With a first timeout of 3 ticks
// that did not grow with the elections, a leader took 191 ms in the mean and 278 ms at most.
func TestLeaderSoonAfterPowerLoss(t *testing.T) {
	const rounds, firstTicks = 200, 1
	for _, c := range []struct{ spread, sync, mean, worst time.Duration }{
		{0, 8 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond},
		{100 * time.Millisecond, 8 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond},
		{time.Second, 8 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond},
		{100 * time.Millisecond, 180 * time.Millisecond, time.Second, 3 * time.Second},
	} {
		var sum, worst time.Duration
		for seed := range uint64(rounds) {
			took := leaderAfterPowerLoss(t, firstTicks, c.spread, c.sync, seed)
			sum, worst = sum+took, max(worst, took)
		}
		t.Logf("return within %v, syncs of %v: mean %v, worst %v", c.spread, c.sync, sum/rounds, worst)
		if sum/rounds > c.mean || worst > c.worst {
			t.Errorf("return within %v, syncs of %v: mean %v, worst %v", c.spread, c.sync, sum/rounds, worst)
		}
	}
}
