package pipeline

import (
	"maps"
	"slices"
	"time"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

const (
	// maxCrashes is the number of crashes after which a task is given up. A crash soon after the start of
	// a run counts twice: of the tasks on the upstream, it points to the one that caused it. It does not
	// for lasting tasks, whose jobs lose most by a mistake. A task is not placed while so many of its
	// runs have crashed their upstreams, or may have: those whose end or fate is not known count as
	// well.
	maxCrashes = 4
	// crashWindow is the time from the placing of a run to its end within which the run may have crashed
	// its upstream by being started.
	crashWindow = 30 * time.Second
)

// CrashesUpstreams reports whether so many upstreams have crashed under the task that it is given up.
func (t *Task) CrashesUpstreams() bool {
	if t.Step.Spec.GetLasting() {
		return t.Crashes >= maxCrashes
	}
	return t.Crashes+t.EarlyCrashes >= maxCrashes
}

// Held reports whether the task may not be placed now because of the upstreams that have crashed, or may
// have, under its runs.
func (t *Task) Held() bool {
	return int(t.Crashes)+len(t.Expired)+len(t.Live) >= maxCrashes
}

// Suspect reports whether an upstream crashed, or may have, under the task.
func (t *Task) Suspect() bool { return t.Crashes > 0 || len(t.Expired) > 0 }

// runCrashed counts a run whose upstream crashed.
func (s *State) runCrashed(r *Run, early bool) {
	if s.endedWithinCrashWindow(r) {
		r.Task.countCrash(early)
	}
}

func (t *Task) countCrash(early bool) {
	t.Crashes++
	if early {
		t.EarlyCrashes++
	}
}

// runExpired keeps a run whose lease expired until it is known whether its upstream crashed.
func (s *State) runExpired(r *Run) {
	if !s.endedWithinCrashWindow(r) || r.Task.Step.Job().Ended() {
		return
	}
	r.Task.Expired = append(r.Task.Expired, r)
	r.Upstream.Expired[r.Key()] = r
}

func (s *State) endedWithinCrashWindow(r *Run) bool {
	return s.nowNS-r.PlacedNS <= int64(crashWindow)
}

// resolveExpired counts the expired runs of an incarnation as crashes or clears them.
func (s *State) resolveExpired(u *Upstream, crashed bool) {
	for _, key := range slices.SortedFunc(maps.Keys(u.Expired), compareRuns) {
		r := u.Expired[key]
		if r == nil {
			continue // Its job has failed because of another run.
		}
		forgetExpired(r)
		if crashed {
			r.Task.countCrash(false)
			s.failExhaustedJob(r.Task)
		}
	}
}

// forgetExpired removes an expired run from its task and upstream.
func forgetExpired(r *Run) {
	delete(r.Upstream.Expired, r.Key())
	r.Task.Expired = slices.DeleteFunc(r.Task.Expired, func(x *Run) bool { return x == r })
}

// forgetExpiredOf removes the expired runs of a job that has ended.
func forgetExpiredOf(j *Job) {
	for _, o := range j.Occurrences {
		for _, st := range o.Steps {
			for _, t := range st.Tasks {
				for _, r := range slices.Clone(t.Expired) {
					forgetExpired(r)
				}
			}
		}
	}
}

// restoreExpired adds the expired runs of a snapshot.
func (s *State) restoreExpired(t *Task, runs []*pipelinev1.Run) error {
	for _, l := range runs {
		u := s.upstreams[l.GetUpstream()]
		if u == nil {
			return unknownUpstream(l)
		}
		r := &Run{Task: t, Number: l.GetNumber(), Upstream: u, Born: l.GetBorn()}
		t.Expired = append(t.Expired, r)
		u.Expired[r.Key()] = r
	}
	return nil
}
