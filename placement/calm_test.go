package placement

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

const (
	// calmTime is how long steps wait in a calm cell.
	calmTime = 10 * time.Second
	// overdueUse is the largest share of the cell that runs use which exceed their declared time.
	overdueUse = 0.2
)

// calmQueues are queues without permits, with cheap and with costly ones.
func calmQueues() []*pipelinev1.Queue {
	return []*pipelinev1.Queue{
		replayQueue("open", 1, 3, 2.2, 2500, nil),
		replayQueue("cheap", 0, 3, 1.5, 250, permitTerms(24, 0.34, 2500)),
		replayQueue("costly", 2, 3, 2.2, 1200, permitTerms(430, 6.1, 2000)),
	}
}

// newCalmCell returns a cell of which a part is used by runs that exceed their declared time.
func newCalmCell(tb testing.TB, seed uint64) *replay {
	sizes := []int{6, 12, 48, 300}
	cores := make([]int64, sizes[seed%4])
	for i := range cores {
		cores[i] = []int64{64000, 64000, 32000, 128000}[(i*7)%4]
	}
	allowed := []float64{0.1, 0.35, 0.7, 1}[seed/4%4]
	classes := []class{{queue: "open", allowed: 1}, {queue: "costly", allowed: allowed},
		{queue: "cheap", allowed: allowed, perSecond: float64(seed / 16 % 3), steps: 1, tasks: 3, seconds: 0.5, milliCores: 2000, memoryMiB: 100, off: 0.5}}
	r := newReplay(tb, seed, calmQueues(), classes, deployment{cores: cores, callers: 8 + len(cores)/10, teams: 2, limit: []float64{6, 2, 1.2}[seed/48%3], skew: 0})
	for i, u := range r.cell.Upstreams {
		u.Upstream.Upstream.Rack = fmt.Sprintf("r%d", i/8)
		if i%5 == 0 {
			u.Upstream.Upstream.Labels = []string{"rare"}
		}
	}
	used, total := int64(0), int64(0)
	for _, c := range cores {
		total += c
	}
	for _, u := range r.cell.Upstreams {
		if need := u.Capacity.MilliCores * int64(1+r.rng.IntN(3)) / 4; r.rng.IntN(3) == 0 && float64(used+need) < overdueUse*float64(total) {
			st := tasks(1, need, 1+r.rng.Int64N(5000))
			st.Checkpointing = r.rng.IntN(2) == 0
			r.place(r.await("open", 1, calmTime+5*time.Second, st), 0, u.GetId())
			used += need
		}
	}
	return r
}

// await hands in a job of one step whose tasks run for some time.
func (r *replay) await(queue string, team int, length time.Duration, spec *pipelinev1.Step) *pipeline.Job {
	j := r.submit(queue, team, spec)
	st := j.Occurrences[0].Steps[0]
	for _, t := range st.Tasks {
		if r.left[t] = length; spec.GetLasting() {
			r.left[t] = time.Hour
		}
	}
	if !spec.GetLasting() {
		r.jobs[j.Spec.GetId()] = &replayedJob{class: queue, team: team}
	}
	r.cell.Steps[st] = NewWork(st, 0)
	return j
}

// drawStep draws a step that takes a part of what is free, up to a half, on as many upstreams as may run it.
func (r *replay) drawStep(queue string) *pipelinev1.Step {
	st := tasks(1, 1000*(1+r.rng.Int64N(30)), []int64{20, 500, 4800, 60_000}[r.rng.IntN(4)])
	st.Gang = r.rng.IntN(2) == 0
	st.Lasting = !st.Gang && r.rng.IntN(3) == 0
	st.Checkpointing = r.rng.IntN(2) == 0
	st.CoLocated = r.rng.IntN(4) == 0
	if r.rng.IntN(3) == 0 {
		st.MaxPerUpstream = 1 + r.rng.Int32N(2)
	}
	if r.rng.IntN(4) == 0 {
		st.DataRack = "r0"
	}
	if r.rng.IntN(5) == 0 {
		st.Constraint = "rare"
	}
	fit := 0
	for _, u := range r.cell.Upstreams {
		if !u.HasLabel(st.Constraint) {
			continue
		}
		n := u.Free().FitCount(pipeline.ResourcesFromProto(st.Need), 100)
		if st.MaxPerUpstream > 0 {
			n = min(n, int(st.MaxPerUpstream))
		}
		fit += n
	}
	most := float64(fit) * r.allowedShare(queue) / 2
	st.Count = int32(min(200, max(1, most*r.rng.Float64())))
	return st
}

// awaitRunsThatDoNotEnd hands in a gang that could start only where runs end that exceed their declared time.
func (r *replay) awaitRunsThatDoNotEnd(queue string) {
	st := tasks(0, 8000, 500)
	st.Gang = true
	if r.rng.IntN(2) == 0 {
		st.Constraint = "rare"
	}
	idle := 0
	for _, u := range r.cell.Upstreams {
		if u.HasLabel(st.Constraint) {
			idle += u.Capacity.FitCount(pipeline.ResourcesFromProto(st.Need), 100)
		}
	}
	st.Count = int32(min(200, max(1, float64(idle)*r.allowedShare(queue)*0.9)))
	r.await(queue, r.rng.IntN(2), time.Second, st)
}

// allowedShare returns the share of the upstreams that may run a queue's steps.
func (r *replay) allowedShare(queue string) float64 {
	at := slices.IndexFunc(r.classes, func(c class) bool { return c.queue == queue })
	return r.classes[at].allowed
}

// drawTickets draws what a step knows of the permit service's answers: nothing, or some tickets of any age. Some
// upstreams are avoided for a while.
func (r *replay) drawTickets(w *Work) {
	q := r.cell.State.JobQueue(w.Step.Job())
	for _, u := range r.cell.Upstreams {
		if r.rng.IntN(10) == 0 {
			w.Avoided[u.GetId()] = time.Second
		}
	}
	known := r.rng.IntN(4)
	if q.GetPermits() == nil || known == 0 {
		return
	}
	for _, u := range r.cell.Upstreams {
		switch {
		case r.rng.IntN(4) >= known:
		case r.allows(w.Step, u.GetId()):
			w.Permits[u.GetId()] = Permit{Ticket: "ticket", Born: 1, Expires: time.Duration(r.rng.Int64N(int64(3*time.Second))) - time.Second}
		default:
			w.Denied[u.GetId()] = true
		}
	}
}

// Nothing holds a step back for good in a calm cell that has room for it: whatever its size, its tickets' ages, the
// reservations and the runs beside it, it starts within startBound of when it could.
func TestStepStartsInACalmCell(t *testing.T) {
	const seeds = 400
	var wg sync.WaitGroup
	slots := make(chan struct{}, 8)
	for seed := range uint64(seeds) {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			r := newCalmCell(t, seed)
			if r.rng.IntN(2) == 0 {
				r.awaitRunsThatDoNotEnd(r.queues[r.rng.IntN(3)].GetName())
			}
			steps := 1 + r.rng.IntN(8)
			for range steps {
				queue := r.queues[r.rng.IntN(3)].GetName()
				j := r.await(queue, r.rng.IntN(2), time.Duration(1+r.rng.IntN(6))*time.Second, r.drawStep(queue))
				r.drawTickets(r.cell.Steps[j.Occurrences[0].Steps[0]])
			}
			w := watchStarts(r)
			r.run(calmTime)
			for st, waits := range w.late {
				t.Errorf("seed %d: step of queue %s, %d of %d tasks of %v, %v, waited for %v although it could run; %d upstreams, %d steps", seed, st.Job().Spec.GetQueue(),
					st.Undone, len(st.Tasks), st.Need, st.Spec, waits, len(r.cell.Upstreams), steps)
			}
		})
	}
	wg.Wait()
}
