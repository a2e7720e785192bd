package soak

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/bulrushwinch/bulrushwinch/internal/relay"
)

var (
	seedCount = flag.Int("seeds", 1, "number of seeds to run")
	firstSeed = flag.Uint64("first", 1, "first seed")
	length    = flag.Duration("length", 8*time.Second, "time under faults of one seed")
)

// regressions are seeds that failed once, with their cause.
var regressions = map[uint64]string{}

const (
	upstreams = 4
	key       = "soak-key-0123456789"
	// settle is the time after the last fault in which everything accepted has to be done:
	// leases end after three seconds, the longest job has two steps of 0.8 s.
	settle = 30 * time.Second
)

func buildDaemon(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "bulrushwinchd")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/bulrushwinchd").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return binary
}

func TestSoak(t *testing.T) {
	binary := buildDaemon(t)
	seeds := slices.Collect(maps.Keys(regressions))
	for i := range *seedCount {
		seeds = append(seeds, *firstSeed+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSeed(t, binary, seed) })
	}
}

// run is one seed: a system, its upstreams, its callers and what was accepted.
type run struct {
	*cell
	ledger   *ledger
	client   *http.Client
	operator *operator
	links    []*relay.Relay
	mu       sync.Mutex
	accepted []string
}

func runSeed(t *testing.T, binary string, seed uint64) {
	r := &run{cell: newCell(t, binary, seed), ledger: newLedger(), client: &http.Client{Timeout: 2 * time.Second}}
	for _, n := range r.nodes {
		r.start(n)
	}
	t.Cleanup(func() {
		for _, n := range r.nodes {
			n.terminate(syscall.SIGKILL)
		}
		if t.Failed() {
			r.keepLogs(seed)
		}
	})
	r.startUpstreams()
	r.operator = &operator{r: r}
	if !r.operator.put(1, rand.New(rand.NewPCG(seed, 1)), 20*time.Second) {
		t.Fatal("no replica has accepted the configuration")
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	callers.Go(func() { r.operator.changeUntil(stop, seed) })
	for i := range entries {
		callers.Go(func() { r.submitUntil(stop, r.nodes[replicas+i], i, seed) })
	}
	r.disturb(seed)
	close(stop)
	callers.Wait()
	r.operator.finish()
	r.finish()
	if problems := r.ledger.report(); problems != "" {
		t.Error(problems)
	}
	t.Logf("seed %d: %d jobs accepted", seed, len(r.accepted))
}

func (r *run) startUpstreams() {
	var controls []string
	for _, n := range r.nodes[:replicas] {
		controls = append(controls, r.address(n, 1))
	}
	for i := range upstreams {
		w, err := newUpstream(fmt.Sprintf("i-%d", i), "127.0.0.1", r.ledger)
		if err != nil {
			r.t.Fatal(err)
		}
		r.t.Cleanup(func() { _ = w.server.Close() })
		l := relay.New(r.t, w.address)
		r.links = append(r.links, l)
		go w.heartbeat(controls, l.Address(), r.client)
	}
}

func (r *run) call(method, address, path, host, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		r.t.Error(err)
		return 0, ""
	}
	req.Host = host
	req.Header.Set("Authorization", "Token "+key)
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(data)
}

const job = `{"taskSpec":"%dms","jobSteps":[{"count":3,"cpu":500,"memMb":10,"estimateMs":200},{"count":2,"cpu":500,"memMb":10,"estimateMs":200,"dependsOn":[0]}]}`

// submitUntil hands in jobs through one entry.
func (r *run) submitUntil(stop <-chan struct{}, n *node, caller int, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, uint64(caller)))
	for count := 0; ; count++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(50+rng.IntN(150)) * time.Millisecond):
		}
		id := fmt.Sprintf("%016x", uint64(caller)<<32|uint64(count))
		if status, _ := r.call(http.MethodPost, r.address(n, 1), "/q/"+id, "h", fmt.Sprintf(job, 50+rng.IntN(750))); status == http.StatusOK {
			r.mu.Lock()
			r.accepted = append(r.accepted, id)
			r.mu.Unlock()
		}
	}
}

// disturb applies faults one after the other, sometimes two at a time.
func (r *run) disturb(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 99))
	kinds := slices.Sorted(maps.Keys(faults))
	var disturbed sync.WaitGroup
	defer disturbed.Wait()
	for until := time.Now().Add(*length); time.Now().Before(until); {
		kind, n := kinds[rng.IntN(len(kinds))], r.nodes[rng.IntN(len(r.nodes))]
		if rng.IntN(3) == 0 {
			// Faults of links run beside those of processes.
			l, seed := r.links[rng.IntN(len(r.links))], rng.Uint64()
			disturbed.Go(func() { disturbLink(l, rand.New(rand.NewPCG(seed, 3))) })
		}
		r.t.Logf("%s %s", kind, n.name)
		faults[kind](r.cell, n, rng)
		time.Sleep(time.Duration(200+rng.IntN(1500)) * time.Millisecond)
	}
}

// disturbLink applies one fault to the way to an upstream.
func disturbLink(l *relay.Relay, rng *rand.Rand) {
	switch kind := rng.IntN(5); kind {
	case 0:
		l.Reset()
	case 1:
		l.Silence()
	default:
		l.SetMode([]relay.Mode{relay.Delay, relay.LoseAnswers, relay.Drop}[kind-2])
		time.Sleep(time.Duration(200+rng.IntN(2500)) * time.Millisecond)
		l.SetMode(relay.Pass)
	}
}

// finish waits until every accepted job is shown as completed.
func (r *run) finish() {
	left := slices.Clone(r.accepted)
	for until := time.Now().Add(settle); len(left) > 0 && time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		left = slices.DeleteFunc(left, func(id string) bool {
			status, body := r.call(http.MethodGet, r.address(r.nodes[replicas], 1), "/q/"+id, "h", "")
			if status == http.StatusGone {
				r.t.Errorf("job %s was accepted and is not known", id)
				return true
			}
			var state struct {
				State string `json:"state"`
			}
			return status == http.StatusOK && json.Unmarshal([]byte(body), &state) == nil && state.State == "completed"
		})
	}
	if len(left) > 0 {
		r.t.Errorf("%d of %d accepted jobs are not completed %v after the last fault, first %s", len(left), len(r.accepted), settle, left[0])
	}
}

// keepLogs copies the logs of a failed seed to a folder that outlives the test.
func (r *run) keepLogs(seed uint64) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		r.t.Error(err)
		return
	}
	for _, n := range r.nodes {
		data, err := os.ReadFile(n.log)
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, n.name+".log"), data, 0o600)
		}
		if err != nil {
			r.t.Error(err)
		}
	}
	r.t.Logf("logs are kept in %s", dir)
}
