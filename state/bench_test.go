package state

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/resource"
)

// newLargeHarness returns a harness with the given numbers of upstreams and placed tasks, in
// jobs of two tasks. A fifth of the tasks belong to services, the others to batch jobs.
func newLargeHarness(b *testing.B, upstreams, tasks int) *harness {
	h := newHarness(b)
	slots := int64(tasks/upstreams + 1)
	for i := range upstreams {
		h.announceAs(&apiv1.AnnounceRequest{Upstream: fmt.Sprintf("worker-%05d", i), Incarnation: 1, FailureDomain: "d1",
			Rack: fmt.Sprintf("rack-%04d", i/8), Vm: fmt.Sprintf("vm-%05d", i),
			Capacity: &apiv1.Resources{MilliCores: 64000, MemoryBytes: 256 << 30, Slots: slots, Connections: slots}})
	}
	reserved := resource.Vector{2000, 4 << 30, 0, 1, 1}
	for placed := 0; placed < tasks; {
		req := request(fmt.Sprintf("request-%07d", placed), batchPolicy, 2, true)
		if placed%10 < 2 {
			req = request(fmt.Sprintf("service-%07d", placed), servicePolicy, 2, true)
		}
		req.Queue = "shared"
		req.Job.Class, req.Job.Tasks[0].Payload = "label-batch", []byte("payload of about forty bytes, as a key is")
		req.Job.Tasks[0].Resources = &apiv1.Resources{MilliCores: 2000, MemoryBytes: 4 << 30}
		h.s.teams["a"].MaxWaiting = int64(tasks)
		j := h.submit(req)
		for i := range j.Tasks {
			name := fmt.Sprintf("worker-%05d", placed%upstreams)
			p := &peerv1.Placement{JobId: uint64(j.ID), Task: int32(i), Attempt: 1, Upstream: name, Incarnation: 1, Reserved: reserved.Proto()}
			p.Reserved.MilliCores, p.Reserved.MemoryBytes = 1, 1
			if reason := h.place(p); reason != "" {
				b.Fatal(reason)
			}
			placed++
		}
	}
	return h
}

var benchmarkSizes = []struct{ upstreams, tasks int }{{48, 48 * 8}, {17_000, 280_000}}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkHeap reports the live heap of a restored state, as in a replica.
func BenchmarkHeap(b *testing.B) {
	for _, size := range benchmarkSizes {
		b.Run(fmt.Sprintf("upstreams=%d/tasks=%d", size.upstreams, size.tasks), func(b *testing.B) {
			data := newLargeHarness(b, size.upstreams, size.tasks).s.Snapshot()
			for b.Loop() {
				before := heapInUse()
				s := New(Settings{})
				if err := s.Restore(bytes.NewReader(data)); err != nil {
					b.Fatal(err)
				}
				used := heapInUse() - before
				b.ReportMetric(float64(used)/1e6, "heap-MB")
				b.ReportMetric(float64(used)/float64(size.tasks), "B/task")
				runtime.KeepAlive(s)
			}
		})
	}
}

// BenchmarkSnapshot reports the time for which Capture blocks Apply, the time to encode the
// capture in the background and the longest Apply of one command meanwhile.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range benchmarkSizes {
		b.Run(fmt.Sprintf("upstreams=%d/tasks=%d", size.upstreams, size.tasks), func(b *testing.B) {
			h := newLargeHarness(b, size.upstreams, size.tasks)
			var pause, total, encode, longest time.Duration
			var counter countingWriter
			for b.Loop() {
				began := time.Now()
				write := h.s.Capture()
				pause, total = max(pause, time.Since(began)), total+time.Since(began)
				done := make(chan struct{})
				go func() {
					defer close(done)
					_ = write(&counter)
				}()
				longest = max(longest, applyUntil(h, done))
				encode += time.Since(began)
			}
			b.ReportMetric(float64(total.Microseconds())/1000/float64(b.N), "mean-pause-ms")
			b.ReportMetric(float64(pause.Microseconds())/1000, "max-pause-ms")
			b.ReportMetric(float64(longest.Microseconds())/1000, "longest-apply-ms")
			b.ReportMetric(float64(encode.Milliseconds())/float64(b.N), "encode-ms")
			b.ReportMetric(float64(counter)/float64(b.N)/1e6, "size-MB")
		})
	}
}

type countingWriter int

func (c *countingWriter) Write(p []byte) (int, error) {
	*c += countingWriter(len(p))
	return len(p), nil
}

// applyUntil applies Stop commands to tasks until done is closed, and returns the longest time
// of one Apply.
func applyUntil(h *harness, done chan struct{}) time.Duration {
	var longest time.Duration
	id := JobID(1)
	for {
		select {
		case <-done:
			return longest
		default:
		}
		j := h.s.Job(1 + id%JobID(h.s.jobs.count))
		id += 97
		cmd := &peerv1.Command{Command: &peerv1.Command_Stop{Stop: &peerv1.Stop{Tasks: []*apiv1.TaskRef{j.Tasks[0].Ref().Proto()}}}}
		began := time.Now()
		h.apply(cmd)
		longest = max(longest, time.Since(began))
		time.Sleep(50 * time.Microsecond)
	}
}

// BenchmarkEncodeAtOnce measures the alternative to Capture: encoding the whole state between
// two entries, while Apply waits.
func BenchmarkEncodeAtOnce(b *testing.B) {
	h := newLargeHarness(b, 17_000, 280_000)
	for b.Loop() {
		_ = h.s.Snapshot()
	}
}

// BenchmarkRestore measures the time to restore a snapshot.
func BenchmarkRestore(b *testing.B) {
	data := newLargeHarness(b, 17_000, 280_000).s.Snapshot()
	for b.Loop() {
		if err := New(Settings{}).Restore(bytes.NewReader(data)); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkLifecycle measures the commands of one task, from its submission to its answer.
func BenchmarkLifecycle(b *testing.B) {
	h := newHarness(b)
	for i := 0; b.Loop(); i++ {
		task := h.run(h.batch(fmt.Sprint(i)))
		h.report(task, succeeded)
	}
}
