package placement

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// learnRuns records runs of a queue on an upstream, whose times are off the declared ones by a half, and that take so
// many times as long as on others.
func (l *Learner) learnRuns(rng *rand.Rand, runs int, queue, image string, u *pipelinev1.Upstream, slowness float64) {
	for range runs {
		estimate := int64(300 + rng.IntN(900))
		st := &pipeline.Step{Occurrence: &pipeline.Occurrence{Job: jobAt("/"+queue+"/", queue)},
			Spec: &pipelinev1.Step{Count: 1, EstimateMs: estimate, Image: image}}
		took := float64(estimate) * math.Exp(0.5*rng.NormFloat64()) * slowness
		l.RecordRun(&pipeline.Run{Task: &pipeline.Task{Step: st}, Upstream: &pipeline.Upstream{Upstream: u}}, time.Duration(took*float64(time.Millisecond)), nil)
	}
}

// jobAt returns a job that was accepted by a queue with a name, at a path prefix.
func jobAt(prefix, name string) *pipeline.Job {
	return &pipeline.Job{Spec: &pipelinev1.JobSpec{Queue: name}, AcceptedQueue: &pipelinev1.Queue{Name: name, Host: "h", PathPrefix: prefix}}
}

// After a change of leader, run times must soon be known as well as before: until then stragglers are found late.
func TestNewLeaderRelearnsRunTimes(t *testing.T) {
	u := &pipelinev1.Upstream{Id: "u0", Service: "print"}
	key := distributionKey{queue: jobAt("/settle/", "").Route(), image: "a", kind: kindOf(u)}
	for seed := range uint64(10) {
		rng, old, next := rand.New(rand.NewPCG(seed, 1)), NewLearner(), NewLearner()
		old.learnRuns(rng, 5000, "settle", "a", u, 1)
		next.learnRuns(rng, relearnRuns, "settle", "a", u, 1)
		before, after := old.runTimes.lookup(key), next.runTimes.lookup(key)
		if after == nil {
			t.Fatal("the new leader knows no distribution")
		}
		for _, q := range []float64{0.5, 0.95} {
			if x, y := before.quantile(q), after.quantile(q); math.Abs(y/x-1) > relearnMargin {
				t.Errorf("seed %d: the ratio at %v is %.2f for the old leader and %.2f for the new one", seed, q, x, y)
			}
		}
	}
}

// Images are named by callers. Any number of them must not take more memory than distributions may, nor displace
// those that are in use.
func TestDistributionsAreBounded(t *testing.T) {
	l, rng := NewLearner(), rand.New(rand.NewPCG(1, 1))
	u := &pipelinev1.Upstream{Id: "u0", Service: "print"}
	l.learnRuns(rng, 2*relearnRuns, "settle", "used", u, 1)
	for i := range 3 * maxDistributions {
		l.learnRuns(rng, 1, "settle", fmt.Sprint("image", i), u, 1)
		l.learnRuns(rng, 1, "settle", "used", u, 1)
	}
	if n := len(l.runTimes.byKey); n > maxDistributions {
		t.Errorf("%d distributions are kept, more than %d", n, maxDistributions)
	}
	d := l.runTimes.byKey[distributionKey{byKind, jobAt("/settle/", "").Route(), "used", kindOf(u)}]
	if d == nil || d.curve == nil {
		t.Fatal("the distribution in use was displaced")
	}
	// A point of a curve takes three words.
	if n := 2*(windowParts+1)*d.ended.Current.ByteSize() + 24*len(d.ended.Merge().Distribution()); n > distributionBytes {
		t.Errorf("a distribution takes %d bytes, more than %d", n, distributionBytes)
	}
	if c := l.runTimes.lookup(distributionKey{queue: jobAt("/settle/", "").Route(), image: "other", kind: "other"}); c != l.runTimes.byKey[distributionKey{level: byQueue, queue: jobAt("/settle/", "").Route()}].curve {
		t.Error("an image without runs does not fall back to its queue")
	}
}

// Runs that a copy cut short must count as longer than they ran: counted as ended, or left out, they make stragglers
// look like runs that are about to end.
func TestRunsThatWereCutShortAreLonger(t *testing.T) {
	d := &distribution{ended: newRatios()}
	for i := range 110 {
		switch {
		case i < 50:
			d.add(1.5, true)
		case i < 60:
			d.add(3, false)
		default:
			d.add(1, false)
		}
	}
	c := newCurve(d)
	if math.Abs(c.mean-2.09) > 0.15 {
		t.Errorf("the mean is %.2f; expected 1 + 2 x 60/110", c.mean)
	}
	if got := c.remaining(1.2); math.Abs(got-1.8) > 0.15 {
		t.Errorf("a run that has taken 1.2 takes %.2f more; expected 1.8", got)
	}
	if got := c.remaining(20); got < 10 {
		t.Errorf("a run that has taken far longer than all others takes %.2f more", got)
	}
}

// quantile returns the ratio that a share of the runs does not exceed.
func (c *curve) quantile(share float64) float64 {
	i, _ := slices.BinarySearchFunc(c.points, 1-share, func(p curvePoint, above float64) int { return cmp.Compare(above, p.above) })
	return c.points[min(i, len(c.points)-1)].at
}

// What is learned of a queue's runs is that of the jobs at its route, whatever its name. After a rename it was lost, and a
// queue that took the name was taken for the one that had it.
func TestLearnedRunTimesOutliveARename(t *testing.T) {
	l, rng := NewLearner(), rand.New(rand.NewPCG(1, 1))
	u := &pipelinev1.Upstream{Id: "u0", Service: "print"}
	l.learnRuns(rng, relearnRuns, "settle", "a", u, 3)
	expected := func(prefix, name string) (time.Duration, bool) {
		st := &pipeline.Step{Occurrence: &pipeline.Occurrence{Job: jobAt(prefix, name)}, Spec: &pipelinev1.Step{Count: 1, EstimateMs: 1000, Image: "a"}}
		return l.Expected(st), l.runTimes.lookup(distributionKey{queue: st.Job().Route(), image: "a", kind: kindOf(u)}) != nil
	}
	if d, known := expected("/settle/", "renamed"); d < 2*time.Second || !known {
		t.Errorf("after a rename a task of 1 s is expected to take %v; distribution known: %t", d, known)
	}
	if d, known := expected("/elsewhere/", "settle"); d != time.Second || known {
		t.Errorf("a queue with the old name: a task of 1 s is expected to take %v; distribution known: %t", d, known)
	}
}
