package control

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/bulrushwinch/bulrushwinch/state"
)

// manyUpstreams is a leader with many upstreams whose polls the benchmark sends.
type manyUpstreams struct {
	*leader
	names    []string
	sequence uint64
}

func newManyUpstreams(b *testing.B, upstreams int, slots int64) *manyUpstreams {
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	c := &manyUpstreams{leader: newLeader(ctx, b)}
	c.ctl.cfg.Terms.Duration = time.Hour
	c.do(func() {
		for i := range upstreams {
			name := fmt.Sprintf("worker-%05d", i)
			c.names = append(c.names, name)
			c.ctl.propose(&peerv1.Command{Command: &peerv1.Command_Announce{Announce: &peerv1.Announce{KeySha256: hashOf("upstream"),
				Request: &apiv1.AnnounceRequest{Upstream: name, Incarnation: 1, FailureDomain: "d1", Rack: fmt.Sprint("rack-", i/8), Vm: "vm-" + name,
					Capacity: &apiv1.Resources{MilliCores: 64_000, MemoryBytes: 256 << 30, Slots: slots, Connections: 64}}}}}, nil)
		}
	})
	c.do(func() {})
	return c
}

// round sends one poll of every upstream, which lists its tasks in the given state, and
// waits for all answers. Polls without updates are answered at once instead of being held.
// It returns the time that the control goroutine needed.
func (c *manyUpstreams) round(st apiv1.ReportState) time.Duration {
	c.sequence++
	answered := make(chan struct{}, len(c.names))
	var spent time.Duration
	c.do(func() {
		var requests []*apiv1.PollRequest
		for _, name := range c.names {
			requests = append(requests, c.request(name, st))
		}
		began := time.Now()
		for _, req := range requests {
			c.ctl.handlePoll(req, func(*apiv1.PollResponse, error) { answered <- struct{}{} })
		}
		spent = time.Since(began)
	})
	began := time.Now()
	c.do(func() {
		for _, name := range c.names {
			if s := c.ctl.sessions[name]; s.poll != nil {
				c.ctl.answerPoll(s)
			}
		}
	})
	for range c.names {
		<-answered
	}
	return spent + time.Since(began)
}

// request returns the next poll of an upstream, which lists its tasks in the given state.
func (c *manyUpstreams) request(name string, st apiv1.ReportState) *apiv1.PollRequest {
	req := &apiv1.PollRequest{Upstream: name, Incarnation: 1, Sequence: c.sequence}
	for ref, t := range c.ctl.state.Upstream(name).Tasks {
		if t.State != lifecycle.TaskPlaced || st != succeeded {
			req.Tasks = append(req.Tasks, reportOf(ref.Proto(), st))
		}
	}
	return req
}

// fill submits a job with the given number of tasks and waits until all are placed.
func (c *manyUpstreams) fill(tasks int) *state.Job {
	j := c.submit(fmt.Sprint("job-", c.sequence), batch, int32(tasks), true)
	for placed := 0; placed < tasks; time.Sleep(time.Millisecond) {
		c.do(func() {
			placed = 0
			for i := range j.Tasks {
				if j.Tasks[i].State != lifecycle.TaskWaiting {
					placed++
				}
			}
		})
	}
	return j
}

// BenchmarkPoll reports the leader's time for one poll without updates, for several numbers of
// upstreams and tasks.
func BenchmarkPoll(b *testing.B) {
	for _, upstreams := range []int{48, 1000, 17_000} {
		for _, tasks := range []int64{0, 1} {
			b.Run(fmt.Sprintf("upstreams=%d/tasks=%d", upstreams, tasks), func(b *testing.B) {
				c := newManyUpstreams(b, upstreams, 16)
				if tasks > 0 {
					for range 1 + upstreams/20_000 {
						c.fill(min(upstreams*int(tasks), 20_000))
					}
				}
				c.round(running)
				var spent time.Duration
				for b.Loop() {
					spent += c.round(running)
				}
				b.ReportMetric(float64(spent.Nanoseconds())/float64(b.N*upstreams), "ns/poll")
			})
		}
	}
}

// BenchmarkStart reports the time from submission to the answer of one task, over a job
// that fills every slot: placed, sent, reported as running and as ended.
func BenchmarkStart(b *testing.B) {
	for _, upstreams := range []int{48, 1000} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			const slots = 10
			c := newManyUpstreams(b, upstreams, slots)
			for b.Loop() {
				c.fill(upstreams * slots)
				c.round(running)
				c.round(succeeded)
				c.do(func() {})
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*upstreams*slots), "ns/start")
		})
	}
}

// BenchmarkTick reports the time of one tick when nothing is due.
func BenchmarkTick(b *testing.B) {
	for _, upstreams := range []int{48, 17_000} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			c := newManyUpstreams(b, upstreams, 16)
			c.do(func() {
				for b.Loop() {
					c.ctl.Tick()
				}
			})
		})
	}
}

// BenchmarkLead reports how long a new leader takes to begin, and the longest time in which
// its control goroutine does nothing else, such as sending heartbeats.
func BenchmarkLead(b *testing.B) {
	c := newManyUpstreams(b, 17_000, 17)
	for range 14 {
		c.sequence++
		c.fill(20_000)
	}
	var longest time.Duration
	for b.Loop() {
		for leading, began := false, time.Now(); !leading; began = time.Now() {
			c.do(func() {
				if c.ctl.leading {
					term := c.ctl.term
					c.ctl.Follow(raft.Member{})
					c.ctl.Lead(term + 1)
				}
			})
			c.do(func() { leading = c.ctl.leading })
			longest = max(longest, time.Since(began))
		}
	}
	b.ReportMetric(float64(longest.Microseconds())/1000, "longest-pause-ms")
	leading := heapInUse()
	c.do(func() { c.ctl.Follow(raft.Member{}) })
	following := heapInUse()
	b.ReportMetric(float64(leading-following)/1e6, "leader-heap-MB")
	b.ReportMetric(float64(following)/1e6, "follower-heap-MB")
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
