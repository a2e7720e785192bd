package control

import (
	"testing"

	"github.com/bulrushwinch/bulrushwinch/lifecycle"
)

// Copies of polls that were sent under the leader before reach a new leader ahead of the upstream's
// next poll. They say nothing about starts that were sent in answers to later polls.
func TestLatePollsAtANewLeader(t *testing.T) {
	const never = -1
	cases := map[string]struct {
		listed       bool
		cancelBefore int // index of the late poll before which the job is cancelled
	}{
		"of a running task":                              {true, never},
		"of a running task that is cancelled":            {true, 0},
		"of a start not listed yet":                      {false, never},
		"of a start not listed yet, cancelled":           {false, 0},
		"of a start not listed yet, cancelled meanwhile": {false, 1},
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
				u.list()
				want, kinds := lifecycle.TaskPlaced, ""
				if c.listed {
					want = lifecycle.TaskRunning
				}
				for i, sequence := range []uint64{1, 2, 3} {
					if i == c.cancelBefore {
						l.cancel("job")
						want, kinds = lifecycle.TaskStopping, "stop "
					}
					u.send(sequence)
					l.expect(task, want, noOutcome, 1)
				}
				u.want(u.list(reportOf(ref, running)).poll(), kinds)
			})
		})
	}
}
