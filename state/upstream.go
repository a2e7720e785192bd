package state

import (
	"maps"
	"slices"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lifecycle"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/resource"
)

// announce registers an incarnation of an upstream. A newer incarnation proves that the tasks
// of the older one no longer run.
func (s *State) announce(c *peerv1.Announce) *apiv1.Outcome {
	req := c.GetRequest()
	if refusal := s.checkAnnounce(c); refusal != nil {
		return refusal
	}
	u := s.upstreams[req.GetUpstream()]
	if u != nil && req.GetIncarnation() < u.Incarnation {
		return notRun(apiv1.Reason_REASON_STALE_INCARNATION, "incarnation %d is older than %d", req.GetIncarnation(), u.Incarnation)
	}
	if u != nil && req.GetIncarnation() == u.Incarnation && u.State == lifecycle.UpstreamLost {
		return notRun(apiv1.Reason_REASON_STALE_INCARNATION, "incarnation %d was declared lost; announce a higher one", u.Incarnation)
	}
	if u == nil {
		u = &Upstream{Name: req.GetUpstream(), State: lifecycle.UpstreamActive, Tasks: make(map[TaskRef]*Task)}
		s.addUpstream(u)
	}
	if req.GetIncarnation() > u.Incarnation {
		s.loseTasks(u, c.GetNeverStarted())
		u.Incarnation = req.GetIncarnation()
		u.State = lifecycle.UpstreamActive
	}
	s.setUpstreamDescription(u, req)
	s.observer.UpstreamChanged(u)
	return accepted
}

// Replaces reports whether an announcement, if it were applied now, would replace the incarnation
// of an upstream that is active.
func (s *State) Replaces(c *peerv1.Announce) bool {
	u := s.upstreams[c.GetRequest().GetUpstream()]
	return u != nil && u.State == lifecycle.UpstreamActive && c.GetRequest().GetIncarnation() > u.Incarnation && s.checkAnnounce(c) == nil
}

func (s *State) addUpstream(u *Upstream) {
	s.upstreams[u.Name] = u
	s.upstreamList = append(s.upstreamList, u)
}

// setUpstreamDescription stores what an upstream announced, and makes it the owner of its VM.
func (s *State) setUpstreamDescription(u *Upstream, req *apiv1.AnnounceRequest) {
	if s.vmOwner[u.VM] == u.Name {
		delete(s.vmOwner, u.VM)
	}
	u.Domain, u.Rack, u.VM = req.GetFailureDomain(), req.GetRack(), req.GetVm()
	u.Capacity = resource.FromProto(req.GetCapacity())
	u.LostNS = 0
	u.announced = req
	s.vmOwner[u.VM] = u.Name
}

func (s *State) checkAnnounce(c *peerv1.Announce) *apiv1.Outcome {
	req := c.GetRequest()
	if refusal := s.AuthorizeUpstream(c.KeySha256); refusal != nil {
		return refusal
	}
	capacity := resource.FromProto(req.GetCapacity())
	switch {
	case !ValidName(req.GetUpstream()) || !ValidName(req.GetVm()) || !ValidName(req.GetRack()):
		return notRun(apiv1.Reason_REASON_BAD_REQUEST, "upstream, rack and VM need names of 1 to %d printable characters", maxNameBytes)
	case req.GetIncarnation() == 0:
		return notRun(apiv1.Reason_REASON_BAD_REQUEST, "incarnation must be positive")
	case s.domains[req.GetFailureDomain()] == nil:
		return notRun(apiv1.Reason_REASON_BAD_REQUEST, "failure domain %q does not exist", req.GetFailureDomain())
	case capacity.HasNegative() || !capacity.Fits(maxCapacity):
		return notRun(apiv1.Reason_REASON_BAD_REQUEST, "capacity is out of range")
	}
	u := s.upstreams[req.GetUpstream()]
	switch {
	case u == nil || u.State == lifecycle.UpstreamLost:
	case u.VM != req.GetVm():
		return notRun(apiv1.Reason_REASON_IN_USE, "upstream %q is on VM %q until its lease ends", u.Name, u.VM)
	case u.Incarnation == req.GetIncarnation() && u.Domain != req.GetFailureDomain():
		return notRun(apiv1.Reason_REASON_BAD_REQUEST, "incarnation %d can't move to another failure domain", u.Incarnation)
	}
	owner := s.vmOwner[req.GetVm()]
	if o := s.upstreams[owner]; owner != req.GetUpstream() && o != nil && (o.State != lifecycle.UpstreamLost) {
		return notRun(apiv1.Reason_REASON_IN_USE, "VM %q is served by upstream %q", req.GetVm(), owner)
	}
	return nil
}

// maxCapacity limits each announced amount.
var maxCapacity = resource.Vector{maxAmount, maxAmount, maxAmount, maxAmount, maxAmount}

// upstreamLost declares an incarnation lost. The leader proposes it once the lease of the
// incarnation has certainly ended.
func (s *State) upstreamLost(c *peerv1.UpstreamLost) bool {
	u := s.upstreams[c.GetUpstream()]
	if u == nil || u.Incarnation != c.GetIncarnation() || u.State == lifecycle.UpstreamLost {
		return false
	}
	s.fireUpstream(u, lifecycle.UpstreamExpire)
	u.LostNS = s.nowNS
	s.loseTasks(u, c.GetNeverStarted())
	s.observer.UpstreamChanged(u)
	return true
}

// loseTasks requeues the tasks of an incarnation that was lost or replaced. A task that may have
// run and may not be repeated ends undetermined. According to the
// leader, the attempts in neverStarted were never sent to the upstream.
func (s *State) loseTasks(u *Upstream, neverStarted []*apiv1.TaskRef) {
	never := make(map[TaskRef]bool, len(neverStarted))
	for _, r := range neverStarted {
		never[RefFromProto(r)] = true
	}
	for _, ref := range sortedRefs(u.Tasks) {
		if t := u.Tasks[ref]; t != nil {
			s.loseTask(t, never[ref] && !t.Started)
		}
	}
}

// loseTask requeues a task whose upstream no longer has it, or ends it as undetermined if it
// may have run and may not be repeated.
func (s *State) loseTask(t *Task, neverStarted bool) {
	if neverStarted || t.Job.Spec.GetRepeatable() {
		s.release(t, lifecycle.TaskRequeue)
		return
	}
	s.finishLive(t, undetermined(apiv1.Reason_REASON_UPSTREAM_LOST,
		"upstream %q was lost; the task may have run and may not be repeated", t.Upstream.Name))
}

func sortedRefs(tasks map[TaskRef]*Task) []TaskRef {
	return slices.SortedFunc(maps.Keys(tasks), CompareRefs)
}

// CompareRefs orders references by job and then by task index; it ignores the attempt. The
// result is negative, zero or positive, as slices.SortFunc expects.
func CompareRefs(a, b TaskRef) int {
	if a.Job != b.Job {
		if a.Job < b.Job {
			return -1
		}
		return 1
	}
	return int(a.Index) - int(b.Index)
}

// leaving marks an upstream that asked for no new tasks.
func (s *State) leaving(c *peerv1.Leaving) bool {
	u := s.upstreams[c.GetUpstream()]
	if u == nil || u.Incarnation != c.GetIncarnation() || u.State != lifecycle.UpstreamActive {
		return false
	}
	s.fireUpstream(u, lifecycle.UpstreamLeave)
	s.observer.UpstreamChanged(u)
	return true
}

// fireUpstream applies a trigger to an upstream's state machine. It panics if the state doesn't
// permit it.
func (s *State) fireUpstream(u *Upstream, trigger lifecycle.UpstreamTrigger) {
	if err := lifecycle.Upstream.Fire(&u.State, trigger); err != nil {
		panic("state: upstream: " + err.Error())
	}
}
