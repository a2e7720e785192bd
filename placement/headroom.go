package placement

const (
	// headroom is the share of a service's cores that work with time to spare leaves free for
	// urgent queues. A burst of small jobs takes about an eighth of the cell at once.
	headroom = 0.12
	// triageHeadroom is the same under overload for work that can resume: urgent work may take its place, and what is
	// kept free costs other work its use.
	triageHeadroom = 0.06
	// teamHeadroom is the share of a team's limit that its own work with time to spare leaves
	// free for the team's urgent queues. Small jobs are a fifth of the work, and two fifths in
	// bursts.
	teamHeadroom = 0.25
	// heldBackFrom is the share of the limit that must be in use for the team's work to be held back. A gang
	// that needs much of the limit would otherwise wait until it is almost unused.
	heldBackFrom = 0.5
	// spareSlack is the slack, as a share of the remaining time, from which work can wait.
	spareSlack = 0.25
	// gangSpareSlack is the same for gangs, which take longer to find capacity.
	gangSpareSlack = 1.0
)

// mustLeaveHeadroom reports whether a demand that has time to spare must wait, so that capacity
// stays free for urgent work. A gang is considered as a whole.
func (r *round) mustLeaveHeadroom(d demand) bool {
	if d.queue.GetPriority() == urgentPriority || d.work.Step.Spec.GetLasting() {
		return false
	}
	spare := spareSlack
	if d.work.Step.Spec.GetGang() {
		spare = gangSpareSlack
	}
	if !d.urgency.canWait(spare) {
		return false
	}
	if r.mustLeaveTeamHeadroom(d) {
		return true
	}
	p := r.poolFor(d)
	left := p.freeCores - int64(d.atOnce())*d.work.Step.Need.MilliCores
	wanted := r.wantedHeadroom(d, p)
	return left < wanted && (!r.lessUrgentExists(d) || left+r.yieldingCores(p) < wanted)
}

// wantedHeadroom returns the cores, in thousandths, that a demand leaves free for urgent queues.
func (r *round) wantedHeadroom(d demand, p *pool) int64 {
	spec := d.work.Step.Spec
	if d.triaged && spec.GetCheckpointing() && !spec.GetGang() {
		return int64(triageHeadroom * float64(p.totalCores))
	}
	return int64(headroom * float64(p.totalCores))
}

// mustLeaveTeamHeadroom reports whether a demand would take what its team's urgent queues may need
// within the team's limit. What needs more than the rest of the limit at once is not held back: it would
// never start.
func (r *round) mustLeaveTeamHeadroom(d demand) bool {
	if r.usesLittle(d) {
		return false
	}
	limit := r.teamLimit(d).Share(1 - teamHeadroom)
	return d.work.Step.Need.Times(int64(d.atOnce())).WithinLimit(limit) && !r.teamUse(d, d.atOnce()).WithinLimit(limit)
}

// lessUrgentExists reports whether some queue of the demand's service is less urgent than the demand,
// so that urgent work would not have to preempt the demand's.
func (r *round) lessUrgentExists(d demand) bool {
	if r.leastUrgent == nil {
		r.leastUrgent = make(map[string]int32)
		for _, q := range r.State.Config().GetQueues() {
			r.leastUrgent[q.GetService()] = max(r.leastUrgent[q.GetService()], q.GetPriority())
		}
	}
	return d.queue.GetPriority() < r.leastUrgent[d.queue.GetService()]
}

// yieldingCores returns the cores of a service's upstreams, in thousandths, that urgent queues may
// take from other work. It is computed once in a round.
func (r *round) yieldingCores(p *pool) int64 {
	if !p.knowsYielding {
		p.knowsYielding = true
		for _, u := range p.usable {
			p.yielding += r.freeAfterPreemption(u, urgentPriority).Minus(u.free).MilliCores
		}
	}
	return p.yielding
}
