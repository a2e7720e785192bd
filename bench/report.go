package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/bulrushwinch/bulrushwinch/sched"
)

// Bounds that the measures are held against.
const (
	boundUrgent   = 1900 * time.Millisecond
	boundWait     = 0.5
	boundGap      = 0.05
	boundKept     = 0.95
	boundStranded = 0.05
	boundDecision = time.Millisecond
)

// line prints one measure of ours and the baseline, with its verdict.
type lines struct {
	out    io.Writer
	missed int
}

func (l *lines) show(name string, ours, base any) {
	fmt.Fprintf(l.out, "  %-54s %12v %12v\n", name, ours, base)
}

func (l *lines) judge(name string, ours, base any, ok bool, bound string) {
	mark := "met"
	if !ok {
		mark = "MISSED"
		l.missed++
	}
	fmt.Fprintf(l.out, "  %-54s %12v %12v  %s (%s)\n", name, ours, base, mark, bound)
}

// report prints the measures of one load, each seed on its own.
func report(out io.Writer, u user, l load, results []result) int {
	p := &lines{out: out}
	for i, r := range results {
		fmt.Fprintf(out, "\n%s, %s load, seed %d%48s %12s\n", u.name, l.name, i+1, "bulrushwinch", "FIFO")
		reportWaits(p, l, r)
		reportPacking(p, r)
		reportKept(p, r)
		reportCost(p, r)
	}
	return p.missed
}

func reportWaits(p *lines, l load, r result) {
	o, b := r.ours, r.base
	ms := func(d time.Duration) string { return fmt.Sprintf("%.2fs", d.Seconds()) }
	p.show("waiting time to first start p50", ms(quantile(o.waits, 0.5)), ms(quantile(b.waits, 0.5)))
	wait, urgent := quantile(o.waits, 0.99), quantile(o.urgent, 0.99)
	baseWait, baseUrgent := quantile(b.waits, 0.99), quantile(b.urgent, 0.99)
	if l.level > 1 {
		p.judge("waiting time to first start p99", ms(wait), ms(baseWait), float64(wait) <= boundWait*float64(baseWait), "at most half of the baseline")
		p.judge("urgent waiting time p99, against baseline", ms(urgent), ms(baseUrgent), float64(urgent) <= boundWait*float64(baseUrgent), "at most half of the baseline")
	} else {
		p.show("waiting time to first start p99", ms(wait), ms(baseWait))
	}
	for _, k := range kinds {
		if !k.urgent {
			p.show("  "+k.name+" p50", ms(quantile(o.byClass[k.name], 0.5)), ms(quantile(b.byClass[k.name], 0.5)))
			p.show("  "+k.name+" p99", ms(quantile(o.byClass[k.name], 0.99)), ms(quantile(b.byClass[k.name], 0.99)))
		}
	}
	p.show("waiting time, vain attempts counted, p50", ms(quantile(o.delays, 0.5)), ms(quantile(b.delays, 0.5)))
	delay, baseDelay := quantile(o.delays, 0.99), quantile(b.delays, 0.99)
	if l.level > 1 {
		p.judge("waiting time, vain attempts counted, p99", ms(delay), ms(baseDelay), float64(delay) <= boundWait*float64(baseDelay), "at most half of the baseline")
	} else {
		p.show("waiting time, vain attempts counted, p99", ms(delay), ms(baseDelay))
	}
	p.judge("urgent waiting time p99", ms(urgent), ms(baseUrgent), urgent < boundUrgent, "below 1.9s")
	away := quantile(r.oursAway.urgent, 0.99)
	p.judge("urgent waiting time p99, domain absent", ms(away), ms(quantile(r.baseAway.urgent, 0.99)), away < boundUrgent, "below 1.9s")
	i := o.scarcest()
	ours, base := o.between(0, horizon, i), b.between(0, horizon, i)
	p.judge(fmt.Sprintf("work done, %s, of the cell", scarce[i]), share(ours), share(base), ours >= base, "at least the baseline")
	p.show("tasks answered", o.answered, b.answered)
	p.show("tasks lost (failed too often or not repeatable)", o.lost, b.lost)
	p.show("failed attempts / killed for memory", fmt.Sprint(o.failures, "/", o.killed), fmt.Sprint(b.failures, "/", b.killed))
}

func reportPacking(p *lines, r result) {
	pc := func(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) }
	o, b := r.ours, r.base
	p.show("scarcest dimension really used, mean", pc(o.meanUsed()), pc(b.meanUsed()))
	p.judge("stranded while small work waits, mean", pc(o.meanStranded()), pc(b.meanStranded()), o.meanStranded() < boundStranded, "below 5%")
	p.judge("gap to share when full, mean", pc(o.meanGap()), pc(b.meanGap()), o.meanGap() < boundGap, "below 5% of the cell")
	p.judge("gap to share when full, largest", pc(o.gapMax), pc(b.gapMax), o.gapMax < boundGap, "below 5% of the cell")
}

func (m *measures) meanUsed() float64     { return m.used / float64(max(1, m.samples)) }
func (m *measures) meanStranded() float64 { return m.stranded / float64(max(1, m.full)) }
func (m *measures) meanGap() float64      { return m.gapSum / float64(max(1, m.gapCount)) }

// remaining is the fraction of the working VMs that is left without one of the three
// domains; the broken VM counts for neither.
const remaining = float64(workers*2/3-1) / float64(workers-1)

// allowed returns the work that the capacity left allows over the absence of a domain
// and the time after: what the run without it did, at most the capacity left.
func allowed(without *measures, dimension int) float64 {
	room := remaining * (domainIn - domainOut).Seconds()
	return min(without.between(domainOut, domainIn, dimension), room) + without.between(domainIn, domainIn+aftermath, dimension)
}

func reportKept(p *lines, r result) {
	ratio := func(away, without, bound float64) string {
		return fmt.Sprintf("%.1f%%/%.1f%%", 100*away/without, 100*away/bound)
	}
	end := domainIn + aftermath
	for i, d := range scarce {
		name := fmt.Sprintf("work over absence in %s, of run without/possible", d)
		ours, base := r.oursAway.between(domainOut, end, i), r.baseAway.between(domainOut, end, i)
		o := ratio(ours, r.ours.between(domainOut, end, i), allowed(r.ours, i))
		b := ratio(base, r.base.between(domainOut, end, i), allowed(r.base, i))
		if i == r.ours.scarcest() {
			p.judge(name, o, b, ours >= boundKept*allowed(r.ours, i), "at least 95% of possible")
		} else {
			p.show(name, o, b)
		}
	}
	left := func(m *measures) float64 { return m.strandedAway / float64(max(1, m.fullAway)) }
	percent := func(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) }
	p.judge("stranded in the domains left while small work waits", percent(left(r.oursAway)), percent(left(r.baseAway)),
		left(r.oursAway) < boundStranded, "below 5%")
	p.show("tasks answered over absence", r.oursAway.answered, r.baseAway.answered)
	p.show("tasks lost over absence", r.oursAway.lost-r.ours.lost, r.baseAway.lost-r.base.lost)
}

// share renders work as a fraction of what the cell could do over the run.
func share(work float64) string { return fmt.Sprintf("%.1f%%", 100*work/horizon.Seconds()) }

func total(stops map[sched.StopReason]int) int {
	n := 0
	for _, k := range stops {
		n += k
	}
	return n
}

func reportCost(p *lines, r result) {
	per := func(m *measures) string {
		return fmt.Sprintf("%.1fµs", float64(m.cost.total.Nanoseconds())/1000/float64(max(1, m.cost.placements)))
	}
	p.show("processor time per placement", per(r.ours), per(r.base))
	p99 := quantile(r.ours.cost.rounds, 0.99)
	p.judge("processor time of a decision, p99", p99, quantile(r.base.cost.rounds, 0.99), p99 < boundDecision, "below 1ms")
	p.show("stops", total(r.ours.stops), total(r.base.stops))
	for _, why := range slices.Sorted(maps.Keys(r.oursAway.stops)) {
		p.show("  "+string(why)+" (domain absent)", r.oursAway.stops[why], r.baseAway.stops[why])
	}
}
