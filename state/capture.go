package state

import (
	"bufio"
	"bytes"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
)

// captureBufferBytes is the size of the buffer for writing or reading a snapshot.
const captureBufferBytes = 256 << 10

// capture is a copy-on-write view of the state at one time, which can be encoded while Apply
// continues. Small tables are copied when the capture is made. Jobs are shared: before Apply
// first changes a job, it saves a copy of it, unless the job is encoded already.
type capture struct {
	// epoch numbers the captures from 1; it is 0 for Snapshot.
	epoch     uint32
	head      []*peerv1.StateRecord
	upstreams []upstreamRecord
	jobs      jobTable
	// nextJob is the lowest ID of the jobs that are newer than the capture.
	nextJob    JobID
	endedJobs  []JobID
	requests   []*Request
	operations []*Operation

	// direct is set by Snapshot: the state does not change while it is encoded.
	direct bool
	// finished is set once write has returned.
	finished atomic.Bool
	mu       sync.Mutex
	// saved holds jobs as they were when the capture was made. mu guards it and Job.captured.
	saved map[JobID]*Job
}

// Capture returns a function that writes the present state in the format of Snapshot. The
// function must be called exactly once, and may run in another goroutine while Apply continues.
// It returns the first error of w. If an earlier capture has not been written completely,
// Capture encodes the state itself before it returns, which takes as long as Snapshot.
func (s *State) Capture() func(w io.Writer) error {
	if s.capture != nil && !s.capture.finished.Load() {
		data := s.Snapshot()
		return func(w io.Writer) error {
			_, err := w.Write(data)
			return err
		}
	}
	s.captures++
	s.capture = s.newCapture(s.captures, s.jobs.share())
	return s.capture.write
}

// Snapshot returns the whole state as length-delimited StateRecords. Equal states give equal
// bytes.
func (s *State) Snapshot() []byte {
	c := s.newCapture(0, s.jobs)
	c.direct = true
	var b bytes.Buffer
	if err := c.write(&b); err != nil {
		panic("state: snapshot can't be encoded: " + err.Error())
	}
	return b.Bytes()
}

func (s *State) newCapture(epoch uint32, jobs jobTable) *capture {
	c := &capture{epoch: epoch, head: s.headRecords(), jobs: jobs, nextJob: s.nextJob,
		endedJobs: s.endedJobs[:len(s.endedJobs):len(s.endedJobs)], requests: s.requestOrder[:len(s.requestOrder):len(s.requestOrder)],
		operations: s.operationOrder[:len(s.operationOrder):len(s.operationOrder)], saved: make(map[JobID]*Job)}
	c.upstreams = make([]upstreamRecord, len(s.upstreamList))
	for i, u := range s.upstreamList {
		c.upstreams[i] = upstreamRecord{u.announced, u.State, u.LostNS}
	}
	return c
}

// upstreamRecord is what a capture keeps of an upstream.
type upstreamRecord struct {
	announced *apiv1.AnnounceRequest
	state     lifecycle.UpstreamState
	lostNS    int64
}

// headRecords returns the records of the header and the configuration, which are small, and
// those of the replica changes and the pipeline jobs.
func (s *State) headRecords() []*peerv1.StateRecord {
	list := []*peerv1.StateRecord{{Record: &peerv1.StateRecord_Header{Header: &peerv1.StateHeader{
		NowNs: s.nowNS, Revision: s.revision, NextJobId: uint64(s.nextJob), LastOperationId: s.lastOperation}}}}
	for _, name := range sortedKeys(s.teams) {
		list = append(list, &peerv1.StateRecord{Record: &peerv1.StateRecord_Team{Team: s.teams[name].spec}})
	}
	for _, id := range sortedKeys(s.keys) {
		list = append(list, &peerv1.StateRecord{Record: &peerv1.StateRecord_Key{Key: s.keys[id].Record()}})
	}
	for _, name := range sortedKeys(s.queues) {
		list = append(list, &peerv1.StateRecord{Record: &peerv1.StateRecord_Queue{Queue: s.queues[name]}})
	}
	for _, name := range sortedKeys(s.formerOwners) {
		list = append(list, &peerv1.StateRecord{Record: &peerv1.StateRecord_FormerOwners{FormerOwners: &peerv1.StateFormerOwners{
			Queue: name, Teams: slices.Clone(s.formerOwners[name])}}})
	}
	for _, name := range sortedKeys(s.domains) {
		list = append(list, &peerv1.StateRecord{Record: &peerv1.StateRecord_FailureDomain{FailureDomain: s.domains[name].Proto()}})
	}
	for _, r := range s.replicaChanges {
		list = append(list, &peerv1.StateRecord{Record: &peerv1.StateRecord_ReplicaChange{ReplicaChange: &peerv1.StateReplicaChange{
			OperationId: r.OperationID, DecidedNs: r.DecidedNS,
			Change: &apiv1.ReplicaChange{ReplicaId: r.Replica, Action: r.Action}}}})
	}
	for _, r := range s.pipelines.Records() {
		list = append(list, &peerv1.StateRecord{Record: &peerv1.StateRecord_Pipeline{Pipeline: r}})
	}
	return list
}

// saveOriginal saves a copy of a job before its first change since the capture. It does nothing
// if the job is newer than the capture or was already saved or encoded.
func (c *capture) saveOriginal(j *Job) {
	if j.ID >= c.nextJob {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if j.captured != c.epoch {
		j.captured = c.epoch
		c.saved[j.ID] = j.clone()
	}
}

// takeOriginal returns a job as it was when the capture was made, or nil if an earlier call
// has returned it.
func (c *capture) takeOriginal(j *Job) *Job {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j.captured == c.epoch {
		saved := c.saved[j.ID]
		delete(c.saved, j.ID)
		return saved
	}
	j.captured = c.epoch
	return j.clone()
}

// clone copies the parts of a job that Apply changes in place. The rest is immutable and shared.
func (j *Job) clone() *Job {
	c := *j
	c.Tasks = slices.Clone(j.Tasks)
	return &c
}

// write encodes the capture to w, and marks it as finished also when w fails.
func (c *capture) write(w io.Writer) error {
	defer c.finished.Store(true)
	e := &recordEncoder{w: bufio.NewWriterSize(w, captureBufferBytes)}
	for _, r := range c.head {
		e.add(r)
	}
	c.writeUpstreams(e)
	for _, id := range c.endedJobs {
		c.writeJob(e, c.jobs.get(id), true)
	}
	for _, j := range c.jobs.all() {
		c.writeJob(e, j, false)
	}
	for _, r := range c.requests {
		e.add(&peerv1.StateRecord{Record: &peerv1.StateRecord_Request{Request: encodeRequest(r)}})
	}
	for _, o := range c.operations {
		e.add(&peerv1.StateRecord{Record: &peerv1.StateRecord_Operation{Operation: &peerv1.StateOperation{
			OperationId: o.ID, Digest: []byte(o.Digest), Response: o.Response, DecidedNs: o.DecidedNS}}})
	}
	return e.flush()
}

func (c *capture) writeUpstreams(e *recordEncoder) {
	slices.SortFunc(c.upstreams, func(a, b upstreamRecord) int {
		return strings.Compare(a.announced.Upstream, b.announced.Upstream)
	})
	for _, u := range c.upstreams {
		e.add(&peerv1.StateRecord{Record: &peerv1.StateRecord_Upstream{Upstream: &peerv1.StateUpstream{
			Announce: u.announced, State: string(u.state), LostNs: u.lostNS}}})
	}
}

// writeJob encodes a job. Ended jobs are written first, in the order in which they ended, and
// then the others; ended tells which of the two passes this is.
func (c *capture) writeJob(e *recordEncoder, j *Job, ended bool) {
	if e.err != nil {
		return
	}
	if c.direct {
		if ended == (j.State == lifecycle.JobEnded) {
			e.add(&peerv1.StateRecord{Record: &peerv1.StateRecord_Job{Job: encodeJob(j)}})
		}
		return
	}
	if j = c.takeOriginal(j); j != nil {
		e.add(&peerv1.StateRecord{Record: &peerv1.StateRecord_Job{Job: encodeJob(j)}})
	}
}

// preserveForCapture saves a copy of a job for an unfinished capture. It must be called before
// the job or one of its tasks is changed in place.
func (s *State) preserveForCapture(j *Job) {
	if s.capture == nil {
		return
	}
	if s.capture.finished.Load() {
		s.capture = nil
		return
	}
	s.capture.saveOriginal(j)
}
