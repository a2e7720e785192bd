package pipeline

import (
	"strings"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// Route is what selects a queue: the host of a call, and a prefix of its path. A configuration has at most one
// queue at a route. The queue at the same route of the next configuration is the same queue; its name is a label,
// which may change and may be given to another queue. A Route is the host, in small letters, and the prefix in one string; the
// prefix begins with the first slash.
type Route string

// RouteOf returns the route of a queue; nil has an empty one.
func RouteOf(q *pipelinev1.Queue) Route { return Route(hostOf(q.GetHost()) + q.GetPathPrefix()) }

// hostOf returns the form of a host in which hosts are compared: their letters mean the same in either case.
func hostOf(host string) string { return strings.ToLower(host) }

// Route returns the route of the queue that accepted the job.
func (j *Job) Route() Route {
	if j.route == "" {
		return RouteOf(j.AcceptedQueue)
	}
	return j.route
}

// JobQueue returns the settings of a job's queue: those of the active configuration's queue at the route where the job
// was accepted, or if there is none, those at the time when the job was accepted.
func (s *State) JobQueue(j *Job) *pipelinev1.Queue { return j.queue }

// bindQueue looks up the queue of a job in the active configuration.
func (s *State) bindQueue(j *Job) {
	if !s.config.stableIdentities() {
		j.queue = s.queueByName(j)
		return
	}
	if j.queue = s.config.QueueAt(j.Route()); j.queue == nil {
		j.queue = j.AcceptedQueue
	}
}
