package pipeline

import (
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// MaxTombstones is the maximum number of tombstones, about 250 bytes each. Beyond it the oldest are dropped.
const MaxTombstones = 10_000

// tombstone identifies a job that was cancelled before its submission arrived, by the host and path at which it was
// cancelled. It keeps the submission from running. Like ended jobs, tombstones are kept for Retention.
type tombstone struct {
	host, path string
	// team is whose submission is barred. It is empty if the queue was open, where anyone may cancel any job.
	team string
}

// tombstoneOf returns the tombstone of the job that a call names.
func tombstoneOf(a Access) tombstone {
	t := tombstone{host: a.Host, path: a.Path}
	if !a.Queue.GetOpen() {
		t.team = a.Team.GetName()
	}
	return t
}

// cancellation is what is kept of a cancellation with a tombstone.
type cancellation struct {
	// queue is the name of the queue then, by which older versions identify the tombstone. job is the job's identity.
	queue, job string
	// createdNS is the leader time in Unix nanoseconds.
	createdNS int64
}

// tombstones are all tombstones.
type tombstones struct {
	cancellations map[tombstone]cancellation
	// order holds the tombstones, oldest first.
	order []tombstone
}

func newTombstones() tombstones {
	return tombstones{cancellations: make(map[tombstone]cancellation)}
}

// add records a tombstone, unless there is one already.
func (t *tombstones) add(key tombstone, c cancellation) {
	if t.has(key) {
		return
	}
	for len(t.order) >= MaxTombstones {
		t.dropOldest()
	}
	t.cancellations[key] = c
	t.order = append(t.order, key)
}

func (t *tombstones) dropOldest() {
	delete(t.cancellations, t.order[0])
	t.order = t.order[1:]
}

// bars reports whether the job of a submission was cancelled before, on an open queue or with a key of the same team.
func (t *tombstones) bars(a Access) bool {
	return t.has(tombstone{a.Host, a.Path, ""}) || t.has(tombstone{a.Host, a.Path, a.Team.GetName()})
}

func (t *tombstones) has(key tombstone) bool {
	_, known := t.cancellations[key]
	return known
}

// sweep drops the tombstones that were created at least Retention ago.
func (t *tombstones) sweep(nowNS int64) {
	for len(t.order) > 0 && nowNS-t.cancellations[t.order[0]].createdNS >= int64(Retention) {
		t.dropOldest()
	}
}

// records encodes the tombstones as snapshot records, oldest first.
func (t *tombstones) records() (out []*pipelinev1.Record) {
	for _, key := range t.order {
		c := t.cancellations[key]
		out = append(out, &pipelinev1.Record{Record: &pipelinev1.Record_Tombstone{Tombstone: &pipelinev1.TombstoneRecord{
			Queue: c.queue, Team: key.team, Job: c.job, CreatedNs: c.createdNS, Host: key.host, Path: key.path}}})
	}
	return out
}

// restoreTombstone adds a tombstone of a snapshot. Records of older versions name the queue and have no path; without
// that queue nothing tells to which path the cancellation was sent, and no submission could be matched with it.
func (s *State) restoreTombstone(r *pipelinev1.TombstoneRecord) {
	host, path := r.GetHost(), r.GetPath()
	if path == "" {
		q := s.config.Queue(r.GetQueue())
		if q == nil {
			return
		}
		host, path = q.GetHost(), q.GetPathPrefix()+r.GetJob()
	}
	s.tombstones.add(tombstone{host, path, r.GetTeam()}, cancellation{r.GetQueue(), r.GetJob(), r.GetCreatedNs()})
}

// addCancelled accepts a job that was cancelled before its submission arrived, as one that has ended.
func (s *State) addCancelled(j *Job) {
	s.addJob(j)
	s.endJob(j, lifecycle.PipelineCancel)
}
