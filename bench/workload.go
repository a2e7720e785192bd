package main

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
	"github.com/bulrushwinch/bulrushwinch/sched"
)

// maxDeclarationFactor bounds the factor by which declared sizes and run times are too high
// or too low.
const maxDeclarationFactor = 4.0

// taskWork is what a task really needs: millicores, bytes of memory and run time at full
// speed.
type taskWork struct {
	cores, memory int64
	run           time.Duration
}

// jobWork is a job with the true needs of its tasks, which the scheduler does not see.
type jobWork struct {
	sched.Job
	// arrival is the time of submission since the start of the run.
	arrival time.Duration
	// cancelAt is the time at which its waiting tasks are cancelled; zero for never.
	cancelAt time.Duration
	// tasks holds the true needs of each task.
	tasks []taskWork
}

// generator generates the jobs of one simulation.
type generator struct {
	rng  *rand.Rand
	user user
	jobs []*jobWork
}

// declarationFactors are the factors by which the declared needs of a class differ from the
// true needs.
type declarationFactors struct{ cores, memory, run float64 }

// generate returns the jobs of a run in the order of arrival: services, random arrivals of
// each class, and a burst of jobs that are cancelled.
func generate(u user, l load, seed uint64) []*jobWork {
	g := &generator{rng: rand.New(rand.NewPCG(seed, 1)), user: u}
	slots := float64(workers * slotsPerWorker)
	for _, ts := range teamSpecs {
		g.addServices(ts, slots*serviceFraction)
		for _, c := range workClasses {
			g.addArrivals(ts, c, ts.demandFraction*c.demandFraction*slots*(l.level-serviceFraction))
		}
	}
	g.cancelledBurst(teamSpecs[1])
	slices.SortStableFunc(g.jobs, func(a, b *jobWork) int { return int(a.arrival - b.arrival) })
	for i, j := range g.jobs {
		j.ID = sched.JobID(i + 1)
	}
	return g.jobs
}

// declarationFactors returns random factors.
func (g *generator) declarationFactors() declarationFactors {
	return declarationFactors{g.declarationFactor(), g.declarationFactor(), g.declarationFactor()}
}

// declarationFactor returns a random factor between 1/maxDeclarationFactor and
// maxDeclarationFactor, uniform on a logarithmic scale.
func (g *generator) declarationFactor() float64 {
	return math.Exp((2*g.rng.Float64() - 1) * math.Log(maxDeclarationFactor))
}

// addArrivals adds the jobs of a team in one class as a Poisson process; rate is the mean
// number of slots that their work keeps busy.
func (g *generator) addArrivals(ts teamSpec, c workClass, rate float64) {
	factors := g.declarationFactors()
	perTask := max(1, c.cores, c.memory) * (c.minRun + c.maxRun).Seconds() / 2
	perJob := perTask * float64(c.minTasks+c.maxTasks) / 2
	for at := time.Duration(0); at < horizon; {
		at += time.Duration(g.rng.ExpFloat64() * perJob / rate * float64(time.Second))
		g.addJob(ts, c, factors, at)
	}
}

// addServices adds as many services of a team as its fraction of the given slots; they arrive
// within the first 10 s.
func (g *generator) addServices(ts teamSpec, slots float64) {
	factors := g.declarationFactors()
	for n := 0.0; n < slots*ts.demandFraction; n += float64(serviceClass.minTasks) {
		g.addJob(ts, serviceClass, factors, time.Duration(g.rng.Int64N(int64(10*time.Second))))
	}
}

// cancelledBurst adds a burst of small jobs that are cancelled burstLifetime later.
func (g *generator) cancelledBurst(ts teamSpec) {
	factors := g.declarationFactors()
	c := workClasses[0]
	c.minTasks, c.maxTasks = 1, 1
	for range burstSize {
		g.addJob(ts, c, factors, burstAt).cancelAt = burstAt + burstLifetime
	}
}

// addJob adds a job of a class with random size, run time and number of tasks. Services run
// beyond the horizon and declare no run time.
func (g *generator) addJob(ts teamSpec, c workClass, factors declarationFactors, arrival time.Duration) *jobWork {
	j := &jobWork{arrival: arrival}
	j.Team, j.Class, j.Urgent = ts.name, c.name, c.urgent
	j.Repeatable = g.rng.Float64() >= c.unrepeatable
	j.Policy = map[placementPolicy]sched.Policy{batch: sched.Batch, gang: sched.Gang, service: sched.Service}[c.policy]
	n := c.minTasks + g.rng.IntN(c.maxTasks-c.minTasks+1)
	// The true needs vary by a log-normal factor per job.
	size := math.Exp(0.3 * g.rng.NormFloat64())
	run := c.minRun + time.Duration(g.rng.Float64()*float64(c.maxRun-c.minRun))
	capacity := g.user.capacity
	cores := c.cores * size * float64(capacity[resource.Cores]) / slotsPerWorker
	memory := c.memory * size * float64(capacity[resource.Memory]) / slotsPerWorker
	if c.policy == service {
		run = 2 * horizon
	}
	need := resource.Vector{g.declare(cores, factors.cores, capacity[resource.Cores]), g.declare(memory, factors.memory, capacity[resource.Memory]), 0, 1, 1}
	for range n {
		j.Needs = append(j.Needs, need)
		j.tasks = append(j.tasks, taskWork{cores: int64(cores * g.jitter()), memory: int64(memory * g.jitter()),
			run: time.Duration(float64(run) * g.jitter())})
	}
	j.ExpectedRunTime = time.Duration(float64(run) * factors.run)
	if c.policy == service {
		j.ExpectedRunTime = 0
	}
	g.jobs = append(g.jobs, j)
	return j
}

// declare returns the declared amount: the true one times the factor, at least 1 and at most
// the capacity of a VM.
func (g *generator) declare(actual, factor float64, capacity int64) int64 {
	return min(capacity, max(1, int64(actual*factor)))
}

// jitter returns a log-normal random factor around 1.
func (g *generator) jitter() float64 { return math.Exp(0.15 * g.rng.NormFloat64()) }
