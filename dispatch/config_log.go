package dispatch

import (
	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// maxChangesLogged bounds the lines about single queues and teams of one configuration.
const maxChangesLogged = 32

// teamChange is a change of the team that jobs belong to.
type teamChange struct{ from, to string }

// logConfig logs how the active configuration differs from the one before: how many queues were added and removed, and
// one line for each queue with another name and for each team whose jobs go to another.
func (e *Engine) logConfig(before *pipeline.Config) {
	now := e.state.Config()
	added, removed, lines := 0, 0, 0
	var renamed []*pipelinev1.Queue
	for _, q := range now.GetQueues() {
		switch old := before.QueueAt(pipeline.RouteOf(q)); {
		case old == nil:
			added++
		case old.GetName() != q.GetName():
			renamed = append(renamed, q)
		}
	}
	if before != nil {
		for _, q := range before.GetQueues() {
			if now.QueueAt(pipeline.RouteOf(q)) == nil {
				removed++
			}
		}
	}
	e.log.Info().Uint64("version", now.GetVersion()).Int("queues", len(now.GetQueues())).Int("added", added).Int("removed", removed).
		Int("renamed", len(renamed)).Int("teams_changed", len(e.given)).Msg("configuration in force")
	for _, q := range renamed {
		if lines++; lines > maxChangesLogged {
			break
		}
		r := pipeline.RouteOf(q)
		e.log.Info().Str("route", string(r)).Str("from", before.QueueAt(r).GetName()).Str("queue", q.GetName()).Msg("queue has another name")
	}
	for change, jobs := range e.given {
		if lines++; lines > maxChangesLogged {
			break
		}
		e.log.Info().Str("from", change.from).Str("team", change.to).Int("jobs", jobs).Msg("jobs go to another team")
	}
	clear(e.given)
}
