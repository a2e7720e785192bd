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

// captureBufferBytes is the size of the buffer in front of a snapshot's writer.
const captureBufferBytes = 256 << 10

// capture is the state at one moment, encoded while Apply goes on. Small tables are
// copied when the capture is made. Jobs are shared; Apply saves a copy of each job
// before its first change, unless the encoder has passed it.
type capture struct {
	epoch      uint32
	head       []*peerv1.StateRecord
	upstreams  []upstreamRecord
	jobs       jobTable
	nextJob    JobID
	endedJobs  []JobID
	requests   []*Request
	operations []*Operation

	// direct is set when the state does not change while it is encoded.
	direct   bool
	finished atomic.Bool
	mu       sync.Mutex
	// saved holds jobs as they were at the capture. Guarded by mu, like Job.captured.
	saved map[JobID]*Job
}

// Capture fixes the state as it is now and returns a function that encodes it, as
// length-delimited StateRecords in the order of Snapshot. The function must be called
// once and may run in another goroutine while Apply goes on. A Capture made before an
// earlier one was encoded is encoded at once.
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

// Snapshot encodes the whole state. Equal states give equal bytes.
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

// headRecords encodes the header and the configuration, which are small.
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

// saveOriginal saves a job before its first change since the capture.
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

// takeOriginal returns a job as it was at the capture, or nil if it was taken before.
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

// clone copies what Apply changes in place; all else is shared and immutable.
func (j *Job) clone() *Job {
	c := *j
	c.Tasks = slices.Clone(j.Tasks)
	return &c
}

// write encodes the capture.
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

// writeJob encodes a job of the ended ones, which come first, or of the others.
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

// preserveForCapture must be called before a job or one of its tasks is changed in place.
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
