package placement

import (
	"sync"
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
)

// startBound is how long a step may wait while it could run with room to spare.
const startBound = 3 * time.Second

// startWatch finds the steps of jobs without a run that could run, with room to spare, and don't start.
type startWatch struct {
	*replay
	since map[*pipeline.Step]time.Duration
	late  map[*pipeline.Step]time.Duration
}

func watchStarts(r *replay) *startWatch {
	w := &startWatch{r, make(map[*pipeline.Step]time.Duration), make(map[*pipeline.Step]time.Duration)}
	r.watch = w.look
	return w
}

func (w *startWatch) look(now time.Duration) {
	for st := range w.since {
		if w.cell.Steps[st] == nil {
			delete(w.since, st)
		}
	}
	for st := range w.cell.Steps {
		if !w.couldStart(st) {
			delete(w.since, st)
			continue
		}
		if _, known := w.since[st]; !known {
			w.since[st] = now
		}
		if waits := now - w.since[st]; waits >= startBound {
			w.late[st] = max(w.late[st], waits)
		}
	}
}

// couldStart reports whether nothing of a job runs although there is capacity for a step of it twice over on
// upstreams that may run it, under half of its team's limit and under half of the cell are in use, and the team's limit
// allows the whole step.
func (w *startWatch) couldStart(st *pipeline.Step) bool {
	job := st.Job()
	if len(job.LiveRuns()) > 0 || st.Undone < len(st.Tasks) {
		return false
	}
	limit := pipeline.ResourcesFromProto(w.cell.State.Config().Team(job.Team).GetLimit())
	used := w.cell.State.Used(job.Team)
	if !used.Times(2).WithinLimit(limit) || !used.Plus(st.Need.Times(int64(len(st.Tasks)))).WithinLimit(limit) {
		return false
	}
	var free, total int64
	fitting := 0
	for _, u := range w.cell.Upstreams {
		free, total = free+u.Free().MilliCores, total+u.Capacity.MilliCores
		if u.Usable && w.allows(st, u.GetId()) && u.HasLabel(st.Spec.GetConstraint()) {
			n := u.Free().FitCount(st.Need, len(st.Tasks))
			if most := st.Spec.GetMaxPerUpstream(); most > 0 {
				n = min(n, int(most))
			}
			fitting += n
		}
	}
	return 2*free > total && fitting >= 2*len(st.Tasks)
}

// In a cell that is not full, whose large jobs are all gangs, each step starts soon after it could: jobs come for
// ten seconds, and the cell then empties.
func TestStepWaitsInAHalfFreeCell(t *testing.T) {
	const seeds, load = 12, 0.8
	var wg sync.WaitGroup
	for seed := range uint64(seeds) {
		wg.Go(func() {
			r := lomosGrown(t, seed, load)
			r.classes[1].gangs = 1
			w := watchStarts(r)
			r.run(10 * time.Second)
			for st, waits := range w.late {
				t.Errorf("seed %d: step %d of job %s, %d tasks of %v each, gang: %v, waited for %v although it could run", seed, st.Index, st.Job().Spec.GetId(),
					len(st.Tasks), st.Need, st.Spec.GetGang(), waits)
			}
		})
	}
	wg.Wait()
}
