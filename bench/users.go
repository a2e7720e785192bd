package main

import (
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
)

const (
	gibibyte = 1 << 30
	// workersPerRack and workers describe both users' cells.
	workersPerRack = 8
	workers        = 48
	slotsPerWorker = 8
)

// user is an organisation's cell.
type user struct {
	name     string
	domains  []string
	capacity resource.Vector
}

var users = []user{
	{"library", []string{"cordon", "prado", "pocitos"}, resource.Vector{64_000, 256 * gibibyte, 0, slotsPerWorker, 64}},
	{"oduya", []string{"ikeja", "lekki", "apapa"}, resource.Vector{32_000, 64 * gibibyte, 0, slotsPerWorker, 64}},
}

// teamSpec is a customer's share of the cell and of the demand.
type teamSpec struct {
	name string
	// share is the weight, demand the fraction of all work that the team hands in.
	share  int64
	demand float64
	// limit is the fraction of the cell that bounds the team.
	limit float64
}

var teamSpecs = []teamSpec{
	{"north", 3, 0.36, 0.6},
	{"south", 3, 0.32, 0.6},
	{"east", 1, 0.10, 0.4},
	{"west", 1, 0.08, 0.4},
	{"hill", 1, 0.08, 0.4},
	{"port", 1, 0.06, 0.4},
}

// kind is a sort of work. Sizes are multiples of a VM's capacity per slot.
type kind struct {
	name string
	// part is the fraction of the demand in capacity-seconds.
	part           float64
	cores, memory  float64
	minRun, maxRun time.Duration
	minTasks       int
	maxTasks       int
	policy         policyKind
	urgent         bool
	// single is the fraction of jobs that may not be repeated.
	single float64
}

type policyKind uint8

const (
	batch policyKind = iota
	gang
	service
)

var kinds = []kind{
	{name: "label", part: 0.30, cores: 0.5, memory: 0.5, minRun: 2 * time.Second, maxRun: 15 * time.Second, minTasks: 1, maxTasks: 12, single: 0.3},
	{name: "rebuild", part: 0.43, cores: 1.6, memory: 1.1, minRun: 60 * time.Second, maxRun: 300 * time.Second, minTasks: 4, maxTasks: 24},
	{name: "index", part: 0.12, cores: 0.7, memory: 1.9, minRun: 20 * time.Second, maxRun: 120 * time.Second, minTasks: 1, maxTasks: 8},
	{name: "layout", part: 0.10, cores: 0.9, memory: 0.9, minRun: 20 * time.Second, maxRun: 90 * time.Second, minTasks: 4, maxTasks: 12, policy: gang},
	{name: "counter", part: 0.05, cores: 0.4, memory: 0.4, minRun: 500 * time.Millisecond, maxRun: 4 * time.Second, minTasks: 1, maxTasks: 1, urgent: true},
}

// watch is the kind of the standing services.
var watch = kind{name: "watch", cores: 0.5, memory: 0.5, minTasks: 3, maxTasks: 3, policy: service}

// servicePart is the fraction of the slots that services take.
const servicePart = 0.2

// load is how much work is handed in, relative to what the cell can do.
type load struct {
	name  string
	level float64
}

var loads = []load{{"normal", 0.65}, {"overload", 1.3}}

// Times of a run.
const (
	horizon   = 900 * time.Second
	warmUp    = 60 * time.Second
	domainOut = 300 * time.Second
	domainIn  = 600 * time.Second
	notice    = 30 * time.Second
	// aftermath follows the return in the measure of work kept.
	aftermath = 30 * time.Second
	waveAt    = 450 * time.Second
	waveSize  = 2000
	waveLasts = 5 * time.Second
	brokenAt  = 150 * time.Second
	brokenEnd = 750 * time.Second
)
