package control

import (
	"testing"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"google.golang.org/protobuf/proto"
)

// A follower confirms an upstream only if its log has exactly the reported description. A leader
// never does, since it has to process the heartbeat.
func TestFollowerKnowsUnchangedUpstreams(t *testing.T) {
	inBubble(t, func(l *leader) {
		reported := &pipelinev1.Upstream{Id: "i-1", Born: 1, Service: "print", Address: "10.0.0.1:80", FailureDomain: "d1",
			Capacity: &pipelinev1.Resources{MilliCores: 1000}}
		committed := make(chan error, 1)
		l.do(func() {
			l.ctl.Propose(&pipelinev1.Command{Command: &pipelinev1.Command_UpstreamSeen{UpstreamSeen: &pipelinev1.UpstreamSeen{Upstream: reported}}},
				func(_ *pipeline.Result, err error) { committed <- err })
		})
		if err := <-committed; err != nil {
			t.Fatal(err)
		}
		if l.ctl.KnowsUpstream(l.ctx, reported) {
			t.Error("the leader confirmed an upstream without processing its heartbeat")
		}
		l.do(func() { l.ctl.leading = false })
		if !l.ctl.KnowsUpstream(l.ctx, reported) {
			t.Error("a follower does not know an unchanged upstream")
		}
		for name, change := range map[string]func(*pipelinev1.Upstream){
			"draining": func(u *pipelinev1.Upstream) { u.Draining = true },
			"reborn":   func(u *pipelinev1.Upstream) { u.Born = 2 },
			"unknown":  func(u *pipelinev1.Upstream) { u.Id = "i-2" },
		} {
			other := proto.Clone(reported).(*pipelinev1.Upstream)
			change(other)
			if l.ctl.KnowsUpstream(l.ctx, other) {
				t.Errorf("a follower confirmed an upstream that is %s", name)
			}
		}
	})
}
