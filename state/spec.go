package state

import (
	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/resource"
)

const (
	// maxNameBytes limits the length of every name and ID.
	maxNameBytes = 128
	// maxAmount limits each resource amount, so that sums of amounts can't overflow.
	maxAmount = 1 << 46
)

// CheckRequest is the function CheckRequest with the settings of the state.
func (s *State) CheckRequest(req *apiv1.SubmitRequest) *apiv1.Outcome {
	return CheckRequest(s.settings, req)
}

// CheckRequest returns nil if a request is well-formed and within the sizes that settings allow,
// or the refusal. Entries call it before they forward a request to the leader.
func CheckRequest(settings Settings, req *apiv1.SubmitRequest) *apiv1.Outcome {
	bad := func(format string, args ...any) *apiv1.Outcome {
		return notRun(apiv1.Reason_REASON_BAD_REQUEST, format, args...)
	}
	spec := req.GetJob()
	switch {
	case !ValidName(req.GetRequestId()):
		return bad("request_id must have 1 to %d printable characters", maxNameBytes)
	case spec == nil || len(spec.GetTasks()) == 0:
		return bad("the job has no tasks")
	case spec.GetPolicy() == apiv1.Policy_POLICY_UNSPECIFIED || apiv1.Policy_name[int32(spec.GetPolicy())] == "":
		return bad("policy must be batch, service or gang")
	case len(spec.GetClass()) > maxNameBytes:
		return bad("class is longer than %d characters", maxNameBytes)
	case spec.GetExpectedMs() < 0 || req.GetStartWithinMs() < 0 || spec.GetMaxAttempts() < 0:
		return bad("times and attempts must not be negative")
	}
	for i, ts := range spec.GetTasks() {
		if ts.GetCopies() < 0 || ts.GetCopies() > int32(settings.MaxTasksPerJob) {
			return bad("task %d: copies must be 0 to %d", i, settings.MaxTasksPerJob)
		}
		for d, amount := range resource.FromProto(ts.GetResources()) {
			if amount < 0 || amount > maxAmount {
				return bad("task %d: %s must be 0 to %d", i, resource.Dimension(d), int64(maxAmount))
			}
		}
	}
	return checkSize(settings, spec)
}

func checkSize(settings Settings, spec *apiv1.JobSpec) *apiv1.Outcome {
	if bytes := payloadBytes(spec); bytes > settings.MaxPayloadBytes {
		return notRun(apiv1.Reason_REASON_TOO_LARGE, "payloads have %d bytes; at most %d are taken", bytes, settings.MaxPayloadBytes)
	}
	if n := CountTasks(spec); n > settings.MaxTasksPerJob {
		return notRun(apiv1.Reason_REASON_TOO_LARGE, "the job has %d tasks; at most %d are taken", n, settings.MaxTasksPerJob)
	}
	return nil
}

func payloadBytes(spec *apiv1.JobSpec) int {
	n := 0
	for _, ts := range spec.GetTasks() {
		n += len(ts.GetPayload())
	}
	return n
}

// ValidName reports whether a name or ID has 1 to 128 bytes and contains no ASCII space or
// control character, no U+FFFD (the replacement character) and no invalid UTF-8.
func ValidName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for _, r := range name {
		if r <= ' ' || r == 0x7f || r == 0xfffd {
			return false
		}
	}
	return true
}
