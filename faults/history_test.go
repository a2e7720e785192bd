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

// history is what the outside of the cell saw in one run.
type history struct {
	mu      sync.Mutex
	began   time.Time
	vms     map[string]resource.Vector
	limits  map[string]resource.Vector
	runs    []run
	submits []submission
	outs    []outage
	leaves  []leave
	cuts    []cutCall
	served  int
	changes []change
	reads   []configRead
	views   []viewSeen
	unended []string
	// failing is set when a worker fails all it starts, so that failed work is rightly told.
	failing bool
}

func newHistory() *history {
	return &history{began: time.Now(), vms: make(map[string]resource.Vector), limits: make(map[string]resource.Vector)}
}

// span is a stretch of time; to is zero while it lasts.
type span struct{ from, to time.Time }

// run is one execution of an attempt. It is at work during its spans, the time
// between them being that of a paused VM.
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
	// leaseHeld is what the task asks before each effect.
	leaseHeld func() bool
}

// submission is one request of a caller over all its sends.
type submission struct {
	request    string
	key        string
	keyTeam    string
	queueTeam  string
	repeatable bool
	payloads   [][]byte
	// cancelled is set when the caller cancelled it or may have.
	cancelled bool
	// withdrawn is when the operator had the answer to the withdrawal of the key, if ever.
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

// leave is the time from an upstream's wish to leave until it came back, if ever.
type leave struct {
	upstream string
	span
}

// cutCall is a call that was open on an entry when it began to drain, and failed.
type cutCall struct{ entry, method, why string }

// change is one operation on the configuration, over all its sends.
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

// viewSeen is the revision in force at a process that is ready.
type viewSeen struct {
	process  string
	revision uint64
	at       time.Time
}

func (h *history) addVM(name string, capacity resource.Vector) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.vms[name] = capacity
}

func (h *history) begin(r run) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.spans = []span{{from: time.Now()}}
	h.runs = append(h.runs, r)
	return len(h.runs) - 1
}

func (h *history) end(i int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	endSpan(&h.runs[i])
}

// endSpan ends the run's current span.
func endSpan(r *run) {
	last := len(r.spans) - 1
	if last < 0 || !r.spans[last].to.IsZero() {
		return
	}
	r.spans[last].to = time.Now()
}

// pause ends the spans of an upstream's runs and returns a function that resumes those
// that still hold their lease; the others have no more effect.
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

// drained notes how a call ended that was open when its entry began to drain. A call
// is cut if it ended without an answer; "unavailable, resend" is an answer.
func (h *history) drained(entry, method string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.served++
	unanswered := errors.Is(err, errReset) || errors.Is(err, context.Canceled) || connect.CodeOf(err) == connect.CodeCanceled
	if err != nil && unanswered {
		h.cuts = append(h.cuts, cutCall{entry, method, err.Error()})
	}
}

// add appends to one of the history's lists.
func add[T any](h *history, list *[]T, v T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*list = append(*list, v)
}

// finish ends what is still open, so that every span has an end.
func (h *history) finish() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.runs {
		endSpan(&h.runs[i])
	}
	for i := range h.outs {
		closeSpan(&h.outs[i].span)
	}
	for i := range h.leaves {
		closeSpan(&h.leaves[i].span)
	}
	slices.SortFunc(h.submits, func(a, b submission) int { return a.sent.Compare(b.sent) })
}

func closeSpan(s *span) {
	if s.to.IsZero() {
		s.to = time.Now()
	}
}

// at writes a time as seconds since the run began.
func (h *history) at(t time.Time) string {
	return fmt.Sprintf("%.3fs", t.Sub(h.began).Seconds())
}
