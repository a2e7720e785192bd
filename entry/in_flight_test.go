package entry

import "testing"

// A flood of submissions leaves room for reads and cancellations, in calls and in bytes; each call that ends makes room
// again, and a large one is admitted if it is alone.
func TestInFlightRefusesSubmissionsFirst(t *testing.T) {
	for name, c := range map[string]struct {
		bytes              int64
		submissions, reads int
	}{"calls": {1, 70, 22}, "bytes": {100, 7, 2}} {
		f := NewInFlight(100, 1000)
		var ends []func()
		take := func(submission bool) (n int) {
			for {
				end, ok := f.Acquire(submission, c.bytes)
				if !ok {
					return n
				}
				n, ends = n+1, append(ends, end)
			}
		}
		if n := take(true); n != c.submissions {
			t.Errorf("%s: %d submissions were admitted, want %d", name, n, c.submissions)
		}
		if n := take(false); n != c.reads {
			t.Errorf("%s: %d reads were admitted beside them, want %d", name, n, c.reads)
		}
		for _, end := range ends {
			end()
		}
		if _, ok := f.Acquire(true, 100_000); !ok {
			t.Errorf("%s: a large submission was refused although it is alone", name)
		}
	}
}
