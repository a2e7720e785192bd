package dispatch

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// randomLives puts upstreams through crashes, cuts, late heartbeats and false claims.
type randomLives struct {
	h   *harness
	rng *rand.Rand
	// healAt is when an upstream answers again, sent its last heartbeats.
	healAt map[string]time.Duration
	sent   []*pipelinev1.HeartbeatCall
}

func (l *randomLives) pick() string {
	ids := slices.Sorted(maps.Keys(l.h.upstreams))
	return ids[l.rng.IntN(len(ids))]
}

// beats has all upstreams send a heartbeat, those that are cut off mostly not.
func (l *randomLives) beats() {
	for _, id := range slices.Sorted(maps.Keys(l.h.upstreams)) {
		call := &pipelinev1.HeartbeatCall{Upstream: l.h.upstreams[id].describe(id), Sequence: l.h.now.Milliseconds()}
		l.sent = append(l.sent, call)
		if !l.h.upstreams[id].partitioned || l.rng.IntN(4) == 0 {
			l.h.call(&pipelinev1.Call{Call: &pipelinev1.Call_Heartbeat{Heartbeat: call}})
		}
	}
}

// cut cuts an upstream off for some seconds; a crash ends its runs, and may give it another identity.
func (l *randomLives) cut(crash, renamed bool) {
	id := l.pick()
	f := l.h.upstreams[id]
	if f.partitioned {
		return
	}
	if crash {
		for _, e := range f.ended {
			// What nobody has taken note of may run again.
			f.history[e.Run].excused = f.history[e.Run].excused || e.Number > f.acked
		}
		f.crash()
		f.acked = 0
	}
	if renamed {
		f.address = f.describe(id).GetAddress()
		delete(l.h.upstreams, id)
		id = fmt.Sprintf("%s-%d", f.address, f.born)
		l.h.upstreams[id] = f
	}
	f.partitioned = true
	l.healAt[id] = l.h.now + time.Duration(l.rng.IntN(12_000))*time.Millisecond
}

// claim sends a heartbeat of another writer about an upstream.
func (l *randomLives) claim() {
	l.h.bogusBeat(l.pick(), int64(l.rng.IntN(100_000)), func(u *pipelinev1.Upstream) {
		u.Born += int64(l.rng.IntN(5) - 1)
		if l.rng.IntN(2) == 0 {
			u.Id = fmt.Sprintf("bogus-%d", l.rng.IntN(3))
		} else if u.Born == l.h.upstreams[u.GetId()].born {
			u.Born += 1000
		}
		if l.rng.IntN(2) == 0 {
			u.Address = "elsewhere"
		}
	})
}

func (l *randomLives) step() {
	switch l.rng.IntN(60) {
	case 0:
		l.cut(false, false)
	case 1:
		l.cut(true, false)
	case 2:
		l.cut(true, true)
	case 3, 4:
		l.claim()
	case 5:
		if n := len(l.sent); n > 0 {
			l.h.call(&pipelinev1.Call{Call: &pipelinev1.Call_Heartbeat{Heartbeat: l.sent[max(0, n-1-l.rng.IntN(60))]}})
		}
	case 6:
		if l.rng.IntN(4) == 0 {
			l.h.newLeader()
		}
	}
	for id, at := range l.healAt {
		if l.h.now >= at {
			delete(l.healAt, id)
			l.h.upstreams[id].partitioned = false
		}
	}
	if l.h.now%heartbeatTime < tickStep {
		l.beats()
	}
	l.h.run(tickStep)
}

// mostCrashes returns the largest number of upstreams that crashed under one task of a job.
func (l *randomLives) mostCrashes(job string) (most int) {
	crashes := make(map[pipeline.TaskKey]int)
	for _, f := range l.h.upstreams {
		for key, ran := range f.history {
			if key.Job == job && ran.kind == pipelinev1.EndKind_END_KIND_LOST {
				crashes[key.TaskKey]++
				most = max(most, crashes[key.TaskKey])
			}
		}
	}
	return most
}

// lastingJob is a job whose tasks start again however they end.
var lastingJob = jobID(1000)

// checkLasting expects each task of the lasting job to have a run, unless the job was given up.
func (l *randomLives) checkLasting(t *testing.T) {
	job := l.h.state.Job(lastingJob)
	if job.State == pipeline.Failed {
		return
	}
	for _, task := range job.Occurrences[0].Steps[0].Tasks {
		if len(task.Live) == 0 && task.Held() {
			t.Errorf("task %d of the lasting job is held: %d crashes, %d of unknown fate", task.Index, task.Crashes, len(task.Expired))
		}
	}
}

// play plays a minute of random lives and one without disruptions, and returns the number of jobs.
func (l *randomLives) play() (jobs int) {
	h := l.h
	lasting := oneStep(3, 1000)
	lasting.Lasting = true
	h.submit(lastingJob, lasting)
	for h.now < 60*time.Second {
		if h.now%(3*time.Second) < tickStep {
			jobs++
			h.submit(jobID(jobs), oneStep(3, 1000))
		}
		l.step()
	}
	for id := range l.healAt {
		h.upstreams[id].partitioned = false
	}
	for end := h.now + 60*time.Second; h.now < end; h.run(heartbeatTime) {
		l.beats()
	}
	return jobs
}

func newRandomLives(t *testing.T, seed uint64) *randomLives {
	return &randomLives{h: newHarness(t, "w1", "w2", "w3", "w4", "w5", "w6"), rng: rand.New(rand.NewPCG(seed, 27)), healAt: make(map[string]time.Duration)}
}

// Whatever upstreams go through and other writers say of them, no task runs twice, and all jobs end.
func TestRandomLivesOfUpstreams(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			l := newRandomLives(t, seed)
			jobs := l.play()
			for _, problem := range l.h.problems() {
				if !strings.Contains(problem, lastingJob) {
					t.Error(problem)
				}
			}
			l.checkLasting(t)
			for n := range jobs {
				if s := l.h.jobState(jobID(n + 1)); s != pipeline.Completed && s != pipeline.Failed {
					t.Errorf("job %d is %s", n+1, s)
				}
			}
		})
	}
}

// A job is given up only if two upstreams at least have crashed under one of its tasks.
func TestJobIsGivenUpForCrashesUnderItsTasks(t *testing.T) {
	for _, seed := range []uint64{2, 8, 168, 293} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			l := newRandomLives(t, seed)
			for n := range l.play() {
				if id := jobID(n + 1); l.h.jobState(id) == pipeline.Failed && l.mostCrashes(id) < 2 {
					t.Errorf("job %d is given up, and %d upstreams crashed under one of its tasks", n+1, l.mostCrashes(id))
				}
			}
		})
	}
}
