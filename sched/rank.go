package sched

import (
	"math"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

const (
	// maxProbes bounds the upstreams of one bucket that are looked at, maxGood
	// those that fit.
	maxProbes = 16
	maxGood   = 4
	// imbalanceWeight weighs unequal leftovers, which strand the larger one.
	imbalanceWeight = 1.0
	// domainWeight, rackWeight and hostWeight weigh the tasks of a service that are
	// already in the domain, in the rack and on the VM.
	domainWeight = 1000
	rackWeight   = 100
	hostWeight   = 10
	// newRackWeight weighs a rack that a gang does not use yet.
	newRackWeight = 10
)

// query is a search for an upstream for one task.
type query struct {
	task *task
	need resource.Vector
	// within bounds the search to one domain; nil for all.
	within *domain
	// racks are the racks that the task's gang already uses.
	racks map[*rack]bool
}

// ranking is the outcome of a search; a lower score is better.
type ranking struct {
	best, second           *upstream
	bestScore, secondScore float64
	// fitting counts the upstreams that have room, full those that have not.
	fitting, full int
}

func (k *ranking) offer(u *upstream, score float64) {
	switch {
	case k.best == nil || score < k.bestScore || score == k.bestScore && u.number < k.best.number:
		k.second, k.secondScore = k.best, k.bestScore
		k.best, k.bestScore = u, score
	case k.second == nil || score < k.secondScore:
		k.second, k.secondScore = u, score
	}
}

// rank searches the index for the best upstream.
func (r *round) rank(q *query) ranking {
	var k ranking
	want := levelsOf(q.need)
	for _, d := range r.cell.domainOrder {
		if q.within != nil && q.within != d || !d.open(r.now) {
			continue
		}
		k.full += d.index.size
		for _, b := range d.index.buckets {
			if b.key.covers(want) {
				k.fitting += len(b.members)
				r.rankBucket(q, b, &k)
			}
		}
	}
	k.full -= k.fitting
	return k
}

func (r *round) rankBucket(q *query, b *bucket, k *ranking) {
	good := 0
	for i, u := range b.members {
		if i >= maxProbes || good >= maxGood {
			return
		}
		free := u.free()
		if !q.need.Fits(free) || r.cell.avoids(q.task.job, u) {
			continue
		}
		good++
		k.offer(u, r.score(q, u, free))
	}
}

// score is how badly a task would sit on an upstream.
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

// leftover weighs what would stay free: little is good, and equal fractions of all
// dimensions are better than much of one without the others.
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
