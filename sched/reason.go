package sched

import "github.com/bulrushwinch/bulrushwinch/resource"

// Reason tells why an upstream can't take a task.
type Reason uint8

// Reasons against an upstream, in the order in which they are checked.
const (
	// Fits is the absence of a reason.
	Fits Reason = iota
	UpstreamLost
	UpstreamLeaving
	DomainUnknown
	DomainOut
	DomainRamping
	Quarantined
	FailedBefore
	HeldForGang
	// NoRoom is the first of one reason per resource.Dimension.
	NoRoom
	numReasons = NoRoom + Reason(resource.NumDimensions)
)

// noRoomIn returns the reason for a lack in one dimension.
func noRoomIn(d resource.Dimension) Reason { return NoRoom + Reason(d) }

var reasonTexts = [NoRoom]string{
	UpstreamLost:    "are lost",
	UpstreamLeaving: "are leaving",
	DomainUnknown:   "are in a failure domain that is not configured",
	DomainOut:       "are in a failure domain that operators took out",
	DomainRamping:   "are in a failure domain that returned and is filled step by step",
	Quarantined:     "are paused because they failed what they started",
	FailedBefore:    "failed this job before",
	HeldForGang:     "are held for a gang",
}

// String completes the sentence "3 upstreams ...".
func (r Reason) String() string {
	if r < NoRoom {
		return reasonTexts[r]
	}
	return "have too few " + resource.Dimension(r-NoRoom).String() + " free"
}

// reasonCounts counts upstreams by the first reason against them.
type reasonCounts [numReasons]uint32
