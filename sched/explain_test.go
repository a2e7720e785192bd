package sched

import (
	"strings"
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
	"github.com/sebdah/goldie/v2"
)

// TestExplain compares complete explanations with golden files, one per cause.
func TestExplain(t *testing.T) {
	cases := map[string]func(h *harness) JobID{
		"placed": func(h *harness) JobID {
			h.PutDomain(Domain{Name: "f", Out: true})
			h.put("w9", "f", "r0", vmSize, true)
			h.add(Job{}, 1, small)
			h.decide(0)
			return h.add(Job{Class: "labels"}, 2, half)
		},
		"service": func(h *harness) JobID { return h.add(Job{Policy: Service, Class: "watch"}, 2, small) },
		"full": func(h *harness) JobID {
			h.add(Job{Team: "b", Policy: Service, Class: "s"}, 3, full)
			h.decide(0)
			h.pause(h.upstreams["w0"])
			h.add(Job{}, 1, full)
			return h.add(Job{}, 1, full)
		},
		"limit": func(h *harness) JobID {
			limit := unlimited
			limit[resource.Slots] = 4
			h.PutTeam(Team{Name: "a", Share: 1, Limit: limit})
			return h.add(Job{}, 6, small)
		},
		"backoff": func(h *harness) JobID {
			id := h.add(Job{Repeatable: true}, 1, small)
			p := h.decide(0).Placements[0]
			h.AttemptEnded(AttemptEnd{Ref: p.Task, Upstream: p.Upstream, Kind: Failed})
			h.SetTask(TaskStatus{Ref: TaskRef{id, 0, 2}, NotBefore: h.now.Add(5 * time.Second)})
			return id
		},
		"gang": func(h *harness) JobID {
			h.add(Job{Team: "b", ExpectedRunTime: 20 * time.Second}, 3, full)
			h.decide(0)
			return h.add(Job{Policy: Gang}, 4, half)
		},
		"never": func(h *harness) JobID { return h.add(Job{Urgent: true}, 1, vec(100, 1, 1)) },
		"gone":  func(h *harness) JobID { return 99 },
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2, "d", "e")
			id := prepare(h)
			h.decide(500 * time.Millisecond)
			h.now = h.now.Add(2 * time.Second)
			text := strings.Join(h.Explain(id, h.now), "\n") + "\n"
			goldie.New(t).Assert(t, name, []byte(text))
		})
	}
}
