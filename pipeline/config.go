package pipeline

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"strings"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// Config is the active configuration with lookup indexes. Match, Queue, QueueAt, Team, TeamOfKey and
// Version accept a nil receiver, which stands for no configuration; the methods of the embedded message
// don't.
type Config struct {
	*pipelinev1.Config
	queues   map[string]*pipelinev1.Queue
	byRoute  map[Route]*pipelinev1.Queue
	byHost   map[string][]*pipelinev1.Queue
	services map[string]*pipelinev1.Service
	teams    map[string]*pipelinev1.Team
	byKey    map[[sha256.Size]byte]*pipelinev1.Team
}

// CheckConfig returns why a configuration is invalid, or an empty string if it is valid.
func CheckConfig(c *pipelinev1.Config) string {
	services := make(map[string]bool)
	for _, s := range c.GetServices() {
		if s.GetName() == "" || services[s.GetName()] {
			return fmt.Sprintf("service %q has no name or is named twice", s.GetName())
		}
		services[s.GetName()] = true
	}
	routeOf := RouteOf
	if !c.GetStableIdentities() {
		// Older versions compared hosts letter by letter; what they accepted stays valid.
		routeOf = func(q *pipelinev1.Queue) Route { return Route(q.GetHost() + q.GetPathPrefix()) }
	}
	if problem := checkQueues(c.GetQueues(), services, routeOf); problem != "" {
		return problem
	}
	return checkTeams(c.GetTeams())
}

// checkQueues requires unique names, unique pairs of host and path prefix, known services and
// positive timeouts.
func checkQueues(queues []*pipelinev1.Queue, services map[string]bool, routeOf func(*pipelinev1.Queue) Route) string {
	routes, names := make(map[Route]bool), make(map[string]bool)
	for _, q := range queues {
		r := routeOf(q)
		switch {
		case q.GetName() == "" || names[q.GetName()]:
			return fmt.Sprintf("queue %q has no name or is named twice", q.GetName())
		case !services[q.GetService()]:
			return fmt.Sprintf("queue %q sends to the unknown service %q", q.GetName(), q.GetService())
		case routes[r]:
			return fmt.Sprintf("queue %q shares host and path prefix with another", q.GetName())
		case q.GetTimeoutMs() <= 0:
			return fmt.Sprintf("queue %q has no timeout", q.GetName())
		case !strings.HasPrefix(q.GetPathPrefix(), "/"):
			return fmt.Sprintf("queue %q has the path prefix %q, which does not begin with a slash", q.GetName(), q.GetPathPrefix())
		}
		routes[r], names[q.GetName()] = true, true
	}
	return ""
}

// checkTeams requires unique names and that no key hash belongs to two teams.
func checkTeams(teams []*pipelinev1.Team) string {
	names, keys := make(map[string]bool), make(map[string]string)
	for _, t := range teams {
		if t.GetName() == "" || names[t.GetName()] {
			return fmt.Sprintf("team %q has no name or is named twice", t.GetName())
		}
		names[t.GetName()] = true
		for _, k := range t.GetKeySha256() {
			if len(k) != sha256.Size {
				return fmt.Sprintf("team %q has a key that is no SHA-256", t.GetName())
			}
			if other, taken := keys[string(k)]; taken && other != t.GetName() {
				return fmt.Sprintf("teams %q and %q share a key", other, t.GetName())
			}
			keys[string(k)] = t.GetName()
		}
	}
	return ""
}

// newConfig builds the indexes of a valid configuration.
func newConfig(c *pipelinev1.Config) *Config {
	out := &Config{Config: c, queues: make(map[string]*pipelinev1.Queue), byRoute: make(map[Route]*pipelinev1.Queue), byHost: make(map[string][]*pipelinev1.Queue),
		services: make(map[string]*pipelinev1.Service), teams: make(map[string]*pipelinev1.Team),
		byKey: make(map[[sha256.Size]byte]*pipelinev1.Team)}
	for _, q := range c.GetQueues() {
		out.queues[q.GetName()], out.byRoute[RouteOf(q)] = q, q
		host := hostOf(q.GetHost())
		out.byHost[host] = append(out.byHost[host], q)
	}
	for _, s := range c.GetServices() {
		out.services[s.GetName()] = s
	}
	for _, t := range c.GetTeams() {
		out.teams[t.GetName()] = t
		for _, k := range t.GetKeySha256() {
			out.byKey[[sha256.Size]byte(k)] = t
		}
	}
	return out
}

// Match returns the queue for a host and path, or nil if none matches. Of several queues whose path
// prefix matches, it is the one with the longest prefix.
func (c *Config) Match(host, path string) *pipelinev1.Queue {
	if c == nil {
		return nil
	}
	var best *pipelinev1.Queue
	for _, q := range c.byHost[hostOf(host)] {
		if strings.HasPrefix(path, q.GetPathPrefix()) && (best == nil || len(q.GetPathPrefix()) > len(best.GetPathPrefix())) {
			best = q
		}
	}
	return best
}

// Queue returns the queue with the given name, or nil.
func (c *Config) Queue(name string) *pipelinev1.Queue {
	if c == nil {
		return nil
	}
	return c.queues[name]
}

// QueueAt returns the queue at the given route, or nil.
func (c *Config) QueueAt(r Route) *pipelinev1.Queue {
	if c == nil {
		return nil
	}
	return c.byRoute[r]
}

// Team returns the team with the given name, or nil.
func (c *Config) Team(name string) *pipelinev1.Team {
	if c == nil {
		return nil
	}
	return c.teams[name]
}

// TeamOfKey returns the team that owns the key whose SHA-256 is hash, or nil.
func (c *Config) TeamOfKey(hash []byte) *pipelinev1.Team {
	if c == nil || len(hash) != sha256.Size {
		return nil
	}
	return c.byKey[[sha256.Size]byte(hash)]
}

// putConfig activates a configuration if its version is higher than the active one. A lower or
// equal version is acknowledged without effect.
func (s *State) putConfig(c *pipelinev1.Config) *pipelinev1.Reply {
	if problem := CheckConfig(c); problem != "" {
		return &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_INVALID, Detail: problem}
	}
	if s.config != nil && c.GetVersion() <= s.config.GetVersion() {
		detail := fmt.Sprintf("version %d is in force; nothing was changed", s.config.GetVersion())
		if c.GetVersion() == s.config.GetVersion() && bytes.Equal(c.GetDocument(), s.config.GetDocument()) {
			detail = "this version is in force already"
		}
		return &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_OK, Detail: detail}
	}
	before := s.config
	s.config = newConfig(c)
	for _, j := range s.jobs {
		s.bindQueue(j)
	}
	if c.GetStableIdentities() {
		s.tombstones.resolveNames(before)
		s.reassign(newSuccession(before, s.config))
	}
	s.observer.ConfigChanged(before)
	return &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_OK}
}

// stableIdentities reports whether queues are identified by their routes, and teams by their keys.
func (c *Config) stableIdentities() bool { return c != nil && c.GetStableIdentities() }

// Version returns the version of the configuration, or zero if there is none.
func (c *Config) Version() uint64 {
	if c == nil {
		return 0
	}
	return c.GetVersion()
}
