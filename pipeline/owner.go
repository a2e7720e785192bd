package pipeline

import "bytes"

// owner is whose a job is: the team that submitted it, and the key that it was submitted with.
type owner struct {
	// team is empty for a submission without a known key.
	team string
	// keySHA256 is empty for a submission without a key, and where an older version has not recorded it.
	keySHA256 []byte
}

// ownerOf returns the owner of what a call submits.
func ownerOf(a Access) owner { return owner{a.Team.GetName(), a.KeySHA256} }

// admits reports whether a call on a queue that asks for keys may access what the owner has submitted: its key is one of
// the owner's team, or the very key that was used, which another team may hold by now. What was submitted without a key
// belongs to no team.
func (o owner) admits(a Access) bool {
	return o.team == "" || o.team == a.Team.GetName() || len(o.keySHA256) > 0 && bytes.Equal(o.keySHA256, a.KeySHA256)
}

// succession tells which teams of a new configuration are teams of the one before. A team is known by its keys: it is the
// same one as long as it keeps its name and one of its keys. Otherwise its name may have been given to another team, and its
// keys to a team with a new name.
type succession struct {
	before, now *Config
	// kept holds the teams that keep their name and one of their keys.
	kept map[string]bool
}

func newSuccession(before, now *Config) succession {
	s := succession{before, now, make(map[string]bool)}
	if before == nil {
		return s
	}
	for _, t := range before.GetTeams() {
		for _, key := range t.GetKeySha256() {
			if now.TeamOfKey(key).GetName() == t.GetName() {
				s.kept[t.GetName()] = true
			}
		}
	}
	return s
}

// teamOf returns the name of the team that something belongs to in the new configuration. If its team is not kept, that is
// the one that holds the key that was used, or else another key of the team. If none does, the name stays: the team may
// have exchanged all its keys, or come back later.
func (s succession) teamOf(o owner) string {
	if o.team == "" || s.kept[o.team] {
		return o.team
	}
	for _, key := range append([][]byte{o.keySHA256}, s.before.Team(o.team).GetKeySha256()...) {
		if holder := s.now.TeamOfKey(key); holder != nil {
			return holder.GetName()
		}
	}
	return o.team
}

// reassign gives the jobs and tombstones of teams that are not kept to the teams that they belong to now.
func (s *State) reassign(by succession) {
	for _, j := range s.jobs {
		if team := by.teamOf(j.owner()); team != j.Team {
			s.giveJob(j, team)
		}
	}
	for _, list := range s.tombstones.byAddress {
		for i := range list {
			list[i].by.team = by.teamOf(list[i].by)
		}
	}
}

// giveJob makes a job another team's, with what its runs reserve.
func (s *State) giveJob(j *Job, team string) {
	runs, from := j.LiveRuns(), j.Team
	for _, r := range runs {
		s.addUse(r, -1)
	}
	j.Team = team
	for _, r := range runs {
		s.addUse(r, 1)
	}
	s.observer.JobGiven(j, from)
}

// addUse adds what a run reserves to the use of its team, or with a negative sign takes it off.
func (s *State) addUse(r *Run, sign int64) {
	team := r.Task.Step.Job().Team
	s.usedByTeam[team] = s.usedByTeam[team].Plus(r.Task.Step.Need.Times(sign))
	if sign < 0 {
		if delete(s.runsByTeam[team], r); len(s.runsByTeam[team]) == 0 {
			delete(s.runsByTeam, team)
			delete(s.usedByTeam, team)
		}
		return
	}
	if s.runsByTeam[team] == nil {
		s.runsByTeam[team] = make(map[*Run]bool)
	}
	s.runsByTeam[team][r] = true
}
