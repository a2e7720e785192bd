package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/sched"
)

// Bounds that the measures have to meet.
const (
	// maxUrgentWait bounds the p99 of the waiting time of urgent tasks.
	maxUrgentWait = 1900 * time.Millisecond
	// maxWaitRatio bounds p99 waiting times under overload, relative to the baseline.
	maxWaitRatio = 0.5
	// maxShareGap bounds the gap between the share of a team and its entitlement, as a
	// fraction of the cell.
	maxShareGap = 0.05
	// minOutageWork is the least work over an outage, as a fraction of the possible work.
	minOutageWork = 0.95
	// maxStranded bounds the mean unreserved fraction of a VM while small work waits.
	maxStranded = 0.05
	// maxDecisionTime bounds the p99 of the processor time of a decision.
	maxDecisionTime = time.Millisecond
)

// printer writes the rows of the report and counts the missed bounds.
type printer struct {
	out    io.Writer
	missed int
}

// show writes a row with the values of sched and of the baseline.
func (p *printer) show(name string, scheduled, baseline any) {
	fmt.Fprintf(p.out, "  %-54s %12v %12v\n", name, scheduled, baseline)
}

// showBound writes a row whose value of sched has to meet a bound; ok tells whether it does.
func (p *printer) showBound(name string, scheduled, baseline any, ok bool, bound string) {
	mark := "met"
	if !ok {
		mark = "MISSED"
		p.missed++
	}
	fmt.Fprintf(p.out, "  %-54s %12v %12v  %s (%s)\n", name, scheduled, baseline, mark, bound)
}

// report writes the measures of one load, each seed on its own, and returns the number of
// missed bounds.
func report(out io.Writer, u user, l load, results []result) int {
	p := &printer{out: out}
	for i, r := range results {
		fmt.Fprintf(out, "\n%s, %s load, seed %d%48s %12s\n", u.name, l.name, i+1, "bulrushwinch", "FIFO")
		reportWaits(p, l, r)
		reportPacking(p, r)
		reportOutage(p, r)
		reportCost(p, r)
	}
	return p.missed
}

// reportWaits reports waiting times, the work done, and answered and failed tasks.
func reportWaits(p *printer, l load, r result) {
	o, b := r.sched, r.baseline
	seconds := func(d time.Duration) string { return fmt.Sprintf("%.2fs", d.Seconds()) }
	p.show("waiting time to first start p50", seconds(quantile(o.waits, 0.5)), seconds(quantile(b.waits, 0.5)))
	wait, urgent := quantile(o.waits, 0.99), quantile(o.urgentWaits, 0.99)
	baselineWait, baselineUrgent := quantile(b.waits, 0.99), quantile(b.urgentWaits, 0.99)
	if l.level > 1 {
		p.showBound("waiting time to first start p99", seconds(wait), seconds(baselineWait), float64(wait) <= maxWaitRatio*float64(baselineWait), "at most half of the baseline")
		p.showBound("urgent waiting time p99, against baseline", seconds(urgent), seconds(baselineUrgent), float64(urgent) <= maxWaitRatio*float64(baselineUrgent), "at most half of the baseline")
	} else {
		p.show("waiting time to first start p99", seconds(wait), seconds(baselineWait))
	}
	for _, c := range workClasses {
		if !c.urgent {
			p.show("  "+c.name+" p50", seconds(quantile(o.waitsByClass[c.name], 0.5)), seconds(quantile(b.waitsByClass[c.name], 0.5)))
			p.show("  "+c.name+" p99", seconds(quantile(o.waitsByClass[c.name], 0.99)), seconds(quantile(b.waitsByClass[c.name], 0.99)))
		}
	}
	p.show("waiting time, vain attempts counted, p50", seconds(quantile(o.delays, 0.5)), seconds(quantile(b.delays, 0.5)))
	delay, baselineDelay := quantile(o.delays, 0.99), quantile(b.delays, 0.99)
	if l.level > 1 {
		p.showBound("waiting time, vain attempts counted, p99", seconds(delay), seconds(baselineDelay), float64(delay) <= maxWaitRatio*float64(baselineDelay), "at most half of the baseline")
	} else {
		p.show("waiting time, vain attempts counted, p99", seconds(delay), seconds(baselineDelay))
	}
	p.showBound("urgent waiting time p99", seconds(urgent), seconds(baselineUrgent), urgent < maxUrgentWait, "below 1.9s")
	outageUrgent := quantile(r.schedOutage.urgentWaits, 0.99)
	p.showBound("urgent waiting time p99, domain absent", seconds(outageUrgent), seconds(quantile(r.baselineOutage.urgentWaits, 0.99)), outageUrgent < maxUrgentWait, "below 1.9s")
	i := o.busiestDimension()
	scheduled, baseline := o.workBetween(0, horizon, i), b.workBetween(0, horizon, i)
	p.showBound(fmt.Sprintf("work done, %s, of the cell", workDimensions[i]), workPercent(scheduled), workPercent(baseline), scheduled >= baseline, "at least the baseline")
	p.show("tasks answered", o.answered, b.answered)
	p.show("tasks lost (failed too often or not repeatable)", o.lost, b.lost)
	p.show("failed attempts / killed for memory", fmt.Sprint(o.failures, "/", o.killed), fmt.Sprint(b.failures, "/", b.killed))
}

// reportPacking reports how well the cell was used and how far teams were from their shares.
func reportPacking(p *printer, r result) {
	percent := func(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) }
	o, b := r.sched, r.baseline
	p.show("scarcest dimension really used, mean", percent(o.meanUsed()), percent(b.meanUsed()))
	p.showBound("stranded while small work waits, mean", percent(o.meanStranded()), percent(b.meanStranded()), o.meanStranded() < maxStranded, "below 5%")
	p.showBound("gap to share when full, mean", percent(o.meanGap()), percent(b.meanGap()), o.meanGap() < maxShareGap, "below 5% of the cell")
	p.showBound("gap to share when full, largest", percent(o.gapMax), percent(b.gapMax), o.gapMax < maxShareGap, "below 5% of the cell")
}

// meanUsed returns the mean of used over all samples.
func (m *measures) meanUsed() float64 { return m.used / float64(max(1, m.samples)) }

// meanStranded returns the mean of stranded over the contended samples.
func (m *measures) meanStranded() float64 { return m.stranded / float64(max(1, m.contendedSamples)) }

// meanGap returns the mean gap to the entitlement over all teams and contended samples.
func (m *measures) meanGap() float64 { return m.gapSum / float64(max(1, m.gapCount)) }

// remainingFraction is the fraction of the working VMs that is left while one of the three
// domains is out. The broken VM counts neither as left nor as working.
const remainingFraction = float64(workers*2/3-1) / float64(workers-1)

// possibleWork returns the work that was possible during the outage and the recovery time:
// the work of the run without the outage, but during the outage no more than the remaining
// capacity allows.
func possibleWork(without *measures, dimension int) float64 {
	room := remainingFraction * (outageEnd - outageStart).Seconds()
	return min(without.workBetween(outageStart, outageEnd, dimension), room) + without.workBetween(outageEnd, outageEnd+recoveryTime, dimension)
}

// reportOutage reports the work and packing during the outage, the tasks answered in the run
// with it, and how many more tasks were lost than without it.
func reportOutage(p *printer, r result) {
	ratios := func(outage, without, possible float64) string {
		return fmt.Sprintf("%.1f%%/%.1f%%", 100*outage/without, 100*outage/possible)
	}
	end := outageEnd + recoveryTime
	for i, d := range workDimensions {
		name := fmt.Sprintf("work over absence in %s, of run without/possible", d)
		scheduled, baseline := r.schedOutage.workBetween(outageStart, end, i), r.baselineOutage.workBetween(outageStart, end, i)
		o := ratios(scheduled, r.sched.workBetween(outageStart, end, i), possibleWork(r.sched, i))
		b := ratios(baseline, r.baseline.workBetween(outageStart, end, i), possibleWork(r.baseline, i))
		if i == r.sched.busiestDimension() {
			p.showBound(name, o, b, scheduled >= minOutageWork*possibleWork(r.sched, i), "at least 95% of possible")
		} else {
			p.show(name, o, b)
		}
	}
	stranded := func(m *measures) float64 { return m.outageStranded / float64(max(1, m.outageContendedSamples)) }
	percent := func(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) }
	p.showBound("stranded in the domains left while small work waits", percent(stranded(r.schedOutage)), percent(stranded(r.baselineOutage)),
		stranded(r.schedOutage) < maxStranded, "below 5%")
	p.show("tasks answered over absence", r.schedOutage.answered, r.baselineOutage.answered)
	p.show("tasks lost over absence", r.schedOutage.lost-r.sched.lost, r.baselineOutage.lost-r.baseline.lost)
}

// workPercent formats work as a percentage of what the cell could do over the run.
func workPercent(work float64) string { return fmt.Sprintf("%.1f%%", 100*work/horizon.Seconds()) }

// totalStops returns the number of stops for all reasons.
func totalStops(stops map[sched.StopReason]int) int {
	n := 0
	for _, c := range stops {
		n += c
	}
	return n
}

// reportCost reports the processor time of decisions and the number of stops.
func reportCost(p *printer, r result) {
	perPlacement := func(m *measures) string {
		return fmt.Sprintf("%.1fµs", float64(m.cost.total.Nanoseconds())/1000/float64(max(1, m.cost.placements)))
	}
	p.show("processor time per placement", perPlacement(r.sched), perPlacement(r.baseline))
	p99 := quantile(r.sched.cost.decisions, 0.99)
	p.showBound("processor time of a decision, p99", p99, quantile(r.baseline.cost.decisions, 0.99), p99 < maxDecisionTime, "below 1ms")
	p.show("stops", totalStops(r.sched.stops), totalStops(r.baseline.stops))
	for _, reason := range slices.Sorted(maps.Keys(r.schedOutage.stops)) {
		p.show("  "+string(reason)+" (domain absent)", r.schedOutage.stops[reason], r.baselineOutage.stops[reason])
	}
}
