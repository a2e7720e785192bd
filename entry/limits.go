package entry

import (
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// Limits bound the load that one entry accepts.
type Limits struct {
	// MaxCalls is the maximum number of concurrent short calls.
	MaxCalls int
	// MaxHeld is the maximum number of concurrent calls that the leader holds: polls of
	// upstreams and waits of callers.
	MaxHeld int
	// TeamRate is the number of submits per second that a team may send through one entry.
	TeamRate float64
	// TeamBurst is the number of submits that a team may send in one burst.
	TeamBurst int
	// TeamCalls is the maximum number of concurrent submits of a team.
	TeamCalls int
	// TeamBytes is the maximum size in bytes of a team's concurrent submits. A single submit
	// may exceed it.
	TeamBytes int64
	// UnknownRate is the number of calls per second with a key or queue that the entry does
	// not know and forwards to the leader for the decision.
	UnknownRate float64
}

// DefaultLimits are suitable for an entry VM with one core.
var DefaultLimits = Limits{
	MaxCalls:    2048,
	MaxHeld:     8192,
	TeamRate:    2000,
	TeamBurst:   4000,
	TeamCalls:   512,
	TeamBytes:   64 << 20,
	UnknownRate: 50,
}

// class is the load-shedding class of a call. Classes of short calls are in the order in which
// they are shed, and so are those of held calls.
type class int

const (
	classBatch class = iota
	classUrgent
	classCaller
	classOperator
	classWait
	classPoll
)

// held reports whether calls of the class are held open by the leader.
func (c class) held() bool { return c == classWait || c == classPoll }

// admitPercent is the percentage of the bound on open calls up to which a class is admitted.
var admitPercent = map[class]int64{
	classBatch: 70, classUrgent: 85, classCaller: 92, classOperator: 100, classWait: 70, classPoll: 100,
}

// callLimiter bounds open calls; classes of lower priority are refused earlier.
type callLimiter struct {
	calls, held       atomic.Int64
	maxCalls, maxHeld int64
}

// acquire admits a call or refuses it; release must be called at the end of an admitted call.
func (l *callLimiter) acquire(c class) bool {
	open, bound := l.bound(c)
	if open.Add(1)*100 > bound*admitPercent[c] {
		open.Add(-1)
		return false
	}
	return true
}

func (l *callLimiter) release(c class) {
	open, _ := l.bound(c)
	open.Add(-1)
}

func (l *callLimiter) bound(c class) (*atomic.Int64, int64) {
	if c.held() {
		return &l.held, l.maxHeld
	}
	return &l.calls, l.maxCalls
}

// teamLimiter bounds the submits of each team.
type teamLimiter struct {
	limits Limits
	mu     sync.Mutex
	teams  map[string]*teamUsage
}

// teamUsage counts the open submits of one team.
type teamUsage struct {
	bucket *rate.Limiter
	calls  int
	bytes  int64
}

// maxTeams is the number of teams from which on a new team evicts those without open submits.
const maxTeams = 4096

// acquire admits a submit of a team with the given size, or returns the name of the limit that
// it exceeds; release must be called at the end of an admitted submit.
func (l *teamLimiter) acquire(team string, bytes int64) (full string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usageOf(team)
	switch {
	case u.calls >= l.limits.TeamCalls:
		return "calls open at once"
	case u.bytes+bytes > l.limits.TeamBytes && u.calls > 0:
		return "bytes in flight"
	case !u.bucket.Allow():
		return "submits a second"
	}
	u.calls++
	u.bytes += bytes
	return ""
}

func (l *teamLimiter) release(team string, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.teams[team]
	u.calls--
	u.bytes -= bytes
}

func (l *teamLimiter) usageOf(team string) *teamUsage {
	u := l.teams[team]
	if u == nil {
		l.evictIdle()
		u = &teamUsage{bucket: rate.NewLimiter(rate.Limit(l.limits.TeamRate), l.limits.TeamBurst)}
		l.teams[team] = u
	}
	return u
}

func (l *teamLimiter) evictIdle() {
	if len(l.teams) < maxTeams {
		return
	}
	for name, u := range l.teams {
		if u.calls == 0 {
			delete(l.teams, name)
		}
	}
}
