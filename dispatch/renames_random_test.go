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
	"google.golang.org/protobuf/proto"
)

// renamesPlay puts jobs through random configurations, which rename, remove, add and cover queues, rename services and
// teams and move keys, and through restarts and changes of leader. It checks the rule: a job is known, followed and cancelled
// at the host and path where it was handed in.
type renamesPlay struct {
	*harness
	rng  *rand.Rand
	jobs []*playedJob
	// handedIn counts the jobs, also those that were refused.
	handedIn int
	// cfg is the active configuration, services are their names then.
	cfg *pipelinev1.Config
}

// playedJob is what its callers know of a job.
type playedJob struct {
	id, path, key string
	spec          *pipelinev1.JobSpec
	// route and service are those of the queue that accepted it, keyless that its key was unknown then.
	route    pipeline.Route
	service  string
	accepted bool
	keyless  bool
	// stuck is set if no upstream can run it.
	stuck bool
	// kin are the keys that were of one team with key in all configurations since, none once key has left its team.
	kin       map[string]bool
	cancelled time.Duration
}

// playedPrefixes cover each other; playedKeys move between teams, but for the last one.
var (
	playedPrefixes = []string{"/labels/", "/labels/0", "/labels/00", "/other/"}
	playedKeys     = []string{"k1", "k2", "k3", "k4", "stranger"}
)

// draw returns a random configuration.
func (p *renamesPlay) draw() *pipelinev1.Config {
	names, services := p.rng.Perm(6), p.rng.Perm(3)
	c := &pipelinev1.Config{Version: p.state.Config().GetVersion() + 1, Document: []byte("text"), Services: []*pipelinev1.Service{{Name: "s0"}, {Name: "s1"}, {Name: "s2"}}}
	for i, prefix := range playedPrefixes {
		if p.rng.IntN(4) > 0 {
			c.Queues = append(c.Queues, &pipelinev1.Queue{Name: fmt.Sprint("q", names[i]), Host: "h", PathPrefix: prefix, Service: fmt.Sprint("s", services[0]),
				MaxAttempts: int32(1 + p.rng.IntN(5)), TimeoutMs: 1000, Stretch: 2, Open: p.rng.IntN(6) == 0})
		}
	}
	teams := make([][]string, 3)
	for _, key := range playedKeys[:4] {
		if at := p.rng.IntN(9); at < 8 {
			teams[min(at/3, 2)] = append(teams[min(at/3, 2)], key)
		}
	}
	for i, n := range p.rng.Perm(3) {
		c.Teams = append(c.Teams, teamOf(fmt.Sprint("t", n), teams[i]...))
	}
	c.Teams = append(c.Teams, teamOf("strangers", "stranger"))
	return c
}

// configure has an operator put a configuration in force, and upstreams report the service that its queues send to.
func (p *renamesPlay) configure() {
	p.configureTo(p.draw())
}

func (p *renamesPlay) configureTo(c *pipelinev1.Config) {
	p.start(&pipelinev1.Call{Call: &pipelinev1.Call_PutConfig{PutConfig: &pipelinev1.PutConfigCall{Config: proto.CloneOf(c)}}})
	before := p.cfg
	p.cfg = c
	for _, j := range p.jobs {
		old, team := teamOfKey(before, j.key), p.teamOfKey(j.key)
		moved := slices.ContainsFunc(c.Teams, func(t *pipelinev1.Team) bool { return t != team && t.Name == old.GetName() && shareKey(t, old) })
		for key := range j.kin {
			if team == nil || moved || p.teamOfKey(key) != team {
				delete(j.kin, key)
			}
		}
	}
}

// shareKey reports whether two teams have a key in common.
func shareKey(a, b *pipelinev1.Team) bool {
	return slices.ContainsFunc(a.GetKeySha256(), func(key []byte) bool {
		return slices.ContainsFunc(b.GetKeySha256(), func(other []byte) bool { return string(key) == string(other) })
	})
}

func (p *renamesPlay) report() {
	for id, f := range p.upstreams {
		if len(p.cfg.Queues) > 0 {
			f.service = p.cfg.Queues[0].Service
		}
		p.sendHeartbeat(id)
	}
}

func (p *renamesPlay) teamOfKey(key string) *pipelinev1.Team { return teamOfKey(p.cfg, key) }

// teamOfKey returns the team of a configuration that holds a key, or nil.
func teamOfKey(c *pipelinev1.Config, key string) *pipelinev1.Team {
	for _, t := range c.GetTeams() {
		if shareKey(t, teamOf("", key)) {
			return t
		}
	}
	return nil
}

// queueAt returns the queue that covers a path.
func (p *renamesPlay) queueAt(path string) (best *pipelinev1.Queue) {
	for _, q := range p.cfg.Queues {
		if strings.HasPrefix(path, q.PathPrefix) && (best == nil || len(q.PathPrefix) > len(best.PathPrefix)) {
			best = q
		}
	}
	return best
}

// send makes a call about a job and does not wait for the answer.
func (p *renamesPlay) send(verb pipelinev1.JobVerb, j *playedJob, key string) *callReply {
	c := jobCall(verb, key, "")
	if c.GetJob().Path = j.path; verb == pipelinev1.JobVerb_JOB_VERB_SUBMIT {
		c.GetJob().Spec = proto.CloneOf(j.spec)
	}
	return p.start(c)
}

// sendBehindConfig makes a call and returns the answer. Now and then a configuration that allows the call as well is proposed
// before it, and both are committed after that.
func (p *renamesPlay) sendBehindConfig(verb pipelinev1.JobVerb, j *playedJob, key string) *callReply {
	next, before := p.draw(), p.cfg
	allowed := p.refusal(j, key) == pipelinev1.Verdict_VERDICT_OK && (j.accepted || p.names(j))
	p.cfg = next
	allowed = allowed && p.refusal(j, key) == pipelinev1.Verdict_VERDICT_OK
	if p.cfg = before; allowed && verb != pipelinev1.JobVerb_JOB_VERB_GET && p.rng.IntN(2) == 0 {
		p.holdCommits = true
		p.configureTo(next)
	}
	r := p.send(verb, j, key)
	p.commit()
	return r
}

// names reports whether the path names the job by the queue that covers it.
func (p *renamesPlay) names(j *playedJob) bool {
	return p.queueAt(j.path).GetPathPrefix()+j.id == j.path
}

// refusal returns the verdict that the pages demand for any call at the job's path with a key; OK if the call is allowed.
func (p *renamesPlay) refusal(j *playedJob, key string) pipelinev1.Verdict {
	switch q := p.queueAt(j.path); {
	case q == nil:
		return pipelinev1.Verdict_VERDICT_NO_QUEUE
	case p.teamOfKey(key) == nil && !q.Open:
		return pipelinev1.Verdict_VERDICT_UNKNOWN_KEY
	}
	return pipelinev1.Verdict_VERDICT_OK
}

// knows reports whether the sender of a call must be told of the job.
func (p *renamesPlay) knows(j *playedJob, key string) bool {
	return j.keyless || j.kin[key] || key == j.key || p.queueAt(j.path).GetOpen()
}

// submit hands a new job in, half of the time after it was cancelled, with a configuration under way or between.
func (p *renamesPlay) submit() {
	prefix, key := playedPrefixes[p.rng.IntN(4)], playedKeys[p.rng.IntN(4)]
	p.handedIn++
	j := &playedJob{id: jobID(p.handedIn), key: key, stuck: p.rng.IntN(2) == 0, kin: make(map[string]bool), spec: lasting()}
	j.spec.Steps[0].Need = &pipelinev1.Resources{MilliCores: 10, MemoryMib: 1}
	if j.path = prefix + j.id; j.stuck {
		j.spec.Steps[0].Constraint = "none"
	}
	if !p.names(j) {
		return
	}
	early := p.rng.IntN(4) == 0 && p.refusal(j, key) == pipelinev1.Verdict_VERDICT_OK
	if early {
		p.send(pipelinev1.JobVerb_JOB_VERB_CANCEL, j, key)
		p.drain()
		p.configure()
		p.drain()
	}
	r := p.sendBehindConfig(pipelinev1.JobVerb_JOB_VERB_SUBMIT, j, key)
	want := p.refusal(j, key)
	if !p.names(j) && want == pipelinev1.Verdict_VERDICT_OK {
		want = pipelinev1.Verdict_VERDICT_INVALID
	}
	if r.GetVerdict() != want {
		p.t.Errorf("submission at %s with %s: %v, %v, want %v", j.path, key, r.Reply, r.err, want)
	}
	if r.GetVerdict() != pipelinev1.Verdict_VERDICT_OK {
		return
	}
	q := p.queueAt(j.path)
	j.accepted, j.route, j.service, j.keyless = true, pipeline.RouteOf(q), q.Service, p.teamOfKey(key) == nil
	for _, other := range playedKeys {
		j.kin[other] = p.teamOfKey(other) != nil && p.teamOfKey(other) == p.teamOfKey(key)
	}
	maps.DeleteFunc(j.kin, func(_ string, is bool) bool { return !is })
	if p.jobs = append(p.jobs, j); early {
		j.cancelled = p.now
		p.expectState(j, "submission after its cancellation", r, pipeline.Cancelled)
	}
}

func (p *renamesPlay) expectState(j *playedJob, what string, r *callReply, want ...pipeline.JobState) {
	p.t.Helper()
	if !slices.Contains(want, pipeline.JobState(r.GetJobState())) {
		p.t.Errorf("%s at %s: %v, %v, want %v", what, j.path, r.Reply, r.err, want)
	}
}

// ask makes a call about a known job: a read, the submission again, or a cancellation.
func (p *renamesPlay) ask() {
	if len(p.jobs) == 0 {
		return
	}
	j, key := p.jobs[p.rng.IntN(len(p.jobs))], playedKeys[p.rng.IntN(len(playedKeys))]
	verb := pipelinev1.JobVerb(1 + p.rng.IntN(3))
	r := p.sendBehindConfig(verb, j, key)
	want, what := p.refusal(j, key), fmt.Sprintf("%v with %s, handed in with %s", verb, key, j.key)
	states := []pipeline.JobState{pipeline.Queued, pipeline.Running}
	switch {
	case want != pipelinev1.Verdict_VERDICT_OK:
		if r.GetVerdict() != want {
			p.t.Errorf("%s at %s: %v, %v, want %v", what, j.path, r.Reply, r.err, want)
		}
		return
	case key == "stranger" && !p.knows(j, key) && verb != pipelinev1.JobVerb_JOB_VERB_SUBMIT:
		if r.GetVerdict() != pipelinev1.Verdict_VERDICT_NO_JOB {
			p.t.Errorf("%s at %s: %v", what, j.path, r.Reply)
		}
		return
	case verb != pipelinev1.JobVerb_JOB_VERB_SUBMIT && !p.knows(j, key):
		// Whose the job of another key's team is depends on more than its callers know.
		if verb != pipelinev1.JobVerb_JOB_VERB_CANCEL || r.GetVerdict() != pipelinev1.Verdict_VERDICT_OK {
			return
		}
	}
	if verb == pipelinev1.JobVerb_JOB_VERB_CANCEL {
		j.cancelled = cmpOr(j.cancelled, p.now)
	}
	if j.cancelled > 0 {
		states = []pipeline.JobState{pipeline.Cancelled}
	}
	p.expectState(j, what, r, states...)
}

func cmpOr(a, b time.Duration) time.Duration {
	if a != 0 {
		return a
	}
	return b
}

// check compares the settings of all jobs, the counts of pending jobs, what teams use, and what runs, with the rule.
func (p *renamesPlay) check() {
	byRoute := make(map[pipeline.Route]*pipelinev1.Queue)
	for _, q := range p.cfg.Queues {
		byRoute[pipeline.RouteOf(q)] = q
	}
	least, most := make(map[pipeline.Route]int64), make(map[pipeline.Route]int64)
	for _, j := range p.jobs {
		want := j.service
		if q := byRoute[j.route]; q != nil {
			want = q.Service
		}
		if got := p.state.JobQueue(p.state.Job(j.id)).GetService(); got != want {
			p.t.Errorf("job at %s has the service %s, want %s", j.path, got, want)
		}
		if j.cancelled == 0 {
			most[j.route]++
			if j.stuck {
				least[j.route]++
			}
		} else if p.now-j.cancelled > 3*time.Second {
			p.expectNoRun(j)
		}
	}
	for r := range byRoute {
		if n := p.engine.countPending(r); n < least[r] || n > most[r] {
			p.t.Errorf("%d jobs are pending at %s, want %d to %d", n, r, least[r], most[r])
		}
	}
	p.checkUse()
}

func (p *renamesPlay) expectNoRun(j *playedJob) {
	for id, f := range p.upstreams {
		for key := range f.running {
			if key.Job == j.id {
				p.t.Errorf("job at %s runs on %s, %v after its cancellation", j.path, id, p.now-j.cancelled)
			}
		}
	}
}

// checkUse checks that what the runs of all jobs reserve is counted for their teams, once, and as many places.
func (p *renamesPlay) checkUse() {
	used, places := make(map[string]int64), make(map[string]int)
	for _, j := range p.state.Jobs() {
		if used[j.Team] += int64(len(j.LiveRuns())) * 10; !j.Ended() {
			places[j.Team]++
		}
	}
	for _, team := range []string{"", "t0", "t1", "t2", "strangers"} {
		if got := p.state.Used(team).MilliCores; got != used[team] || p.engine.admission.Places(team) != places[team] {
			p.t.Errorf("team %q uses %d and has %d places, want %d and %d", team, got, p.engine.admission.Places(team), used[team], places[team])
		}
	}
}

// restart replaces the replicated state by one from a snapshot, and elects another leader.
func (p *renamesPlay) restart() {
	s := pipeline.New()
	for _, r := range p.state.Records() {
		if err := s.Restore(proto.CloneOf(r)); err != nil {
			p.t.Fatal(err)
		}
	}
	p.engine.Reset()
	p.engine, p.state = nil, s
	p.newLeader()
}

func TestRandomRenames(t *testing.T) {
	seeds := uint64(60)
	if testing.Short() {
		seeds = 10
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			p := &renamesPlay{harness: newHarness(t, "w1", "w2"), rng: rand.New(rand.NewPCG(seed, 52))}
			for _, f := range p.upstreams {
				f.runTime = time.Hour
			}
			p.configure()
			p.drain()
			for range 120 {
				switch p.rng.IntN(8) {
				case 0:
					p.configure()
					p.drain()
				case 1:
					p.report()
				case 2, 3:
					p.submit()
				case 4:
					p.run(time.Duration(p.rng.IntN(4000)) * time.Millisecond)
				case 5:
					if p.rng.IntN(2) == 0 {
						p.restart()
					} else {
						p.newLeader()
					}
				default:
					p.ask()
				}
				if p.check(); t.Failed() {
					return
				}
			}
		})
	}
}
