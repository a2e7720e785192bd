package placement

import (
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

const (
	// ratioUnit is the number of histogram units in a ratio of 1, and ratioLargest the largest recorded ratio in these
	// units: the largest that was measured is 32. With ratioDigits significant digits a bucket is 6% wide, and a
	// histogram takes 1.3 kB.
	ratioUnit    = 100
	ratioLargest = 64 * ratioUnit
	ratioDigits  = 1
	// windowRuns is the number of runs after which the older of the two histograms of a distribution is discarded. The
	// 95th percentile of 500 runs is within some 5%, and the busiest queues run as many in a second.
	windowRuns  = 500
	windowParts = 2
	// knownRuns is the number of ended runs from which on a distribution is used: two of them are above its 95th
	// percentile.
	knownRuns = 40
	// refreshShare is the share of a distribution's runs after which its curve is computed anew, which walks its
	// buckets.
	refreshShare = 1.0 / 16
	// maxDistributions bounds the distributions that are kept, and distributionBytes the memory of one. Together they
	// take at most 4 MB of the leader's memory, a hundredth of a replica's VM. Three queues with ten images on six
	// kinds of upstreams have 213.
	maxDistributions  = 256
	distributionBytes = 16 << 10
	// relearnRuns is the number of ended runs of a queue after which the median and the 95th percentile of a new leader
	// are within relearnMargin of the old leader's. The busiest queues of the users run as many in two seconds.
	relearnRuns   = 400
	relearnMargin = 0.25
	// tailRuns is the weight, in runs, of the assumption that a run takes as long again as it has taken. It decides
	// where a run has lasted longer than nearly all others, so that a distribution tells little.
	tailRuns = 1.0
)

// distributionLevel is what a distribution distinguishes.
type distributionLevel int8

const (
	byQueue distributionLevel = iota
	byImage
	byKind
)

// distributionKey identifies a distribution. The fields that its level does not distinguish are empty.
type distributionKey struct {
	level       distributionLevel
	queue       pipeline.Route
	image, kind string
}

// runTimes holds distributions of the ratio of a run's time to its likely time.
type runTimes struct {
	byKey map[distributionKey]*distribution
	// recorded counts the recorded runs. It orders distributions by their last use.
	recorded int64
}

func newRunTimes() *runTimes { return &runTimes{byKey: make(map[distributionKey]*distribution)} }

// at returns the key of a run at a level.
func (k distributionKey) at(level distributionLevel) distributionKey {
	k.level = level
	if level < byKind {
		k.kind = ""
	}
	if level < byImage {
		k.image = ""
	}
	return k
}

// record adds a run at all levels. A run that was cut short has taken at least so long.
func (t *runTimes) record(k distributionKey, ratio float64, cut bool) {
	t.recorded++
	for level := byQueue; level <= byKind; level++ {
		d := t.byKey[k.at(level)]
		if d == nil {
			d = &distribution{ended: newRatios()}
			t.evictFor(1)
			t.byKey[k.at(level)] = d
		}
		d.lastUsed = t.recorded
		d.add(ratio, cut)
	}
}

// evictFor removes the distributions to which runs were added the longest ago, until there is room for more.
func (t *runTimes) evictFor(more int) {
	for len(t.byKey)+more > maxDistributions {
		var oldest distributionKey
		var used int64 = 1<<63 - 1
		for k, d := range t.byKey {
			// The coarser level stays among equals, as more lookups fall back to it.
			if d.lastUsed < used || d.lastUsed == used && k.level > oldest.level {
				oldest, used = k, d.lastUsed
			}
		}
		delete(t.byKey, oldest)
	}
}

// lookup returns the curve of the finest level with enough runs, or nil if the distribution is not known.
func (t *runTimes) lookup(k distributionKey) *curve {
	for level := byKind; level >= byQueue; level-- {
		if d := t.byKey[k.at(level)]; d != nil && d.curve != nil {
			return d.curve
		}
	}
	return nil
}

// distribution is the distribution of the ratios of the last runs.
type distribution struct {
	// ended holds runs that ended, cut those that were cut short; nil until the first one.
	ended, cut *hdrhistogram.WindowedHistogram
	// inPart is the number of runs in the current histograms, inWindow in all.
	inPart, inWindow int
	// endedRuns is the number of ended runs, sinceCurve of all runs since curve was computed.
	endedRuns, sinceCurve int
	lastUsed              int64
	// curve is nil as long as the distribution has too few runs.
	curve *curve
}

func newRatios() *hdrhistogram.WindowedHistogram {
	return hdrhistogram.NewWindowed(windowParts, 1, ratioLargest, ratioDigits)
}

// add adds a run.
func (d *distribution) add(ratio float64, cut bool) {
	if d.inPart >= windowRuns {
		d.rotate()
	}
	d.inPart, d.inWindow, d.sinceCurve = d.inPart+1, d.inWindow+1, d.sinceCurve+1
	into := d.ended
	if cut {
		if d.cut == nil {
			d.cut = newRatios()
		}
		into = d.cut
	} else {
		d.endedRuns++
	}
	// The value is within the bounds of the histogram, so that it is always recorded.
	_ = into.Current.RecordValue(int64(clamp(ratio*ratioUnit, 1, ratioLargest)))
	if d.endedRuns >= knownRuns && float64(d.sinceCurve) >= refreshShare*float64(d.inWindow) {
		d.sinceCurve, d.curve = 0, newCurve(d)
	}
}

// rotate discards the older histograms.
func (d *distribution) rotate() {
	d.ended.Rotate()
	if d.cut != nil {
		d.cut.Rotate()
	}
	d.inWindow, d.inPart = d.inPart, 0
}

// kindOf returns the kind of an upstream: its service, size and labels other than its rack, which is not a property
// of the machine.
func kindOf(u *pipelinev1.Upstream) string {
	c := u.GetCapacity()
	parts := []string{u.GetService(), strconv.FormatInt(c.GetMilliCores(), 10), strconv.FormatInt(c.GetMemoryMib(), 10)}
	for _, label := range u.GetLabels() {
		if label != u.GetRack() {
			parts = append(parts, label)
		}
	}
	return strings.Join(parts, "\x00")
}

// ownKind returns the kind of the upstream; it composes the kind once for each description.
func (u *Upstream) ownKind() string {
	if u.kindFrom != u.Upstream.Upstream {
		u.kind, u.kindFrom = kindOf(u.Upstream.Upstream), u.Upstream.Upstream
	}
	return u.kind
}

// recordRatio records how long a run took relative to its likely time, once the latter is learned.
func (l *Learner) recordRatio(r *pipeline.Run, took time.Duration, cut bool) {
	st := r.Task.Step
	queue := st.Job().Route()
	if g := l.regressions[queue]; g == nil || g.count < regressionMin {
		return
	}
	likely := float64(l.Likely(st)) * l.slowness(r.Upstream.GetId())
	l.runTimes.record(distributionKey{queue: queue, image: st.Spec.GetImage(), kind: kindOf(r.Upstream.Upstream)}, float64(took)/likely, cut)
}

// RecordCut records a run that was stopped because a copy of it was done: it would have taken longer.
func (l *Learner) RecordCut(r *pipeline.Run, ran time.Duration) {
	if !hasWholeRun(r) {
		return
	}
	l.recordRatio(r, ran, true)
}

// hasWholeRun reports whether the time of a run tells how long its task takes: lasting tasks have no end, members
// of gangs end together, and a task that resumed from a checkpoint had only a part left.
func hasWholeRun(r *pipeline.Run) bool {
	st := r.Task.Step
	return !st.Spec.GetLasting() && !st.Spec.GetGang() && r.Task.Checkpoint == ""
}

// timing is what is known of the run time of a step's tasks on one kind of upstream.
type timing struct {
	// curve is the distribution of the ratio of run times to scale, nil if it is not known. scale is in nanoseconds, for
	// an upstream of average speed: what the step's declared time leads to, or what its tasks that are done took if
	// that is longer. The first tasks to be done are the short ones.
	curve *curve
	scale float64
}

// timingKey identifies a timing in a round.
type timingKey struct {
	step *pipeline.Step
	kind string
}

// timingOf returns the timing of a step's tasks on an upstream. It is looked up once in a round for each kind of
// upstream.
func (r *round) timingOf(st *pipeline.Step, u *Upstream) timing {
	key := timingKey{st, u.ownKind()}
	t, known := r.timings[key]
	if known {
		return t
	}
	t.curve = r.Learner.runTimes.lookup(distributionKey{queue: st.Job().Route(), image: st.Spec.GetImage(), kind: key.kind})
	if t.curve != nil {
		t.scale = float64(r.Learner.Likely(st))
		if w := r.Steps[st]; w != nil && w.meanRunTime.count >= minSiblings {
			t.scale = max(t.scale, w.meanRunTime.value/t.curve.mean)
		}
	}
	r.timings[key] = t
	return t
}

// expected returns the expected run time on an upstream with some slowness.
func (t timing) expected(slowness float64) time.Duration {
	return time.Duration(t.scale * t.curve.mean * slowness)
}
