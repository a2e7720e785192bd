package pipeline

import (
	"strings"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// Access is what the host, path and key of a call select in the active configuration.
type Access struct {
	// Host and Path are those of the call, the host in small letters; KeySHA256 is the SHA-256 of its key.
	Host, Path string
	KeySHA256  []byte
	Queue      *pipelinev1.Queue
	// Team is nil for a call without a known key on an open queue.
	Team *pipelinev1.Team
	// byName is set for an entry of an older version; see accessByName.
	byName bool
	// ID is the identity of the job that was accepted at the host and path. If there is none, it is the part of the path
	// after the queue's prefix: the identity of a job that is not known, or empty for the queue itself.
	ID string
}

// Access returns what a call selects, or the refusal of a call that the active configuration does not allow.
func (s *State) Access(host, path string, keySHA256 []byte) (Access, *pipelinev1.Reply) {
	host = hostOf(host)
	q := s.config.Match(host, path)
	if q == nil {
		return Access{}, &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_NO_QUEUE, Detail: "no queue has this host and path"}
	}
	team := s.config.TeamOfKey(keySHA256)
	if team == nil && !q.GetOpen() {
		return Access{}, &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_UNKNOWN_KEY, Detail: "the key is unknown"}
	}
	a := Access{Host: host, Path: path, KeySHA256: keySHA256, Queue: q, Team: team, ID: strings.TrimPrefix(path, q.GetPathPrefix())}
	if j := s.jobAt(host, path, a.ID); j != nil {
		a.ID = j.Spec.GetId()
	}
	return a, nil
}

// jobAt returns the job that was accepted at a host and path, or nil. rest is the part of the path after the prefix of the
// queue that is selected now. It is not the job's identity where a longer prefix was put in front of the queue that accepted
// the job, or was taken away.
func (s *State) jobAt(host, path, rest string) *Job {
	if j := s.jobs[rest]; j.isAt(host, path) {
		return j
	}
	if at := len(path) - IdentityLength; at > 0 {
		if j := s.jobs[path[at:]]; j.isAt(host, path) {
			return j
		}
	}
	return nil
}

// isAt reports whether the job was accepted at a host and path; a nil job was not.
func (j *Job) isAt(host, path string) bool {
	return j != nil && host+path == string(j.Route())+j.Spec.GetId()
}

// JobOf returns the job that a call names, or nil if there is none that its sender may access. It is the job that was
// accepted at the host and path, whichever queue is there now. Anyone may access the jobs at an open queue; for others
// see owner.admits.
func (s *State) JobOf(a Access) *Job {
	j := s.jobs[a.ID]
	switch {
	case a.byName:
		return a.jobByName(j)
	case !j.isAt(a.Host, a.Path) || !a.Queue.GetOpen() && !j.owner().admits(a):
		return nil
	}
	return j
}
