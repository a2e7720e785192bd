package ingress

import "time"

// stallStep is the unit in which times without progress are compared: within it, the size decides, so that a small
// request that waits for its next packet outlives large ones that keep coming.
const stallStep = time.Second

// holding is what one unfinished request holds.
type holding struct {
	priority Priority
	// stalled is the time without progress, bytes the memory held.
	stalled time.Duration
	bytes   int64
}

// worse reports whether a is to be refused before b: a lower priority first, then a longer time without progress,
// then a larger size.
func worse(a, b holding) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	if x, y := a.stalled/stallStep, b.stalled/stallStep; x != y {
		return x > y
	}
	return a.bytes > b.bytes
}

// victim returns the index of the request to refuse first, or -1 if there is none.
func victim(list []holding) int {
	found := -1
	for i, h := range list {
		if h.bytes > 0 && (found < 0 || worse(h, list[found])) {
			found = i
		}
	}
	return found
}
