package pipeline

import (
	"slices"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// Entries of older versions keep their meaning, so that replicas which apply them again, from different snapshots, end in
// the same state. They identify queues by name.

// accessByName returns what an entry of an older version selects: the queue that has the name when the entry is applied.
// The key is not recorded, as those versions did not.
func (s *State) accessByName(queue, job string, keySHA256 []byte) (Access, *pipelinev1.Reply) {
	q := s.config.Queue(queue)
	if q == nil {
		return Access{}, &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_NO_QUEUE, Detail: "no queue has this name"}
	}
	team := s.config.TeamOfKey(keySHA256)
	if team == nil && !q.GetOpen() {
		return Access{}, &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_UNKNOWN_KEY, Detail: "the key is unknown"}
	}
	return Access{Queue: q, Team: team, ID: job, byName: true}, nil
}

// jobByName returns a job if an entry of an older version may access it, or nil.
func (a Access) jobByName(j *Job) *Job {
	if j == nil || j.Spec.GetQueue() != a.Queue.GetName() || !a.Queue.GetOpen() && j.Team != a.Team.GetName() {
		return nil
	}
	return j
}

// barsByName reports whether the submission of an older version's entry was cancelled before, by one of such entries.
func (t *tombstones) barsByName(a Access) bool {
	team := a.Team.GetName()
	if a.Queue.GetOpen() {
		team = ""
	}
	return slices.ContainsFunc(t.byAddress[addressOf(a)], func(c cancellation) bool { return c.by.team == team })
}

// queueByName returns the settings of a job while the active configuration is of an older version.
func (s *State) queueByName(j *Job) *pipelinev1.Queue {
	if q := s.config.Queue(j.Spec.GetQueue()); q != nil {
		return q
	}
	return j.AcceptedQueue
}

// resolveNames gives the tombstones that name a queue the host and path that the queue has in the active configuration,
// before another one takes its place. Those of queues that are not in it are dropped: nothing tells their path.
func (t *tombstones) resolveNames(active *Config) {
	if !slices.ContainsFunc(t.order, func(at address) bool { return at.queue != "" }) {
		return
	}
	records := t.records()
	*t = newTombstones()
	for _, r := range records {
		x := r.GetTombstone()
		if x.GetPath() == "" {
			q := active.Queue(x.GetQueue())
			if q == nil {
				continue
			}
			x.Host, x.Path = hostOf(q.GetHost()), q.GetPathPrefix()+x.GetJob()
		}
		t.restore(x)
	}
}
