package wal_test

import (
	"fmt"
	"testing"
	"time"
)

// longestFull bounds the time for which disks are full.
const longestFull = 6 * time.Second

// TestAcknowledgedEntriesOutliveFullDisks fills the disks of some machines, or of all, for a while, between and during
// kills, losses of power and exchanges. No process may end for it, no folder may be damaged, and the group must
// continue on the same folders; a last loss of disks and power comes right after an acknowledgement.
func TestAcknowledgedEntriesOutliveFullDisks(t *testing.T) {
	for _, size := range []int{5, 9} {
		for i := range *seedCount {
			seed := *firstSeed + uint64(i)
			t.Run(fmt.Sprintf("%d replicas, seed %d", size, seed), func(t *testing.T) {
				runDay(t, seed, size, size/4, func(d *day) {
					for range blows {
						d.fillDisks()
						time.Sleep(d.gap())
					}
					d.awaitFreeDisks()
					time.Sleep(d.gap())
					d.final(d.pick)
				})
			})
		}
	}
}

// fillDisks fills the disks of some machines or of all, mostly strikes the group meanwhile, and then frees space.
func (d *day) fillDisks() {
	full := d.shuffled()
	if n := d.random.IntN(2 * len(full)); n < len(full) {
		full = full[:n+1]
	}
	d.logf("disks are full: %s", addresses(full))
	for _, m := range full {
		m.disk.SetFull(true)
	}
	time.Sleep(time.Duration(d.random.Int64N(int64(longestFull))))
	if d.random.IntN(4) > 0 {
		d.blow()
		time.Sleep(time.Duration(d.random.Int64N(int64(longestFull))))
	}
	for _, m := range full {
		m.disk.SetFull(false)
		time.Sleep(time.Duration(d.random.Int64N(int64(time.Second))))
	}
	d.logf("disks have space again")
}
