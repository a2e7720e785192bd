package placement

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/pipeline"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

const (
	// replayStep is the time between two rounds of a replay.
	replayStep = 10 * time.Millisecond
	// replayPause is the time from the begin of a round to the next one as a multiple of its length.
	replayPause = 6
	// replayDelay is the time from the end of a run to its commit, or from a stop to its end.
	replayDelay = 40 * time.Millisecond
	replayStop  = 250 * time.Millisecond
)

// class is a kind of job of a replayed load.
type class struct {
	queue string
	// perSecond is the rate of jobs, steps the mean number of steps, tasks of tasks in a step.
	perSecond, steps, tasks float64
	// seconds is the mean run time of a task, milliCores and memoryMiB what it needs.
	seconds               float64
	milliCores, memoryMiB float64
	// gangs and saves are the shares of jobs whose steps are gangs, and that write checkpoints.
	gangs, saves float64
	// forks is the share of jobs whose steps all follow the first one, rather than each other.
	forks float64
	// off is how far declared run times are off, as a share.
	off float64
	// allowed is the share of upstreams that may run a step.
	allowed float64
	// fails is the share of runs that fail.
	fails float64
	// lasts is how long lasting tasks run until their job is cancelled; zero for tasks that end.
	lasts time.Duration
	// copies is set if tasks may have copies; long is the share of tasks that take longTask times as long as others.
	copies bool
	long   float64
}

// longTask is how many times as long as others a long task takes.
const longTask = 7

// pressure multiplies the rate of a class, or takes a share of the upstreams out, for some time.
type pressure struct {
	class    string
	from, to time.Duration
	times    float64
	// out is the share of the upstreams that get no new work.
	out float64
	// hot multiplies the rate of all classes for some teams: the largest, or those of teams.
	hot   float64
	teams []int
}

// replay runs rounds of decisions on a load in virtual time, with a stand-in permit service and
// upstreams that run what is placed on them.
type replay struct {
	*fixture
	// rng draws the load, outcomes how its runs end, so that the load does not depend on decisions.
	rng, outcomes *rand.Rand
	queues        []*pipelinev1.Queue
	classes       []class
	speed         map[string]float64
	// callers hold the questions that are being answered, waiting those that wait for a caller.
	callers []*answering
	waiting []*Question
	pending []event
	jobs    map[string]*replayedJob
	left    map[*pipeline.Task]time.Duration
	credit  map[string]*credit
	rounds  int
	// inspection is how long a round takes for each upstream or run that it inspects, nextRound when
	// the next one may begin; the pause between rounds is five times their length.
	inspection, nextRound time.Duration
	// fixedOutcomes makes a run's outcome depend on its task and number alone, not on what else was placed.
	fixedOutcomes bool
	// admission decides on jobs that are handed in, if it is set; see admit.
	admission *replayAdmission
	// These are called if they are set: watch after each step of time, decided after each round, and finished
	// with each job and the time that it took.
	watch    func(now time.Duration)
	decided  func(d Decision)
	finished func(j *replayedJob, took time.Duration)
	// startDelay, if it is set, returns how long after its placement a run begins. Upstreams then confirm starts.
	startDelay func() time.Duration
	// copiesFirst is the number of copies that were done before the first run of their task.
	copiesFirst int
	// others is what the jobs of all teams but the largest earned; largest is the number of those.
	others  credit
	largest int
}

type answering struct {
	q  *Question
	at time.Duration
}

type event struct {
	at time.Duration
	do func()
}

type replayedJob struct {
	class     string
	team      int
	gang      bool
	straggles bool
	at        time.Duration
	objective time.Duration
	work      float64
}

// deployment is the size of a replayed cell.
type deployment struct {
	// cores are those of each upstream, in thousandths; callers is the number of processes that ask the
	// permit service.
	cores   []int64
	callers int
	// teams is their number. The weight and the limit of the i-th are proportional to 1/i^skew, and the limits
	// sum to a multiple of the cell.
	teams       int
	limit, skew float64
}

// weight returns the weight of a team relative to the largest.
func (d deployment) weight(team int) float64 { return math.Pow(float64(team+1), -d.skew) }

// newReplay returns a replay of a deployment with some classes of jobs.
func newReplay(tb testing.TB, seed uint64, queues []*pipelinev1.Queue, classes []class, d deployment) *replay {
	f := &fixture{tb: tb, cell: &Cell{State: pipeline.New(), Steps: make(map[*pipeline.Step]*Work), Prefetched: make(map[*pipeline.Step]*Work), Learner: NewLearner(),
		RecentUse: NewRecentUse(), Rand: rand.New(rand.NewPCG(seed, 2))}}
	r := &replay{fixture: f, rng: rand.New(rand.NewPCG(seed, 1)), outcomes: rand.New(rand.NewPCG(seed, 3)), queues: queues, classes: classes, speed: make(map[string]float64),
		callers: make([]*answering, d.callers), jobs: make(map[string]*replayedJob), left: make(map[*pipeline.Task]time.Duration), credit: make(map[string]*credit), largest: 1}
	config := &pipelinev1.Config{Version: 1, Document: []byte("text"), Services: []*pipelinev1.Service{{Name: "print"}}, Queues: queues}
	total, weights := 0.0, 0.0
	for _, c := range d.cores {
		total += float64(c)
	}
	for i := range d.teams {
		weights += d.weight(i)
	}
	for i := range d.teams {
		most := total * d.limit * d.weight(i) / weights
		config.Teams = append(config.Teams, &pipelinev1.Team{Name: teamName(i), KeySha256: [][]byte{teamKey(i)}, Weight: int64(100 * d.weight(i)),
			Limit: &pipelinev1.Resources{MilliCores: int64(most), MemoryMib: int64(most * 2.3)}})
	}
	f.apply(&pipelinev1.Command{Command: &pipelinev1.Command_PutConfig{PutConfig: config}})
	for i, c := range d.cores {
		u := f.addUpstream(fmt.Sprintf("u%04d", i), c)
		u.Upstream.Capacity.MemoryMiB = 4 * c
		u.Upstream.Upstream.Capacity.MemoryMib = 4 * c
		r.speed[u.GetId()] = []float64{1, 1, 1.3}[i%3]
	}
	for _, c := range classes {
		r.credit[c.queue] = &credit{}
	}
	f.cell.State.Observe(r)
	return r
}

// run replays a load: jobs are handed in for some time, and then it goes on until all have ended or a
// minute has passed.
func (r *replay) run(length time.Duration, pressures ...pressure) {
	for now := time.Duration(0); now < length || now < length+time.Minute && len(r.jobs) > 0; now += replayStep {
		r.cell.Now, r.cell.WallNS = now, int64(time.Second)+int64(now)
		if now < length {
			r.arrive(now, pressures)
		}
		r.advance(now)
		out := 0.0
		for _, p := range pressures {
			if now >= p.from && now < p.to {
				out += p.out
			}
		}
		for i, u := range r.cell.Upstreams {
			u.Usable = float64(i) >= out*float64(len(r.cell.Upstreams))
		}
		if now >= r.nextRound {
			r.decide(now)
		}
		if r.watch != nil {
			r.watch(now)
		}
	}
	for _, j := range r.jobs {
		r.count(j, math.MaxInt64)
	}
}

// arrive hands in the jobs of one step of time.
func (r *replay) arrive(now time.Duration, pressures []pressure) {
	for _, c := range r.classes {
		rate := c.perSecond
		for _, p := range pressures {
			if p.class == c.queue && now >= p.from && now < p.to {
				rate *= p.times
			}
		}
		for range r.poisson(rate * replayStep.Seconds()) {
			r.handIn(c, now, r.team())
		}
		for _, p := range pressures {
			if p.hot <= 1 || now < p.from || now >= p.to {
				continue
			}
			for _, team := range p.hotTeams() {
				for range r.poisson((p.hot - 1) * r.teamShare(team) * rate * replayStep.Seconds()) {
					r.handIn(c, now, team)
				}
			}
		}
	}
}

// handIn hands in one job of a team, unless it can never run.
func (r *replay) handIn(c class, now time.Duration, team int) {
	gang, saves := r.rng.Float64() < c.gangs, r.rng.Float64() < c.saves
	n := max(1, int(math.Round(r.vary(c.steps, 0.4, 2.5))))
	if c.steps == 1 {
		n = 1
	}
	length := r.vary(c.seconds, 0.5, 2.5)
	need := &pipelinev1.Resources{MilliCores: int64(r.vary(c.milliCores, 0.4, 1.7)), MemoryMib: int64(r.vary(c.memoryMiB, 0.5, 2))}
	forks := c.forks > 0 && r.rng.Float64() < c.forks
	var steps []*pipelinev1.Step
	for i := range n {
		estimate := length * (1 - c.off + 2*c.off*r.rng.Float64())
		st := &pipelinev1.Step{Count: int32(max(1, r.vary(c.tasks, 0.8, 5))), Need: need, EstimateMs: int64(1000 * estimate), Gang: gang, Checkpointing: saves, Lasting: c.lasts > 0, Copies: c.copies}
		if i > 0 {
			st.DependsOn = []int32{int32(i - 1)}
			if forks {
				st.DependsOn[0] = 0
			}
		}
		steps = append(steps, st)
	}
	if unservable(r.cell.State.Config().GetTeams()[team], &pipelinev1.JobSpec{Steps: steps}) != "" {
		return
	}
	var lefts []time.Duration
	for _, st := range steps {
		for range st.Count {
			lefts = append(lefts, time.Duration(length*(0.85+0.3*r.rng.Float64())*float64(time.Second)))
			if c.long > 0 && r.rng.Float64() < c.long {
				lefts[len(lefts)-1] *= longTask
			}
		}
	}
	r.admit(c, now, team, steps, func() {
		j := r.submit(c.queue, team, steps...)
		q := r.cell.State.JobQueue(j)
		permit := q.GetPermits().GetDecisionMs() + 30*q.GetPermits().GetPerUpstreamMs()
		long := n
		if forks {
			long = min(n, 2)
		}
		chain := float64(long) * (length + permit/1000)
		work := 0.0
		for _, st := range j.Occurrences[0].Steps {
			for _, t := range st.Tasks {
				r.left[t], lefts = lefts[0], lefts[1:]
				work += r.left[t].Seconds() * float64(st.Need.MilliCores)
			}
		}
		mean := c.steps * c.tasks * c.seconds * c.milliCores
		r.jobs[j.Spec.GetId()] = &replayedJob{class: c.queue, team: team, gang: gang, at: now, work: 0.3 + 0.7*min(4, work/mean),
			objective: time.Duration((q.GetStretch()*chain + float64(q.GetTargetLatencyMs())/1000) * float64(time.Second))}
		r.cell.Steps[j.Occurrences[0].Steps[0]] = NewWork(j.Occurrences[0].Steps[0], r.cell.Now)
		if c.lasts > 0 {
			r.cancelAfter(j, c.lasts)
		}
	})
}

// teamShare returns the share of the jobs that a team sends.
func (r *replay) teamShare(team int) float64 {
	sum := int64(0)
	for _, t := range r.cell.State.Config().GetTeams() {
		sum += t.GetWeight()
	}
	return float64(r.cell.State.Config().GetTeams()[team].GetWeight()) / float64(sum)
}

// team draws a team by weight.
func (r *replay) team() int {
	teams := r.cell.State.Config().GetTeams()
	sum := int64(0)
	for _, t := range teams {
		sum += t.GetWeight()
	}
	at := r.rng.Int64N(sum)
	for i, t := range teams {
		if at -= t.GetWeight(); at < 0 {
			return i
		}
	}
	return 0
}

// advance ends runs and answers questions that are due.
func (r *replay) advance(now time.Duration) {
	due := r.pending
	r.pending = nil
	slices.SortStableFunc(due, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	for _, e := range due {
		if e.at > now {
			r.pending = append(r.pending, e)
			continue
		}
		e.do()
	}
	for i, a := range r.callers {
		if a != nil && a.at <= now {
			r.answer(a.q, now)
			r.callers[i] = nil
		}
	}
}

// decide runs a round and carries it out.
func (r *replay) decide(now time.Duration) {
	r.rounds++
	r.cell.Askers = Askers{Callers: len(r.callers), Waiting: r.waiting}
	for _, a := range r.callers {
		switch {
		case a == nil:
			r.cell.Askers.Idle++
		case a.q.Costly:
			r.cell.Askers.Costly++
		}
	}
	r.cell.RecentUse.Sample(r.cell.State, now)
	r.admission.summarize(r)
	d := Decide(r.cell)
	if r.decided != nil {
		r.decided(d)
	}
	r.nextRound = now + replayPause*time.Duration(d.Inspected)*r.inspection
	for _, s := range d.Stops {
		r.stop(s.Run, now)
	}
	r.waiting = append(r.waiting, d.Questions...)
	slices.SortStableFunc(r.waiting, func(a, b *Question) int {
		return cmp.Or(compareBools(a.PastUse, b.PastUse), cmp.Compare(a.Priority, b.Priority))
	})
	r.put(now)
	if len(d.Runs) > 0 {
		r.apply(&pipelinev1.Command{Command: &pipelinev1.Command_Place{Place: &pipelinev1.Place{Runs: d.Runs}}})
	}
}

// put gives waiting questions to idle callers.
func (r *replay) put(now time.Duration) {
	r.waiting = slices.DeleteFunc(r.waiting, func(q *Question) bool { return len(q.Work.Pending) == 0 })
	costly := 0
	for _, a := range r.callers {
		if a != nil && a.q.Costly {
			costly++
		}
	}
	for i, a := range r.callers {
		if a != nil {
			continue
		}
		askers := Askers{Callers: len(r.callers), Costly: costly}
		at := slices.IndexFunc(r.waiting, func(q *Question) bool { return !q.Costly || askers.MayPutCostly() })
		if at < 0 {
			return
		}
		q := r.waiting[at]
		r.waiting = slices.Delete(r.waiting, at, at+1)
		r.callers[i] = &answering{q, now + time.Duration(q.CostMS*float64(time.Millisecond)) + 20*time.Millisecond}
		if q.Costly {
			costly++
		}
	}
}

// answer applies the answer of the permit service, which never changes for a step and an upstream.
func (r *replay) answer(q *Question, now time.Duration) {
	st, w := q.Work.Step, q.Work
	w.Forget(q)
	good := 0
	for _, id := range q.Upstreams {
		if !r.allows(st, id) {
			w.Denied[id] = true
			continue
		}
		good++
		valid := r.cell.State.JobQueue(st.Job()).GetPermits().GetValidMs()
		w.Permits[id] = Permit{Ticket: "ticket", Born: 1, Expires: now + time.Duration(valid)*time.Millisecond - 250*time.Millisecond}
	}
	r.cell.Learner.RecordAnswer(st, len(q.Upstreams), good)
}

// allows reports whether an upstream may run a step.
func (r *replay) allows(st *pipeline.Step, upstream string) bool {
	share := 0.0
	for _, c := range r.classes {
		if c.queue == st.Job().Spec.GetQueue() {
			share = c.allowed
		}
	}
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, st.Job().Spec.GetId(), st.Index, upstream)
	return float64(h.Sum32()%1000)/1000 < share
}

// stop ends a run after the time that a stop takes; its work up to now is saved.
func (r *replay) stop(run *pipeline.Run, now time.Duration) {
	u := r.upstream(run.Upstream.GetId())
	u.Stopping[run.Key()] = true
	r.pending = append(r.pending, event{now + replayStop, func() { r.end(run, pipelinev1.EndKind_END_KIND_STOPPED) }})
}

func (r *replay) upstream(id string) *Upstream {
	i, known := slices.BinarySearchFunc(r.cell.Upstreams, id, func(u *Upstream, id string) int { return cmp.Compare(u.GetId(), id) })
	if !known {
		return nil
	}
	return r.cell.Upstreams[i]
}

// end commits the end of a run, if it has not ended yet.
func (r *replay) end(run *pipeline.Run, kind pipelinev1.EndKind) {
	if run.Upstream.Runs[run.Key()] != run {
		return
	}
	if kind == pipelinev1.EndKind_END_KIND_STOPPED && run.Task.Step.Spec.GetCheckpointing() {
		ran := time.Duration(float64(r.cell.WallNS-run.PlacedNS) / r.speed[run.Upstream.GetId()])
		r.left[run.Task] = max(50*time.Millisecond, r.left[run.Task]-ran+100*time.Millisecond)
	}
	r.apply(&pipelinev1.Command{Command: &pipelinev1.Command_Ends{Ends: &pipelinev1.Ends{Ends: []*pipelinev1.End{{Run: run.Proto(), Kind: kind}}}}})
}
