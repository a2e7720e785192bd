package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Lease settings of the cell: the longest lease, and the grace period for stopping a task.
const (
	maxLease = 3 * time.Second
	stopTime = 20 * time.Millisecond
)

// upstream is a stand-in for an upstream. It follows the platform's specification of upstreams: it
// runs tasks on request while its lease lasts, and lists their ends until they are acknowledged.
type upstream struct {
	id, address string
	startedMS   int64 // Unix time in ms at which it started
	server      *http.Server
	ledger      *ledger
	// vm is the VM of the upstream; empty if there is no VM service.
	vm string
	// startup is how long its tasks start up, which then last; zero if they end after their time.
	startup time.Duration
	// availability, if set, checks the orders that end tasks.
	availability *availability

	mu         sync.Mutex
	closed     bool
	token      int64 // highest fencing token accepted
	deadlineMS int64 // end of the lease on clockMS
	seq        int64
	running    map[string]*running
	ended      [][]any // ends not acknowledged yet: sequence number, task, run, how, detail
	lastEnd    int64   // sequence number of the last end
	// highestClosedRun is the highest run of each task that must not be started any more.
	highestClosedRun map[string]int
	changed          chan struct{}
}

// running is a run of a task that has not ended.
type running struct {
	task   string
	run    int
	began  time.Time
	length time.Duration
	timer  *time.Timer
}

// percent returns how much of the run, or of its startup, is done.
func (r *running) percent() int {
	return int(100 * min(1, time.Since(r.began).Seconds()/max(r.length.Seconds(), 0.001)))
}

// close ends the upstream and its runs without listing them.
func (w *upstream) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for key, run := range w.running {
		run.timer.Stop()
		w.availability.ordered(w, run)
		delete(w.running, key)
		w.ledger.ended(run.task, run.run, w.id, "closed")
	}
	_ = w.server.Close()
}

// newUpstream starts an upstream that listens on a port of its own.
func newUpstream(id, ip string, l *ledger) (*upstream, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	w := &upstream{id: id, address: listener.Addr().String(), startedMS: time.Now().UnixMilli(), ledger: l, running: make(map[string]*running),
		highestClosedRun: make(map[string]int), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.start)
	mux.HandleFunc("POST /api/run-stop", w.stop)
	mux.HandleFunc("POST /api/hold", w.hold)
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = w.server.Serve(listener) }()
	go w.expireLeases()
	return w, nil
}

// clockMS returns the milliseconds since the upstream started, from 1.
func (w *upstream) clockMS() int64 { return time.Now().UnixMilli() - w.startedMS + 1 }

// order is the body of a request of the system: start a run, stop it, or extend the lease.
type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	TaskSpec     string `json:"taskSpec"`
	DeadlineMS   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMS       int64  `json:"waitMs"`
}

// accept decodes an order and checks its instance and fencing token; the caller holds the lock. If
// ok is false, the order was refused and the response is written already.
func (w *upstream) accept(rw http.ResponseWriter, r *http.Request) (o order, ok bool) {
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		http.Error(rw, "bad order", http.StatusBadRequest)
		return o, false
	}
	if expected := r.Header.Get("Bulrushwinch-Expect-Instance"); expected != "" && expected != w.id {
		w.reply(rw, http.StatusMisdirectedRequest, "")
		return o, false
	}
	if o.FencingToken < w.token {
		w.reply(rw, http.StatusConflict, "fence")
		return o, false
	}
	w.token = o.FencingToken
	return o, true
}

// reply writes a response with the upstream's clock and the reason of a refusal.
func (w *upstream) reply(rw http.ResponseWriter, status int, reason string) {
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(map[string]any{"clockMs": w.clockMS(), "reason": reason})
}

// start serves a request to start a run. Repeating it for a run in progress only extends the lease.
func (w *upstream) start(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o, ok := w.accept(rw, r)
	if !ok {
		return
	}
	key := fmt.Sprintf("%s/%d", o.Task, o.Run)
	switch {
	case w.running[key] != nil:
	case w.highestClosedRun[o.Task] >= o.Run:
		w.reply(rw, http.StatusConflict, "old")
		return
	case o.DeadlineMS <= w.clockMS():
		w.reply(rw, http.StatusConflict, "late")
		return
	default:
		w.ledger.started(o.Task, o.Run, w.id)
		length, _ := time.ParseDuration(o.TaskSpec)
		run := &running{task: o.Task, run: o.Run, began: time.Now(), length: length}
		run.timer = time.AfterFunc(length, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(key, "done")
		})
		if w.startup > 0 {
			run.timer.Stop()
			run.length = w.startup
		}
		w.running[key] = run
	}
	w.deadlineMS = max(w.deadlineMS, min(o.DeadlineMS, w.clockMS()+maxLease.Milliseconds()))
	w.reply(rw, http.StatusOK, "")
}

// end ends a run and lists its end; the caller holds the lock.
func (w *upstream) end(key, how string) {
	run := w.running[key]
	if run == nil {
		return
	}
	run.timer.Stop()
	delete(w.running, key)
	w.highestClosedRun[run.task] = max(w.highestClosedRun[run.task], run.run)
	w.lastEnd++
	w.ended = append(w.ended, []any{w.lastEnd, run.task, run.run, how, ""})
	w.ledger.ended(run.task, run.run, w.id, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// stop serves a request to stop a run and keeps it from being started later.
func (w *upstream) stop(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o, ok := w.accept(rw, r); ok {
		w.highestClosedRun[o.Task] = max(w.highestClosedRun[o.Task], o.Run)
		if run := w.running[fmt.Sprintf("%s/%d", o.Task, o.Run)]; run != nil {
			w.availability.ordered(w, run)
		}
		w.end(fmt.Sprintf("%s/%d", o.Task, o.Run), "stopped")
		w.reply(rw, http.StatusOK, "")
	}
}

// hold serves a request that extends the lease, acknowledges ends up to LastSeen, and lists the runs.
// It waits for a new end for at most WaitMS if there is none.
func (w *upstream) hold(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o, ok := w.accept(rw, r)
	if !ok {
		return
	}
	if o.DeadlineMS > 0 {
		w.deadlineMS = max(w.deadlineMS, min(o.DeadlineMS, w.clockMS()+maxLease.Milliseconds()))
	}
	for len(w.ended) > 0 && w.ended[0][0].(int64) <= o.LastSeen {
		w.ledger.acknowledged(w.ended[0][1].(string), w.ended[0][2].(int), w.id)
		w.ended = w.ended[1:]
	}
	if len(w.ended) == 0 && o.WaitMS > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mu.Lock()
	}
	rows := [][]any{}
	for _, run := range w.running {
		rows = append(rows, []any{run.task, run.run, "", run.percent()})
	}
	_ = json.NewEncoder(rw).Encode(map[string]any{"clockMs": w.clockMS(), "born": w.startedMS, "running": rows, "ended": w.ended})
}

// expireLeases ends all runs whenever the lease has expired, and tells the ledger of ends that were
// not acknowledged by then.
func (w *upstream) expireLeases() {
	for range time.Tick(20 * time.Millisecond) {
		w.mu.Lock()
		if w.clockMS() > w.deadlineMS {
			for _, e := range w.ended {
				w.ledger.recordLeaseExpiry(e[1].(string), e[2].(int), w.id)
			}
			for key := range w.running {
				w.end(key, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// isClosed reports whether the upstream has ended.
func (w *upstream) isClosed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}

// heartbeat announces the upstream, under the address of its relay, every 300 ms to the control
// addresses in turn.
func (w *upstream) heartbeat(controls []string, address string, client *http.Client) {
	for n := 0; !w.isClosed(); n++ {
		w.seq++
		body, _ := json.Marshal(map[string]any{"service": "print", "address": address, "zone": "prado", "state": "ready", "version": "v1", "slots": 8, "coldLeftMs": 0,
			"capacity": map[string]int{"cpu": 4000, "memMb": 4000}, "labels": []string{"a", "r1"}, "machine": w.vm, "seqNo": w.seq, "born": w.startedMS})
		req, _ := http.NewRequest(http.MethodPut, "http://"+controls[n%len(controls)]+"/api/instances/"+w.id, bytes.NewReader(body))
		if resp, err := client.Do(req); err == nil {
			_ = resp.Body.Close()
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// ledger records the runs on all upstreams and finds breaches of these invariants: a task runs in one
// place at a time, and not again after its end was acknowledged; a job that was refused never runs.
type ledger struct {
	mu           sync.Mutex
	running      map[string]map[string]bool // labels of the runs in progress, by task
	done         map[string]bool            // tasks that completed with an acknowledged end
	leaseExpired map[string]bool            // runs whose lease expired first, by task and label
	pending      map[string]bool            // completed runs, by task and label
	begun        map[string]bool            // jobs of which a task has started
	problems     []string
}

// newLedger returns an empty ledger.
func newLedger() *ledger {
	return &ledger{running: make(map[string]map[string]bool), done: make(map[string]bool), leaseExpired: make(map[string]bool), pending: make(map[string]bool),
		begun: make(map[string]bool)}
}

// runLabel identifies a run of a task on an upstream.
func runLabel(run int, upstream string) string { return fmt.Sprintf("%d on %s", run, upstream) }

// started records the start of a run and checks that the task neither runs nor has ended.
func (l *ledger) started(task string, run int, upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	job, _, _ := strings.Cut(task, ".")
	l.begun[job] = true
	if len(l.running[task]) > 0 {
		l.problems = append(l.problems, fmt.Sprintf("task %s: run %s started while these ran: %v", task, runLabel(run, upstream), l.running[task]))
	}
	if l.done[task] {
		l.problems = append(l.problems, fmt.Sprintf("task %s: run %s started after the end of another run was acknowledged", task, runLabel(run, upstream)))
	}
	if l.running[task] == nil {
		l.running[task] = make(map[string]bool)
	}
	l.running[task][runLabel(run, upstream)] = true
}

// ended records the end of a run.
func (l *ledger) ended(task string, run int, upstream, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running[task], runLabel(run, upstream))
	if how == "done" {
		l.pending[task+" "+runLabel(run, upstream)] = true
	}
}

// recordLeaseExpiry records that a lease expired before a listed end was acknowledged: the
// specification then allows another run.
func (l *ledger) recordLeaseExpiry(task string, run int, upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaseExpired[task+" "+runLabel(run, upstream)] = true
}

// acknowledged records that the system has seen the end of a run. The task then must not run again,
// if the run was completed and the lease had not expired before.
func (l *ledger) acknowledged(task string, run int, upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := task + " " + runLabel(run, upstream)
	if l.pending[key] && !l.leaseExpired[key] {
		l.done[task] = true
	}
}

// checkRefused checks that no refused job has run.
func (l *ledger) checkRefused(jobs []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range jobs {
		if l.begun[id] {
			l.problems = append(l.problems, fmt.Sprintf("job %s was refused as not accepted, and has run", id))
		}
	}
}

// report returns the breaches found, one a line.
func (l *ledger) report() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.problems, "\n")
}
