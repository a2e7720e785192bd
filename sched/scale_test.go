package sched

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

// scaleCase is the size of a cell with running tasks for benchmarks.
type scaleCase struct {
	upstreams, teams, domains, tasks int
	// backlog is the number of tasks that can't be placed and stay queued.
	backlog int
}

const (
	// scaleRack is the number of upstreams per rack.
	scaleRack = 8
	// roundLimit bounds the placements of a round.
	roundLimit = 256
)

// scaled is a running cell for benchmarks, with the time spent in Decide.
type scaled struct {
	*harness
	rng     *rand.Rand
	running []Placement
	// spent is the total time in Decide, rounds the time of each call, and placed the
	// number of placements that the calls proposed.
	spent  time.Duration
	rounds []time.Duration
	placed int
}

// scaleVM is the capacity of each VM.
var scaleVM = resource.Vector{64_000, 256 * gibibyte, 0, 24, 64}

// newScaled returns a cell of the given size with its tasks placed and its backlog queued.
func newScaled(b *testing.B, sc scaleCase) *scaled {
	h := &harness{Cell: NewCell(DefaultSettings), t: b, now: start, status: make(map[TaskRef]TaskStatus)}
	h.SetTime(start)
	s := &scaled{harness: h, rng: rand.New(rand.NewPCG(1, 1))}
	for i := range sc.teams {
		h.PutTeam(Team{Name: fmt.Sprint("t", i), Share: int64(1 + i%5), Limit: unlimited})
	}
	for i := range sc.domains {
		h.PutDomain(Domain{Name: fmt.Sprint("d", i)})
	}
	for i := range sc.upstreams {
		h.put(fmt.Sprint("w", i), fmt.Sprint("d", i*sc.domains/sc.upstreams), fmt.Sprint("r", i/scaleRack), scaleVM, true)
	}
	for s.live() < sc.tasks {
		s.submit(sc, min(4096, sc.tasks-s.live()))
		s.round(4096)
	}
	for range sc.backlog {
		s.add(Job{Team: fmt.Sprint("t", s.rng.IntN(sc.teams)), Class: "large", Repeatable: true}, 1, vec(60, 250, 1))
	}
	s.round(4096)
	s.spent, s.rounds, s.placed = 0, nil, 0
	return s
}

// live returns the number of running tasks.
func (s *scaled) live() int { return len(s.running) }

// submit adds jobs with n tasks in all; a fifth of the jobs are services.
func (s *scaled) submit(sc scaleCase, n int) {
	for n > 0 {
		k := min(n, 1+s.rng.IntN(8))
		n -= k
		j := Job{Team: fmt.Sprint("t", s.rng.IntN(sc.teams)), Class: fmt.Sprint("c", s.rng.IntN(4)), Repeatable: true, ExpectedRunTime: time.Minute}
		if s.rng.IntN(5) == 0 {
			j.Policy = Service
		}
		s.add(j, k, resource.Vector{int64(500 + 500*s.rng.IntN(8)), int64(1+s.rng.IntN(16)) * gibibyte, 0, 1, 1})
	}
}

// round decides and carries out the placements; only the decision is timed.
func (s *scaled) round(limit int) {
	s.now = s.now.Add(25 * time.Millisecond)
	began := time.Now()
	d := s.Decide(s.now, limit)
	took := time.Since(began)
	s.spent += took
	s.rounds = append(s.rounds, took)
	s.placed += len(d.Placements)
	for _, p := range d.Placements {
		s.SetTask(TaskStatus{Ref: p.Task, Phase: Placed, Upstream: p.Upstream, Reserved: p.Reserved})
		s.running = append(s.running, p)
	}
}

// endSome ends n random tasks.
func (s *scaled) endSome(n int) {
	for range min(n, len(s.running)) {
		i := s.rng.IntN(len(s.running))
		p := s.running[i]
		s.running[i] = s.running[len(s.running)-1]
		s.running = s.running[:len(s.running)-1]
		s.SetTask(TaskStatus{Ref: p.Task, Phase: Ended})
		j := s.jobs[p.Task.Job]
		if !slices.ContainsFunc(j.tasks, func(t task) bool { return t.phase != Ended }) {
			s.RemoveJob(j.ID)
		}
	}
}

// scaleCases are the sizes of BenchmarkChurn; the other benchmarks use the third.
var scaleCases = []scaleCase{
	{upstreams: 48, teams: 6, domains: 3, tasks: 600},
	{upstreams: 1000, teams: 40, domains: 3, tasks: 16_500},
	{upstreams: 17_000, teams: 370, domains: 15, tasks: 280_000},
	{upstreams: 17_000, teams: 370, domains: 15, tasks: 280_000, backlog: 20_000},
}

// name returns the name of the benchmark case.
func (sc scaleCase) name() string {
	return fmt.Sprintf("upstreams=%d/tasks=%d/backlog=%d", sc.upstreams, sc.tasks, sc.backlog)
}

// BenchmarkChurn replaces running tasks at the peak rate, in proportion to the size: 238
// per round of 25 ms at 17,000 upstreams.
func BenchmarkChurn(b *testing.B) {
	for _, sc := range scaleCases {
		b.Run(sc.name(), func(b *testing.B) {
			s := newScaled(b, sc)
			n := max(2, 238*sc.upstreams/17_000)
			began := time.Now()
			for b.Loop() {
				s.endSome(n)
				s.submit(sc, n)
				s.round(roundLimit)
			}
			all := time.Since(began)
			slices.Sort(s.rounds)
			b.ReportMetric(float64(s.placed)/s.spent.Seconds(), "placements/s-decide")
			b.ReportMetric(float64(s.placed)/all.Seconds(), "placements/s-with-facts")
			b.ReportMetric(float64(s.rounds[len(s.rounds)*99/100].Microseconds()), "µs-p99-round")
			b.ReportMetric(float64(s.rounds[len(s.rounds)/2].Microseconds()), "µs-p50-round")
		})
	}
}

// BenchmarkIdle decides while no fact changes.
func BenchmarkIdle(b *testing.B) {
	s := newScaled(b, scaleCases[2])
	s.round(roundLimit)
	s.round(roundLimit)
	for b.Loop() {
		s.round(roundLimit)
	}
}

// BenchmarkExplain explains a waiting job in a cell of full size.
func BenchmarkExplain(b *testing.B) {
	s := newScaled(b, scaleCases[2])
	id := s.add(Job{Team: "t1", Class: "large"}, 1, vec(64, 256, 1))
	s.round(roundLimit)
	for b.Loop() {
		s.Explain(id, s.now)
	}
}

// BenchmarkMemory reports the heap bytes per task and per upstream.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		empty := heapInUse()
		sc := scaleCases[2]
		sc.tasks = 0
		s := newScaled(b, sc)
		upstreams := heapInUse()
		sc.tasks = 280_000
		for s.live() < sc.tasks {
			s.submit(sc, min(4096, sc.tasks-s.live()))
			s.round(4096)
		}
		s.running, s.rounds, s.status = slices.Clip(s.running), nil, nil
		tasks := heapInUse()
		b.ReportMetric(float64(upstreams-empty)/float64(sc.upstreams), "B/upstream")
		b.ReportMetric(float64(tasks-upstreams)/float64(sc.tasks), "B/task")
		runtime.KeepAlive(s)
	}
}

// heapInUse returns the bytes of live heap objects after a collection.
func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
