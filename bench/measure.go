package main

import (
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/resource"
	"github.com/bulrushwinch/bulrushwinch/sched"
)

// measures are the results of one simulation.
type measures struct {
	// waits and urgentWaits are the times from submission to first start of tasks that are
	// not urgent and that are. Services and cancelled jobs are left out.
	waits, urgentWaits []time.Duration
	// waitsByClass holds waits by the class of the job.
	waitsByClass map[string][]time.Duration
	// delays are times from submission to the end, less the time at full speed that the task
	// needs; work whose result was discarded counts as delay.
	delays []time.Duration
	// answered counts the tasks that succeeded.
	answered int
	// refused counts the jobs that the scheduler refused.
	refused int
	// failures counts the failed attempts, those killed for memory included.
	failures int
	// lost counts the tasks that ended without success because they failed too often or were
	// not repeatable.
	lost int
	// killed counts the attempts that were killed because a VM ran out of memory.
	killed int
	// slowedTime is the VM time during which tasks demanded more cores than the VM has.
	slowedTime time.Duration
	// stops counts the stops by reason.
	stops map[sched.StopReason]int
	// work is the progress counted in each second of the run, in seconds times the fraction of
	// the cell that the tasks need in each of workDimensions. Progress is counted in the
	// second of the update that adds it.
	work [horizon/time.Second + 1][len(workDimensions)]float64

	// samples counts the samples of packing and shares.
	samples int
	// used is the sum over the samples of the mean fraction of a VM in use, in cores or memory,
	// whichever is larger.
	used float64
	// contendedSamples counts the samples at which smallWorkWaiting held. The fields below are
	// taken only from these.
	contendedSamples int
	// stranded is the sum of the mean unreserved fraction of a VM.
	stranded float64
	// outageContendedSamples and outageStranded are the same while a failure domain is out.
	outageContendedSamples int
	outageStranded         float64
	// gapSum, gapCount and gapMax describe the gaps between the dominant share of a team and
	// its entitlement, as fractions of the cell.
	gapSum   float64
	gapCount int
	gapMax   float64
	// cost is the processor time of the decisions.
	cost decisionCost
}

// decisionCost is the processor time spent in decisions.
type decisionCost struct {
	// total is the sum of decisions.
	total time.Duration
	// decisions holds the time of each decision.
	decisions []time.Duration
	// placements counts the placements of all decisions.
	placements int
}

// add adds one decision with its processor time and its number of placements.
func (c *decisionCost) add(d time.Duration, placements int) {
	c.total += d
	c.decisions = append(c.decisions, d)
	c.placements += placements
}

// workDimensions are the dimensions in which work is measured.
var workDimensions = [...]resource.Dimension{resource.Cores, resource.Memory, resource.Slots}

// addWork adds progress at full speed to the work of the current second; negative progress
// is taken back.
func (sim *simulation) addWork(t *taskState, progress time.Duration) {
	took := resource.Vector{t.work.cores, t.work.memory, 0, 1, 0}
	at := &sim.measures.work[sim.now/time.Second]
	for i, d := range workDimensions {
		at[i] += float64(took[d]) / float64(sim.user.capacity[d]) / workers * progress.Seconds()
	}
}

// workBetween returns the work done from one time of the run to another in the dimension
// with this index in workDimensions.
func (m *measures) workBetween(from, to time.Duration, dimension int) float64 {
	sum := 0.0
	for _, x := range m.work[from/time.Second : to/time.Second] {
		sum += x[dimension]
	}
	return sum
}

// busiestDimension returns the index of the dimension in which most work was done.
func (m *measures) busiestDimension() int {
	best := 0
	for i := range workDimensions {
		if m.workBetween(0, horizon, i) > m.workBetween(0, horizon, best) {
			best = i
		}
	}
	return best
}

// recordFirstStart records the time from the submission of a task to its first start.
func (m *measures) recordFirstStart(t *taskState, now time.Duration) {
	m.recordWait(t, now-t.job.arrival)
}

// recordWait records the waiting time of a task, except for services and cancelled jobs.
func (m *measures) recordWait(t *taskState, d time.Duration) {
	if t.job.Policy == sched.Service || t.job.cancelAt != 0 {
		return
	}
	if t.job.Urgent {
		m.urgentWaits = append(m.urgentWaits, d)
		return
	}
	m.waits = append(m.waits, d)
	m.waitsByClass[t.job.Class] = append(m.waitsByClass[t.job.Class], d)
}

// recordDelay records the delay of a task up to the given end: the time at which it ended, or
// the end of the run if it was lost, was refused or has not ended by then.
func (sim *simulation) recordDelay(t *taskState, end time.Duration) {
	if t.job.Policy != sched.Service && t.job.cancelAt == 0 {
		sim.measures.delays = append(sim.measures.delays, max(0, end-t.job.arrival-t.progress))
	}
}

// finish completes the measures at the end of the run and sorts them. Tasks that never
// started count as waiting up to the end of the run.
func (sim *simulation) finish() {
	for _, v := range sim.vms {
		v.updateProgress()
	}
	for _, j := range sim.jobs {
		for _, t := range j.states {
			if !t.started {
				sim.measures.recordWait(t, sim.now-j.arrival)
			}
			if t.status.Phase != sched.Ended {
				sim.recordDelay(t, sim.now)
			}
		}
	}
	slices.Sort(sim.measures.delays)
	for _, list := range sim.measures.waitsByClass {
		slices.Sort(list)
	}
	slices.Sort(sim.measures.waits)
	slices.Sort(sim.measures.urgentWaits)
	slices.Sort(sim.measures.cost.decisions)
}

// quantile returns the q-quantile of a sorted list, or zero if it is empty.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// sample measures packing and shares at the current time and schedules the next sample. VMs
// that are broken or in a domain that is out are left out.
func (sim *simulation) sample() {
	sim.after(sampleInterval, sim.sample)
	usable, used, free := 0, 0.0, 0.0
	var total resource.Vector
	for _, v := range sim.vms {
		if v.Domain == sim.outDomain || v.broken() {
			continue
		}
		usable++
		v.updateProgress()
		cores, memory := v.demand()
		used += max(fraction(cores, v.Capacity[resource.Cores]), fraction(memory, v.Capacity[resource.Memory]))
		free += 1 - v.reservedFraction()
		total = total.Add(v.Capacity)
	}
	sim.measures.samples++
	sim.measures.used += used / float64(usable)
	if !sim.smallWorkWaiting() {
		return
	}
	if sim.outDomain != "" {
		sim.measures.outageContendedSamples++
		sim.measures.outageStranded += free / float64(usable)
	}
	sim.measures.contendedSamples++
	sim.measures.stranded += free / float64(usable)
	sim.sampleShares(total)
}

// fraction returns a/b, at most 1.
func fraction(a, b int64) float64 { return min(1, float64(a)/float64(b)) }

// reservedFraction returns the largest reserved fraction among cores, memory and slots.
func (v *vm) reservedFraction() float64 {
	most := 0.0
	for _, d := range [...]resource.Dimension{resource.Cores, resource.Memory, resource.Slots} {
		most = max(most, fraction(v.reserved[d], v.Capacity[d]))
	}
	return most
}

// smallWorkWaiting reports whether a task of the smallest class, workClasses[0], has waited
// for more than one decision although the limit of its team leaves room for it. Tasks in
// backoff and cancelled jobs are left out.
func (sim *simulation) smallWorkWaiting() bool {
	for _, j := range sim.jobs {
		if j.Class != workClasses[0].name || j.cancelAt != 0 {
			continue
		}
		for _, t := range j.states {
			tm := sim.teams[j.Team]
			if t.status.Phase == sched.Waiting && t.status.NotBefore.IsZero() && sim.now-j.arrival > decideInterval &&
				tm.used.Add(j.Needs[t.status.Ref.Index]).Fits(tm.limit) {
				return true
			}
		}
	}
	return false
}

// sampleShares compares the dominant share of each team with its entitlement.
func (sim *simulation) sampleShares(total resource.Vector) {
	var teams []*teamState
	sum := 0.0
	for _, ts := range teamSpecs {
		tm := sim.teams[ts.name]
		teams = append(teams, tm)
		sum += dominantShare(tm.used, total)
	}
	level := fairLevel(teams, total, sum)
	for _, tm := range teams {
		gap := dominantShare(tm.used, total) - entitlement(tm, total, level)
		gap = max(gap, -gap)
		sim.measures.gapSum += gap
		sim.measures.gapCount++
		sim.measures.gapMax = max(sim.measures.gapMax, gap)
	}
}

// dominantShare returns the largest fraction of total in any dimension (dominant resource
// fairness).
func dominantShare(v, total resource.Vector) float64 {
	most := 0.0
	for d, amount := range v {
		if total[d] > 0 {
			most = max(most, float64(amount)/float64(total[d]))
		}
	}
	return most
}

// entitlement returns the fair share of a team, as a fraction of the cell, at a level per
// unit of weight: the level times its weight, but no more than it uses and waits for or
// its limit allows.
func entitlement(tm *teamState, total resource.Vector, level float64) float64 {
	return min(level*float64(tm.weight), dominantShare(tm.used.Add(tm.waiting), total), tm.teamSpec.limitFraction)
}

// fairLevel finds, by bisection, the level at which the entitlements add up to what is in
// use (weighted max-min fairness).
func fairLevel(teams []*teamState, total resource.Vector, sum float64) float64 {
	low, high := 0.0, 2.0
	for range 40 {
		mid := (low + high) / 2
		at := 0.0
		for _, tm := range teams {
			at += entitlement(tm, total, mid)
		}
		if at < sum {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}
