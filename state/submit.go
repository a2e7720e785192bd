package state

import (
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/resource"
)

// submit decides on each request once; a resent request gets the first decision.
func (s *State) submit(c *peerv1.Submit) *apiv1.SubmitResponse {
	req := c.GetRequest()
	team, refusal := s.Authorize(c.KeySha256, req.GetQueue())
	if refusal != nil {
		return &apiv1.SubmitResponse{Outcome: s.unauthorizedOutcome(c, refusal)}
	}
	key := RequestKey{team, req.GetRequestId()}
	if known := s.RequestAt(req.GetQueue(), team, key.ID); known != nil && (known.Key == key || known.sameBody(string(c.Digest))) {
		return s.resentSubmitResponse(known, string(c.Digest))
	}
	if !ValidName(key.ID) {
		return &apiv1.SubmitResponse{Outcome: CheckRequest(s.settings, req)}
	}
	if refusal := s.checkAge(req); refusal != nil {
		return &apiv1.SubmitResponse{Outcome: refusal}
	}
	if refusal := s.checkSubmit(team, req); refusal != nil {
		if !s.recordRefusal(&Request{Key: key, Digest: string(c.Digest), Refusal: refusal}) {
			refusal = undetermined(apiv1.Reason_REASON_OVERLOADED, "%s; too many refusals are remembered to bar a delayed duplicate", refusal.Detail)
		}
		return &apiv1.SubmitResponse{Outcome: refusal}
	}
	job := s.addJob(key, string(c.Digest), req)
	return &apiv1.SubmitResponse{Outcome: accepted, JobId: uint64(job.ID)}
}

// unauthorizedOutcome returns the outcome of a submission whose key or queue was refused. An
// earlier send of it may have been accepted while the key or queue was still valid, in which
// case "not run" would be false; the outcome is then undetermined.
func (s *State) unauthorizedOutcome(c *peerv1.Submit, refusal *apiv1.Outcome) *apiv1.Outcome {
	req := c.GetRequest()
	known := false
	if k := s.keyOf(c.KeySha256); k != nil {
		known = s.Request(RequestKey{k.Team, req.GetRequestId()}) != nil
	}
	if req.GetFirstSend() && !known {
		return refusal
	}
	return undetermined(refusal.Reason, "%s; an earlier send of request %q may have been taken", refusal.Detail, req.GetRequestId())
}

// recordRefusal retains a request that created no job, as decided at the current leader time.
// It returns false if Settings.MaxRefusals are already retained.
func (s *State) recordRefusal(r *Request) bool {
	if len(s.requestOrder) >= s.settings.MaxRefusals {
		return false
	}
	r.DecidedNS = s.nowNS
	s.addRefused(r)
	return true
}

func (s *State) addRefused(r *Request) {
	s.identities[r.Key] = identity{refused: r}
	s.requestOrder = append(s.requestOrder, r)
}

// sameBody reports whether a request has a body with some digest. A request that was cancelled before it was submitted has no
// digest and matches any body.
func (r *Request) sameBody(digest string) bool { return r.Digest == digest || r.Digest == "" }

// resentSubmitResponse returns the response to a request whose identity is known.
func (s *State) resentSubmitResponse(known *Request, digest string) *apiv1.SubmitResponse {
	if !known.sameBody(digest) {
		return &apiv1.SubmitResponse{Outcome: undetermined(apiv1.Reason_REASON_IDENTITY_REUSED,
			"request %q was already used with another body; this body was not taken", known.Key.ID)}
	}
	if known.Refusal != nil {
		return &apiv1.SubmitResponse{Outcome: known.Refusal, Resent: true}
	}
	return &apiv1.SubmitResponse{Outcome: accepted, JobId: uint64(known.Job), Resent: true}
}

// checkAge refuses requests that are so old that a decision on them may already have been
// removed by Sweep, and requests whose send time is further than ClockMargin in the future. The
// refusal is not retained, and it is undetermined rather than "not run".
func (s *State) checkAge(req *apiv1.SubmitRequest) *apiv1.Outcome {
	sent := time.UnixMilli(req.GetFirstSentUnixMs())
	age := s.Now().Sub(sent)
	if age > s.settings.Retention-s.settings.ClockMargin {
		return undetermined(apiv1.Reason_REASON_IDENTITY_TOO_OLD,
			"request was first sent %s ago; identities are remembered for %s", age.Round(time.Second), s.settings.Retention)
	}
	if -age > s.settings.ClockMargin {
		return undetermined(apiv1.Reason_REASON_BAD_REQUEST,
			"first_sent_unix_ms is %s in the future; check the caller's clock", (-age).Round(time.Second))
	}
	return nil
}

// Authorize returns the team for which the holder of a key may submit to a queue. If the
// holder may not, refusal is the reason. An open queue needs no key.
func (s *State) Authorize(keyHash []byte, queue string) (team string, refusal *apiv1.Outcome) {
	q := s.queues[queue]
	if q == nil {
		return "", notRun(apiv1.Reason_REASON_QUEUE_UNKNOWN, "queue %q does not exist", queue)
	}
	if q.Open {
		return q.Team, s.checkTeam(q.Team)
	}
	k := s.keyOf(keyHash)
	switch {
	case k == nil:
		return "", notRun(apiv1.Reason_REASON_KEY_UNKNOWN, "the key is not known")
	case k.Withdrawn:
		return "", notRun(apiv1.Reason_REASON_KEY_WITHDRAWN, "key %q was withdrawn", k.ID)
	case k.Role != apiv1.KeyRole_KEY_ROLE_CALLER:
		return "", notRun(apiv1.Reason_REASON_NOT_PERMITTED, "key %q is not a caller's key", k.ID)
	case q.Team != "" && q.Team != k.Team:
		return "", notRun(apiv1.Reason_REASON_KEY_OF_ANOTHER_TEAM, "queue %q belongs to team %q, the key to %q", queue, q.Team, k.Team)
	}
	return k.Team, s.checkTeam(k.Team)
}

// keyOf returns the key with the given SHA-256 digest, even if it was withdrawn, or nil.
func (s *State) keyOf(hash []byte) *Key {
	if len(hash) != len(KeyHash{}) {
		return nil
	}
	return s.keyByHash[KeyHash(hash)]
}

func (s *State) checkTeam(name string) *apiv1.Outcome {
	if s.teams[name] == nil {
		return notRun(apiv1.Reason_REASON_TEAM_UNKNOWN, "team %q does not exist", name)
	}
	return nil
}

func (s *State) checkSubmit(team string, req *apiv1.SubmitRequest) *apiv1.Outcome {
	if refusal := s.CheckRequest(req); refusal != nil {
		return refusal
	}
	t := s.teams[team]
	tasks := int64(CountTasks(req.GetJob()))
	if t.Waiting+tasks > t.MaxWaiting {
		return notRun(apiv1.Reason_REASON_TEAM_QUEUE_FULL,
			"team %q has %d tasks waiting; %d more would pass its bound of %d", team, t.Waiting, tasks, t.MaxWaiting)
	}
	if refusal := s.checkStored(t, payloadBytes(req.GetJob())); refusal != nil {
		return refusal
	}
	return s.checkLimit(t, req.GetJob())
}

// checkStored refuses a job whose payloads would make the stored bytes exceed
// MaxTeamStoredBytes or MaxStoredBytes.
func (s *State) checkStored(t *Team, payload int) *apiv1.Outcome {
	if t.Stored+int64(payload) > s.settings.MaxTeamStoredBytes {
		return notRun(apiv1.Reason_REASON_TEAM_QUEUE_FULL, "payloads and answers of team %q have %d bytes; at most %d are kept",
			t.Name, t.Stored, s.settings.MaxTeamStoredBytes)
	}
	if s.stored+int64(payload) > s.settings.MaxStoredBytes {
		return notRun(apiv1.Reason_REASON_OVERLOADED, "payloads and answers of all teams have %d bytes; at most %d are kept",
			s.stored, s.settings.MaxStoredBytes)
	}
	return nil
}

// addStoredBytes adds bytes, which may be negative, to the stored sizes of a job, its team and
// the whole state.
func (s *State) addStoredBytes(j *Job, bytes int) {
	j.stored += bytes
	s.stored += int64(bytes)
	if t := s.teams[j.Team]; t != nil {
		t.Stored += int64(bytes)
	}
}

// checkLimit refuses jobs that could never run within the team's limit.
func (s *State) checkLimit(t *Team, spec *apiv1.JobSpec) *apiv1.Outcome {
	var whole resource.Vector
	for _, ts := range spec.GetTasks() {
		need := TaskNeed(ts)
		if d, ok := need.FirstOver(t.Limit); !ok {
			return notRun(apiv1.Reason_REASON_OVER_LIMIT, "a task needs %s; team %q may use at most %s",
				resource.Format(d, need[d]), t.Name, resource.Format(d, t.Limit[d]))
		}
		for range Copies(ts) {
			whole = whole.Add(need)
		}
	}
	if spec.GetPolicy() != apiv1.Policy_POLICY_GANG {
		return nil
	}
	if d, ok := whole.FirstOver(t.Limit); !ok {
		return notRun(apiv1.Reason_REASON_OVER_LIMIT, "the gang needs %s at once; team %q may use at most %s",
			resource.Format(d, whole[d]), t.Name, resource.Format(d, t.Limit[d]))
	}
	return nil
}

// Copies returns the number of equal tasks that a spec describes, at least 1.
func Copies(ts *apiv1.TaskSpec) int { return int(max(1, ts.GetCopies())) }

// CountTasks returns the number of tasks of a job, counting copies.
func CountTasks(spec *apiv1.JobSpec) int {
	n := 0
	for _, ts := range spec.GetTasks() {
		n += Copies(ts)
	}
	return n
}

// TaskNeed returns the resources that a task declares, with at least one slot and one
// connection.
func TaskNeed(ts *apiv1.TaskSpec) resource.Vector {
	v := resource.FromProto(ts.GetResources())
	v[resource.Slots] = max(1, v[resource.Slots])
	v[resource.Connections] = max(1, v[resource.Connections])
	return v
}

func (s *State) addJob(key RequestKey, digest string, req *apiv1.SubmitRequest) *Job {
	j := &Job{ID: s.nextJob, Team: key.Team, Queue: req.GetQueue(), RequestID: key.ID, Digest: digest, Spec: req.GetJob(),
		State: lifecycle.JobWaiting, SubmittedNS: s.nowNS}
	s.nextJob++
	if ms := req.GetStartWithinMs(); ms > 0 {
		j.StartDeadlineNS = s.nowNS + ms*int64(time.Millisecond)
	}
	j.Tasks = make([]Task, 0, CountTasks(j.Spec))
	for _, ts := range j.Spec.Tasks {
		for range Copies(ts) {
			j.Tasks = append(j.Tasks, Task{Job: j, Index: int32(len(j.Tasks)), Attempt: 1,
				State: lifecycle.TaskWaiting, Spec: ts})
		}
	}
	j.unended = len(j.Tasks)
	s.indexJob(j)
	s.teams[key.Team].Waiting += int64(len(j.Tasks))
	s.observer.JobAdded(j)
	return j
}

// indexJob adds a job to every index and its payloads to the stored sizes.
func (s *State) indexJob(j *Job) {
	s.jobs.put(j)
	s.addStoredBytes(j, payloadBytes(j.Spec))
	s.identities[RequestKey{j.Team, j.RequestID}] = identity{job: j.ID}
	if j.State == lifecycle.JobEnded {
		return
	}
	if s.unendedByQueue[j.Queue] == nil {
		s.unendedByQueue[j.Queue] = make(map[JobID]*Job)
	}
	s.unendedByQueue[j.Queue][j.ID] = j
}

// removeFromQueue removes an ended job from the unended jobs of its queue.
func (s *State) removeFromQueue(j *Job) {
	delete(s.unendedByQueue[j.Queue], j.ID)
	if len(s.unendedByQueue[j.Queue]) == 0 {
		delete(s.unendedByQueue, j.Queue)
	}
}
