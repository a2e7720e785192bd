package entry

import "sync/atomic"

// Bounds of the callers' calls that one process in push mode forwards at once. An entry's link carries 2 Mbit/s, so
// that 256 KiB take a second of the three for which a caller waits; a call holds some tens of kilobytes of memory.
// Under usual load an entry has one or two calls of one or two kilobytes in flight.
const (
	MaxCallsInFlight = 256
	MaxBytesInFlight = 512 << 10
)

// InFlight bounds the callers' calls that a process forwards, and their bytes. Submissions are refused first, reads
// and cancellations last. It is safe for concurrent use.
type InFlight struct {
	calls    callLimiter
	bytes    atomic.Int64
	maxBytes int64
}

// NewInFlight returns an InFlight with bounds on calls and on their bytes.
func NewInFlight(maxCalls int, maxBytes int64) *InFlight {
	return &InFlight{calls: callLimiter{maxCalls: int64(maxCalls)}, maxBytes: maxBytes}
}

// Acquire admits a call of some bytes, or refuses it and returns false; release must be called at the end of an
// admitted call. A call that is alone is admitted whatever its size.
func (f *InFlight) Acquire(submission bool, bytes int64) (release func(), ok bool) {
	c := classCaller
	if submission {
		c = classBatch
	}
	if !f.calls.acquire(c) {
		shedCalls.Add(className[c], 1)
		return nil, false
	}
	if total := f.bytes.Add(bytes); total > bytes && total*100 > f.maxBytes*admitPercent[c] {
		f.bytes.Add(-bytes)
		f.calls.release(c)
		shedCalls.Add(className[c], 1)
		return nil, false
	}
	return func() {
		f.bytes.Add(-bytes)
		f.calls.release(c)
	}, true
}
