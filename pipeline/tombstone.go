package pipeline

import (
	"bytes"
	"slices"

	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// MaxTombstones is the maximum number of tombstones, about 300 bytes each. Beyond it the oldest are dropped.
const MaxTombstones = 10_000

// address is where a job was cancelled before its submission arrived. The tombstone that is kept there keeps the
// submission from running. Like ended jobs, tombstones are kept for Retention.
type address struct {
	// path is the job's identity if queue is set.
	host, path string
	// queue is the name of the queue for a tombstone of an older version, until resolveNames.
	queue string
}

// addressOf returns the address of a call.
func addressOf(a Access) address {
	if a.byName {
		return address{path: a.ID, queue: a.Queue.GetName()}
	}
	return address{host: a.Host, path: a.Path}
}

// cancellation is a tombstone.
type cancellation struct {
	// by is whose submission is barred. It has no team if the queue was open, where anyone may cancel any job.
	by owner
	// queue is the name of the queue then, by which older versions identify the tombstone. job is the job's identity.
	queue, job string
	// createdNS is the leader time in Unix nanoseconds.
	createdNS int64
}

// cancellationBy returns the tombstone that a call leaves.
func cancellationBy(a Access, nowNS int64) cancellation {
	c := cancellation{queue: a.Queue.GetName(), job: a.ID, createdNS: nowNS}
	if !a.Queue.GetOpen() {
		c.by = ownerOf(a)
	}
	return c
}

// tombstones are all tombstones.
type tombstones struct {
	// byAddress holds the tombstones at each address, oldest first.
	byAddress map[address][]cancellation
	// order holds the address of each tombstone, oldest first.
	order []address
}

func newTombstones() tombstones {
	return tombstones{byAddress: make(map[address][]cancellation)}
}

// add records a tombstone, unless its owner has left one there already.
func (t *tombstones) add(at address, c cancellation) {
	for _, known := range t.byAddress[at] {
		if known.by.team == c.by.team && bytes.Equal(known.by.keySHA256, c.by.keySHA256) {
			return
		}
	}
	for len(t.order) >= MaxTombstones {
		t.dropOldest()
	}
	t.byAddress[at] = append(t.byAddress[at], c)
	t.order = append(t.order, at)
}

func (t *tombstones) dropOldest() {
	at := t.order[0]
	t.order = t.order[1:]
	if t.byAddress[at] = t.byAddress[at][1:]; len(t.byAddress[at]) == 0 {
		delete(t.byAddress, at)
	}
}

// bars reports whether the job of a submission was cancelled before.
func (t *tombstones) bars(a Access) bool {
	if a.byName {
		return t.barsByName(a)
	}
	barred := func(c cancellation) bool { return c.by.admits(a) }
	return slices.ContainsFunc(t.byAddress[addressOf(a)], barred) ||
		slices.ContainsFunc(t.byAddress[address{path: a.ID, queue: a.Queue.GetName()}], barred)
}

// sweep drops the tombstones that were created at least Retention ago.
func (t *tombstones) sweep(nowNS int64) {
	for len(t.order) > 0 && nowNS-t.byAddress[t.order[0]][0].createdNS >= int64(Retention) {
		t.dropOldest()
	}
}

// records encodes the tombstones as snapshot records, oldest first.
func (t *tombstones) records() (out []*pipelinev1.Record) {
	next := make(map[address]int)
	for _, at := range t.order {
		c := t.byAddress[at][next[at]]
		next[at]++
		r := &pipelinev1.TombstoneRecord{Queue: c.queue, Team: c.by.team, Job: c.job, CreatedNs: c.createdNS, KeySha256: c.by.keySHA256}
		if at.queue == "" {
			r.Host, r.Path = at.host, at.path
		}
		out = append(out, &pipelinev1.Record{Record: &pipelinev1.Record_Tombstone{Tombstone: r}})
	}
	return out
}

// restore adds a tombstone of a snapshot.
func (t *tombstones) restore(r *pipelinev1.TombstoneRecord) {
	at := address{host: r.GetHost(), path: r.GetPath()}
	if at.path == "" {
		at = address{path: r.GetJob(), queue: r.GetQueue()}
	}
	t.add(at, cancellation{owner{r.GetTeam(), r.GetKeySha256()}, r.GetQueue(), r.GetJob(), r.GetCreatedNs()})
}

// addCancelled accepts a job that was cancelled before its submission arrived, as one that has ended.
func (s *State) addCancelled(j *Job) {
	s.addJob(j)
	s.endJob(j, lifecycle.PipelineCancel)
}
