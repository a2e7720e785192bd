package state

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

// LentLimits is the Allowance of one group of several: what a lender, see package
// allowance, has lent to the group. It is set only while an entry is applied, so that all
// replicas hold the same at the same entry.
type LentLimits struct {
	state *State
	lent  map[string]lentLimit
}

// lentLimit is one team's amount and the leader time at which it ends.
type lentLimit struct {
	amount resource.Vector
	until  int64
}

// UseLentLimits makes lent amounts the bound of the group and returns them, empty. It must
// be called before the first Apply, and equally on all replicas.
func (s *State) UseLentLimits() *LentLimits {
	l := &LentLimits{state: s, lent: make(map[string]lentLimit)}
	s.limits = l
	return l
}

// Set records what the group may use for a team until a leader time.
func (l *LentLimits) Set(team string, amount resource.Vector, until time.Time) {
	l.lent[team] = lentLimit{amount, until.UnixNano()}
}

// Held implements Allowance. It never passes the team's whole limit.
func (l *LentLimits) Held(t *Team) resource.Vector {
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
