package pipeline

import (
	"fmt"

	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"google.golang.org/protobuf/proto"
)

// Limits of one job, far above the users' largest jobs (52 tasks, 5 steps), and of the number of
// jobs.
const (
	// MaxSteps is the maximum number of steps of a job.
	MaxSteps = 256
	// MaxTasks is the maximum number of tasks of a job over all steps and occurrences.
	MaxTasks = 20_000
	// MaxOccurrences is the maximum repeat count of a job.
	MaxOccurrences = 10_000
	// MaxPayload is the maximum size of a payload in bytes.
	MaxPayload = 64 << 10
	// IdentityLength is the number of hexadecimal digits of a job's identity, at the end of the path at which it is
	// submitted.
	IdentityLength = 16
	// MaxLiveJobs is the maximum number of jobs that have not ended. A job takes about 6 KB of a
	// replica's 280 MB; users have about 200 at once.
	MaxLiveJobs = 10_000
)

// overloadRetryMS is the delay in milliseconds after which a caller may retry a submission that was
// refused because of MaxLiveJobs. Jobs end within seconds.
const overloadRetryMS = 2000

// CheckSpec returns why a job is malformed, or an empty string if it is well-formed.
func CheckSpec(j *pipelinev1.JobSpec) string {
	switch {
	case len(j.GetSteps()) == 0 || len(j.GetSteps()) > MaxSteps:
		return fmt.Sprintf("a job has 1 to %d steps, not %d", MaxSteps, len(j.GetSteps()))
	case len(j.GetPayload()) > MaxPayload:
		return fmt.Sprintf("the payload has more than %d bytes", MaxPayload)
	case j.GetRepeatCount() < 0 || j.GetRepeatCount() > MaxOccurrences:
		return fmt.Sprintf("a job repeats 0 to %d times", MaxOccurrences)
	case j.GetPeriodMs() < 0 || j.GetStartAtMs() < 0:
		return "start time and period can't be negative"
	}
	tasks := 0
	for i, s := range j.GetSteps() {
		if problem := checkStep(i, s); problem != "" {
			return fmt.Sprintf("step %d: %s", i, problem)
		}
		tasks += int(s.GetCount())
	}
	if tasks*int(max(1, j.GetRepeatCount())) > MaxTasks {
		return fmt.Sprintf("a job has at most %d tasks", MaxTasks)
	}
	return ""
}

// checkStep returns why a step is malformed, or an empty string. A step may depend on earlier steps
// only, so the graph has no cycles.
func checkStep(index int, s *pipelinev1.Step) string {
	need := s.GetNeed()
	switch {
	case s.GetCount() < 1 || s.GetCount() > MaxTasks:
		return fmt.Sprintf("count %d is not between 1 and %d", s.GetCount(), MaxTasks)
	case need.GetMilliCores() < 0 || need.GetMemoryMib() < 0 || need.GetGpus() < 0:
		return "a resource is negative"
	case s.GetEstimateMs() < 0 || s.GetMaxPerUpstream() < 0 || s.GetMissAllowed() < 0 || s.GetTargetMs() < 0:
		return "a number is negative"
	}
	for _, d := range s.GetDependsOn() {
		if d < 0 || int(d) >= index {
			return fmt.Sprintf("depends on step %d, which isn't an earlier one", d)
		}
	}
	return ""
}

// submit accepts a job. It is idempotent: submitting the same job again returns its current state.
func (s *State) submit(c *pipelinev1.Submit) *pipelinev1.Reply {
	spec := c.GetSpec()
	a, refused := s.Access(c.GetHost(), c.GetPath(), c.GetKeySha256())
	if c.GetPath() == "" {
		a, refused = s.accessByName(spec.GetQueue(), spec.GetId(), c.GetKeySha256())
	}
	if refused != nil {
		return refused
	}
	if known := s.jobs[a.ID]; known != nil {
		if !a.byName && !known.isAt(a.Host, a.Path) || !known.sameContent(spec) {
			return &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_CONFLICT, Detail: "another job has this identity"}
		}
		return &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_OK, JobState: string(known.State)}
	}
	if a.ID != spec.GetId() {
		return &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_INVALID, Detail: "another queue has this path now, where it names no job"}
	}
	if problem := CheckSpec(spec); problem != "" {
		return &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_INVALID, Detail: problem}
	}
	j := newJob(spec, ownerOf(a), a.Queue, c.GetDigest(), s.nowNS)
	if s.tombstones.bars(a) {
		s.addCancelled(j)
		return &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_OK, JobState: string(j.State)}
	}
	if len(s.jobs)-len(s.endedJobs) >= MaxLiveJobs {
		return &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_NOT_NOW, Detail: "too many jobs have not ended", RetryAfterMs: overloadRetryMS}
	}
	s.addJob(j)
	return &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_OK, JobState: string(j.State)}
}

// sameContent reports whether a submission has the content of the job. The name of the queue is not part of it: it may
// have changed since.
func (j *Job) sameContent(spec *pipelinev1.JobSpec) bool {
	again := proto.CloneOf(spec)
	again.Queue = j.Spec.GetQueue()
	return proto.Equal(again, j.Spec)
}

func (s *State) addJob(j *Job) {
	s.jobs[j.Spec.GetId()] = j
	s.addPending(j, 1)
	s.observer.JobAdded(j)
}

// cancel ends a job that the caller may access. Its runs keep their resources until their ends are recorded.
// If no job has the identity, its submission may still be on the way: a tombstone keeps it from running.
func (s *State) cancel(c *pipelinev1.Cancel) *pipelinev1.Reply {
	if c.GetQueue() == "" && c.GetPath() == "" {
		return s.cancelJob(s.jobs[c.GetJob()])
	}
	a, refused := s.Access(c.GetHost(), c.GetPath(), c.GetKeySha256())
	if c.GetPath() == "" {
		a, refused = s.accessByName(c.GetQueue(), c.GetJob(), c.GetKeySha256())
	}
	if refused != nil {
		return refused
	}
	if s.jobs[a.ID] == nil {
		s.tombstones.add(addressOf(a), cancellationBy(a, s.nowNS))
		return &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_NO_JOB, Detail: "no such job; if its submission is still on the way, it will not run"}
	}
	return s.cancelJob(s.JobOf(a))
}

// cancelJob ends a job unless it has ended; nil is no job.
func (s *State) cancelJob(j *Job) *pipelinev1.Reply {
	if j == nil {
		return &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_NO_JOB, Detail: "no such job"}
	}
	if !j.Ended() {
		s.endJob(j, lifecycle.PipelineCancel)
	}
	return &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_OK, JobState: string(j.State)}
}
