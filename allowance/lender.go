package allowance

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/lease"
	"github.com/bulrushwinch/bulrushwinch/resource"
)

// Lender divides one limit among groups. It is deterministic and not safe for concurrent use.
type Lender struct {
	limit resource.Vector
	terms lease.Terms
	loans map[Group]*loan
}

// loan is what one group may be using of the limit, as far as the lender knows.
type loan struct {
	group    Group
	sequence uint64
	// held is an upper bound of what the group uses: the grant sent last or, if that is larger,
	// the reported ceiling, which counts only up to the previous bound; see Handle.
	held resource.Vector
	want resource.Vector
	// end is when the group is certain to have stopped using held, on the lender's clock.
	end time.Duration
}

// NewLender returns a lender of limit under the given terms.
func NewLender(limit resource.Vector, terms lease.Terms) *Lender {
	return &Lender{limit: limit, terms: terms, loans: make(map[Group]*loan)}
}

// SetLimit changes the limit. If the new limit is below what is lent, the sum of the loans
// stays above it until enough of them have been reduced or have ended; until then no loan grows.
func (l *Lender) SetLimit(limit resource.Vector) { l.limit = limit }

// AssumeRenewed extends every loan as if it had been renewed at now. It must be called when a
// new lender takes over the loans of an earlier one, which may have renewed any of them until
// now.
func (l *Lender) AssumeRenewed(now time.Duration) {
	for _, ln := range l.loans {
		ln.end = l.terms.GrantorExpiry(now)
	}
}

// Handle returns the grant that answers a report received at now. It returns false if a
// report of the same group with the same or a higher sequence was handled before.
func (l *Lender) Handle(now time.Duration, r Report) (Grant, bool) {
	l.expire(now)
	ln := l.loans[r.Group]
	if ln == nil {
		ln = &loan{group: r.Group}
		l.loans[r.Group] = ln
	}
	if r.Sequence <= ln.sequence {
		return Grant{}, false
	}
	// The ceiling may lower held but not raise it, so that an expired loan stays at zero: a
	// ceiling above it was reported before the borrower's lease ended.
	ln.held = minPerDimension(r.Ceiling, ln.held)
	ln.sequence, ln.want, ln.end = r.Sequence, r.Want, l.terms.GrantorExpiry(now)
	amount := minPerDimension(l.target(r.Group), l.available(r.Group))
	ln.held = ln.held.Max(amount)
	return Grant{Group: r.Group, Sequence: r.Sequence, Amount: amount, Duration: l.terms.Duration}, true
}

// expire clears the loans of groups whose leases have certainly ended. It keeps their
// sequences, so that delayed reports are still recognized as old.
func (l *Lender) expire(now time.Duration) {
	for _, ln := range l.loans {
		if now >= ln.end {
			ln.held, ln.want = resource.Vector{}, resource.Vector{}
		}
	}
}

// Lent returns the sum of all loans that have not expired at now. It is zero in dimensions
// without a limit.
func (l *Lender) Lent(now time.Duration) resource.Vector {
	l.expire(now)
	return l.lentExcept("")
}

// lentExcept returns the sum of the loans of all groups but g.
func (l *Lender) lentExcept(g Group) resource.Vector {
	var sum resource.Vector
	for _, ln := range l.loans {
		if ln.group == g {
			continue
		}
		for d := range sum {
			if l.limit[d] != resource.Unlimited {
				sum[d] += ln.held[d]
			}
		}
	}
	return sum
}

// available returns what is left of the limit for a group after the loans of the others.
func (l *Lender) available(g Group) resource.Vector {
	lent := l.lentExcept(g)
	free := l.limit
	for d := range free {
		if free[d] != resource.Unlimited {
			free[d] = max(0, free[d]-lent[d])
		}
	}
	return free
}

// target returns a group's max-min fair share of the limit; see targetIn.
func (l *Lender) target(g Group) resource.Vector {
	var target resource.Vector
	for d := range target {
		target[d] = l.targetIn(g, resource.Dimension(d))
	}
	return target
}

// targetIn returns a group's max-min fair share in one dimension. Wants are satisfied in
// ascending order, none by more than an equal part of what is left. The remainder is divided
// equally among all groups, for work that has yet to arrive.
func (l *Lender) targetIn(g Group, d resource.Dimension) int64 {
	if l.limit[d] == resource.Unlimited {
		return resource.Unlimited
	}
	byWant := make([]*loan, 0, len(l.loans))
	for _, ln := range l.loans {
		byWant = append(byWant, ln)
	}
	slices.SortFunc(byWant, func(a, b *loan) int {
		return cmp.Or(cmp.Compare(a.want[d], b.want[d]), cmp.Compare(a.group, b.group))
	})
	left, own := l.limit[d], int64(0)
	for i, ln := range byWant {
		given := min(ln.want[d], left/int64(len(byWant)-i))
		left -= given
		if ln.group == g {
			own = given
		}
	}
	return own + left/int64(len(byWant))
}

// minPerDimension returns the smaller of the two amounts in each dimension.
func minPerDimension(a, b resource.Vector) resource.Vector {
	for d := range a {
		a[d] = min(a[d], b[d])
	}
	return a
}
