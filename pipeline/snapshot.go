package pipeline

import (
	"maps"
	"slices"
	"strings"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/pkg/errors"
)

// Records encodes the state as snapshot records, in the order that Restore requires. The messages
// share with the state only data that Apply never modifies in place, so they stay valid while
// further entries are applied.
func (s *State) Records() []*pipelinev1.Record {
	var out []*pipelinev1.Record
	if s.config != nil {
		out = append(out, &pipelinev1.Record{Record: &pipelinev1.Record_Config{Config: s.config.Config}})
	}
	for _, name := range slices.Sorted(maps.Keys(s.domainsOut)) {
		out = append(out, &pipelinev1.Record{Record: &pipelinev1.Record_Domain{Domain: &pipelinev1.SetDomain{Name: name, Out: true}}})
	}
	if s.domainRevision > 0 {
		out = append(out, &pipelinev1.Record{Record: &pipelinev1.Record_DomainRevision{DomainRevision: s.domainRevision}})
	}
	for _, id := range slices.Sorted(maps.Keys(s.upstreams)) {
		u := s.upstreams[id]
		out = append(out, &pipelinev1.Record{Record: &pipelinev1.Record_Upstream{
			Upstream: &pipelinev1.UpstreamRecord{Upstream: u.Upstream, LastEnd: u.LastEnd, Sequence: u.Sequence}}})
	}
	out = append(out, s.waveRecords()...)
	out = append(out, s.tombstones.records()...)
	jobs := slices.SortedFunc(maps.Values(s.jobs), func(a, b *Job) int { return strings.Compare(a.Spec.GetId(), b.Spec.GetId()) })
	for _, j := range s.endedJobs {
		out = append(out, &pipelinev1.Record{Record: &pipelinev1.Record_Job{Job: encodeJob(j)}})
	}
	for _, j := range jobs {
		if !j.Ended() {
			out = append(out, &pipelinev1.Record{Record: &pipelinev1.Record_Job{Job: encodeJob(j)}})
		}
	}
	return out
}

// encodeJob encodes a job with its progress and live runs.
func encodeJob(j *Job) *pipelinev1.JobRecord {
	out := &pipelinev1.JobRecord{Spec: j.Spec, Team: j.Team, Digest: j.Digest, State: string(j.State), SubmittedNs: j.SubmittedNS,
		EndedNs: j.EndedNS, Begun: j.Begun, Terms: j.AcceptedQueue, KeySha256: j.KeySHA256}
	for _, o := range j.Occurrences {
		oc := &pipelinev1.OccurrenceRecord{}
		for _, st := range o.Steps {
			sr := &pipelinev1.StepRecord{Failures: st.Failures, LastRun: st.LastRun, FailedRun: st.FailedRun}
			for _, t := range st.Tasks {
				tr := &pipelinev1.TaskRecord{Done: t.Done, Failures: t.Failures, LastRun: t.LastRun, Checkpoint: t.Checkpoint,
					Crashes: t.Crashes, EarlyCrashes: t.EarlyCrashes}
				for _, r := range t.Live {
					tr.Live = append(tr.Live, r.Proto())
					tr.LivePlacedNs = append(tr.LivePlacedNs, r.PlacedNS)
				}
				for _, r := range t.Expired {
					tr.Expired = append(tr.Expired, r.Proto())
				}
				sr.Tasks = append(sr.Tasks, tr)
			}
			oc.Steps = append(oc.Steps, sr)
		}
		out.Occurrences = append(out.Occurrences, oc)
	}
	return out
}

// Reset empties the state, keeping the observer. It comes before the first Restore.
func (s *State) Reset() { s.clear() }

// Restore adds one record of a snapshot. Upstreams must come before the jobs that have runs on
// them. It returns an error for an unknown or inconsistent record. The observer is not called.
func (s *State) Restore(r *pipelinev1.Record) error {
	switch r := r.GetRecord().(type) {
	case *pipelinev1.Record_Config:
		if problem := checkTeams(r.Config.GetTeams()); problem != "" {
			return errors.New("pipeline: configuration record: " + problem)
		}
		s.config = newConfig(r.Config)
	case *pipelinev1.Record_Domain:
		s.domainsOut[r.Domain.GetName()] = r.Domain.GetOut()
	case *pipelinev1.Record_DomainRevision:
		s.domainRevision = r.DomainRevision
	case *pipelinev1.Record_Upstream:
		desc := r.Upstream.GetUpstream()
		u := newUpstream()
		u.Upstream, u.Capacity = desc, ResourcesFromProto(desc.GetCapacity())
		u.LastEnd, u.Sequence = r.Upstream.GetLastEnd(), r.Upstream.GetSequence()
		s.upstreams[desc.GetId()] = u
	case *pipelinev1.Record_Wave:
		s.restoreWave(r.Wave)
	case *pipelinev1.Record_Tombstone:
		s.tombstones.restore(r.Tombstone)
	case *pipelinev1.Record_Job:
		return s.restoreJob(r.Job)
	default:
		return errors.New("pipeline: unknown record; a newer version must have written it")
	}
	return nil
}

// restoreJob rebuilds a job and its counts of undone steps and occurrences.
func (s *State) restoreJob(r *pipelinev1.JobRecord) error {
	if problem := CheckSpec(r.GetSpec()); problem != "" {
		return errors.New("pipeline: job record: " + problem)
	}
	accepted := r.GetTerms()
	if accepted == nil {
		// An older version did not record the queue; it went by the name.
		accepted = s.config.Queue(r.GetSpec().GetQueue())
	}
	j := newJob(r.GetSpec(), owner{r.GetTeam(), r.GetKeySha256()}, accepted, r.GetDigest(), r.GetSubmittedNs())
	s.bindQueue(j)
	j.State, j.EndedNS, j.Begun = JobState(r.GetState()), r.GetEndedNs(), r.GetBegun()
	if len(r.GetOccurrences()) != len(j.Occurrences) {
		return errors.New("pipeline: job record has a wrong number of occurrences")
	}
	for i, o := range j.Occurrences {
		if len(r.GetOccurrences()[i].GetSteps()) != len(o.Steps) {
			return errors.New("pipeline: job record has a wrong number of steps")
		}
		for k, st := range o.Steps {
			if err := s.restoreStep(st, r.GetOccurrences()[i].GetSteps()[k]); err != nil {
				return err
			}
			if st.Undone == 0 {
				o.undone--
			}
		}
		if o.undone == 0 {
			j.undone--
		}
	}
	s.jobs[j.Spec.GetId()] = j
	if j.Ended() {
		s.endedJobs = append(s.endedJobs, j)
	}
	if j.State == Queued {
		s.addPending(j, 1)
	}
	return nil
}

// restoreStep rebuilds the tasks of a step and reserves the resources of their live runs.
func (s *State) restoreStep(st *Step, r *pipelinev1.StepRecord) error {
	if len(r.GetTasks()) != len(st.Tasks) {
		return errors.New("pipeline: step record has a wrong number of tasks")
	}
	st.Failures, st.LastRun, st.FailedRun = r.GetFailures(), r.GetLastRun(), r.GetFailedRun()
	for i, t := range st.Tasks {
		tr := r.GetTasks()[i]
		t.Done, t.Failures, t.LastRun, t.Checkpoint = tr.GetDone(), tr.GetFailures(), tr.GetLastRun(), tr.GetCheckpoint()
		t.Crashes, t.EarlyCrashes = tr.GetCrashes(), tr.GetEarlyCrashes()
		if t.Done {
			st.Undone--
		}
		for i, l := range tr.GetLive() {
			u := s.upstreams[l.GetUpstream()]
			if u == nil {
				return unknownUpstream(l)
			}
			s.reserve(&Run{Task: t, Number: l.GetNumber(), Upstream: u, Born: l.GetBorn(), PlacedNS: placedNS(t, tr, i)})
		}
		if err := s.restoreExpired(t, tr.GetExpired()); err != nil {
			return err
		}
	}
	return nil
}

func unknownUpstream(r *pipelinev1.Run) error {
	return errors.Errorf("pipeline: a run is on the unknown upstream %q", r.GetUpstream())
}

// placedNS returns when a live run of a record was placed. Where an older version has written the record,
// it is not known, and not before the job was accepted.
func placedNS(t *Task, r *pipelinev1.TaskRecord, i int) int64 {
	if i < len(r.GetLivePlacedNs()) {
		return r.GetLivePlacedNs()[i]
	}
	return t.Step.Job().SubmittedNS
}
