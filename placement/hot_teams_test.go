package placement

import (
	"sync"
	"testing"
	"time"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// scarceCell returns the load of the users' deployment of 350 upstreams whose callers at times compete for too
// little capacity, without its lasting tasks, at a multiple of its usual rate. Limits that sum to four times the
// cell leave it to the order of demands what each team gets.
func scarceCell(tb testing.TB, seed uint64, load float64) *replay {
	const upstreams = 350
	queues := []*pipelinev1.Queue{
		replayQueue("auth-batch", 0, 4, 1.5, 300, permitTerms(27, 0.39, 2500)),
		replayQueue("settle-run", 2, 3, 2.2, 1200, permitTerms(507, 7.3, 2500)),
	}
	classes := []class{
		{queue: "auth-batch", perSecond: 41.5 * load, steps: 1.6, tasks: 10, seconds: 0.8, milliCores: 8900, memoryMiB: 20000, off: 0.5, allowed: 0.7, fails: 0.005},
		{queue: "settle-run", perSecond: 4.5 * load, steps: 2, tasks: 21, seconds: 3.8, milliCores: 18000, memoryMiB: 36000, gangs: 0.08, saves: 0.8, off: 0.9, allowed: 0.35, fails: 0.005},
	}
	cores := make([]int64, upstreams)
	for i := range cores {
		cores[i] = []int64{64000, 64000, 32000, 128000}[(i*7)%4]
	}
	return newReplay(tb, seed, queues, classes, deployment{cores: cores, callers: 37, teams: 20, limit: 4, skew: 1})
}

// othersBeside returns what the teams earned that are not among the largest ones, in a scarce cell with a burst
// of large jobs: with the largest teams at their usual, and with each of them at 6.6 times its usual.
func othersBeside(t *testing.T, hotTeams int) (usual, hot float64) {
	const seeds = 4
	var wg sync.WaitGroup
	var mu sync.Mutex
	for seed := range uint64(seeds) {
		wg.Go(func() {
			a, b := scarceCell(t, seed, 1), scarceCell(t, seed, 1)
			a.largest, b.largest = hotTeams, hotTeams
			burst := pressure{class: "settle-run", from: 4 * time.Second, to: 9 * time.Second, times: 2.5}
			a.run(14*time.Second, burst)
			b.run(14*time.Second, burst, pressure{from: 4 * time.Second, to: 10 * time.Second, hot: 6.6, teams: []int{0, 1, 2}[:hotTeams]})
			mu.Lock()
			defer mu.Unlock()
			usual, hot = usual+a.others.share()/seeds, hot+b.others.share()/seeds
			t.Logf("seed %d: the others earned %.3f, beside the hot teams %.3f of %.0f jobs, %.0f late, %.0f too late", seed, a.others.share(), b.others.share(),
				b.others.jobs, b.others.late, b.others.missed)
		})
	}
	wg.Wait()
	return usual, hot
}

// Two teams send 6.6 times their usual at once, in a burst of large jobs that alone can be done. Each must be charged for
// what it used in the last seconds: against a mean that they raise themselves neither was over its share, and the others
// lost what they took. The bound is the one for a single hot team.
func TestTwoHotTeamsLeaveOthersInTime(t *testing.T) { checkOthersBeside(t, 2) }

// Three teams at once; see TestTwoHotTeamsLeaveOthersInTime.
func TestThreeHotTeamsLeaveOthersInTime(t *testing.T) { checkOthersBeside(t, 3) }

func checkOthersBeside(t *testing.T, hotTeams int) {
	const allowed = 0.05
	if usual, hot := othersBeside(t, hotTeams); hot < usual-allowed {
		t.Errorf("beside %d hot teams the others earned %.3f, without them %.3f", hotTeams, hot, usual)
	}
}

// What a team used counts for some seconds after its runs have ended, and a new leader that sees only what runs
// now is close to what its predecessor knew after RecentUseKnown.
func TestRecentUseOfANewLeader(t *testing.T) {
	f := newFixture(t, 1)
	f.addUpstream("u0", 64000)
	job := f.submit("batch", 0, tasks(1, 32000, 1000))
	f.place(job, 0, "u0")
	old := NewRecentUse()
	now := time.Duration(0)
	for ; now < 2*recentWindow; now += recentInterval {
		old.Sample(f.cell.State, now)
	}
	run := job.LiveRuns()[0]
	f.apply(&pipelinev1.Command{Command: &pipelinev1.Command_Ends{Ends: &pipelinev1.Ends{Ends: []*pipelinev1.End{{Run: run.Proto(), Kind: pipelinev1.EndKind_END_KIND_DONE}}}}})
	fresh := NewRecentUse()
	begin := now
	for ; now <= begin+RecentUseKnown; now += recentInterval {
		old.Sample(f.cell.State, now)
		fresh.Sample(f.cell.State, now)
		if now == begin && (old.upTo(2)["team0"] < 30000 || fresh.upTo(2)["team0"] != 0) {
			t.Errorf("a team that used 32 cores until now counts %.0f, for a new leader %.0f", old.upTo(2)["team0"], fresh.upTo(2)["team0"])
		}
	}
	if d := old.upTo(2)["team0"] - fresh.upTo(2)["team0"]; d > 0.06*32000 || d < 0 {
		t.Errorf("%v after the change of leader its view differs by %.0f thousandths of a core", RecentUseKnown, d)
	}
}

// Where all can be done in time, a team that uses more than its part by weight is not behind the others: large teams of a
// small cell would be late on calm days (worst team 0.87 in place of 0.99 of what it could earn).
func TestCalmServiceDoesNotChargeRecentUse(t *testing.T) {
	f := newFixture(t, 2)
	f.addUpstream("u0", 64000)
	busy := f.submit("batch", 0, tasks(1, 32000, 1000))
	f.place(busy, 0, "u0")
	f.cell.RecentUse = NewRecentUse()
	f.cell.RecentUse.Sample(f.cell.State, 0)
	for team := range 2 {
		st := f.submit("batch", team, tasks(1, 8000, 1000)).Occurrences[0].Steps[0]
		f.cell.Steps[st] = NewWork(st, 0)
	}
	for _, d := range newRound(f.cell).demands() {
		if d.overShare {
			t.Errorf("%s is over its share in a calm service", d.work.Step.Job().Team)
		}
	}
}
