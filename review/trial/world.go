package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// world is everything that the stand-ins share: the jobs that clients sent, the workers and the record. One
// lock guards it all.
type world struct {
	mu      sync.Mutex
	began   time.Time
	record  *os.File
	jobs    map[string]*job
	workers []*worker
	gangs   map[string]*gangRun
	// advised holds the tickets of the permit service, by ticket.
	advised map[string]ticket
	broken  []string
	// lasting holds, by name, the tasks of lasting steps.
	lasting map[string]*lastingTask
}

// lastingTask is what is known of a task of a lasting step.
type lastingTask struct {
	// atWork is set while its percent is 100, since is when that changed last.
	atWork bool
	since  time.Time
	// byOrder is set from an end by a stop or an upkeep until the task is at work again.
	byOrder bool
}

// ticket is a permission of the permit service for one step on one life of a worker.
type ticket struct {
	step, worker string
	expires      time.Time
}

// gangRun is one run of a gang: it works once all members are present.
type gangRun struct {
	present map[int]bool
	begunAt time.Time
}

// step is a step of a job as a client submits it.
type step struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu"`
	MemMB         int64  `json:"memMb"`
	EstimateMS    int64  `json:"estimateMs,omitempty"`
	DependsOn     []int  `json:"dependsOn,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	Constraints   string `json:"constraints,omitempty"`
	AntiAffinity  int    `json:"antiAffinity,omitempty"`
	LongRunning   bool   `json:"longRunning,omitempty"`
	Image         string `json:"image,omitempty"`
	TargetMS      int64  `json:"targetMs,omitempty"`
	Fills         bool   `json:"fills,omitempty"`
	MissAllowed   int    `json:"missAllowed,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
}

// job is a job as a client submits it.
type job struct {
	TaskSpec    string `json:"taskSpec"`
	JobSteps    []step `json:"jobSteps"`
	RepeatCount int    `json:"repeatCount,omitempty"`
	StartAtMS   int64  `json:"startAtMs,omitempty"`
	PeriodMS    int64  `json:"periodMs,omitempty"`

	id string
	// advice is set if starts need a ticket.
	advice bool
	// work is how long a task works on a worker of usual speed.
	work time.Duration
	// done holds the tasks that ended as done, by name.
	done map[string]bool
	// ends counts the ends of each kind.
	ends map[string]int
	// starts counts the starts.
	starts int
}

func newWorld(path string) (*world, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &world{began: time.Now(), record: f, jobs: make(map[string]*job), gangs: make(map[string]*gangRun), advised: make(map[string]ticket), lasting: make(map[string]*lastingTask)}, nil
}

// note writes a line into the record; the caller may hold the lock.
func (w *world) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(w.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = w.record.WriteString(line)
}

// breach notes that a rule was broken.
func (w *world) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.note("BROKEN: %s", text)
}

// stepOf returns the job and the step of a task's name, ID.K.STEP.INDEX.
func (w *world) stepOf(task string) (*job, *step, int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil, nil, 0
	}
	j := w.jobs[parts[0]]
	var s, index int
	_, _ = fmt.Sscan(parts[2], &s)
	_, _ = fmt.Sscan(parts[3], &index)
	if j == nil || s >= len(j.JobSteps) {
		return nil, nil, 0
	}
	return j, &j.JobSteps[s], index
}

// gangOf returns the run of a gang that a member's run belongs to.
func (w *world) gangOf(task string, run int) *gangRun {
	key := fmt.Sprintf("%s/%d", task[:strings.LastIndexByte(task, '.')], run)
	g := w.gangs[key]
	if g == nil {
		g = &gangRun{present: make(map[int]bool)}
		w.gangs[key] = g
	}
	return g
}

// running counts the runs of a job on workers that are up.
func (w *world) running(id string) (n int) {
	for _, x := range w.workers {
		for _, r := range x.runs {
			if x.up && strings.HasPrefix(r.task, id+".") {
				n++
			}
		}
	}
	return n
}

// freeOn returns the cores, in thousandths, and the memory that are free on a worker. The caller holds the lock.
func (w *world) freeOn(x *worker) (cpu, mem int64) {
	cpu, mem = x.cpu, x.mem
	for _, r := range x.runs {
		_, s, _ := w.stepOf(r.task)
		if s == nil {
			continue
		}
		mem -= s.MemMB
		if !s.Fills {
			cpu -= s.CPU
		}
	}
	return cpu, mem
}

// underHalf reports whether under half of the service's cores and memory are in use, which is also under half of the
// tenant's cap. The caller holds the lock.
func (w *world) underHalf() bool {
	var cpu, mem, freeCPU, freeMem int64
	for _, x := range w.workers {
		if x.up {
			c, m := w.freeOn(x)
			cpu, mem, freeCPU, freeMem = cpu+x.cpu, mem+x.mem, freeCPU+c, freeMem+m
		}
	}
	usedCPU, usedMem := cpu-freeCPU, mem-freeMem
	return 2*usedCPU < min(cpu, capCPU) && 2*usedMem < min(mem, capMem)
}

// room returns how many tasks of a step fit on the workers that are up and have its label. The caller holds the lock.
func (w *world) room(s step) (n int64) {
	for _, x := range w.workers {
		if x.up && (s.Constraints == "" || slices.Contains(x.labels, s.Constraints)) {
			cpu, mem := w.freeOn(x)
			n += min(max(0, cpu)/s.CPU, max(0, mem)/s.MemMB)
		}
	}
	return n
}
