package main

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
	"github.com/bulrushwinch/bulrushwinch/sched"
)

// maxWrong is how far declared sizes and run times are off, either way.
const maxWrong = 4.0

// taskWork is what one task really needs.
type taskWork struct {
	cores, memory int64
	run           time.Duration
}

// jobWork is one job with the truth that the scheduler does not see.
type jobWork struct {
	sched.Job
	at     time.Duration
	cancel time.Duration
	tasks  []taskWork
}

// generator makes the work of one run.
type generator struct {
	rng  *rand.Rand
	user user
	jobs []*jobWork
}

// wrongness is how a class's declarations are off.
type wrongness struct{ cores, memory, run float64 }

// generate returns the jobs of a run by time of arrival.
func generate(u user, l load, seed uint64) []*jobWork {
	g := &generator{rng: rand.New(rand.NewPCG(seed, 1)), user: u}
	slots := float64(workers * slotsPerWorker)
	for _, ts := range teamSpecs {
		g.services(ts, slots*servicePart)
		for _, k := range kinds {
			g.arrivals(ts, k, ts.demand*k.part*slots*(l.level-servicePart))
		}
	}
	g.wave(teamSpecs[1])
	slices.SortStableFunc(g.jobs, func(a, b *jobWork) int { return int(a.at - b.at) })
	for i, j := range g.jobs {
		j.ID = sched.JobID(i + 1)
	}
	return g.jobs
}

func (g *generator) wrong() wrongness { return wrongness{g.factor(), g.factor(), g.factor()} }

// factor is uniform on a logarithmic scale between 1/maxWrong and maxWrong.
func (g *generator) factor() float64 {
	return math.Exp((2*g.rng.Float64() - 1) * math.Log(maxWrong))
}

// arrivals adds a team's jobs of one kind; rate is in slots.
func (g *generator) arrivals(ts teamSpec, k kind, rate float64) {
	wrong := g.wrong()
	perTask := max(1, k.cores, k.memory) * (k.minRun + k.maxRun).Seconds() / 2
	perJob := perTask * float64(k.minTasks+k.maxTasks) / 2
	for at := time.Duration(0); at < horizon; {
		at += time.Duration(g.rng.ExpFloat64() * perJob / rate * float64(time.Second))
		g.add(ts, k, wrong, at)
	}
}

func (g *generator) services(ts teamSpec, slots float64) {
	wrong := g.wrong()
	for n := 0.0; n < slots*ts.demand; n += float64(watch.minTasks) {
		g.add(ts, watch, wrong, time.Duration(g.rng.Int64N(int64(10*time.Second))))
	}
}

// wave adds small jobs that are all cancelled a moment later.
func (g *generator) wave(ts teamSpec) {
	wrong := g.wrong()
	k := kinds[0]
	k.minTasks, k.maxTasks = 1, 1
	for range waveSize {
		g.add(ts, k, wrong, waveAt).cancel = waveAt + waveLasts
	}
}

func (g *generator) add(ts teamSpec, k kind, wrong wrongness, at time.Duration) *jobWork {
	j := &jobWork{at: at}
	j.Team, j.Class, j.Urgent = ts.name, k.name, k.urgent
	j.Repeatable = g.rng.Float64() >= k.single
	j.Policy = map[policyKind]sched.Policy{batch: sched.Batch, gang: sched.Gang, service: sched.Service}[k.policy]
	n := k.minTasks + g.rng.IntN(k.maxTasks-k.minTasks+1)
	size := math.Exp(0.3 * g.rng.NormFloat64())
	run := k.minRun + time.Duration(g.rng.Float64()*float64(k.maxRun-k.minRun))
	slot := g.user.capacity
	cores := k.cores * size * float64(slot[resource.Cores]) / slotsPerWorker
	memory := k.memory * size * float64(slot[resource.Memory]) / slotsPerWorker
	if k.policy == service {
		run = 2 * horizon
	}
	need := resource.Vector{g.declare(cores, wrong.cores, slot[resource.Cores]), g.declare(memory, wrong.memory, slot[resource.Memory]), 0, 1, 1}
	for range n {
		j.Needs = append(j.Needs, need)
		j.tasks = append(j.tasks, taskWork{cores: int64(cores * g.jitter()), memory: int64(memory * g.jitter()),
			run: time.Duration(float64(run) * g.jitter())})
	}
	j.ExpectedRunTime = time.Duration(float64(run) * wrong.run)
	if k.policy == service {
		j.ExpectedRunTime = 0
	}
	g.jobs = append(g.jobs, j)
	return j
}

// declare returns what the caller says, which may be off but fits a VM.
func (g *generator) declare(truth, factor float64, most int64) int64 {
	return min(most, max(1, int64(truth*factor)))
}

func (g *generator) jitter() float64 { return math.Exp(0.15 * g.rng.NormFloat64()) }
