package control

import (
	"testing"

	"github.com/bulrushwinch/bulrushwinch/lifecycle"
)

// Copies of polls that were sent under the leader before reach a new leader ahead of the upstream's
// next poll. They say nothing about starts that were sent in answers to later polls.
func TestLatePollsAtANewLeader(t *testing.T) {
	cases := map[string]struct {
		listed, cancelled bool
		want              lifecycle.TaskState
	}{
		"of a running task":                    {true, false, lifecycle.TaskRunning},
		"of a running task that is cancelled":  {true, true, lifecycle.TaskStopping},
		"of a start not listed yet, cancelled": {false, true, lifecycle.TaskStopping},
		"of a start not listed, not cancelled": {false, false, lifecycle.TaskPlaced},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(l *leader) {
				u := l.newUpstream("u1")
				u.poll()
				u.poll()
				task := &l.submit("job", batch, 1, true).Tasks[0]
				ref := task.Ref().Proto()
				u.want(u.poll(), "start ")
				if c.listed {
					u.list(reportOf(ref, running)).poll()
				}
				l.changeLeader()
				if c.cancelled {
					l.cancel("job")
				}
				u.list()
				for _, sequence := range []uint64{1, 2, 3} {
					u.send(sequence)
					l.expect(task, c.want, noOutcome, 1)
				}
				kinds := ""
				if c.cancelled {
					kinds = "stop "
				}
				u.want(u.list(reportOf(ref, running)).poll(), kinds)
			})
		})
	}
}
