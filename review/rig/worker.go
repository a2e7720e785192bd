package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	beatEvery   = 1500 * time.Millisecond
	stopTakes   = 40 * time.Millisecond
	startupTime = 300 * time.Millisecond
	fullPercent = 100
	// endsAtOnce is how many ends one list holds.
	endsAtOnce = 500
)

// worker is a sound server as PROTOCOL.md describes it. It does not guard its capacity.
type worker struct {
	id, machine, address, zone, service, rack string
	controls                                  []string
	maxHold, maxWait, startMS                 int64
	cpu, mem                                  int64

	began time.Time
	born  int64

	mu       sync.Mutex
	fence    int64
	deadline int64
	running  map[string]*taskRun
	barred   map[string]int
	ended    [][]any
	lastEnd  int64
	changed  chan struct{}
	seq      int64
}

// taskRun is one run of a task on the worker.
type taskRun struct {
	run     int
	saved   string
	started time.Time
	work    time.Duration
	stopAt  time.Time
}

func runWorker(args []string) error {
	w := &worker{began: time.Now(), born: time.Now().UnixMilli(), running: make(map[string]*taskRun), barred: make(map[string]int), changed: make(chan struct{})}
	f := flag.NewFlagSet("worker", flag.ExitOnError)
	f.StringVar(&w.id, "id", "", "")
	f.StringVar(&w.machine, "machine", "", "")
	f.StringVar(&w.address, "address", "", "")
	f.StringVar(&w.zone, "zone", "", "")
	f.StringVar(&w.service, "service", "", "")
	f.StringVar(&w.rack, "rack", "r1", "")
	f.Int64Var(&w.maxHold, "max-hold", 6000, "")
	f.Int64Var(&w.cpu, "cpu", 16000, "")
	f.Int64Var(&w.mem, "mem", 32768, "")
	f.Int64Var(&w.startMS, "start-ms", 0, "")
	controls := f.String("controls", "", "")
	if err := f.Parse(args); err != nil {
		return err
	}
	w.maxWait = 2000
	w.controls = strings.Split(*controls, ",")
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.guarded(w.start))
	mux.HandleFunc("POST /api/run-stop", w.guarded(w.stop))
	mux.HandleFunc("POST /api/hold", w.guarded(w.hold))
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	go w.beat()
	go w.work()
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	return server.Serve(l)
}

func (w *worker) clock() int64 { return time.Since(w.began).Milliseconds() + 1 }

// note writes an event for the driver.
func (w *worker) note(what, task string, run int, more string) {
	fmt.Printf("%d %s %s %d %s\n", time.Now().UnixMilli(), what, task, run, more)
}

// call is the body of a call to the worker.
type call struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	TaskSpec     string `json:"taskSpec"`
	DeadlineMS   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	Checkpoint   string `json:"checkpoint"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMS       int64  `json:"waitMs"`
}

// guarded checks what all calls have in common.
func (w *worker) guarded(f func(context.Context, call) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var c call
		status, body := http.StatusOK, map[string]any{}
		switch expected := r.Header.Get("Bulrushwinch-Expect-Instance"); {
		case expected != "" && expected != w.id:
			status = http.StatusMisdirectedRequest
		case json.NewDecoder(r.Body).Decode(&c) != nil:
			status = http.StatusBadRequest
		default:
			status, body = f(r.Context(), c)
		}
		body["clockMs"], body["born"] = w.clock(), w.born
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_ = json.NewEncoder(rw).Encode(body)
	}
}

// fenced keeps the highest token and reports whether a call has a lower one.
func (w *worker) fenced(token int64) bool {
	if token < w.fence {
		return true
	}
	w.fence = token
	return false
}

func (w *worker) extend(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+w.maxHold))
}

func conflict(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (w *worker) start(_ context.Context, c call) (int, map[string]any) {
	time.Sleep(time.Duration(w.startMS) * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(c.FencingToken) {
		return conflict("fence")
	}
	if c.DeadlineMS <= w.clock() {
		return conflict("late")
	}
	w.extend(c.DeadlineMS)
	known := w.running[c.Task]
	switch {
	case known != nil && known.run == c.Run:
		return http.StatusOK, map[string]any{}
	case known != nil || c.Run <= w.barred[c.Task]:
		return conflict("old")
	}
	work, _ := strconv.Atoi(c.TaskSpec[strings.LastIndexByte(c.TaskSpec, '=')+1:])
	w.running[c.Task] = &taskRun{run: c.Run, started: time.Now(), work: time.Duration(work) * time.Millisecond}
	w.note("start", c.Task, c.Run, c.TaskSpec)
	return http.StatusOK, map[string]any{}
}

func (w *worker) stop(_ context.Context, c call) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(c.FencingToken) {
		return conflict("fence")
	}
	w.barred[c.Task] = max(w.barred[c.Task], c.Run)
	if r := w.running[c.Task]; r != nil && r.run <= c.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTakes)
		w.note("stop", c.Task, c.Run, "")
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) hold(ctx context.Context, c call) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(c.FencingToken) {
		return conflict("fence")
	}
	if c.DeadlineMS > 0 {
		w.extend(c.DeadlineMS)
	}
	for len(w.ended) > 0 && w.ended[0][0].(int64) <= c.LastSeen {
		w.ended = w.ended[1:]
	}
	until := time.After(time.Duration(min(c.WaitMS, w.maxWait)) * time.Millisecond)
	for waiting := c.WaitMS > 0; waiting && len(w.ended) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-until:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
		w.mu.Lock()
	}
	running := make([][]any, 0, len(w.running))
	for task, r := range w.running {
		percent := 0
		if time.Since(r.started) > startupTime {
			percent = fullPercent
		}
		if r.work > 0 {
			percent = int(min(99, fullPercent*time.Since(r.started)/r.work))
		}
		running = append(running, []any{task, r.run, r.saved, percent, 500})
	}
	ended := append([][]any{}, w.ended[:min(len(w.ended), endsAtOnce)]...)
	return http.StatusOK, map[string]any{"running": running, "ended": ended}
}

// end lists the end of a run.
func (w *worker) end(task, how string) {
	r := w.running[task]
	delete(w.running, task)
	w.barred[task] = max(w.barred[task], r.run)
	w.lastEnd++
	w.ended = append(w.ended, []any{w.lastEnd, task, r.run, how, r.saved})
	w.note("end", task, r.run, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// work ends runs when their time has come.
func (w *worker) work() {
	for ; ; time.Sleep(5 * time.Millisecond) {
		w.mu.Lock()
		now, lapsed := time.Now(), w.clock() > w.deadline
		for task, r := range w.running {
			switch {
			case lapsed:
				w.end(task, "lapsed")
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				w.end(task, "stopped")
			case r.work > 0 && now.Sub(r.started) >= r.work:
				w.end(task, "done")
			}
		}
		w.mu.Unlock()
	}
}

// beat sends heartbeats, to the next address after one that failed.
func (w *worker) beat() {
	client := &http.Client{Timeout: time.Second}
	for at := 0; ; time.Sleep(beatEvery) {
		for range w.controls {
			if w.beatOnce(client, w.controls[at%len(w.controls)]) {
				break
			}
			at++
		}
	}
}

func (w *worker) beatOnce(client *http.Client, control string) bool {
	w.seq++
	body, err := json.Marshal(map[string]any{"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
		"coldLeftMs": 0, "capacity": map[string]int64{"cpu": w.cpu, "memMb": w.mem, "gpus": 0}, "labels": []string{"a", w.rack}, "machine": w.machine,
		"clockMs": w.clock(), "seqNo": w.seq, "born": w.born})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+control+"/api/instances/"+w.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}
