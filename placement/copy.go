package placement

import (
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
)

// Copy returns a copy of the cell. A round on the copy changes nothing of the original; the two share what rounds
// only read: the replicated state, the learner and the answers of the permit service. The copy has a random
// source of its own, so that it does not consume numbers of the original's. Maps and slices that rounds change in place
// have to be copied here.
func (c *Cell) Copy() *Cell {
	out := *c
	out.RecentUse = c.RecentUse.copy()
	out.Rand = rand.New(rand.NewPCG(uint64(c.Now), uint64(c.WallNS)))
	out.Askers.Waiting = slices.Clone(c.Askers.Waiting)
	out.Steps, out.Prefetched = copyWorks(c.Steps), copyWorks(c.Prefetched)
	out.Upstreams, out.byID = make([]*Upstream, 0, len(c.Upstreams)), make(map[string]*Upstream, len(c.Upstreams))
	for _, u := range c.Upstreams {
		own := *u
		own.ends, own.yields = nil, nil
		out.Upstreams = append(out.Upstreams, &own)
		out.byID[u.GetId()] = &own
	}
	return &out
}

// Upstream returns the upstream with an identity, or nil.
func (c *Cell) Upstream(id string) *Upstream { return c.byID[id] }

func copyWorks(list map[*pipeline.Step]*Work) map[*pipeline.Step]*Work {
	out := make(map[*pipeline.Step]*Work, len(list))
	for st, w := range list {
		out[st] = w.copy()
	}
	return out
}

// copy returns a copy that shares the answers of the permit service.
func (w *Work) copy() *Work {
	out := *w
	out.Pending, out.copyRefused = slices.Clone(w.Pending), maps.Clone(w.copyRefused)
	return &out
}

func (u *RecentUse) copy() *RecentUse {
	if u == nil {
		return nil
	}
	out := *u
	out.uses = maps.Clone(u.uses)
	return &out
}

// Copy returns a copy whose decisions and returns change nothing of the original.
func (a *Admission) Copy() *Admission {
	out := *a
	out.refusing = maps.Clone(a.refusing)
	out.teams = make(map[string]*holding, len(a.teams))
	for name, h := range a.teams {
		own := *h
		out.teams[name] = &own
	}
	return &out
}
