package entry

import (
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// Limits bound what one entry takes at a time.
type Limits struct {
	// MaxCalls bounds short calls that are open at once, MaxHeld those that the leader
	// holds: polls of upstreams and waits of callers.
	MaxCalls int
	MaxHeld  int
	// TeamRate is the number of submits a second that a team may send through one entry,
	// in bursts of TeamBurst.
	TeamRate  float64
	TeamBurst int
	// TeamCalls and TeamBytes bound a team's submits that are open at once, and their
	// payloads.
	TeamCalls int
	TeamBytes int64
	// UnknownRate is the number of calls a second with a key or queue that the entry does
	// not know and must ask the leader about.
	UnknownRate float64
}

// DefaultLimits suit an entry VM with one core.
var DefaultLimits = Limits{
	MaxCalls:    2048,
	MaxHeld:     8192,
	TeamRate:    2000,
	TeamBurst:   4000,
	TeamCalls:   512,
	TeamBytes:   64 << 20,
	UnknownRate: 50,
}

// class orders calls by how late they are shed.
type class int

const (
	classBatch class = iota
	classUrgent
	classCaller
	classOperator
	classWait
	classPoll
)

// held reports whether the leader holds calls of the class.
func (c class) held() bool { return c == classWait || c == classPoll }

// shareOf is the part of its bound, in percent, up to which a class is admitted.
var shareOf = map[class]int64{
	classBatch: 70, classUrgent: 85, classCaller: 92, classOperator: 100, classWait: 70, classPoll: 100,
}

// gate bounds open calls; classes that matter less are turned away earlier.
type gate struct {
	calls, held       atomic.Int64
	maxCalls, maxHeld int64
}

// enter admits a call or refuses it; leave must follow an admission.
func (g *gate) enter(c class) bool {
	open, bound := g.bound(c)
	if open.Add(1)*100 > bound*shareOf[c] {
		open.Add(-1)
		return false
	}
	return true
}

func (g *gate) leave(c class) {
	open, _ := g.bound(c)
	open.Add(-1)
}

func (g *gate) bound(c class) (*atomic.Int64, int64) {
	if c.held() {
		return &g.held, g.maxHeld
	}
	return &g.calls, g.maxCalls
}

// teamGate bounds the submits of each team.
type teamGate struct {
	limits Limits
	mu     sync.Mutex
	teams  map[string]*teamUse
}

// teamUse is what one team has open.
type teamUse struct {
	bucket *rate.Limiter
	calls  int
	bytes  int64
}

// maxTeams bounds the teams that are remembered while they have nothing open.
const maxTeams = 4096

// enter admits a submit of a team with a payload of some bytes, or says what is full.
func (g *teamGate) enter(team string, bytes int64) (full string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.use(team)
	switch {
	case u.calls >= g.limits.TeamCalls:
		return "calls open at once"
	case u.bytes+bytes > g.limits.TeamBytes && u.calls > 0:
		return "bytes in flight"
	case !u.bucket.Allow():
		return "submits a second"
	}
	u.calls++
	u.bytes += bytes
	return ""
}

func (g *teamGate) leave(team string, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.teams[team]
	u.calls--
	u.bytes -= bytes
}

func (g *teamGate) use(team string) *teamUse {
	u := g.teams[team]
	if u == nil {
		g.forgetIdle()
		u = &teamUse{bucket: rate.NewLimiter(rate.Limit(g.limits.TeamRate), g.limits.TeamBurst)}
		g.teams[team] = u
	}
	return u
}

func (g *teamGate) forgetIdle() {
	if len(g.teams) < maxTeams {
		return
	}
	for name, u := range g.teams {
		if u.calls == 0 {
			delete(g.teams, name)
		}
	}
}
