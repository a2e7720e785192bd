package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
)

const (
	// maxNamed is the number of upstreams that the platform takes in one question.
	maxNamed = 100
	// maxExplored bounds the upstreams of a question that only finds out which ones may run a
	// gang: the users' cells of 48 are known after one such question of 0.7 s.
	maxExplored = 50
	// reserveAfter is how long a gang waits before upstreams are reserved for it; most find room
	// within a second. reserveTime is about a large task's run time, reservePause gives the
	// others their turn.
	reserveAfter = 2 * time.Second
	reserveTime  = 5 * time.Second
	reservePause = 2 * time.Second
	// maxReserved is the share of a service's cores that a reservation may take.
	maxReserved = 0.34
	// holdMargin is added to the time of a question for its way to the caller and back, and for
	// one that the caller has still to finish.
	holdMargin = 300 * time.Millisecond
)

// gangQuestion returns the upstreams that a gang has to ask about. All members need valid
// tickets at the same time, and a large gang needs more upstreams than one question finds. As
// the answers never change, the gang first learns which upstreams may run it, and asks for tickets
// once those that may have room for all members. Where no permits are needed, it only reserves.
func (r *round) gangQuestion(d demand) []*session {
	var allowed, unknown []gangChoice
	roomNow, roomEver := 0, 0
	for id, s := range r.e.sessions {
		c := gangChoice{s, r.capacity(d.work.step, s, len(d.tasks)), ever(d.work.step, s)}
		if d.work.denied[id] || c.ever == 0 || !r.suitsGang(d, s) {
			continue
		}
		if p, known := d.work.permits[id]; d.queue.GetPermits() == nil || known && p.born == s.u.GetBorn() {
			allowed = append(allowed, c)
			roomNow, roomEver = roomNow+c.now, roomEver+c.ever
			continue
		}
		unknown = append(unknown, c)
	}
	home := r.home(d.work)
	allowed = onRack(allowed, home, len(d.tasks), func(c gangChoice) int { return c.now })
	unknown = onRack(unknown, home, len(d.tasks), func(c gangChoice) int { return c.ever })
	if roomNow >= len(d.tasks) {
		return r.hold(d, enoughFor(allowed, len(d.tasks)))
	}
	if roomEver >= len(d.tasks) {
		r.reserve(d, allowed)
		// What is known would do once it is free: only more room that is free now helps.
		unknown = slices.DeleteFunc(unknown, func(c gangChoice) bool { return c.now == 0 })
	}
	slices.SortFunc(unknown, mostRoom)
	return sessionsOf(unknown[:min(len(unknown), maxExplored)])
}

// reserve lets some upstreams run empty for a gang that has waited for long: one gang of a service
// at a time, on at most maxReserved of its cores, for a bounded time. Small steps would take
// each core as soon as it is free.
func (r *round) reserve(d demand, allowed []gangChoice) {
	service := d.queue.GetService()
	if r.now-d.work.readyAt < reserveAfter || r.now < r.e.reserveAgain {
		return
	}
	slices.SortFunc(allowed, mostRoom)
	var list []*session
	room, cores := 0, int64(0)
	for _, c := range allowed {
		if room >= len(d.tasks) {
			break
		}
		list = append(list, c.s)
		room, cores = room+c.ever, cores+c.s.u.Capacity.MilliCores
	}
	if room < len(d.tasks) || float64(cores) > maxReserved*float64(r.totalCores[service]) {
		return
	}
	for _, s := range list {
		s.heldFor, s.heldUntil = d.work.step, r.now+reserveTime
	}
	r.e.reserveAgain = r.now + reserveTime + reservePause
	gangsReserved.Add(1)
	r.e.log.Info().Str("request", d.work.step.Job().Spec.GetId()).Int32("step", d.work.step.Index).Int("members", len(d.tasks)).
		Int("upstreams", len(list)).Int64("cores", cores).Dur("waits", r.now-d.work.readyAt).Msg("upstreams are reserved for a gang")
}

// hold keeps other steps away from the upstreams that a gang has room on, until its tickets have
// come: small steps would take some of the room in the meantime, time after time.
func (r *round) hold(d demand, list []*session) []*session {
	cost := time.Duration(costMS(d.queue.GetPermits(), len(list)) * float64(time.Millisecond))
	for _, s := range list {
		s.heldFor, s.heldUntil = d.work.step, r.now+cost+holdMargin
	}
	return list
}

// held reports whether an upstream is kept for another step.
func (s *session) held(st *pipeline.Step, now time.Duration) bool {
	return s.heldFor != nil && s.heldFor != st && now < s.heldUntil
}

// gangChoice is an upstream with the members that it has room for now and when it is empty.
type gangChoice struct {
	s         *session
	now, ever int
}

func mostRoom(a, b gangChoice) int {
	return cmp.Or(cmp.Compare(b.now, a.now), cmp.Compare(b.ever, a.ever), cmp.Compare(a.s.u.GetId(), b.s.u.GetId()))
}

// ever counts the members that an upstream has room for once all that ends by itself has ended.
func ever(st *pipeline.Step, s *session) int {
	room := s.u.Capacity
	for _, run := range s.u.Runs {
		if run.Task.Step.Spec.GetLasting() {
			room = room.Minus(run.Task.Step.Need)
		}
	}
	return room.Count(st.Need, len(st.Tasks))
}

// suitsGang reports whether an upstream may take members when it has room.
func (r *round) suitsGang(d demand, s *session) bool {
	if !r.suits(d.work.step, s) {
		return false
	}
	why := r.e.state.CheckUpstream(d.work.step, s.u)
	return why == "" || why == pipeline.PlaceNoRoom
}

// enoughFor returns the upstreams with most room that together take all members, and one more in
// case that one of them is taken meanwhile.
func enoughFor(list []gangChoice, members int) []*session {
	slices.SortFunc(list, mostRoom)
	n, room := 0, 0
	for n < len(list) && n < maxNamed && room < members {
		room += list[n].now
		n++
	}
	return sessionsOf(list[:min(n+1, len(list), maxNamed)])
}

func sessionsOf(list []gangChoice) []*session {
	out := make([]*session, len(list))
	for i, c := range list {
		out[i] = c.s
	}
	return out
}
