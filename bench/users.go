package main

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

const (
	// gibibyte is the number of bytes in a GiB.
	gibibyte = 1 << 30
	// workersPerRack, workers and slotsPerWorker describe the cells of both users; workers are
	// their VMs.
	workersPerRack = 8
	workers        = 48
	slotsPerWorker = 8
)

// user is an organisation with its cell, the set of its VMs: the failure domains over which
// they are spread and the capacity of each VM.
type user struct {
	name     string
	domains  []string
	capacity resource.Vector
}

// users are the organisations that are simulated.
var users = []user{
	{"library", []string{"cordon", "prado", "pocitos"}, resource.Vector{64_000, 256 * gibibyte, 0, slotsPerWorker, 64}},
	{"oduya", []string{"ikeja", "lekki", "apapa"}, resource.Vector{32_000, 64 * gibibyte, 0, slotsPerWorker, 64}},
}

// teamSpec describes a team: its weight, its fraction of the submitted work and its limit.
type teamSpec struct {
	name string
	// weight is the weight of the team in the fair shares.
	weight int64
	// demandFraction is the fraction of all work that the team submits.
	demandFraction float64
	// limitFraction is the fraction of the cell that the team may hold at most.
	limitFraction float64
}

// teamSpecs are the teams of each cell.
var teamSpecs = []teamSpec{
	{"north", 3, 0.36, 0.6},
	{"south", 3, 0.32, 0.6},
	{"east", 1, 0.10, 0.4},
	{"west", 1, 0.08, 0.4},
	{"hill", 1, 0.08, 0.4},
	{"port", 1, 0.06, 0.4},
}

// workClass is a class of similar jobs.
type workClass struct {
	name string
	// demandFraction is the fraction of the demand in capacity-seconds.
	demandFraction float64
	// cores and memory are the median needs of a task, as multiples of the capacity of a VM
	// divided by its number of slots.
	cores, memory float64
	// minRun and maxRun bound the run time of a task at full speed, apart from jitter.
	minRun, maxRun time.Duration
	// minTasks and maxTasks bound the number of tasks of a job.
	minTasks int
	maxTasks int
	policy   placementPolicy
	urgent   bool
	// unrepeatable is the fraction of jobs whose tasks must not be run again.
	unrepeatable float64
}

// placementPolicy selects the sched.Policy of a class.
type placementPolicy uint8

// The placement policies.
const (
	batch placementPolicy = iota
	gang
	service
)

// workClasses are the classes of work other than services. The first has the smallest tasks that are
// not urgent; cancelledBurst and smallWorkWaiting use it.
var workClasses = []workClass{
	{name: "label", demandFraction: 0.30, cores: 0.5, memory: 0.5, minRun: 2 * time.Second, maxRun: 15 * time.Second, minTasks: 1, maxTasks: 12, unrepeatable: 0.3},
	{name: "rebuild", demandFraction: 0.43, cores: 1.6, memory: 1.1, minRun: 60 * time.Second, maxRun: 300 * time.Second, minTasks: 4, maxTasks: 24},
	{name: "index", demandFraction: 0.12, cores: 0.7, memory: 1.9, minRun: 20 * time.Second, maxRun: 120 * time.Second, minTasks: 1, maxTasks: 8},
	{name: "layout", demandFraction: 0.10, cores: 0.9, memory: 0.9, minRun: 20 * time.Second, maxRun: 90 * time.Second, minTasks: 4, maxTasks: 12, policy: gang},
	{name: "counter", demandFraction: 0.05, cores: 0.4, memory: 0.4, minRun: 500 * time.Millisecond, maxRun: 4 * time.Second, minTasks: 1, maxTasks: 1, urgent: true},
}

// serviceClass is the class of the long-running services.
var serviceClass = workClass{name: "watch", cores: 0.5, memory: 0.5, minTasks: 3, maxTasks: 3, policy: service}

// serviceFraction is the fraction of the slots that the services take.
const serviceFraction = 0.2

// load is a named amount of submitted work; level is relative to the capacity of the cell.
type load struct {
	name  string
	level float64
}

// loads are the simulated loads, the lowest first.
var loads = []load{{"normal", 0.65}, {"overload", 1.3}}

// Schedule of a run, as times since its start unless stated otherwise.
const (
	// horizon is the end of the run.
	horizon = 900 * time.Second
	// warmUp is the time of the first sample.
	warmUp = 60 * time.Second
	// outageStart and outageEnd bound the outage of the first failure domain, which the
	// report calls its absence.
	outageStart = 300 * time.Second
	outageEnd   = 600 * time.Second
	// notice is the length of the notice that tasks get before their domain goes.
	notice = 30 * time.Second
	// recoveryTime is the length of the time after the outage in which work still counts for
	// the measure of work over the absence.
	recoveryTime = 30 * time.Second
	// burstAt is the time of the burst of jobs that are cancelled, burstSize their number and
	// burstLifetime the time after which they are cancelled.
	burstAt       = 450 * time.Second
	burstSize     = 2000
	burstLifetime = 5 * time.Second
	// brokenStart and brokenEnd bound the time in which one VM fails every task that it
	// starts.
	brokenStart = 150 * time.Second
	brokenEnd   = 750 * time.Second
)
