package allowance

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/lease"
	"github.com/bulrushwinch/bulrushwinch/resource"
)

// Lender lends one limit. It is deterministic and not safe for concurrent use.
type Lender struct {
	limit resource.Vector
	terms lease.Terms
	loans map[Group]*loan
}

// loan is what one group may hold as far as the lender knows.
type loan struct {
	group    Group
	sequence uint64
	// held bounds what the group uses: its reported ceiling and the grant sent since.
	held resource.Vector
	want resource.Vector
	// end is when held has surely come back.
	end time.Duration
}

// NewLender returns a lender of limit under the given terms.
func NewLender(limit resource.Vector, terms lease.Terms) *Lender {
	return &Lender{limit: limit, terms: terms, loans: make(map[Group]*loan)}
}

// SetLimit changes the limit. Lowered below what is lent, it is reached as loans shrink or
// end; nothing more is lent until then.
func (l *Lender) SetLimit(limit resource.Vector) { l.limit = limit }

// AssumeRenewed begins the work of a new lender over the loans of an older one, each of
// which may have been renewed up to now.
func (l *Lender) AssumeRenewed(now time.Duration) {
	for _, o := range l.loans {
		o.end = l.terms.GrantorEnd(now)
	}
}

// Handle answers a report, or returns false for one that is older than another.
func (l *Lender) Handle(now time.Duration, r Report) (Grant, bool) {
	l.expire(now)
	o := l.loans[r.Group]
	if o == nil {
		o = &loan{group: r.Group}
		l.loans[r.Group] = o
	}
	if r.Sequence <= o.sequence {
		return Grant{}, false
	}
	// A loan that has come back stays back: a ceiling above it was reported before the end
	// of the borrower's lease.
	o.held = minPerDimension(r.Ceiling, o.held)
	o.sequence, o.want, o.end = r.Sequence, r.Want, l.terms.GrantorEnd(now)
	amount := minPerDimension(l.target(r.Group), l.available(r.Group))
	o.held = o.held.Max(amount)
	return Grant{Group: r.Group, Sequence: r.Sequence, Amount: amount, Duration: l.terms.Duration}, true
}

// expire takes back what groups held whose leases have surely ended. Their sequences stay,
// so that delayed reports stay old.
func (l *Lender) expire(now time.Duration) {
	for _, o := range l.loans {
		if now >= o.end {
			o.held, o.want = resource.Vector{}, resource.Vector{}
		}
	}
}

// Lent returns the sum of all loans. Unlimited dimensions are not counted.
func (l *Lender) Lent(now time.Duration) resource.Vector {
	l.expire(now)
	return l.lentExcept("")
}

func (l *Lender) lentExcept(g Group) resource.Vector {
	var sum resource.Vector
	for _, o := range l.loans {
		if o.group == g {
			continue
		}
		for d := range sum {
			if l.limit[d] != resource.Unlimited {
				sum[d] += o.held[d]
			}
		}
	}
	return sum
}

// available returns what a group may hold beside the loans of the others.
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

// target returns a group's share by demand.
func (l *Lender) target(g Group) resource.Vector {
	var target resource.Vector
	for d := range target {
		target[d] = l.targetIn(g, resource.Dimension(d))
	}
	return target
}

// targetIn fills the wants of all groups from the smallest up, none above an equal part of
// what is left, and shares out the rest equally, for work that is yet to come.
func (l *Lender) targetIn(g Group, d resource.Dimension) int64 {
	if l.limit[d] == resource.Unlimited {
		return resource.Unlimited
	}
	byWant := make([]*loan, 0, len(l.loans))
	for _, o := range l.loans {
		byWant = append(byWant, o)
	}
	slices.SortFunc(byWant, func(a, b *loan) int {
		return cmp.Or(cmp.Compare(a.want[d], b.want[d]), cmp.Compare(a.group, b.group))
	})
	left, own := l.limit[d], int64(0)
	for i, o := range byWant {
		given := min(o.want[d], left/int64(len(byWant)-i))
		left -= given
		if o.group == g {
			own = given
		}
	}
	return own + left/int64(len(byWant))
}

// minPerDimension returns the smaller amount per dimension.
func minPerDimension(a, b resource.Vector) resource.Vector {
	for d := range a {
		a[d] = min(a[d], b[d])
	}
	return a
}
