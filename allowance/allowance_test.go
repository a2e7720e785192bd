package allowance

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/lease"
	"github.com/bulrushwinch/bulrushwinch/resource"
	"pgregory.net/rapid"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20260105", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

var testTerms = lease.Terms{Duration: 2 * time.Hour, StopGrace: time.Minute, DriftPartsPerMillion: 1000}

func slots(n int64) resource.Vector { return resource.Vector{resource.Slots: n} }

// testGroup is a group that uses slots. Its clock differs from the lender's by an offset and a
// drift in parts per million.
type testGroup struct {
	*Borrower
	offset time.Duration
	ppm    int64
	used   int64
}

func (m *testGroup) clock(now time.Duration) time.Duration {
	return m.offset + now + now/1_000_000*time.Duration(m.ppm)
}

// TestSumNeverPassesTheLimit guards against use above the limit. Groups start and end tasks
// and report over a network that loses, delays and duplicates messages, while their clocks
// drift within the agreed bound and new lenders take over.
func TestSumNeverPassesTheLimit(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		limit := rapid.Int64Range(1, 40).Draw(r, "limit")
		l := NewLender(slots(limit), testTerms)
		var groups []*testGroup
		for i := range rapid.IntRange(2, 5).Draw(r, "groups") {
			groups = append(groups, &testGroup{Borrower: NewBorrower(Group(fmt.Sprint(i))),
				offset: time.Duration(i) * time.Hour, ppm: rapid.Int64Range(-450, 450).Draw(r, "ppm")})
		}
		var now time.Duration
		var reports []Report
		var grants []Grant
		for range rapid.IntRange(100, 400).Draw(r, "steps") {
			now += time.Duration(rapid.IntRange(0, 40).Draw(r, "minutes")) * time.Minute
			g := rapid.SampledFrom(groups).Draw(r, "group")
			for _, m := range groups {
				if m.clock(now) >= m.End() {
					m.used = 0
				}
			}
			switch rapid.IntRange(0, 7).Draw(r, "step") {
			case 0, 1, 2:
				want := rapid.Int64Range(0, limit*2).Draw(r, "want")
				report := g.Report(g.clock(now), slots(g.used), slots(want))
				reports = append(reports, report)
				// The report is lost or late if delivery is 0, and the grant if it is 1.
				delivery := rapid.IntRange(0, 3).Draw(r, "fate")
				if delivery == 0 {
					break
				}
				answer, ok := l.Handle(now, report)
				if ok {
					grants = append(grants, answer)
				}
				if ok && delivery > 1 {
					g.Accept(g.clock(now), answer)
				}
			case 3: // A late or duplicated report arrives.
				if len(reports) > 0 {
					if answer, ok := l.Handle(now, drawRecent(r, reports)); ok {
						grants = append(grants, answer)
					}
				}
			case 4: // A late or duplicated grant arrives.
				if len(grants) > 0 {
					answer := drawRecent(r, grants)
					for _, m := range groups {
						m.Accept(m.clock(now), answer)
					}
				}
			case 5, 6: // Tasks start and end.
				if room := g.Usable(g.clock(now))[resource.Slots] - g.used; room > 0 {
					g.used += rapid.Int64Range((room+1)/2, room).Draw(r, "started")
				}
				if rapid.Bool().Draw(r, "ends") {
					g.used -= rapid.Int64Range(0, g.used).Draw(r, "ended")
				}
			case 7: // Another lender may take over.
				if rapid.IntRange(0, 9).Draw(r, "newLender") == 0 {
					l.AssumeRenewed(now)
				}
			}
			sum := int64(0)
			for _, m := range groups {
				sum += max(m.used, m.Usable(m.clock(now))[resource.Slots])
			}
			if sum > limit {
				r.Fatalf("%d of %d slots usable at %s", sum, limit, now)
			}
		}
	})
}

// drawRecent returns one of the latest messages, which may be delivered late or repeatedly.
func drawRecent[T any](r *rapid.T, list []T) T {
	const inFlight = 4
	recent := list[max(0, len(list)-inFlight):]
	return recent[rapid.IntRange(0, len(recent)-1).Draw(r, "message")]
}

// exchange sends one report and its grant without delay, and returns the slots usable then.
func exchange(l *Lender, b *Borrower, now time.Duration, used, want int64) int64 {
	if g, ok := l.Handle(now, b.Report(now, slots(used), slots(want))); ok {
		b.Accept(now, g)
	}
	return b.Usable(now)[resource.Slots]
}

func TestLoansFollowDemandAndSurviveACut(t *testing.T) {
	l := NewLender(slots(100), testTerms)
	north, south := NewBorrower("north"), NewBorrower("south")
	exchange(l, north, 0, 0, 100)
	if got := exchange(l, south, 0, 0, 10); got != 0 {
		t.Errorf("south got %d slots while north held all 100", got)
	}
	exchange(l, north, time.Second, 40, 100)
	if got := exchange(l, north, 2*time.Second, 40, 100); got != 90 {
		t.Errorf("north holds %d slots after south asked for 10, want 90", got)
	}
	if got := exchange(l, south, 2*time.Second, 0, 10); got != 10 {
		t.Errorf("south got %d of the 10 slots it asked for", got)
	}
	if got := south.Usable(time.Hour + 2*time.Second)[resource.Slots]; got != 10 {
		t.Errorf("south holds %d slots after an hour without contact, want 10", got)
	}
	late := testTerms.GrantorExpiry(3 * time.Second)
	if got := south.Usable(late)[resource.Slots]; got != 0 {
		t.Errorf("south holds %d slots after its lease ended", got)
	}
	if got := exchange(l, north, late, 0, 100); got != 100 {
		t.Errorf("north got %d slots after the lease of south ended, want 100", got)
	}
	l.SetLimit(slots(50))
	if got := exchange(l, north, late, 70, 100); got != 50 {
		t.Errorf("north may use %d slots after the limit was lowered to 50", got)
	}
	if got := exchange(l, south, late, 0, 100); got != 0 {
		t.Errorf("south got %d slots while north still uses 70 of a limit of 50", got)
	}
}

// BenchmarkRound measures one round at the planned size, 370 teams and 15 groups: every group
// reports once for every team.
func BenchmarkRound(b *testing.B) {
	const teams, groups = 370, 15
	limit := resource.Vector{1 << 30, 1 << 45, 1000, 20_000, 80_000}
	var lenders []*Lender
	borrowers := make([][]*Borrower, teams)
	for i := range teams {
		lenders = append(lenders, NewLender(limit, testTerms))
		for g := range groups {
			borrowers[i] = append(borrowers[i], NewBorrower(Group(fmt.Sprintf("domain-%02d", g))))
		}
	}
	var now time.Duration
	want := resource.Vector{1 << 27, 1 << 42, 10, 3000, 9000}
	for b.Loop() {
		now += 10 * time.Second
		for i, l := range lenders {
			for _, borrower := range borrowers[i] {
				if g, ok := l.Handle(now, borrower.Report(now, want, want)); ok {
					borrower.Accept(now, g)
				}
			}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*teams*groups), "ns/report")
}
