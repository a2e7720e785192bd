package state

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/binary"
	"io"
	"maps"
	"slices"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/resource"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// recordEncoder writes length-delimited records. After an error it writes nothing more, and
// flush returns the first error.
type recordEncoder struct {
	w       *bufio.Writer
	scratch []byte
	err     error
}

func (e *recordEncoder) add(r *peerv1.StateRecord) {
	if e.err != nil {
		return
	}
	e.scratch = protowire.AppendVarint(e.scratch[:0], uint64(proto.Size(r)))
	data, err := proto.MarshalOptions{Deterministic: true, UseCachedSize: true}.MarshalAppend(e.scratch, r)
	if err != nil {
		panic("state: record can't be encoded: " + err.Error())
	}
	e.scratch = data
	_, e.err = e.w.Write(data)
}

func (e *recordEncoder) flush() error {
	if e.err != nil {
		return e.err
	}
	return e.w.Flush()
}

// Record converts the key to the message of the peer protocol.
func (k *Key) Record() *peerv1.KeyRecord {
	return &peerv1.KeyRecord{KeyId: k.ID, Team: k.Team, KeySha256: k.Hash[:], Role: k.Role, Withdrawn: k.Withdrawn}
}

// Proto converts the failure domain to the public message.
func (d *Domain) Proto() *apiv1.FailureDomain {
	st := apiv1.DomainState_DOMAIN_STATE_IN
	if d.Out {
		st = apiv1.DomainState_DOMAIN_STATE_OUT
	}
	return &apiv1.FailureDomain{Name: d.Name, State: st, NoticeMs: d.Notice.Milliseconds()}
}

func encodeRequest(r *Request) *peerv1.StateRequest {
	return &peerv1.StateRequest{Team: r.Key.Team, RequestId: r.Key.ID, Digest: []byte(r.Digest), Refusal: r.Refusal, DecidedNs: r.DecidedNS, Queue: r.Queue}
}

func encodeJob(j *Job) *peerv1.StateJob {
	out := &peerv1.StateJob{JobId: uint64(j.ID), Team: j.Team, Queue: j.Queue, RequestId: j.RequestID, Spec: j.Spec,
		State: string(j.State), Outcome: j.Outcome, SubmittedNs: j.SubmittedNS, StartDeadlineNs: j.StartDeadlineNS, EndedNs: j.EndedNS, Digest: []byte(j.Digest)}
	out.Tasks = make([]*peerv1.StateTask, len(j.Tasks))
	for i := range j.Tasks {
		t := &j.Tasks[i]
		st := &peerv1.StateTask{State: string(t.State), Attempt: t.Attempt, Failures: t.Failures, NotBeforeNs: t.NotBeforeNS,
			Outcome: t.Outcome, Answer: t.Answer, Checkpoint: t.Checkpoint, Checkpointing: t.Checkpointing, Started: t.Started}
		if t.Upstream != nil {
			st.Upstream = t.Upstream.Name
			st.Reserved = t.Reserved.Proto()
		}
		out.Tasks[i] = st
	}
	return out
}

// maxRecordBytes limits the size of one record of a snapshot.
const maxRecordBytes = 1 << 30

// Restore replaces the state by a snapshot that Snapshot or Capture wrote. If reading fails or
// the snapshot is damaged, it returns an error and leaves the state empty.
func (s *State) Restore(r io.Reader) error {
	s.reset()
	if err := s.restoreAll(bufio.NewReaderSize(r, captureBufferBytes)); err != nil {
		s.reset()
		return errors.Wrap(err, "state: restore snapshot")
	}
	return nil
}

func (s *State) restoreAll(r *bufio.Reader) error {
	var buffer bytes.Buffer
	for {
		size, err := binary.ReadUvarint(r)
		if err == io.EOF {
			return nil
		}
		if err != nil || size > maxRecordBytes {
			return errors.New("invalid record length")
		}
		// The buffer grows as data is read. It is not allocated up front, because a damaged
		// length may be far larger than the data.
		buffer.Reset()
		if _, err := io.CopyN(&buffer, r, int64(size)); err != nil {
			return errors.Wrap(err, "truncated record")
		}
		record := &peerv1.StateRecord{}
		if err := proto.Unmarshal(buffer.Bytes(), record); err != nil {
			return err
		}
		if err := s.restoreRecord(record); err != nil {
			return err
		}
	}
}

func (s *State) restoreRecord(r *peerv1.StateRecord) error {
	switch r := r.Record.(type) {
	case *peerv1.StateRecord_Header:
		s.nowNS, s.revision = r.Header.NowNs, r.Header.Revision
		s.nextJob, s.lastOperation = JobID(r.Header.NextJobId), r.Header.LastOperationId
	case *peerv1.StateRecord_Team:
		s.putTeam(r.Team)
	case *peerv1.StateRecord_Key:
		return s.restoreKey(r.Key)
	case *peerv1.StateRecord_Queue:
		s.queues[r.Queue.Name] = r.Queue
	case *peerv1.StateRecord_FailureDomain:
		d := r.FailureDomain
		s.domains[d.Name] = &Domain{Name: d.Name, Out: d.State == apiv1.DomainState_DOMAIN_STATE_OUT,
			Notice: time.Duration(d.NoticeMs) * time.Millisecond}
	case *peerv1.StateRecord_Upstream:
		return s.restoreUpstream(r.Upstream)
	case *peerv1.StateRecord_Job:
		return s.restoreJob(r.Job)
	case *peerv1.StateRecord_Request:
		q := r.Request
		s.addRefused(&Request{Key: RequestKey{q.Team, q.RequestId}, Digest: string(q.Digest), Refusal: q.Refusal, DecidedNS: q.DecidedNs, Queue: q.Queue})
	case *peerv1.StateRecord_FormerOwners:
		s.formerOwners[r.FormerOwners.Queue] = r.FormerOwners.Teams
	case *peerv1.StateRecord_Operation:
		o := r.Operation
		s.addOperation(&Operation{ID: o.OperationId, Digest: string(o.Digest), Response: o.Response, DecidedNS: o.DecidedNs})
	case *peerv1.StateRecord_ReplicaChange:
		q := r.ReplicaChange
		s.replicaChanges = append(s.replicaChanges, PendingReplicaChange{OperationID: q.OperationId, Replica: q.Change.GetReplicaId(),
			Action: q.Change.GetAction(), DecidedNS: q.DecidedNs})
	case *peerv1.StateRecord_Pipeline:
		return s.pipelines.Restore(r.Pipeline)
	default:
		return errors.New("unknown record type; it was probably written by a newer version")
	}
	return nil
}

func (s *State) restoreKey(k *peerv1.KeyRecord) error {
	if len(k.KeySha256) != len(KeyHash{}) {
		return errors.Errorf("key %q: hash has the wrong size", k.KeyId)
	}
	s.addKey(&Key{ID: k.KeyId, Team: k.Team, Hash: KeyHash(k.KeySha256), Role: k.Role, Withdrawn: k.Withdrawn})
	return nil
}

func (s *State) restoreUpstream(su *peerv1.StateUpstream) error {
	a := su.Announce
	if a == nil {
		return errors.New("an upstream has no description")
	}
	u := &Upstream{Name: a.Upstream, Incarnation: a.Incarnation, State: lifecycle.UpstreamState(su.State), Tasks: make(map[TaskRef]*Task)}
	owner, owned := s.vmOwner[a.Vm]
	s.setUpstreamDescription(u, a)
	u.LostNS = su.LostNs
	// Upstreams are restored in order of name. A lost one must not replace the owner of its VM.
	if owned && u.State == lifecycle.UpstreamLost {
		s.vmOwner[a.Vm] = owner
	}
	s.addUpstream(u)
	return nil
}

func (s *State) restoreJob(sj *peerv1.StateJob) error {
	team := s.teams[sj.Team]
	if team == nil && sj.State != string(lifecycle.JobEnded) {
		return errors.Errorf("job %d belongs to unknown team %q", sj.JobId, sj.Team)
	}
	j := &Job{ID: JobID(sj.JobId), Team: sj.Team, Queue: sj.Queue, RequestID: sj.RequestId, Spec: sj.Spec,
		State: lifecycle.JobState(sj.State), Outcome: sj.Outcome, SubmittedNS: sj.SubmittedNs,
		StartDeadlineNS: sj.StartDeadlineNs, EndedNS: sj.EndedNs, Digest: string(sj.Digest)}
	if sj.Spec == nil || CountTasks(sj.Spec) != len(sj.Tasks) {
		return errors.Errorf("job %d has %d tasks, but its spec has %d", sj.JobId, len(sj.Tasks), CountTasks(sj.Spec))
	}
	j.Tasks = make([]Task, len(sj.Tasks))
	i := 0
	for _, spec := range sj.Spec.Tasks {
		for range Copies(spec) {
			if err := s.restoreTask(j, team, i, spec, sj.Tasks[i]); err != nil {
				return err
			}
			i++
		}
	}
	s.indexJob(j)
	if j.State == lifecycle.JobEnded {
		s.endedJobs = append(s.endedJobs, j.ID)
	}
	return nil
}

func (s *State) restoreTask(j *Job, team *Team, i int, spec *apiv1.TaskSpec, st *peerv1.StateTask) error {
	t := &j.Tasks[i]
	*t = Task{Job: j, Index: int32(i), Attempt: st.Attempt, State: lifecycle.TaskState(st.State), Spec: spec,
		Failures: st.Failures, NotBeforeNS: st.NotBeforeNs, Outcome: st.Outcome, Answer: st.Answer,
		Checkpoint: st.Checkpoint, Checkpointing: st.Checkpointing, Started: st.Started}
	j.answerBytes += len(st.Answer.GetBody())
	s.addStoredBytes(j, len(st.Answer.GetBody())+len(st.Checkpoint))
	switch {
	case t.State == lifecycle.TaskEnded:
		return nil
	case j.State == lifecycle.JobEnded:
		return errors.Errorf("job %d has ended, but its task %d has not", j.ID, i)
	case !t.Live():
		j.unended++
		team.Waiting++
		return nil
	}
	u := s.upstreams[st.Upstream]
	if u == nil {
		return errors.Errorf("job %d task %d is on unknown upstream %q", j.ID, i, st.Upstream)
	}
	t.Upstream, t.Reserved = u, resource.FromProto(st.Reserved)
	u.Used = u.Used.Add(t.Reserved)
	u.Tasks[t.Ref()] = t
	team.Used = team.Used.Add(t.Reserved)
	team.Running++
	j.unended++
	j.placed++
	return nil
}
