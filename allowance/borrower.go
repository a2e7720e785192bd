package allowance

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

// Group names a borrower.
type Group string

// Report is what a borrower tells its lender.
type Report struct {
	Group Group
	// Sequence numbers the reports of a borrower. Sending one makes the borrower drop the
	// grants that answer any older one.
	Sequence uint64
	// Ceiling bounds what the group uses until it takes a later grant.
	Ceiling resource.Vector
	// Want is what the group could use: its use and its waiting work.
	Want resource.Vector
}

// Grant answers a report.
type Grant struct {
	Group    Group
	Sequence uint64
	Amount   resource.Vector
	// Duration is the life of the grant, which the borrower counts from sending the report.
	Duration time.Duration
}

// Borrower is one group's side of a lent limit.
type Borrower struct {
	group    Group
	sequence uint64
	// sent is when the report of the current sequence was sent.
	sent   time.Duration
	amount resource.Vector
	end    time.Duration
}

// NewBorrower returns a borrower that holds nothing. After a restart it must go on with a
// sequence above all earlier ones; see Resume.
func NewBorrower(g Group) *Borrower { return &Borrower{group: g} }

// Resume lets the next report follow sequence, which was kept over a restart.
func (b *Borrower) Resume(sequence uint64) { b.sequence = max(b.sequence, sequence) }

// Report returns the next report. used is what the group's tasks reserve now.
func (b *Borrower) Report(now time.Duration, used, want resource.Vector) Report {
	b.sequence++
	b.sent = now
	return Report{Group: b.group, Sequence: b.sequence, Ceiling: b.Usable(now).Max(used), Want: want.Max(used)}
}

// Take takes a grant and reports whether it was the answer to the latest report in time.
func (b *Borrower) Take(now time.Duration, g Grant) bool {
	if g.Group != b.group || g.Sequence != b.sequence || now >= b.sent+g.Duration {
		return false
	}
	b.amount, b.end = g.Amount, b.sent+g.Duration
	return true
}

// Usable returns what the group may use at now; more than that may still run if a later
// grant was lower, but nothing may be added. It is zero once the lease has ended.
func (b *Borrower) Usable(now time.Duration) resource.Vector {
	if now >= b.end {
		return resource.Vector{}
	}
	return b.amount
}

// End returns when the lease ends; by then all use must be stopping.
func (b *Borrower) End() time.Duration { return b.end }
