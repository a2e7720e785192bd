package dispatch

import (
	"testing"
	"time"
)

func TestRoundTripTimeout(t *testing.T) {
	var r roundTrip
	if got := r.timeout(); got != orderTimeout {
		t.Errorf("%v before the first answer", got)
	}
	for range 50 {
		r.add(4 * time.Millisecond)
	}
	if got := r.timeout(); got != timeoutMin {
		t.Errorf("%v after answers within 4 ms", got)
	}
	r.expired()
	r.expired()
	if got := r.timeout(); got != 4*timeoutMin {
		t.Errorf("%v after two calls without an answer", got)
	}
	for range 10 {
		r.expired()
	}
	if got := r.timeout(); got != orderTimeout {
		t.Errorf("%v after twelve calls without an answer", got)
	}
	for i := range 100 {
		r.add(time.Duration(50+100*(i%2)) * time.Millisecond)
	}
	if got := r.timeout(); got < 150*time.Millisecond || got > orderTimeout {
		t.Errorf("%v after answers within 50 and 150 ms", got)
	}
}

// An unanswered order is resolved quickly, so that its task runs elsewhere.
func TestLostOrderIsNoticedSoon(t *testing.T) {
	h := newHarness(t, "w1", "w2")
	h.submit(jobID(1), oneStep(8, 500))
	h.run(3 * time.Second)
	h.upstreams["w1"].startDelay, h.upstreams["w2"].startDelay = 3*time.Second, 3*time.Second
	h.submit(jobID(2), oneStep(1, 500))
	h.run(tickStep)
	h.upstreams["w1"].startDelay, h.upstreams["w2"].startDelay = 0, 0
	h.run(4 * tickStep)
	running := len(h.upstreams["w1"].running) + len(h.upstreams["w2"].running)
	if running != 1 {
		t.Errorf("%d runs 200 ms after an order was lost", running)
	}
	h.run(5 * time.Second)
	h.check()
}
