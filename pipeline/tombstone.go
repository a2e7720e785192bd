package pipeline

import (
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// MaxTombstones is the maximum number of tombstones, about 150 bytes each. Beyond it the oldest are dropped.
const MaxTombstones = 10_000

// tombstone identifies a job that was cancelled before its submission arrived. It keeps the submission from
// running. Like ended jobs, tombstones are kept for Retention.
type tombstone struct {
	queue, team, job string
}

// tombstoneOf returns the tombstone of a job that a team names on a queue. An open queue's jobs may be cancelled by
// anyone, so that the team does not count there.
func tombstoneOf(queue *pipelinev1.Queue, team *pipelinev1.Team, job string) tombstone {
	t := tombstone{queue: queue.GetName(), job: job}
	if !queue.GetOpen() {
		t.team = team.GetName()
	}
	return t
}

// tombstones are all tombstones and the leader times at which they were created.
type tombstones struct {
	createdNS map[tombstone]int64
	// order holds the tombstones, oldest first.
	order []tombstone
}

func newTombstones() tombstones { return tombstones{createdNS: make(map[tombstone]int64)} }

// add records a tombstone, unless there is one already.
func (t *tombstones) add(key tombstone, nowNS int64) {
	if _, known := t.createdNS[key]; known {
		return
	}
	for len(t.order) >= MaxTombstones {
		t.dropOldest()
	}
	t.createdNS[key] = nowNS
	t.order = append(t.order, key)
}

func (t *tombstones) dropOldest() {
	delete(t.createdNS, t.order[0])
	t.order = t.order[1:]
}

// has reports whether a job was cancelled before its submission.
func (t *tombstones) has(key tombstone) bool {
	_, known := t.createdNS[key]
	return known
}

// sweep drops the tombstones that were created at least Retention ago.
func (t *tombstones) sweep(nowNS int64) {
	for len(t.order) > 0 && nowNS-t.createdNS[t.order[0]] >= int64(Retention) {
		t.dropOldest()
	}
}

// records encodes the tombstones as snapshot records, oldest first.
func (t *tombstones) records() (out []*pipelinev1.Record) {
	for _, key := range t.order {
		out = append(out, &pipelinev1.Record{Record: &pipelinev1.Record_Tombstone{Tombstone: &pipelinev1.TombstoneRecord{
			Queue: key.queue, Team: key.team, Job: key.job, CreatedNs: t.createdNS[key]}}})
	}
	return out
}

// addCancelled accepts a job that was cancelled before its submission arrived, as one that has ended.
func (s *State) addCancelled(j *Job) {
	s.addJob(j)
	s.endJob(j, lifecycle.PipelineCancel)
}
