package sched

import (
	"math/bits"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

// levelKey packs one level of free capacity per dimension into eight bits each: seven
// for the level and a guard bit, so that five comparisons take one subtraction.
type levelKey uint64

const (
	// levelBits is the width of one level including its guard bit.
	levelBits = 8
	// guards has the guard bit, the top bit, of each level set.
	guards levelKey = 0x8080808080
)

// level returns a logarithmic level that grows by two whenever the amount doubles.
func level(amount int64) levelKey {
	if amount <= 0 {
		return 0
	}
	n := bits.Len64(uint64(amount))
	if n == 1 {
		return 2
	}
	half := amount >> (n - 2) & 1
	return levelKey(2*n) + levelKey(half)
}

// levelsOf returns the levels of a vector's amounts.
func levelsOf(v resource.Vector) levelKey {
	var k levelKey
	for d, amount := range v {
		k |= level(amount) << (levelBits * d)
	}
	return k
}

// covers reports whether every level of k is at least that of want.
func (k levelKey) covers(want levelKey) bool { return ((k|guards)-want)&guards == guards }

// bucket holds the upstreams of a failure domain whose free capacity has equal levels.
type bucket struct {
	key     levelKey
	pos     int
	members []*upstream
}

// index finds the upstreams of one failure domain by their free capacity.
type index struct {
	buckets []*bucket
	byKey   map[levelKey]*bucket
	size    int
}

// newIndex returns an empty index.
func newIndex() index { return index{byKey: make(map[levelKey]*bucket)} }

// put adds an upstream to the bucket of its free capacity, or moves it there.
func (x *index) put(u *upstream) {
	key := levelsOf(u.free())
	if u.bucket != nil {
		if u.bucket.key == key {
			return
		}
		x.remove(u)
	}
	b := x.byKey[key]
	if b == nil {
		b = &bucket{key: key, pos: len(x.buckets)}
		x.buckets = append(x.buckets, b)
		x.byKey[key] = b
	}
	u.bucket, u.bucketPos = b, len(b.members)
	b.members = append(b.members, u)
	x.size++
}

// remove removes an upstream from the index, and its bucket if that is then empty.
func (x *index) remove(u *upstream) {
	b := u.bucket
	if b == nil {
		return
	}
	last := len(b.members) - 1
	b.members[u.bucketPos] = b.members[last]
	b.members[u.bucketPos].bucketPos = u.bucketPos
	b.members[last] = nil
	b.members = b.members[:last]
	u.bucket = nil
	x.size--
	if last > 0 {
		return
	}
	end := len(x.buckets) - 1
	x.buckets[b.pos] = x.buckets[end]
	x.buckets[b.pos].pos = b.pos
	x.buckets = x.buckets[:end]
	delete(x.byKey, b.key)
}
