package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// waveSeed selects the addresses of TestWaveKeepsTasksAtWork.
	waveSeed = 79
	// waveVMs is the number of VMs, waveTasks that of the tasks of the lasting step, of which one may be missing.
	waveVMs, waveTasks = 6, 5
	// waveTimeout bounds the wave: each VM takes about three seconds, and longer while there is no leader.
	waveTimeout = 90 * time.Second
	// vmDownTime is how long a VM is down for its maintenance.
	vmDownTime = 500 * time.Millisecond
)

// availability checks that no order ends a task at work while another one of the step is away: ended by an order and
// not at work again.
type availability struct {
	mu sync.Mutex
	// upstreams are those that run tasks now.
	upstreams map[string]*upstream
	away      map[string]bool
	problems  []string
}

// ordered checks an order that ends a run on an upstream, whose lock the caller holds.
func (a *availability) ordered(w *upstream, run *running) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for task := range a.away {
		if task != run.task && run.percent() == 100 {
			a.problems = append(a.problems, fmt.Sprintf("%s is ended by an order on %s while %s is away", run.task, w.id, task))
		}
	}
	a.away[run.task] = true
}

// watch takes note of the tasks that get to work until stop is closed.
func (a *availability) watch(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		for _, w := range a.present() {
			w.mu.Lock()
			for _, run := range w.running {
				if run.percent() == 100 {
					a.atWork(run.task)
				}
			}
			w.mu.Unlock()
		}
	}
}

func (a *availability) present() (out []*upstream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range a.upstreams {
		out = append(out, w)
	}
	return out
}

func (a *availability) atWork(task string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.away, task)
}

// vmService is a stand-in for the VM service: maintenance ends a VM's upstream, and another one joins.
type vmService struct {
	r       *run
	address string
	mu      sync.Mutex
	// upstreams are those on the VMs; nil while a VM is down.
	upstreams [waveVMs]*upstream
	done      map[string]bool
	lives     int
	watch     *availability
}

func newVMService(t *testing.T, r *run) *vmService {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &vmService{r: r, address: l.Addr().String(), done: make(map[string]bool),
		watch: &availability{upstreams: make(map[string]*upstream), away: make(map[string]bool)}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/machines", s.list)
	mux.HandleFunc("POST /api/machine-upkeep", s.maintain)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// join starts an upstream on a VM.
func (s *vmService) join(vm int, startup time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lives++
	w, err := newUpstream(fmt.Sprintf("i-%d", s.lives), "127.0.0.1", s.r.ledger)
	if err != nil {
		s.r.t.Error(err)
		return
	}
	w.vm, w.startup, w.availability = fmt.Sprintf("m-%d", vm), startup, s.watch
	s.upstreams[vm] = w
	s.watch.mu.Lock()
	s.watch.upstreams[w.id] = w
	s.watch.mu.Unlock()
	var controls []string
	for _, n := range s.r.nodes[:replicas] {
		controls = append(controls, s.r.address(n, 1))
	}
	go w.heartbeat(controls, w.address, s.r.client)
}

func (s *vmService) list(rw http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []map[string]any
	for i, w := range s.upstreams {
		entry := map[string]any{"machine": fmt.Sprintf("m-%d", i), "pool": "print", "state": "upkeep", "zone": "prado", "labels": []string{"a", "r1"},
			"capacity": map[string]int{"cpu": 4000, "memMb": 4000, "gpus": 0}}
		if w != nil {
			entry["state"], entry["id"] = "up", w.id
		}
		out = append(out, entry)
	}
	_ = json.NewEncoder(rw).Encode(map[string]any{"machines": out})
}

func (s *vmService) maintain(rw http.ResponseWriter, r *http.Request) {
	var order struct {
		Machine string `json:"machine"`
	}
	_ = json.NewDecoder(r.Body).Decode(&order)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.upstreams {
		if w == nil || w.vm != order.Machine || s.done[w.vm] {
			continue
		}
		s.done[w.vm], s.upstreams[i] = true, nil
		s.watch.mu.Lock()
		delete(s.watch.upstreams, w.id)
		s.watch.mu.Unlock()
		w.close()
		time.AfterFunc(vmDownTime, func() { s.join(i, 400*time.Millisecond) })
	}
	_, _ = rw.Write([]byte("{}"))
}

// TestWaveKeepsTasksAtWork has a wave on all VMs, two at a time, move a lasting step that may miss one of its tasks, while
// one upstream is slow and the replicas are killed in turn. No order may end a task at work while another one starts up.
func TestWaveKeepsTasksAtWork(t *testing.T) {
	r := &run{cell: newCell(t, buildDaemon(t), waveSeed), ledger: newLedger(), client: &http.Client{Timeout: 2 * time.Second}}
	vms := newVMService(t, r)
	for i, n := range r.nodes {
		if i < replicas {
			r.appendSettings(n, "[vms]\naddress = "+vms.address+"\n")
		}
		r.start(n)
	}
	t.Cleanup(func() {
		for _, n := range r.nodes {
			n.terminate(syscall.SIGKILL)
		}
		if t.Failed() {
			r.keepLogs(waveSeed)
		}
	})
	stop := make(chan struct{})
	defer close(stop)
	go vms.watch.watch(stop)
	for i := range waveVMs {
		startup := 400 * time.Millisecond
		if i == waveVMs-1 {
			startup = 2600 * time.Millisecond
		}
		vms.join(i, startup)
	}
	r.mustCall(http.MethodPut, "/api/config", `{"version":1,"routes":[{"name":"q","host":"h","pathPrefix":"/q/","timeoutMs":2000,"service":"print","maxAttempts":9,"stretch":2}],`+
		`"services":[{"name":"print"}],"tenants":[{"name":"t","apiKeys":["`+key+`"],"weight":1}]}`)
	r.awaitSubmitted(fmt.Sprintf(`{"taskSpec":"1h","jobSteps":[{"count":%d,"cpu":500,"memMb":10,"estimateMs":200,"antiAffinity":1,"longRunning":true,"missAllowed":1}]}`, waveTasks))
	time.Sleep(4 * time.Second)
	r.mustCall(http.MethodPost, "/api/wave-start", fmt.Sprintf(`{"wave":1,"machines":["m-0","m-1","m-2","m-3","m-4","m-5"],"durationS":%d,"cap":2}`, int(waveTimeout.Seconds())))
	for until := time.Now().Add(waveTimeout); !r.waveCompleted(); {
		if time.Now().After(until) {
			t.Fatal("the wave is not completed")
		}
		n := r.nodes[int(time.Now().Unix())%replicas]
		n.terminate(syscall.SIGKILL)
		r.start(n)
		time.Sleep(2 * time.Second)
	}
	vms.watch.mu.Lock()
	defer vms.watch.mu.Unlock()
	for _, p := range vms.watch.problems {
		t.Error(p)
	}
	if problems := r.ledger.report(); problems != "" {
		t.Error(problems)
	}
}

// appendSettings adds a section to a node's settings.
func (r *run) appendSettings(n *node, text string) {
	f, err := os.OpenFile(n.config, os.O_APPEND|os.O_WRONLY, 0o600)
	if err == nil {
		_, err = f.WriteString(text)
	}
	if err == nil {
		err = f.Close()
	}
	if err != nil {
		r.t.Fatal(err)
	}
}

// mustCall sends a call of the operator to the replicas until one acknowledges it.
func (r *run) mustCall(method, path, body string) {
	r.t.Helper()
	for i := range 200 {
		if status, _ := r.call(method, r.address(r.nodes[i%replicas], 1), path, "", body); status == http.StatusOK {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.t.Fatalf("%s %s was not acknowledged", method, path)
}

// awaitSubmitted submits a job until it is accepted.
func (r *run) awaitSubmitted(body string) {
	r.t.Helper()
	for range 100 {
		if status, _ := r.call(http.MethodPost, r.address(r.nodes[replicas], 1), "/q/00000000000000aa", "h", body); status == http.StatusOK {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.t.Fatal("the job was not accepted")
}

// waveCompleted asks the replicas whether the wave is completed.
func (r *run) waveCompleted() bool {
	for _, n := range r.nodes[:replicas] {
		status, body := r.call(http.MethodGet, r.address(n, 1), "/api/wave-get/1", "", "")
		var wave struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(body), &wave) == nil {
			return wave.State == "completed"
		}
	}
	return false
}
