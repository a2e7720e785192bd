package faults

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/resource"
	"github.com/pkg/errors"
)

// history is what was observed from outside of the cell in one run.
type history struct {
	mu           sync.Mutex
	began        time.Time
	vms          map[string]resource.Vector
	limits       map[string]resource.Vector
	runs         []run
	submissions  []submission
	outages      []outage
	departures   []departure
	abortedCalls []abortedCall
	drainedCalls int // calls that were open when their entry began to drain
	changes      []change
	reads        []configRead
	views        []viewSeen
	unfinished   []string // descriptions of what has not ended in time
	// failuresExpected is set when a worker fails every task, so that failed jobs are no breach.
	failuresExpected bool
}

// newHistory returns an empty history that begins now.
func newHistory() *history {
	return &history{began: time.Now(), vms: make(map[string]resource.Vector), limits: make(map[string]resource.Vector)}
}

// span is a time interval; to is zero while it lasts.
type span struct{ from, to time.Time }

// run is one execution of an attempt. It is at work during its spans; between them its VM was
// paused.
type run struct {
	job      uint64
	index    int32
	attempt  uint32
	upstream string
	vm       string
	domain   string
	work     work
	reserved resource.Vector
	spans    []span
	// leaseHeld reports whether the attempt's lease is still valid; a task asks before each effect.
	leaseHeld func() bool
}

// submission is one request of a caller, with all its resends.
type submission struct {
	request    string
	key        string
	keyTeam    string
	queueTeam  string
	repeatable bool
	payloads   [][]byte
	// cancelled is set if the caller cancels the request or may do so.
	cancelled bool
	// withdrawn is when the withdrawal of the key was acknowledged, if that was before the send.
	withdrawn  time.Time
	sent, done time.Time
	outcome    *apiv1.Outcome
	job        uint64
	end        *apiv1.JobView
}

// outage is the time in which a failure domain was out.
type outage struct {
	domain string
	span
}

// departure is the time from an upstream's request to leave until it came back, if ever.
type departure struct {
	upstream string
	span
}

// abortedCall is a call that was open on an entry when it began to drain, and got no answer.
type abortedCall struct{ entry, method, reason string }

// change is one operation on the configuration, with all its resends.
type change struct {
	client     int
	operation  string
	base       uint64
	team       string
	share      int64
	sent, done time.Time
	applied    bool
	revision   uint64
}

// configRead is one answer to a status call.
type configRead struct {
	client     int
	sent, done time.Time
	revision   uint64
	shares     map[string]int64
}

// viewSeen is the revision in force at a ready process at one time.
type viewSeen struct {
	process  string
	revision uint64
	at       time.Time
}

// addVM records the capacity of a VM.
func (h *history) addVM(name string, capacity resource.Vector) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.vms[name] = capacity
}

// beginRun records the start of a run and returns its index for endRun.
func (h *history) beginRun(r run) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.spans = []span{{from: time.Now()}}
	h.runs = append(h.runs, r)
	return len(h.runs) - 1
}

// endRun records the end of the run with index i.
func (h *history) endRun(i int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	endSpan(&h.runs[i])
}

// endSpan ends the run's current span, if it has one.
func endSpan(r *run) {
	last := len(r.spans) - 1
	if last < 0 || !r.spans[last].to.IsZero() {
		return
	}
	r.spans[last].to = time.Now()
}

// pause ends the spans of an upstream's runs and returns a function that begins new spans for
// those that still hold their lease; the others have no further effect.
func (h *history) pause(upstream string) (resume func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var paused []int
	for i := range h.runs {
		r := &h.runs[i]
		if r.upstream == upstream && r.spans[len(r.spans)-1].to.IsZero() {
			endSpan(r)
			paused = append(paused, i)
		}
	}
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, i := range paused {
			if h.runs[i].leaseHeld() {
				h.runs[i].spans = append(h.runs[i].spans, span{from: time.Now()})
			}
		}
	}
}

// recordDrained records how a call ended that was open when its entry began to drain. The call
// is aborted if it ended without an answer; "unavailable, resend" is an answer.
func (h *history) recordDrained(entry, method string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drainedCalls++
	unanswered := errors.Is(err, errReset) || errors.Is(err, context.Canceled) || connect.CodeOf(err) == connect.CodeCanceled
	if err != nil && unanswered {
		h.abortedCalls = append(h.abortedCalls, abortedCall{entry, method, err.Error()})
	}
}

// add appends v to one of the history's lists under its lock.
func add[T any](h *history, list *[]T, v T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*list = append(*list, v)
}

// finish ends all open spans and sorts the submissions by the time they were sent.
func (h *history) finish() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.runs {
		endSpan(&h.runs[i])
	}
	for i := range h.outages {
		closeSpan(&h.outages[i].span)
	}
	for i := range h.departures {
		closeSpan(&h.departures[i].span)
	}
	slices.SortFunc(h.submissions, func(a, b submission) int { return a.sent.Compare(b.sent) })
}

// closeSpan ends a span now if it is still open.
func closeSpan(s *span) {
	if s.to.IsZero() {
		s.to = time.Now()
	}
}

// at formats a time as seconds since the run began.
func (h *history) at(t time.Time) string {
	return fmt.Sprintf("%.3fs", t.Sub(h.began).Seconds())
}
