package placement

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

const (
	admitPlaces = 1000
	admitStep   = 100 * time.Millisecond
)

// admitReplay submits jobs of teams to an Admission in virtual time. The jobs of a team end at a fixed
// rate, and refused callers return when they are told to.
type admitReplay struct {
	t         *testing.T
	admission *Admission
	now       time.Duration
	teams     []*admitTeam
	callers   []returning
	// returnsBySecond counts the returns, maxLive is the highest number of jobs in all.
	returnsBySecond map[int]int
	maxLive         int
}

type admitTeam struct {
	*pipelinev1.Team
	// sends and ends are jobs a second, both of them accumulated in toSend and toEnd.
	sends, ends      float64
	toSend, toEnd    float64
	live             int
	taken, refusals  int
	lastRefusedUntil time.Duration
}

type returning struct {
	team *admitTeam
	at   time.Duration
}

func newAdmitReplay(t *testing.T, teams ...*admitTeam) *admitReplay {
	r := &admitReplay{t: t, admission: NewAdmission(admitPlaces), teams: teams, returnsBySecond: make(map[int]int)}
	for i, team := range teams {
		team.Team = &pipelinev1.Team{Name: fmt.Sprint("team-", i), Weight: cmp.Or(team.GetWeight(), 1)}
	}
	return r
}

// submit sends one job; a refused caller returns as it is told.
func (r *admitReplay) submit(team *admitTeam) {
	refusal := r.admission.Decide(team.Team, &pipelinev1.JobSpec{}, nil, nil, r.now)
	if refusal.Reason == "" {
		r.admission.JobAdded(team.GetName())
		team.live++
		team.taken++
		return
	}
	after := r.admission.ReturnAfter(refusal, r.now)
	if after < minReturn || after > maxReturn {
		r.t.Errorf("a caller should return after %v", after)
	}
	if at := r.now + after; at < team.lastRefusedUntil && after < maxReturn/2 {
		r.t.Errorf("a caller of %s should return %v before one that was refused earlier", team.GetName(), team.lastRefusedUntil-at)
	}
	team.refusals++
	team.lastRefusedUntil = r.now + after
	r.callers = append(r.callers, returning{team, r.now + after})
}

// run plays the load for some time.
func (r *admitReplay) run(d time.Duration) {
	for end := r.now + d; r.now < end; r.now += admitStep {
		for _, team := range r.teams {
			for team.toEnd += team.ends * admitStep.Seconds(); team.toEnd >= 1; team.toEnd-- {
				if team.live > 0 {
					team.live--
					r.admission.JobEnded(team.GetName(), r.now)
				}
			}
			for team.toSend += team.sends * admitStep.Seconds(); team.toSend >= 1; team.toSend-- {
				r.submit(team)
			}
		}
		due := slices.DeleteFunc(slices.Clone(r.callers), func(c returning) bool { return c.at > r.now })
		r.callers = slices.DeleteFunc(r.callers, func(c returning) bool { return c.at <= r.now })
		for _, c := range due {
			r.returnsBySecond[int(r.now/time.Second)]++
			r.submit(c.team)
		}
		live := 0
		for _, team := range r.teams {
			live += team.live
		}
		r.maxLive = max(r.maxLive, live)
	}
}

// TestHotTeamLeavesPlacesToOthers has one team of twenty send at many times the rate at which its jobs
// end, and expects no job of the others to be refused, not even one of a team that only then begins.
func TestHotTeamLeavesPlacesToOthers(t *testing.T) {
	teams := []*admitTeam{{sends: 75, ends: 10}}
	for range 18 {
		teams = append(teams, &admitTeam{sends: 10, ends: 10})
	}
	late := &admitTeam{ends: 10}
	r := newAdmitReplay(t, append(teams, late)...)
	r.run(30 * time.Second)
	late.sends = 10
	r.run(30 * time.Second)
	for _, team := range r.teams[1:] {
		if team.refusals > 0 {
			t.Errorf("%d jobs of %s were refused", team.refusals, team.GetName())
		}
	}
	if r.maxLive > admitPlaces {
		t.Errorf("%d jobs hold %d places", r.maxLive, admitPlaces)
	}
	if hot := r.teams[0]; hot.refusals == 0 || hot.taken < 60*10 {
		t.Errorf("%d jobs of the hot team were taken, %d refused; want as many taken as end, and the others refused", hot.taken, hot.refusals)
	}
}

// TestReturnsAfterALossAreSpread has ten times as many callers as there are places send at once, as after
// a loss of power, and expects each team to get its share of the places, the callers to return at about
// the rate at which places become free, and all of them to be taken in the end.
func TestReturnsAfterALossAreSpread(t *testing.T) {
	var teams []*admitTeam
	for range 20 {
		teams = append(teams, &admitTeam{ends: 10})
	}
	r := newAdmitReplay(t, teams...)
	for range admitPlaces / 2 {
		for _, team := range teams {
			r.submit(team)
		}
	}
	for _, team := range teams {
		if share := admitPlaces / len(teams); team.live < share*8/10 || team.live > share*12/10 {
			t.Errorf("%s holds %d places of a share of %d", team.GetName(), team.live, share)
		}
	}
	r.run(3 * time.Minute)
	const endsPerSecond = 20 * 10
	for second, n := range r.returnsBySecond {
		if n > 2*endsPerSecond {
			t.Errorf("%d callers return in second %d, and %d jobs end", n, second, endsPerSecond)
		}
	}
	taken := 0
	for _, team := range teams {
		taken += team.taken
	}
	if want := admitPlaces / 2 * len(teams); taken != want {
		t.Errorf("%d of %d jobs were taken after %v", taken, want, r.now)
	}
}

// TestReturnsOfALongQueueAreSpread refuses callers of a team that is so far above its share that none of
// them can be taken for longer than they are told to wait, and expects their returns to be spread all the
// same.
func TestReturnsOfALongQueueAreSpread(t *testing.T) {
	a := NewAdmission(admitPlaces)
	team := &pipelinev1.Team{Name: "a", Weight: 1}
	for range 2 * admitPlaces {
		a.JobAdded("a")
	}
	bySecond := make(map[int]int)
	for range 1000 {
		bySecond[int(a.ReturnAfter(a.Decide(team, &pipelinev1.JobSpec{}, nil, nil, 0), 0)/time.Second)]++
	}
	for second, n := range bySecond {
		if n > 50 {
			t.Errorf("%d of 1000 callers return in second %d", n, second)
		}
	}
}

// TestUnservableJobsAreRefused expects jobs that are above their team's limit whatever else runs to be
// refused for good, and all others to be taken.
func TestUnservableJobsAreRefused(t *testing.T) {
	team := &pipelinev1.Team{Name: "a", Weight: 1, Limit: &pipelinev1.Resources{MilliCores: 4000}}
	step := func(count int32, cores int64, gang bool) *pipelinev1.Step {
		return &pipelinev1.Step{Count: count, Need: &pipelinev1.Resources{MilliCores: cores, MemoryMib: 1 << 20}, Gang: gang}
	}
	for name, c := range map[string]struct {
		team   *pipelinev1.Team
		steps  []*pipelinev1.Step
		reason string
	}{
		"many tasks, one after the other":   {team, []*pipelinev1.Step{step(100, 4000, false)}, ""},
		"a gang at the limit":               {team, []*pipelinev1.Step{step(4, 1000, true)}, ""},
		"a gang above the limit":            {team, []*pipelinev1.Step{step(1, 1, false), step(5, 1000, true)}, "step 1: the gang needs"},
		"a task above the limit":            {team, []*pipelinev1.Step{step(1, 4001, false)}, "step 0: a task needs"},
		"no limit":                          {&pipelinev1.Team{Name: "b"}, []*pipelinev1.Step{step(100, 4001, true)}, ""},
		"a job without a key has no limits": {nil, []*pipelinev1.Step{step(100, 4001, true)}, ""},
	} {
		a := NewAdmission(admitPlaces)
		r := a.Decide(c.team, &pipelinev1.JobSpec{Steps: c.steps}, nil, nil, 0)
		if (r.Reason == ReasonUnservable) != (c.reason != "") || !strings.HasPrefix(r.Detail, c.reason) {
			t.Errorf("%s: %+v", name, r)
		}
		if after := a.ReturnAfter(r, 0); after != 0 {
			t.Errorf("%s: the caller should return after %v", name, after)
		}
	}
}
