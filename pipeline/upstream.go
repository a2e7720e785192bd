package pipeline

import (
	"slices"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"google.golang.org/protobuf/proto"
)

// Upstream is the newest incarnation of an upstream that is called.
type Upstream struct {
	*pipelinev1.Upstream
	Capacity Resources
	// Used is what runs on the upstream reserve, until their ends are known.
	Used Resources
	Runs map[RunKey]*Run
	// LastEnd is the highest number of an end of this incarnation that is committed.
	LastEnd int64
}

// Free returns the room that is left.
func (u *Upstream) Free() Resources { return u.Capacity.Minus(u.Used) }

// HasLabel reports whether the upstream has a label; the empty label is on all.
func (u *Upstream) HasLabel(label string) bool {
	return label == "" || slices.Contains(u.GetLabels(), label)
}

// RunsOf counts the step's runs on the upstream.
func (u *Upstream) RunsOf(st *Step) int {
	n := 0
	for _, r := range u.Runs {
		if r.Task.Step == st {
			n++
		}
	}
	return n
}

// upstreamSeen takes what an upstream says of itself. A newer incarnation replaces the older
// one, whose runs are lost unless the command keeps them.
func (s *State) upstreamSeen(c *pipelinev1.UpstreamSeen) {
	said := c.GetUpstream()
	u := s.upstreams[said.GetId()]
	switch {
	case u == nil:
		u = &Upstream{Runs: make(map[RunKey]*Run)}
		s.upstreams[said.GetId()] = u
	case said.GetBorn() < u.GetBorn():
		return
	case said.GetBorn() > u.GetBorn():
		s.replaceIncarnation(u, said.GetBorn(), c.GetKept())
	}
	u.Upstream, u.Capacity = said, ResourcesFromProto(said.GetCapacity())
	s.observer.UpstreamChanged(u)
}

// replaceIncarnation moves kept runs to the new incarnation and loses the others.
func (s *State) replaceIncarnation(u *Upstream, born int64, kept []*pipelinev1.Run) {
	keep := make(map[RunKey]bool)
	for _, r := range kept {
		keep[RunKey{KeyOf(r.GetTask()), r.GetNumber()}] = true
	}
	for _, r := range u.sortedRuns() {
		if keep[r.Key()] {
			r.Born = born
			continue
		}
		s.endRun(r, &pipelinev1.End{Kind: pipelinev1.EndKind_END_KIND_LOST})
	}
	u.LastEnd = 0
}

func (u *Upstream) sortedRuns() []*Run {
	out := make([]*Run, 0, len(u.Runs))
	for _, r := range u.Runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *Run) int { return compareRuns(a.Key(), b.Key()) })
	return out
}

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

// upstreamGone forgets an incarnation that has ended.
func (s *State) upstreamGone(c *pipelinev1.UpstreamGone) {
	u := s.upstreams[c.GetId()]
	if u == nil || u.GetBorn() != c.GetBorn() {
		return
	}
	for _, r := range u.sortedRuns() {
		s.endRun(r, &pipelinev1.End{Kind: pipelinev1.EndKind_END_KIND_LOST})
	}
	delete(s.upstreams, c.GetId())
	s.observer.UpstreamGone(u)
}

// SameUpstream reports whether two descriptions of one incarnation are equal.
func SameUpstream(a, b *pipelinev1.Upstream) bool { return proto.Equal(a, b) }
