package dispatch

import (
	"fmt"
	"testing"
	"time"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// BenchmarkDecide measures a scheduling round at the size of a large deployment: 350 upstreams,
// 250 running steps, and 40 steps that wait for capacity.
func BenchmarkDecide(b *testing.B) {
	h := benchHarness(b)
	b.ReportAllocs()
	for b.Loop() {
		h.engine.decide(h.now)
	}
}

// BenchmarkDecideBacklog is BenchmarkDecide with 400 more steps that wait for capacity.
func BenchmarkDecideBacklog(b *testing.B) {
	h := benchHarness(b)
	for i := range 400 {
		h.submit(jobID(1000+i), oneStep(8, 800))
		if i%10 == 0 {
			h.run(tickStep)
		}
	}
	h.run(time.Second)
	b.ReportAllocs()
	for b.Loop() {
		h.engine.decide(h.now)
	}
}

// benchHarness returns a harness with the load of BenchmarkDecide.
func benchHarness(b *testing.B) *harness {
	var names []string
	for i := range 350 {
		names = append(names, fmt.Sprintf("i-%03d", i))
	}
	h := newHarness(b, names...)
	for _, f := range h.upstreams {
		f.runTime = time.Hour
	}
	c := withPermits(h, 20, 0.3)
	for i := range 40 {
		caller := &fakeCaller{h: h, process: fmt.Sprint("entry-", i), answerTime: tickStep, denied: c.denied}
		for k, id := range names {
			caller.denied[id] = k%3 == 0
		}
		caller.poll(nil)
	}
	for i := range 290 {
		step, next := oneStep(5, 800), oneStep(5, 800)
		next.DependsOn = []int32{0}
		h.submitSpec(jobID(i), &pipelinev1.JobSpec{Steps: []*pipelinev1.Step{step, next}})
		if i%10 == 0 {
			h.run(tickStep)
		}
	}
	h.run(time.Second)
	return h
}
