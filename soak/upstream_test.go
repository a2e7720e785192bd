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

const (
	maxLease  = 3 * time.Second
	stopTime = 20 * time.Millisecond
)

// upstream is a stand-in that behaves as the platform's page on upstreams says.
type upstream struct {
	id, address string
	startedMS        int64
	server      *http.Server
	ledger      *ledger

	mu         sync.Mutex
	token      int64
	deadlineMS int64
	seq        int64
	running    map[string]*running
	ended      [][]any
	lastEnd    int64
	barred     map[string]int
	changed    chan struct{}
}

type running struct {
	task  string
	run   int
	timer *time.Timer
}

func newUpstream(id, ip string, l *ledger) (*upstream, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	w := &upstream{id: id, address: listener.Addr().String(), startedMS: time.Now().UnixMilli(), ledger: l, running: make(map[string]*running),
		barred: make(map[string]int), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.start)
	mux.HandleFunc("POST /api/run-stop", w.stop)
	mux.HandleFunc("POST /api/hold", w.hold)
	w.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = w.server.Serve(listener) }()
	go w.expireLeases()
	return w, nil
}

func (w *upstream) clockMS() int64 { return time.Now().UnixMilli() - w.startedMS + 1 }

type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	TaskSpec     string `json:"taskSpec"`
	DeadlineMS   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMS       int64  `json:"waitMs"`
}

// accept reads an order under the lock; false means that it was answered already.
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

func (w *upstream) reply(rw http.ResponseWriter, status int, reason string) {
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(map[string]any{"clockMs": w.clockMS(), "reason": reason})
}

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
	case w.barred[o.Task] >= o.Run:
		w.reply(rw, http.StatusConflict, "old")
		return
	case o.DeadlineMS <= w.clockMS():
		w.reply(rw, http.StatusConflict, "late")
		return
	default:
		w.ledger.started(o.Task, o.Run, w.id)
		run := &running{task: o.Task, run: o.Run}
		length, _ := time.ParseDuration(o.TaskSpec)
		run.timer = time.AfterFunc(length, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(key, "done")
		})
		w.running[key] = run
	}
	w.deadlineMS = max(w.deadlineMS, min(o.DeadlineMS, w.clockMS()+maxLease.Milliseconds()))
	w.reply(rw, http.StatusOK, "")
}

// end lists the end of a run; the lock is held.
func (w *upstream) end(key, how string) {
	run := w.running[key]
	if run == nil {
		return
	}
	run.timer.Stop()
	delete(w.running, key)
	w.barred[run.task] = max(w.barred[run.task], run.run)
	w.lastEnd++
	w.ended = append(w.ended, []any{w.lastEnd, run.task, run.run, how, ""})
	w.ledger.ended(run.task, run.run, w.id, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *upstream) stop(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o, ok := w.accept(rw, r); ok {
		w.barred[o.Task] = max(w.barred[o.Task], o.Run)
		w.end(fmt.Sprintf("%s/%d", o.Task, o.Run), "stopped")
		w.reply(rw, http.StatusOK, "")
	}
}

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
		rows = append(rows, []any{run.task, run.run, "", 100})
	}
	_ = json.NewEncoder(rw).Encode(map[string]any{"clockMs": w.clockMS(), "born": w.startedMS, "running": rows, "ended": w.ended})
}

// expireLeases ends everything when the lease is over.
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

// heartbeat announces the upstream, under the address of its relay, to one of the control addresses after
// the other.
func (w *upstream) heartbeat(controls []string, address string, client *http.Client) {
	for n := 0; ; n++ {
		w.seq++
		body, _ := json.Marshal(map[string]any{"service": "print", "address": address, "zone": "prado", "state": "ready", "slots": 8,
			"capacity": map[string]int{"cpu": 4000, "memMb": 4000}, "labels": []string{"a", "r1"}, "seqNo": w.seq, "born": w.startedMS})
		req, _ := http.NewRequest(http.MethodPut, "http://"+controls[n%len(controls)]+"/api/instances/"+w.id, bytes.NewReader(body))
		if resp, err := client.Do(req); err == nil {
			_ = resp.Body.Close()
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// ledger records what the upstreams saw and finds broken promises.
type ledger struct {
	mu       sync.Mutex
	running       map[string]map[string]bool
	done     map[string]bool
	leaseExpired  map[string]bool
	pending  map[string]bool
	problems []string
}

func newLedger() *ledger {
	return &ledger{running: make(map[string]map[string]bool), done: make(map[string]bool), leaseExpired: make(map[string]bool), pending: make(map[string]bool)}
}

func runLabel(run int, upstream string) string { return fmt.Sprintf("%d on %s", run, upstream) }

func (l *ledger) started(task string, run int, upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.running[task]) > 0 {
		l.problems = append(l.problems, fmt.Sprintf("task %s: run %s starts beside %v", task, runLabel(run, upstream), l.running[task]))
	}
	if l.done[task] {
		l.problems = append(l.problems, fmt.Sprintf("task %s: run %s starts after an acknowledged end", task, runLabel(run, upstream)))
	}
	if l.running[task] == nil {
		l.running[task] = make(map[string]bool)
	}
	l.running[task][runLabel(run, upstream)] = true
}

func (l *ledger) ended(task string, run int, upstream, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running[task], runLabel(run, upstream))
	if how == "done" {
		l.pending[task+" "+runLabel(run, upstream)] = true
	}
}

// recordLeaseExpiry notes that a lease ended before a listed end was acknowledged: the platform then
// allows another run.
func (l *ledger) recordLeaseExpiry(task string, run int, upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaseExpired[task+" "+runLabel(run, upstream)] = true
}

func (l *ledger) acknowledged(task string, run int, upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := task + " " + runLabel(run, upstream)
	if l.pending[key] && !l.leaseExpired[key] {
		l.done[task] = true
	}
}

func (l *ledger) report() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.problems, "\n")
}
