package dispatch

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// relays are the replicas that can carry calls to upstreams, by failure domain.
type relays struct {
	list     []Relay
	byDomain map[string][]string
	// domains are the failure domains with a relay, in alphabetical order.
	domains []string
}

// set replaces the relays and reports whether they have changed.
func (r *relays) set(list []Relay) bool {
	slices.SortFunc(list, func(a, b Relay) int {
		return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.Address, b.Address))
	})
	if slices.Equal(list, r.list) {
		return false
	}
	*r = relays{list: list, byDomain: make(map[string][]string)}
	for _, x := range list {
		if len(r.byDomain[x.FailureDomain]) == 0 {
			r.domains = append(r.domains, x.FailureDomain)
		}
		r.byDomain[x.FailureDomain] = append(r.byDomain[x.FailureDomain], x.Address)
	}
	return true
}

// way returns a way to an upstream as the address of a relay, or an empty one for a direct call. The
// best way is attempt 0, a relay in the upstream's failure domain if there is one. The others follow:
// further relays there, the leader itself, and a relay in each other failure domain. The hash spreads
// upstreams over relays.
func (r *relays) way(domain string, hash uint32, attempt int) string {
	own := r.byDomain[domain]
	others := len(r.domains)
	if len(own) > 0 {
		others--
	}
	attempt %= len(own) + 1 + others
	switch {
	case attempt < len(own):
		return own[(int(hash%uint32(len(own)))+attempt)%len(own)]
	case attempt == len(own):
		return ""
	}
	skip := attempt - len(own) - 1
	for _, d := range r.domains {
		if d == domain {
			continue
		}
		if skip == 0 {
			list := r.byDomain[d]
			return list[hash%uint32(len(list))]
		}
		skip--
	}
	return ""
}

// count returns the number of ways to an upstream in a failure domain.
func (r *relays) count(domain string) int {
	n := len(r.byDomain[domain]) + 1 + len(r.domains)
	if len(r.byDomain[domain]) > 0 {
		n--
	}
	return n
}

// hashOf returns a hash of an upstream's identity.
func hashOf(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}

// updateRelays takes over the replicas that can relay calls now.
func (e *Engine) updateRelays() {
	if !e.relays.set(e.host.Relays()) {
		return
	}
	addresses := make([]string, len(e.relays.list))
	for i, r := range e.relays.list {
		addresses[i] = r.Address
	}
	e.log.Info().Strs("relays", addresses).Msg("relays changed")
}

// via returns the way that calls to the upstream take now.
func (s *session) via(now time.Duration) string {
	if s.way > 0 && now >= s.wayUntil {
		s.way = 0
	}
	return s.e.relays.way(s.u.GetFailureDomain(), s.hash, s.way)
}

// wayFailed makes the next call take another way, after a call by the given way was not answered. Of
// several calls that fail together, the first one changes the way.
func (s *session) wayFailed(via string, now time.Duration) {
	if s.via(now) != via {
		return
	}
	waysChanged.Add(1)
	s.way++
	s.wayUntil = now + wayTime
}

// triesOtherWay reports whether a status request that failed after some time is to be sent at once on the next
// way, and counts it. That says nothing of the upstream: the relay is not up yet, as after a loss of power. A
// failure that took long may be the upstream's, whose work must not wait for all ways to fail.
func (s *session) triesOtherWay(err error, took time.Duration) bool {
	if !errors.Is(err, ErrNotSent) || errors.Is(err, ErrNothingListens) || took > quickFailure ||
		s.waysTried+1 >= s.e.relays.count(s.u.GetFailureDomain()) {
		return false
	}
	s.waysTried++
	return true
}
