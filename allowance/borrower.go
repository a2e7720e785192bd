package allowance

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

// Group is the name of a group that borrows from a limit. It must be unique for each Lender
// and not empty.
type Group string

// Report is a borrower's message to its lender.
type Report struct {
	// Group is the group that the report is about.
	Group Group
	// Sequence numbers the reports of a borrower in ascending order. Once a report is sent,
	// the borrower ignores grants that answer an earlier one.
	Sequence uint64
	// Ceiling is an upper bound of what the group uses until it accepts a later grant.
	Ceiling resource.Vector
	// Want is what the group could use: its present use plus its waiting work.
	Want resource.Vector
}

// Grant is a lender's answer to a report.
type Grant struct {
	// Group is the group that the grant is for.
	Group Group
	// Sequence is the number of the report that the grant answers.
	Sequence uint64
	// Amount is what the group may use; Unlimited in dimensions without a limit.
	Amount resource.Vector
	// Duration is how long the grant is valid, counted from when the report was sent.
	Duration time.Duration
}

// Borrower computes what one group may use of a limit. It is not safe for concurrent use.
type Borrower struct {
	group    Group
	sequence uint64
	// sent is when the report numbered sequence was sent.
	sent time.Duration
	// amount is the amount of the accepted grant, valid until end.
	amount resource.Vector
	end    time.Duration
}

// NewBorrower returns a borrower without a grant. After a restart its sequence must continue
// above all earlier ones; see Resume.
func NewBorrower(g Group) *Borrower { return &Borrower{group: g} }

// Resume makes the next report follow sequence, the last one sent before a restart, which the
// caller has stored. A sequence below the current one has no effect.
func (b *Borrower) Resume(sequence uint64) { b.sequence = max(b.sequence, sequence) }

// Report returns the next report, which the caller sends at now. used is what the group's
// tasks reserve at now; want is what the group could use, and counts as at least used.
func (b *Borrower) Report(now time.Duration, used, want resource.Vector) Report {
	b.sequence++
	b.sent = now
	return Report{Group: b.group, Sequence: b.sequence, Ceiling: b.Usable(now).Max(used), Want: want.Max(used)}
}

// Accept replaces the amount and the lease by those of a grant. It returns false and changes
// nothing if the grant doesn't answer the latest report, or if its duration, counted from when
// that report was sent, has passed.
func (b *Borrower) Accept(now time.Duration, g Grant) bool {
	if g.Group != b.group || g.Sequence != b.sequence || now >= b.sent+g.Duration {
		return false
	}
	b.amount, b.end = g.Amount, b.sent+g.Duration
	return true
}

// Usable returns what the group may use at now, or zero once its lease has ended. If a later
// grant was lower, more than that may still be in use; the group must then start nothing new.
func (b *Borrower) Usable(now time.Duration) resource.Vector {
	if now >= b.end {
		return resource.Vector{}
	}
	return b.amount
}

// End returns when the lease ends, on the clock of Report. At that time at the latest, the
// group must begin to stop everything that it runs under the limit.
func (b *Borrower) End() time.Duration { return b.end }
