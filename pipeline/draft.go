package pipeline

import pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"

// Draft returns a job as a submission by a team would create it now, without adding it, or the reply that would
// refuse it. The team's name is empty for a submission without a key, and nowNS the leader time in Unix nanoseconds.
func (s *State) Draft(spec *pipelinev1.JobSpec, team string, nowNS int64) (*Job, *pipelinev1.Reply) {
	q := s.config.Queue(spec.GetQueue())
	if q == nil {
		return nil, &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_NO_QUEUE, Detail: "there is no queue of this name"}
	}
	if s.config.Team(team) == nil && (team != "" || !q.GetOpen()) {
		return nil, &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_UNKNOWN_KEY, Detail: "there is no team of this name"}
	}
	if problem := CheckSpec(spec); problem != "" {
		return nil, &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_INVALID, Detail: problem}
	}
	return newJob(spec, owner{team: team}, q, nil, nowNS), nil
}
