package placement

import (
	"math"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
)

const (
	// recentWindow is the time constant of RecentUse. It spans the bursts of teams that send many times their
	// usual, which last for four to seven seconds.
	recentWindow = 4 * time.Second
	// RecentUseKnown is the time after the begin of a leadership from which on what a team used before it has
	// little effect (e^-3) on its recent use.
	RecentUseKnown = 3 * recentWindow
	// recentInterval is the shortest time between two samples, each of which looks at all runs (about 0.05 us a run).
	recentInterval = 100 * time.Millisecond
)

// RecentUse is what teams used lately: moving averages over recentWindow of the cores of their runs, in
// thousandths, by the priority of the runs' queues. A new leader begins with what the runs in the replicated
// state use at that moment.
type RecentUse struct {
	uses  map[useKey]float64
	at    time.Duration
	begun bool
}

// useKey is a team's work of a priority.
type useKey struct {
	team     string
	priority int32
}

// NewRecentUse returns a RecentUse without samples.
func NewRecentUse() *RecentUse { return &RecentUse{uses: make(map[useKey]float64)} }

// Sample adds what the teams use now, at most once in recentInterval. Its cost is proportional to the number of
// runs.
func (u *RecentUse) Sample(s *pipeline.State, now time.Duration) {
	if s.Config() == nil || u.begun && now-u.at < recentInterval {
		return
	}
	weight := 1.0
	if u.begun {
		weight = 1 - math.Exp(-(now-u.at).Seconds()/recentWindow.Seconds())
	}
	u.at, u.begun = now, true
	for key, use := range u.uses {
		if u.uses[key] = use * (1 - weight); use < 1 {
			delete(u.uses, key)
		}
	}
	u.addRuns(s, "", weight)
	for _, t := range s.Config().GetTeams() {
		u.addRuns(s, t.GetName(), weight)
	}
}

// addRuns adds a team's runs with a weight. Jobs without a key belong to the team without a name.
func (u *RecentUse) addRuns(s *pipeline.State, team string, weight float64) {
	for r := range s.RunsOf(team) {
		u.uses[useKey{team, s.JobQueue(r.Task.Step.Job()).GetPriority()}] += weight * float64(r.Task.Step.Need.MilliCores)
	}
}

// upTo returns, by team, the cores that work of a priority or of more urgent ones used lately, in thousandths.
func (u *RecentUse) upTo(priority int32) map[string]float64 {
	out := make(map[string]float64)
	for key, use := range u.uses {
		if key.priority <= priority {
			out[key.team] += use
		}
	}
	return out
}
