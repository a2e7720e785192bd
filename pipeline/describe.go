package pipeline

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// Limits of what an upstream may say of itself, far above what upstreams have. A description is committed and
// sent to each replica, and its amounts are added up over all upstreams.
const (
	// MaxNameBytes is the maximum length of an identity, a service, a failure domain, a VM, an address or a label.
	MaxNameBytes = 256
	// MaxLabels is the maximum number of labels.
	MaxLabels = 64
	// MaxMilliCores is the maximum capacity in thousandths of a core, MaxMemoryMiB that in MiB, and MaxGPUs that in
	// whole GPUs.
	MaxMilliCores = 1 << 40
	MaxMemoryMiB  = 1 << 40
	MaxGPUs       = 1 << 20
)

// CheckUpstream returns why a description names no upstream to use, or an empty string. Apply does not check it:
// a log of an older version may hold any description.
func CheckUpstream(u *pipelinev1.Upstream) string {
	capacity := u.GetCapacity()
	switch {
	case u.GetId() == "" || u.GetService() == "" || u.GetFailureDomain() == "":
		return "the identity, the service or the failure domain is missing"
	case u.GetBorn() <= 0:
		return "the time of the start is missing"
	case capacity == nil:
		return "the capacity is missing"
	case !inRange(capacity.GetMilliCores(), 0, MaxMilliCores) || !inRange(capacity.GetMemoryMib(), 0, MaxMemoryMiB) || !inRange(capacity.GetGpus(), 0, MaxGPUs):
		return "the capacity is out of range"
	case len(u.GetLabels()) > MaxLabels:
		return fmt.Sprintf("there are more than %d labels", MaxLabels)
	}
	for _, name := range append([]string{u.GetId(), u.GetService(), u.GetFailureDomain(), u.GetVm(), u.GetAddress(), u.GetRack()}, u.GetLabels()...) {
		if !validName(name) {
			return fmt.Sprintf("a name has over %d bytes, control characters or bytes that are not UTF-8", MaxNameBytes)
		}
	}
	return ""
}

func inRange(x, least, most int64) bool { return x >= least && x <= most }

// validName reports whether a name is short enough to be replicated, and can be encoded and sent in a header.
func validName(name string) bool {
	return len(name) <= MaxNameBytes && utf8.ValidString(name) && !strings.ContainsFunc(name, unicode.IsControl)
}
