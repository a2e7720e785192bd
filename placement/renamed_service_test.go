package placement

import (
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"google.golang.org/protobuf/proto"
)

// What a service is known to complete, and what is admitted for it, are those of its queues: under another name of the service
// they are the same. They began anew, and jobs were refused as too late on half of the real throughput.
func TestThroughputOutlivesARenamedService(t *testing.T) {
	const cores = 10
	f, flow := newFixture(t, 1), NewFlow(0)
	u := f.addUpstream("u", cores*1000)
	job := f.submit("batch", 0, &pipelinev1.Step{Count: 1, Need: &pipelinev1.Resources{MilliCores: 1000}, EstimateMs: 1000})
	run := &pipeline.Run{Task: job.Occurrences[0].Steps[0].Tasks[0], Upstream: u.Upstream}
	for range 20 {
		f.cell.Now += time.Second
		for range cores - 1 {
			flow.RunDone(run, f.cell.State.JobQueue(job), f.cell.Learner, f.cell.Now)
			flow.Admitted(job.Spec, f.cell.State.JobQueue(job), f.cell.Learner, f.cell.Now)
		}
	}
	known := func(service string) (throughput, admitted float64) {
		s := f.cell.Summarize(flow).service(service)
		return s.throughput(), s.class(2).admitted
	}
	throughput, admitted := known("print")
	next := proto.CloneOf(f.cell.State.Config().Config)
	next.Version, next.StableIdentities, next.Services[0].Name = 2, true, "press"
	for _, q := range next.Queues {
		q.Service = "press"
	}
	f.apply(&pipelinev1.Command{Command: &pipelinev1.Command_PutConfig{PutConfig: next}})
	again := proto.CloneOf(u.Upstream.Upstream)
	again.Service = "press"
	f.apply(&pipelinev1.Command{Command: &pipelinev1.Command_UpstreamSeen{UpstreamSeen: &pipelinev1.UpstreamSeen{Upstream: again}}})
	if x, y := known("press"); x != throughput || y != admitted || throughput < 0.8*cores*1000 {
		t.Errorf("%.0f core-ms a second are completed and %.0f admitted; before %.0f and %.0f", x, y, throughput, admitted)
	}
}
