package placement

import (
	"slices"
	"testing"
	"time"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// replayQueue returns a queue of the one service of a replayed cell.
func replayQueue(name string, priority, attempts int32, stretch float64, targetMs int64, permits *pipelinev1.PermitTerms) *pipelinev1.Queue {
	return &pipelinev1.Queue{Name: name, Host: "h", PathPrefix: "/" + name + "/", Service: "print", MaxAttempts: attempts, TimeoutMs: 1,
		Stretch: stretch, TargetLatencyMs: targetMs, Priority: priority, Permits: permits}
}

// permitTerms returns the terms of a queue whose tickets are valid for some milliseconds.
func permitTerms(decisionMs, perUpstreamMs float64, validMs int64) *pipelinev1.PermitTerms {
	return &pipelinev1.PermitTerms{DecisionMs: decisionMs, PerUpstreamMs: perUpstreamMs, ValidMs: validMs}
}

// ledgerstone returns the load of the users' deployment whose large jobs are gangs, at a multiple of its
// usual rate: 48 upstreams and 11 processes that ask the permit service.
func ledgerstone(tb testing.TB, seed uint64, load float64) *replay {
	const upstreams = 48
	queues := []*pipelinev1.Queue{
		replayQueue("seal", 1, 3, 2.2, 1000, permitTerms(510, 7.3, 1500)),
		replayQueue("batch", 2, 4, 4, 3000, permitTerms(62, 0.88, 1500)),
		replayQueue("desk", 0, 4, 1.5, 300, permitTerms(7, 0.1, 1500)),
	}
	classes := []class{
		{queue: "seal", perSecond: 1.09 * load, steps: 1.2, tasks: 8, seconds: 6.2, milliCores: 4500, memoryMiB: 9500, gangs: 1, saves: 0.5, off: 0.5, allowed: 0.25},
		{queue: "batch", perSecond: 4.34 * load, steps: 1.5, tasks: 10, seconds: 3.4, milliCores: 920, memoryMiB: 1900, saves: 0.8, off: 0.9, allowed: 0.45, fails: 0.02},
		{queue: "desk", perSecond: 38.5 * load, steps: 1, tasks: 2, seconds: 0.8, milliCores: 1300, memoryMiB: 4800, gangs: 0.3, off: 0.9, allowed: 0.7, fails: 0.02},
	}
	cores := make([]int64, upstreams)
	for i := range cores {
		cores[i] = []int64{16000, 16000, 8000, 16000, 32000, 8000}[(i*7)%6]
	}
	return newReplay(tb, seed, queues, classes, deployment{cores: cores, callers: 11, teams: 6, limit: 1.6, skew: 1})
}

// ledgerstoneGrown returns the load of the same users' deployment of 350 upstreams and 20 teams.
func ledgerstoneGrown(tb testing.TB, seed uint64, load float64) *replay {
	queues := []*pipelinev1.Queue{
		replayQueue("seal", 1, 3, 2.2, 1000, permitTerms(580, 8.3, 1500)),
		replayQueue("batch", 2, 4, 4, 3000, permitTerms(120, 1.8, 1500)),
		replayQueue("desk", 0, 4, 1.5, 300, permitTerms(9, 0.13, 1500)),
	}
	classes := []class{
		{queue: "seal", perSecond: 3.22 * load, steps: 1.2, tasks: 20, seconds: 6.2, milliCores: 4500, memoryMiB: 9200, gangs: 1, saves: 0.5, off: 0.5, allowed: 0.25, fails: 0.0025},
		{queue: "batch", perSecond: 7.17 * load, steps: 1.5, tasks: 25, seconds: 3.4, milliCores: 1600, memoryMiB: 3300, saves: 0.8, off: 0.9, allowed: 0.45, fails: 0.02},
		{queue: "desk", perSecond: 100 * load, steps: 1, tasks: 3.2, seconds: 0.8, milliCores: 2300, memoryMiB: 8500, gangs: 0.3, off: 0.9, allowed: 0.7, fails: 0.02},
	}
	return newReplay(tb, seed, queues, classes, deployment{cores: slices.Repeat([]int64{16000}, 350), callers: 50, teams: 20, limit: 1.6, skew: 0.78})
}

// lomosLarge returns the load of the users' deployment of 1,100 upstreams and 60 teams, at a multiple of its
// usual rate.
func lomosLarge(tb testing.TB, seed uint64, load float64) *replay {
	const upstreams = 1100
	queues := []*pipelinev1.Queue{
		replayQueue("label", 0, 3, 1.5, 300, permitTerms(26, 0.37, 2500)),
		replayQueue("catalogue", 2, 4, 2.2, 1200, permitTerms(450, 6.4, 2500)),
	}
	classes := []class{
		{queue: "label", perSecond: 53.5 * load, steps: 1.6, tasks: 13, seconds: 0.8, milliCores: 13000, memoryMiB: 38000, off: 0.5, allowed: 0.7, fails: 0.02},
		{queue: "catalogue", perSecond: 6.27 * load, steps: 2, tasks: 26, seconds: 6, milliCores: 18000, memoryMiB: 51000, gangs: 0.08, saves: 0.8, off: 0.5, allowed: 0.35, fails: 0.05},
	}
	cores := make([]int64, upstreams)
	for i := range cores {
		cores[i] = []int64{64000, 64000, 32000, 128000}[(i*7)%4]
	}
	return newReplay(tb, seed, queues, classes, deployment{cores: cores, callers: 154, teams: 60, limit: 1.6, skew: 1})
}

// lomosGrown returns the load of the users' deployment of 350 upstreams and 20 teams, at a multiple of its usual
// rate.
func lomosGrown(tb testing.TB, seed uint64, load float64) *replay {
	const upstreams = 350
	queues := []*pipelinev1.Queue{
		replayQueue("label", 0, 4, 1.5, 250, permitTerms(23, 0.33, 2500)),
		replayQueue("catalogue", 2, 3, 2.2, 1200, permitTerms(410, 5.9, 2500)),
	}
	classes := []class{
		{queue: "label", perSecond: 34.8 * load, steps: 1.6, tasks: 9.5, seconds: 0.8, milliCores: 8100, memoryMiB: 30000, off: 0.5, allowed: 0.7, fails: 0.005},
		{queue: "catalogue", perSecond: 3.9 * load, steps: 2, tasks: 17, seconds: 4.8, milliCores: 18000, memoryMiB: 36000, gangs: 0.08, saves: 0.8, off: 0.9, allowed: 0.35, fails: 0.005},
	}
	cores := make([]int64, upstreams)
	for i := range cores {
		cores[i] = []int64{64000, 64000, 32000, 128000}[(i*7)%4]
	}
	return newReplay(tb, seed, queues, classes, deployment{cores: cores, callers: 36, teams: 20, limit: 1.6, skew: 1})
}

// acquirer returns the load of a deployment whose callers at times compete for too little capacity: 350 upstreams, 20
// teams and 37 processes that ask the permit service, at a multiple of its usual rate.
func acquirer(tb testing.TB, seed uint64, load float64) *replay {
	const upstreams = 350
	queues := []*pipelinev1.Queue{
		replayQueue("auth-batch", 0, 4, 1.5, 300, permitTerms(27, 0.39, 2500)),
		replayQueue("settle-run", 2, 4, 2.2, 1200, permitTerms(507, 7.3, 2500)),
		replayQueue("dispute-watch", 1, 3, 0, 2500, permitTerms(585, 8.5, 2500)),
	}
	classes := []class{
		{queue: "auth-batch", perSecond: 41.5 * load, steps: 1.6, tasks: 10, seconds: 0.8, milliCores: 8900, memoryMiB: 18000, off: 0.5, allowed: 0.7, fails: 0.005},
		{queue: "settle-run", perSecond: 4.5 * load, steps: 2, tasks: 21, seconds: 3.8, milliCores: 18000, memoryMiB: 36000, gangs: 0.08, saves: 0.8, off: 0.9, allowed: 0.35, fails: 0.005},
		{queue: "dispute-watch", perSecond: 0.32 * load, steps: 1, tasks: 20, seconds: 1, milliCores: 18000, memoryMiB: 36000, allowed: 0.35, lasts: 6 * time.Second},
	}
	cores := make([]int64, upstreams)
	for i := range cores {
		cores[i] = []int64{64000, 128000, 32000, 128000, 64000}[(i*7)%5]
	}
	return newReplay(tb, seed, queues, classes, deployment{cores: cores, callers: 37, teams: 20, limit: 1.9, skew: 1.2})
}

// acquirerDay is the length of the acquirer's worst day, and acquirerBursts are its pressures: a burst of its large
// jobs beside two teams that send many times their usual, and two more bursts before the cell has caught up.
const acquirerDay = 34 * time.Second

func acquirerBursts() []pressure {
	return []pressure{
		{class: "settle-run", from: 4 * time.Second, to: 9 * time.Second, times: 2.5},
		{from: 4 * time.Second, to: 9 * time.Second, hot: 6.6, teams: []int{0, 3}},
		{class: "auth-batch", from: 12 * time.Second, to: 16 * time.Second, times: 1.8},
		{class: "settle-run", from: 18 * time.Second, to: 22 * time.Second, times: 1.8},
	}
}
