package pipeline

import (
	"slices"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"google.golang.org/protobuf/proto"
)

// Upstream is the newest incarnation of an upstream that the leader calls.
type Upstream struct {
	*pipelinev1.Upstream
	// Capacity is the total amount that runs can reserve.
	Capacity Resources
	// Used is the amount that runs reserve; a run reserves it until its end is recorded.
	Used Resources
	// Runs are the runs that may exist on the upstream.
	Runs map[RunKey]*Run
	// Expired are runs of this incarnation that ended when their lease expired, as long as it is not
	// known whether the upstream crashed.
	Expired map[RunKey]*Run
	// LastEnd is the highest number of a committed end of this incarnation. The upstream numbers
	// the ends that it lists.
	LastEnd int64
	// Sequence is the sequence number of the heartbeat that changed the description last.
	Sequence int64
}

func newUpstream() *Upstream {
	return &Upstream{Runs: make(map[RunKey]*Run), Expired: make(map[RunKey]*Run)}
}

// Free returns the capacity that no run reserves.
func (u *Upstream) Free() Resources { return u.Capacity.Minus(u.Used) }

// HasLabel reports whether the upstream has a label. All upstreams have the empty label.
func (u *Upstream) HasLabel(label string) bool {
	return label == "" || slices.Contains(u.GetLabels(), label)
}

// CountRunsOf counts the step's runs on the upstream.
func (u *Upstream) CountRunsOf(st *Step) int {
	n := 0
	for _, r := range u.Runs {
		if r.Task.Step == st {
			n++
		}
	}
	return n
}

// upstreamSeen records an upstream's description of itself. A newer incarnation replaces the older
// one, whose runs are lost unless the command keeps them; a description of an older incarnation is
// ignored. An incarnation that is only said to be alive keeps its description.
func (s *State) upstreamSeen(c *pipelinev1.UpstreamSeen) {
	desc := c.GetUpstream()
	u := s.upstreams[desc.GetId()]
	switch {
	case c.GetAlive():
		if u != nil && u.GetBorn() == desc.GetBorn() {
			s.resolveExpired(u, false)
		}
		return
	case u == nil:
		u = newUpstream()
		s.upstreams[desc.GetId()] = u
	case desc.GetBorn() < u.GetBorn():
		return
	case desc.GetBorn() > u.GetBorn():
		s.replaceIncarnation(u, desc.GetBorn(), c.GetKept())
	}
	u.Upstream, u.Capacity = desc, ResourcesFromProto(desc.GetCapacity())
	if c.GetSequence() != 0 {
		u.Sequence = c.GetSequence()
	}
	s.observer.UpstreamChanged(u)
}

// replaceIncarnation moves kept runs to the new incarnation and ends the others as lost.
func (s *State) replaceIncarnation(u *Upstream, born int64, kept []*pipelinev1.Run) {
	keep := make(map[RunKey]bool)
	for _, r := range kept {
		keep[RunKey{TaskKeyOf(r.GetTask()), r.GetNumber()}] = true
	}
	for _, r := range u.sortedRuns() {
		if keep[r.Key()] {
			r.Born = born
			continue
		}
		s.endRun(r, &pipelinev1.End{Kind: pipelinev1.EndKind_END_KIND_LOST})
	}
	s.resolveExpired(u, !u.GetDraining())
	u.LastEnd, u.Sequence = 0, 0
}

// sortedRuns returns the runs in the order of their keys, so that the result of Apply does not
// depend on map iteration order.
func (u *Upstream) sortedRuns() []*Run {
	out := make([]*Run, 0, len(u.Runs))
	for _, r := range u.Runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *Run) int { return compareRuns(a.Key(), b.Key()) })
	return out
}

// compareRuns orders run keys for slices.SortFunc.
func compareRuns(a, b RunKey) int {
	switch {
	case a.Job != b.Job:
		if a.Job < b.Job {
			return -1
		}
		return 1
	case a.Occurrence != b.Occurrence:
		return int(a.Occurrence - b.Occurrence)
	case a.Step != b.Step:
		return int(a.Step - b.Step)
	case a.Index != b.Index:
		return int(a.Index - b.Index)
	}
	return int(a.Number - b.Number)
}

// upstreamGone removes an upstream if the incarnation that has ended is its newest. Its runs are
// lost.
func (s *State) upstreamGone(c *pipelinev1.UpstreamGone) {
	u := s.upstreams[c.GetId()]
	if u == nil || u.GetBorn() != c.GetBorn() {
		return
	}
	for _, r := range u.sortedRuns() {
		s.endRun(r, &pipelinev1.End{Kind: pipelinev1.EndKind_END_KIND_LOST})
	}
	s.resolveExpired(u, c.GetCrashed())
	delete(s.upstreams, c.GetId())
	s.observer.UpstreamGone(u)
}

// SameUpstream reports whether two descriptions of one incarnation are equal.
func SameUpstream(a, b *pipelinev1.Upstream) bool { return proto.Equal(a, b) }
