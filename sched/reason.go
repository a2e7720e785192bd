package sched

import "github.com/bulrushwinch/bulrushwinch/resource"

// Reason tells why an upstream can't be given a task.
type Reason uint8

// Reasons against an upstream. Explain counts an upstream under the first that applies:
// the state of the upstream and its failure domain, quarantine, lack of room, ramping, an
// earlier failure of the job, and last a reservation of another job.
const (
	// Fits means that there is no reason against the upstream.
	Fits Reason = iota
	// UpstreamLost means that the upstream is neither active nor leaving.
	UpstreamLost
	// UpstreamLeaving means that the upstream is draining.
	UpstreamLeaving
	// DomainUnknown means that its failure domain has not been configured by PutDomain.
	DomainUnknown
	// DomainOut means that operators have taken its failure domain out.
	DomainOut
	// DomainRamping means that its failure domain has returned and may not start more
	// work yet.
	DomainRamping
	// Quarantined means that it is paused after failures of the work it started.
	Quarantined
	// FailedBefore means that a task of the same job failed on it.
	FailedBefore
	// HeldForOtherJob means that it is held for another job, a gang or an overdue task.
	// The text names a gang in both cases.
	HeldForOtherJob
	// NoRoom is the first of a range with one reason per resource.Dimension: too little
	// of that dimension is free.
	NoRoom
	numReasons = NoRoom + Reason(resource.NumDimensions)
)

// noRoomIn returns the reason for too little free capacity in a dimension.
func noRoomIn(d resource.Dimension) Reason { return NoRoom + Reason(d) }

// reasonTexts holds the texts of the reasons below NoRoom.
var reasonTexts = [NoRoom]string{
	UpstreamLost:    "are lost",
	UpstreamLeaving: "are leaving",
	DomainUnknown:   "are in a failure domain that is not configured",
	DomainOut:       "are in a failure domain that operators took out",
	DomainRamping:   "are in a failure domain that returned and is filled step by step",
	Quarantined:     "are paused because they failed what they started",
	FailedBefore:    "failed this job before",
	HeldForOtherJob: "are held for a gang",
}

// String returns the end of a sentence such as "3 upstreams are lost".
func (r Reason) String() string {
	if r < NoRoom {
		return reasonTexts[r]
	}
	return "have too few " + resource.Dimension(r-NoRoom).String() + " free"
}

// reasonCounts counts upstreams by the first reason against them.
type reasonCounts [numReasons]uint32
