package sched

import (
	"cmp"
	"math"
	"slices"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

const (
	// maxExamined bounds the upstreams of one bucket that are examined, maxFitting those
	// among them that fit.
	maxExamined = 16
	maxFitting  = 4
	// maxScored bounds the upstreams that are scored for one task.
	maxScored = 48
	// imbalanceWeight is the weight of the difference between the largest and the
	// smallest remaining fraction: what remains of one dimension without the others
	// can't be used.
	imbalanceWeight = 1.0
	// domainWeight, rackWeight and vmWeight are the penalties for each task of the same
	// service class in the same failure domain, in the same rack and on the same VM.
	domainWeight = 1000
	rackWeight   = 100
	vmWeight     = 10
	// newRackWeight is the penalty for a rack that the gang does not use yet.
	newRackWeight = 10
)

// query describes a search for an upstream for one task.
type query struct {
	task *task
	// need is what will be reserved for the task.
	need resource.Vector
	// within limits the search to one failure domain; nil stands for all.
	within *domain
	// racks holds the racks that the task's gang already uses.
	racks map[*rack]bool
}

// ranking is the result of a search; a lower score is better.
type ranking struct {
	best, second           *upstream
	bestScore, secondScore float64
	// scored counts the upstreams that were scored.
	scored int
	// fitting counts the upstreams that have room by the level of their index bucket, full
	// the others in the index.
	fitting, full int
}

// offer considers an upstream as the best or second best. For the best, the lower number
// wins at equal scores.
func (k *ranking) offer(u *upstream, score float64) {
	switch {
	case k.best == nil || score < k.bestScore || score == k.bestScore && u.number < k.best.number:
		k.second, k.secondScore = k.best, k.bestScore
		k.best, k.bestScore = u, score
	case k.second == nil || score < k.secondScore:
		k.second, k.secondScore = u, score
	}
}

// rank searches the index for the best upstream. In a large cell it scores only a sample
// of the upstreams that have room, and starts at a different place for each task. For a
// service it searches the failure domains with the fewest tasks of its class first.
func (r *round) rank(q *query) ranking {
	var k ranking
	want := levelsOf(q.need)
	first := int((r.cell.settings.Seed+uint64(q.task.job.ID))%maxScored) + len(r.journal)
	for i, d := range r.domainsFor(q, first) {
		if q.within != nil && q.within != d || !d.open(r.now) {
			continue
		}
		if i > 0 && k.best != nil && q.task.job.Policy == Service {
			k.scored = maxScored
		}
		r.rankDomain(q, d, want, first, &k)
	}
	k.full -= k.fitting
	return k
}

// domainsFor returns the failure domains in the order of the search. The result is valid
// until the next call.
func (r *round) domainsFor(q *query, first int) []*domain {
	list := r.domains[:0]
	all := r.cell.domainOrder
	for i := range all {
		list = append(list, all[(first+i)%len(all)])
	}
	r.domains = list
	if q.task.job.Policy == Service {
		sp := &q.task.job.class.spread
		count := func(d *domain) int { return sp.domains[d] + r.spread.domains[d] }
		slices.SortStableFunc(list, func(a, b *domain) int { return cmp.Compare(count(a), count(b)) })
	}
	return list
}

// rankDomain searches the buckets of one failure domain, starting at bucket first.
func (r *round) rankDomain(q *query, d *domain, want levelKey, first int, k *ranking) {
	n := len(d.index.buckets)
	k.full += d.index.size
	for i := range n {
		b := d.index.buckets[(first+i)%n]
		if !b.key.covers(want) {
			continue
		}
		k.fitting += len(b.members)
		if k.scored < maxScored {
			r.rankBucket(q, b, k)
		}
	}
}

// rankBucket scores upstreams of one bucket, at most maxFitting.
func (r *round) rankBucket(q *query, b *bucket, k *ranking) {
	fitting := 0
	for i, u := range b.members {
		if i >= maxExamined || fitting >= maxFitting {
			return
		}
		free := u.free()
		if !q.need.Fits(free) || r.cell.avoids(q.task.job, u) {
			continue
		}
		fitting++
		k.scored++
		k.offer(u, r.score(q, u, free))
	}
}

// score rates an upstream for a task; lower is better.
func (r *round) score(q *query, u *upstream, free resource.Vector) float64 {
	s := leftover(free.Sub(q.need), u.Capacity)
	switch q.task.job.Policy {
	case Service:
		s += q.task.job.class.spread.score(u) + r.spread.score(u)
	case Gang:
		if q.racks != nil && !q.racks[u.rack] {
			s += newRackWeight
		}
	}
	return s
}

// leftover rates the capacity that would remain free; lower is better. Little is good, and
// equal fractions of all dimensions are better than much of one without the others.
func leftover(rest, capacity resource.Vector) float64 {
	sum, least, most := 0.0, math.Inf(1), 0.0
	for _, d := range [...]resource.Dimension{resource.Cores, resource.Memory, resource.Accelerators, resource.Slots} {
		if capacity[d] == 0 {
			continue
		}
		f := float64(rest[d]) / float64(capacity[d])
		sum += f
		least, most = min(least, f), max(most, f)
	}
	return sum + imbalanceWeight*(most-least)
}
