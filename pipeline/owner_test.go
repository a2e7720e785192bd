package pipeline

import (
	"testing"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// team returns a team with some keys and a limit of six cores.
func team(name string, keys ...string) *pipelinev1.Team {
	t := &pipelinev1.Team{Name: name, Weight: 1, Limit: &pipelinev1.Resources{MilliCores: 6000}}
	for _, k := range keys {
		t.KeySha256 = append(t.KeySha256, hashOf(k))
	}
	return t
}

// teams puts a configuration with other teams in force.
func (h *harness) teams(list ...*pipelinev1.Team) {
	h.t.Helper()
	h.reconfigure(func(c *pipelinev1.Config) { c.Teams = list })
}

// A team is the same one under another name as long as it has its keys: its jobs and what their runs use go with it. They
// stayed with the name, so that the jobs were unknown and the limit of the team did not hold.
func TestJobsGoWithTheirTeam(t *testing.T) {
	for name, c := range map[string]struct {
		before, after []*pipelinev1.Team
		want          string
	}{
		"renamed":                    {[]*pipelinev1.Team{team("a", "1", "2")}, []*pipelinev1.Team{team("b", "1", "2")}, "b"},
		"renamed, without the key":   {[]*pipelinev1.Team{team("a", "1", "2")}, []*pipelinev1.Team{team("b", "2")}, "b"},
		"names exchanged":            {[]*pipelinev1.Team{team("a", "1"), team("b", "2")}, []*pipelinev1.Team{team("b", "1"), team("a", "2")}, "b"},
		"dissolved":                  {[]*pipelinev1.Team{team("a", "1"), team("b", "2")}, []*pipelinev1.Team{team("b", "2", "1")}, "b"},
		"split":                      {[]*pipelinev1.Team{team("a", "1", "2")}, []*pipelinev1.Team{team("b", "2"), team("c", "1")}, "c"},
		"a key moves":                {[]*pipelinev1.Team{team("a", "1", "2"), team("b", "3")}, []*pipelinev1.Team{team("a", "2"), team("b", "3", "1")}, "a"},
		"other keys":                 {[]*pipelinev1.Team{team("a", "1")}, []*pipelinev1.Team{team("a", "9")}, "a"},
		"other keys, and the old go": {[]*pipelinev1.Team{team("a", "1"), team("b", "2")}, []*pipelinev1.Team{team("a", "9"), team("b", "2", "1")}, "b"},
		"gone":                       {[]*pipelinev1.Team{team("a", "1"), team("b", "2")}, []*pipelinev1.Team{team("b", "2")}, "a"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.teams(c.before...)
			h.submitAs("1", "j", &pipelinev1.JobSpec{Id: "j", Queue: testQueue, Steps: []*pipelinev1.Step{step(2, 1)}})
			h.apply(&pipelinev1.Command{Command: &pipelinev1.Command_Cancel{Cancel: &pipelinev1.Cancel{Job: "k", KeySha256: hashOf("1"), Host: "h", Path: "/labels/k"}}})
			h.mustPlace(run("j", 0, 0, 1, "w1"))
			h.teams(c.after...)
			for _, h := range []*harness{h, h.restored()} {
				if got := h.Job("j").Team; got != c.want {
					t.Errorf("the job is of team %s, want %s", got, c.want)
				}
				if used, all := h.Used(c.want).MilliCores, h.Used("a").Plus(h.Used("b")).Plus(h.Used("c")).MilliCores; used != 1000 || all != 1000 || len(h.RunsOf(c.want)) != 1 {
					t.Errorf("its run uses %d of the team's, %d of all", used, all)
				}
				if got := h.tombstones.byAddress[address{host: "h", path: "/labels/k"}][0].by.team; got != c.want {
					t.Errorf("the tombstone is of team %s, want %s", got, c.want)
				}
			}
		})
	}
}

// A team that is away for one configuration and comes back under another name has its jobs again.
func TestTeamComesBackUnderAnotherName(t *testing.T) {
	h := newHarness(t)
	h.submit("j", step(1, 1))
	h.teams()
	h = h.restored()
	h.teams(team("another", testKey))
	if got := h.Job("j").Team; got != "another" {
		t.Errorf("the job is of team %s", got)
	}
}

// The limit of a team holds for what it had running under its name before.
func TestLimitHoldsOverARename(t *testing.T) {
	h := newHarness(t)
	h.submit("j", step(1, 4))
	h.mustPlace(run("j", 0, 0, 1, "w1"))
	h.teams(team("another", testKey))
	h.submit("k", step(1, 3))
	if got := h.place(run("k", 0, 0, 1, "w2")); len(got.Refused) != 1 || got.Refused[0].Reason != PlaceOverLimit {
		t.Errorf("four of six cores are in use, three more: %v", got.Refused)
	}
}
