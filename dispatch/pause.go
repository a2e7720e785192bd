package dispatch

import "time"

const (
	// roundPause and crowdedPause are the pauses between two rounds as multiples of the length of a
	// round. Small jobs wait for rounds, and have a fraction of a second to spare; calls and commits
	// need the processor that is left.
	roundPause   = 2
	crowdedPause = 5
	// crowdedDelay is how long an answer waits for the control goroutine, as a multiple of the length of
	// a round, from which on calls and commits are short of the processor. An answer that arrives during
	// a round waits for as long as the round at most.
	crowdedDelay = 2
)

// pauseAfter returns the pause after a round that took some time, if answers waited for the control goroutine
// for some time at most since the round before.
func pauseAfter(took, longestDelay time.Duration) time.Duration {
	if longestDelay > crowdedDelay*took {
		return crowdedPause * took
	}
	return roundPause * took
}
