package pipeline

import (
	"fmt"
	"runtime"
	"testing"
	"weak"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// TestEndedRunIsReleased expects a run that has ended not to stay in memory with its task, which is remembered for
// minutes after the job's end.
func TestEndedRunIsReleased(t *testing.T) {
	h := newHarness(t)
	h.submit("j", step(1, 1))
	r := run("j", 0, 0, 1, "w1")
	h.mustPlace(r)
	task := h.Task(TaskKey{Job: "j"})
	released := weak.Make(task.Live[0])
	h.end(r, done, 1)
	runtime.GC()
	if released.Value() != nil {
		t.Error("the run is still in memory")
	}
	if task.LastRun != 1 || !task.Done {
		t.Errorf("the task is %+v", task)
	}
}

// BenchmarkEndedTasks measures the heap that the tasks of ended jobs take until they are swept: 500 jobs of 30 tasks,
// each of which ran once.
func BenchmarkEndedTasks(b *testing.B) {
	const jobs, tasks = 500, 30
	for b.Loop() {
		h := &harness{State: New(), now: 1}
		h.put(h.config(1))
		h.apply(&pipelinev1.Command{Command: &pipelinev1.Command_UpstreamSeen{UpstreamSeen: &pipelinev1.UpstreamSeen{Upstream: h.upstream("w1", 10)}}})
		before := heapAlloc()
		for j := range jobs {
			id := fmt.Sprintf("%016x", j)
			h.submit(id, step(tasks, 1))
			for i := range int32(tasks) {
				r := run(id, 0, i, 1, "w1")
				h.place(r)
				h.end(r, done, int64(j*tasks)+int64(i)+1)
			}
		}
		b.ReportMetric(float64(heapAlloc()-before)/(jobs*tasks), "B/task")
		runtime.KeepAlive(h)
	}
}

// heapAlloc returns the bytes of heap that are in use after a collection.
func heapAlloc() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
