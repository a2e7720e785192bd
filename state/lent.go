package state

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

// LentLimits is the Allowance of one group of several: the part of each team's limit that a
// lender (see package allowance) has lent to the group. Set may be called only while a log
// entry is applied, so that all replicas have the same amounts at the same entry.
type LentLimits struct {
	state *State
	lent  map[string]lentLimit
}

// lentLimit is the amount lent for one team.
type lentLimit struct {
	amount resource.Vector
	// until is the leader time at which the loan ends, in Unix nanoseconds.
	until int64
}

// UseLentLimits limits the group's use to lent amounts and returns the table of these, which is
// empty: until Set is called, nothing may be placed. It must be called before the first Apply,
// and on all replicas or none.
func (s *State) UseLentLimits() *LentLimits {
	l := &LentLimits{state: s, lent: make(map[string]lentLimit)}
	s.limits = l
	return l
}

// Set records the amount that the group may use for a team until the given leader time.
func (l *LentLimits) Set(team string, amount resource.Vector, until time.Time) {
	l.lent[team] = lentLimit{amount, until.UnixNano()}
}

// Allowed implements Allowance. It returns zero once the loan has ended, and never more than the
// team's whole limit.
func (l *LentLimits) Allowed(t *Team) resource.Vector {
	lent := l.lent[t.Name]
	if l.state.nowNS >= lent.until {
		return resource.Vector{}
	}
	held := t.Limit
	for d := range held {
		held[d] = min(held[d], lent.amount[d])
	}
	return held
}
