package placement

import (
	"testing"
	"time"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"google.golang.org/protobuf/proto"
)

// A gang that needs most of its team's limit starts while the team uses little of it, however much time its job
// has to spare. While the team uses most of its limit, work with time to spare leaves headroom.
func TestGangWaitsForHeadroomOfAFreeLimit(t *testing.T) {
	for _, c := range []struct {
		name          string
		used, members int32
		age           time.Duration
		starts        bool
	}{
		{"in time", 1, 3, 0, true},
		{"late", 1, 3, 30 * time.Second, true},
		{"too late", 1, 3, time.Minute, true},
		{"in time, most is used", 3, 1, 0, false},
		{"too late, most is used", 3, 1, time.Minute, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := gangFixture(t)
			config := proto.CloneOf(f.cell.State.Config().Config)
			config.Version, config.Teams[0].Limit = 3, &pipelinev1.Resources{MilliCores: 40_000}
			f.apply(&pipelinev1.Command{Command: &pipelinev1.Command_PutConfig{PutConfig: config}})
			used := f.submit("batch", 0, tasks(c.used, 8000, 60_000))
			for i := range c.used {
				f.place(used, i, f.cell.Upstreams[i].GetId())
			}
			st := tasks(c.members, 8000, 6000)
			st.Gang = true
			w := NewWork(f.submit("seal", 0, st).Occurrences[0].Steps[0], f.cell.Now)
			f.cell.Steps[w.Step] = w.withTickets("u3", "u4", "u5")
			f.cell.WallNS += int64(c.age)
			if starts := len(Decide(f.cell).Runs) == int(c.members); starts != c.starts {
				t.Errorf("the gang starts: %v; expected %v", starts, c.starts)
			}
		})
	}
}
