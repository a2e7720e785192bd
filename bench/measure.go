package main

import (
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
	"github.com/bulrushwinch/bulrushwinch/sched"
)

// measures is what one run showed.
type measures struct {
	// waits and urgent are times from submission to first start.
	waits, urgent []time.Duration
	byClass       map[string][]time.Duration
	// delays are times from submission to the end, less the time at full speed that
	// the task needs; work that was begun in vain counts as delay.
	delays   []time.Duration
	answered int
	refused  int
	failures int
	lost     int
	killed   int
	slowed   time.Duration
	stops    map[sched.StopReason]int
	// work is the progress per second of the run in each scarce dimension, as a
	// fraction of the cell.
	work [horizon/time.Second + 1][len(scarce)]float64

	samples  int
	used     float64
	full     int
	stranded float64
	// fullAway and strandedAway are the same while a domain is out.
	fullAway     int
	strandedAway float64
	gapSum       float64
	gapCount     int
	gapMax       float64
	cost         cost
}

// cost is the time spent in decisions.
type cost struct {
	total      time.Duration
	rounds     []time.Duration
	placements int
}

func (c *cost) add(d time.Duration, placements int) {
	c.total += d
	c.rounds = append(c.rounds, d)
	c.placements += placements
}

// scarce are the dimensions in which work is measured.
var scarce = [...]resource.Dimension{resource.Cores, resource.Memory, resource.Slots}

// addWork counts progress at full speed, or takes it back where it is negative.
func (w *world) addWork(t *liveTask, progress time.Duration) {
	took := resource.Vector{t.work.cores, t.work.memory, 0, 1, 0}
	at := &w.m.work[w.now/time.Second]
	for i, d := range scarce {
		at[i] += float64(took[d]) / float64(w.user.capacity[d]) / workers * progress.Seconds()
	}
}

// between returns the work done in a span of the run in one dimension.
func (m *measures) between(from, to time.Duration, dimension int) float64 {
	sum := 0.0
	for _, x := range m.work[from/time.Second : to/time.Second] {
		sum += x[dimension]
	}
	return sum
}

// scarcest returns the dimension in which most work was done.
func (m *measures) scarcest() int {
	best := 0
	for i := range scarce {
		if m.between(0, horizon, i) > m.between(0, horizon, best) {
			best = i
		}
	}
	return best
}

// started notes how long a task waited from its submission to its first start.
func (m *measures) started(t *liveTask, now time.Duration) {
	m.wait(t, now-t.job.at)
}

func (m *measures) wait(t *liveTask, d time.Duration) {
	if t.job.Policy == sched.Service || t.job.cancel != 0 {
		return
	}
	if t.job.Urgent {
		m.urgent = append(m.urgent, d)
		return
	}
	m.waits = append(m.waits, d)
	m.byClass[t.job.Class] = append(m.byClass[t.job.Class], d)
}

// delayed notes the delay of a task that ended, was lost, or is at the run's end; the
// latter two are counted to the run's end.
func (w *world) delayed(t *liveTask, end time.Duration) {
	if t.job.Policy != sched.Service && t.job.cancel == 0 {
		w.m.delays = append(w.m.delays, max(0, end-t.job.at-t.done))
	}
}

// finish counts what never started as waiting to the end of the run.
func (w *world) finish() {
	for _, v := range w.vms {
		v.settle()
	}
	for _, j := range w.jobs {
		for _, t := range j.states {
			if !t.everRan {
				w.m.wait(t, w.now-j.at)
			}
			if t.status.Phase != sched.Ended {
				w.delayed(t, w.now)
			}
		}
	}
	slices.Sort(w.m.delays)
	for _, list := range w.m.byClass {
		slices.Sort(list)
	}
	slices.Sort(w.m.waits)
	slices.Sort(w.m.urgent)
	slices.Sort(w.m.cost.rounds)
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// sample measures packing and shares at one moment.
func (w *world) sample() {
	w.after(sampleEvery, w.sample)
	usable, used, free := 0, 0.0, 0.0
	var total resource.Vector
	for _, v := range w.vms {
		if v.Domain == w.out || v.broken() {
			continue
		}
		usable++
		v.settle()
		cores, memory := v.use()
		used += max(fraction(cores, v.Capacity[resource.Cores]), fraction(memory, v.Capacity[resource.Memory]))
		free += 1 - v.taken()
		total = total.Add(v.Capacity)
	}
	w.m.samples++
	w.m.used += used / float64(usable)
	if !w.smallWaits() {
		return
	}
	if w.out != "" {
		w.m.fullAway++
		w.m.strandedAway += free / float64(usable)
	}
	w.m.full++
	w.m.stranded += free / float64(usable)
	w.sampleShares(total)
}

func fraction(a, b int64) float64 { return min(1, float64(a)/float64(b)) }

// taken is the reserved fraction of the VM's scarcest dimension.
func (v *vm) taken() float64 {
	most := 0.0
	for _, d := range [...]resource.Dimension{resource.Cores, resource.Memory, resource.Slots} {
		most = max(most, fraction(v.reserved[d], v.Capacity[d]))
	}
	return most
}

// smallWaits reports whether small work of a team below its limit is queued.
func (w *world) smallWaits() bool {
	for _, j := range w.jobs {
		if j.Class != kinds[0].name || j.cancel != 0 {
			continue
		}
		for _, t := range j.states {
			tm := w.teams[j.Team]
			if t.status.Phase == sched.Waiting && t.status.NotBefore.IsZero() && w.now-j.at > decideEvery &&
				tm.used.Add(j.Needs[t.status.Ref.Index]).Fits(tm.limit) {
				return true
			}
		}
	}
	return false
}

// sampleShares compares each team's dominant share with its entitlement.
func (w *world) sampleShares(total resource.Vector) {
	var teams []*liveTeam
	sum := 0.0
	for _, ts := range teamSpecs {
		tm := w.teams[ts.name]
		teams = append(teams, tm)
		sum += dominant(tm.used, total)
	}
	level := fillLevel(teams, total, sum)
	for _, tm := range teams {
		gap := dominant(tm.used, total) - entitled(tm, total, level)
		gap = max(gap, -gap)
		w.m.gapSum += gap
		w.m.gapCount++
		w.m.gapMax = max(w.m.gapMax, gap)
	}
}

func dominant(v, total resource.Vector) float64 {
	most := 0.0
	for d, amount := range v {
		if total[d] > 0 {
			most = max(most, float64(amount)/float64(total[d]))
		}
	}
	return most
}

// entitled is what a team gets at a level per unit of weight: its weight's worth, no
// more than it wants or its limit allows.
func entitled(tm *liveTeam, total resource.Vector, level float64) float64 {
	return min(level*float64(tm.share), dominant(tm.used.Add(tm.waiting), total), tm.teamSpec.limit)
}

// fillLevel finds the level at which the entitlements add up to what is in use.
func fillLevel(teams []*liveTeam, total resource.Vector, sum float64) float64 {
	low, high := 0.0, 2.0
	for range 40 {
		mid := (low + high) / 2
		at := 0.0
		for _, tm := range teams {
			at += entitled(tm, total, mid)
		}
		if at < sum {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}
