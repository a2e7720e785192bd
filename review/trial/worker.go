package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// Bounds of the deployment lomos-uy.
const (
	maxHold     = 6000 * time.Millisecond
	stopTime    = 50 * time.Millisecond
	gangTimeout = 3000 * time.Millisecond
	// startup is the time until a lasting task is at work on a worker of usual speed.
	startup        = 400 * time.Millisecond
	heartbeatEvery = 1500 * time.Millisecond
	stepEvery      = 10 * time.Millisecond
	// notice is the bound noticeMs.
	notice = 4500 * time.Millisecond
)

// run is a run of a task on a worker.
type run struct {
	task      string
	number    int
	startedAt time.Time
	// worked is the work that is done, on a worker of usual speed.
	worked  time.Duration
	percent int
	// stopAt is when a stop takes effect; zero if none was ordered.
	stopAt time.Time
}

// worker is one life of a worker on a machine. Its fields are guarded by the lock of its world.
type worker struct {
	w                       *world
	id, machine, zone, rack string
	labels                  []string
	cpu, mem                int64
	ip, address             string
	port                    int
	bornMS                  int64
	startedAt               time.Time
	listener                net.Listener
	server                  *http.Server
	up                      bool
	// slow multiplies the time that everything takes here.
	slow     float64
	token    int64
	deadline int64
	runs     map[string]*run
	closed   map[string]int
	ended    [][]any
	lastEnd  int64
	seq      int64
	changed  chan struct{}
}

// start begins a life of a worker: it listens and announces itself.
func (x *worker) start(controls []string) error {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", x.ip, x.port))
	if err != nil {
		return err
	}
	x.w.mu.Lock()
	x.listener, x.address, x.up = l, l.Addr().String(), true
	x.port = l.Addr().(*net.TCPAddr).Port
	x.startedAt, x.bornMS = time.Now(), time.Now().UnixMilli()
	x.runs, x.closed, x.changed = make(map[string]*run), make(map[string]int), make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", x.serveStart)
	mux.HandleFunc("POST /api/run-stop", x.serveStop)
	mux.HandleFunc("POST /api/hold", x.serveHold)
	mux.HandleFunc("POST /api/pace", x.servePace)
	x.server = &http.Server{Handler: mux}
	x.w.note("worker %s (machine %s, %s, %s) is up at %s", x.id, x.machine, x.zone, x.rack, x.address)
	x.w.mu.Unlock()
	go func() { _ = x.server.Serve(l) }()
	go x.announce(controls)
	return nil
}

// crash ends a life without notice: all runs are gone and connections are reset.
func (x *worker) crash(why string) {
	x.w.mu.Lock()
	defer x.w.mu.Unlock()
	x.crashLocked(why)
}

func (x *worker) crashLocked(why string) {
	if !x.up {
		return
	}
	x.up = false
	_ = x.server.Close()
	tasks := make([]string, 0, len(x.runs))
	for _, r := range x.runs {
		tasks = append(tasks, fmt.Sprintf("%s/%d", r.task, r.number))
		x.w.memberGone(r)
		x.leaves(r, why == "upkeep")
	}
	x.w.note("worker %s ends (%s) with the runs [%s]", x.id, why, strings.Join(tasks, " "))
}

// memberGone ends the other members of a gang as broken, as a member has ended. The caller holds the lock.
func (w *world) memberGone(gone *run) {
	_, s, index := w.stepOf(gone.task)
	if s == nil || !s.Gang {
		return
	}
	delete(w.gangOf(gone.task, gone.number).present, index)
	prefix := gone.task[:strings.LastIndexByte(gone.task, '.')+1]
	for _, x := range w.workers {
		for _, r := range x.runs {
			if x.up && r != gone && r.number == gone.number && strings.HasPrefix(r.task, prefix) {
				x.end(r, "broken")
			}
		}
	}
}

func (x *worker) clockMS() int64 { return time.Since(x.startedAt).Milliseconds() + 1 }

// announce sends heartbeats until the life ends.
func (x *worker) announce(controls []string) {
	client := &http.Client{Timeout: time.Second}
	for at := 0; ; {
		x.w.mu.Lock()
		x.seq++
		up := x.up
		body := map[string]any{"service": "lomera", "address": x.address, "zone": x.zone, "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": map[string]int64{"cpu": x.cpu, "memMb": x.mem, "gpus": 0}, "labels": append(append([]string(nil), x.labels...), x.rack),
			"machine": x.machine, "clockMs": x.clockMS(), "seqNo": x.seq, "born": x.bornMS}
		x.w.mu.Unlock()
		if !up {
			return
		}
		for range controls {
			status, _ := send(client, http.MethodPut, "http://"+controls[at%len(controls)]+"/api/instances/"+x.id, nil, body)
			if status == http.StatusOK {
				break
			}
			at++
		}
		time.Sleep(heartbeatEvery)
	}
}

// orderBody is the body of a call to a worker.
type orderBody struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	TaskSpec     string `json:"taskSpec"`
	DeadlineMS   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMS       int64  `json:"waitMs"`
	Ticket       string `json:"ticket"`
}

// accept decodes a call and checks whom it is meant for and its fencing token. The caller holds the lock.
func (x *worker) accept(rw http.ResponseWriter, r *http.Request) (o orderBody, ok bool) {
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	if e := r.Header.Get("Bulrushwinch-Expect-Instance"); e != "" && e != x.id {
		x.reply(rw, http.StatusMisdirectedRequest, "")
		return o, false
	}
	if o.FencingToken < x.token {
		x.reply(rw, http.StatusConflict, "fence")
		return o, false
	}
	x.token = o.FencingToken
	return o, true
}

func (x *worker) reply(rw http.ResponseWriter, status int, reason string) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	body := map[string]any{"clockMs": x.clockMS(), "born": x.bornMS}
	if reason != "" {
		body["reason"] = reason
	}
	_ = json.NewEncoder(rw).Encode(body)
}

// extend extends the lease of all runs.
func (x *worker) extend(deadline int64) {
	x.deadline = max(x.deadline, min(deadline, x.clockMS()+maxHold.Milliseconds()))
}

func (x *worker) serveStart(rw http.ResponseWriter, r *http.Request) {
	x.w.mu.Lock()
	defer x.w.mu.Unlock()
	o, ok := x.accept(rw, r)
	if !ok {
		return
	}
	j, s, index := x.w.stepOf(o.Task)
	key := fmt.Sprintf("%s/%d", o.Task, o.Run)
	switch {
	case j == nil:
		x.w.breach("UNASKED: worker %s is told to start %s, which no client sent", x.id, o.Task)
		x.reply(rw, http.StatusBadRequest, "")
		return
	case x.runs[key] != nil:
		x.extend(o.DeadlineMS)
		x.reply(rw, http.StatusOK, "")
		return
	case x.closed[o.Task] >= o.Run:
		x.extend(o.DeadlineMS)
		x.reply(rw, http.StatusConflict, "old")
		return
	case o.DeadlineMS <= x.clockMS():
		x.reply(rw, http.StatusConflict, "late")
		return
	}
	if j.advice {
		t := x.w.advised[o.Ticket]
		if t.step != o.Task[:strings.LastIndexByte(o.Task, '.')] || t.worker != x.id || time.Now().After(t.expires) {
			x.reply(rw, http.StatusConflict, "ticket")
			return
		}
	}
	x.extend(o.DeadlineMS)
	j.starts++
	x.runs[key] = &run{task: o.Task, number: o.Run, startedAt: time.Now()}
	if s.Gang {
		g := x.w.gangOf(o.Task, o.Run)
		g.present[index] = true
		if len(g.present) == s.Count && g.begunAt.IsZero() {
			g.begunAt = time.Now()
			x.w.note("gang %s works", key)
		}
	}
	x.w.note("worker %s starts %s", x.id, key)
	x.reply(rw, http.StatusOK, "")
}

func (x *worker) serveStop(rw http.ResponseWriter, r *http.Request) {
	x.w.mu.Lock()
	defer x.w.mu.Unlock()
	o, ok := x.accept(rw, r)
	if !ok {
		return
	}
	x.closed[o.Task] = max(x.closed[o.Task], o.Run)
	if at := x.runs[fmt.Sprintf("%s/%d", o.Task, o.Run)]; at != nil && at.stopAt.IsZero() {
		at.stopAt = time.Now().Add(stopTime)
		x.w.note("worker %s is told to stop %s/%d at %d percent", x.id, o.Task, o.Run, at.percent)
	}
	x.reply(rw, http.StatusOK, "")
}

func (x *worker) servePace(rw http.ResponseWriter, r *http.Request) {
	x.w.mu.Lock()
	defer x.w.mu.Unlock()
	if _, ok := x.accept(rw, r); ok {
		x.reply(rw, http.StatusOK, "")
	}
}

func (x *worker) serveHold(rw http.ResponseWriter, r *http.Request) {
	x.w.mu.Lock()
	defer x.w.mu.Unlock()
	o, ok := x.accept(rw, r)
	if !ok {
		return
	}
	if o.DeadlineMS > 0 {
		x.extend(o.DeadlineMS)
	}
	for len(x.ended) > 0 && x.ended[0][0].(int64) <= o.LastSeen {
		x.ended = x.ended[1:]
	}
	if len(x.ended) == 0 && o.WaitMS > 0 {
		changed := x.changed
		x.w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
		}
		x.w.mu.Lock()
	}
	rows := make([][]any, 0, len(x.runs))
	for _, at := range x.runs {
		usage := int64(0)
		if _, s, _ := x.w.stepOf(at.task); s != nil {
			usage = s.CPU
			if s.TargetMS > 0 {
				usage = s.TargetMS / 2
			}
		}
		rows = append(rows, []any{at.task, at.number, "", at.percent, usage})
	}
	rw.Header().Set("Content-Type", "application/json")
	ended := x.ended[:min(len(x.ended), 500)]
	if ended == nil {
		ended = [][]any{}
	}
	_ = json.NewEncoder(rw).Encode(map[string]any{"clockMs": x.clockMS(), "born": x.bornMS, "running": rows, "ended": ended})
}

// end ends a run and lists its end. The caller holds the lock.
func (x *worker) end(r *run, how string) {
	key := fmt.Sprintf("%s/%d", r.task, r.number)
	if x.runs[key] != r {
		return
	}
	x.leaves(r, how == "stopped")
	delete(x.runs, key)
	x.closed[r.task] = max(x.closed[r.task], r.number)
	x.lastEnd++
	x.ended = append(x.ended, []any{x.lastEnd, r.task, r.number, how, ""})
	j, _, _ := x.w.stepOf(r.task)
	if j != nil {
		j.ends[how]++
		if how == "done" {
			j.done[r.task] = true
		}
	}
	x.w.note("worker %s lists the end of %s: %s", x.id, key, how)
	close(x.changed)
	x.changed = make(chan struct{})
}

// advance lets the runs on a worker work for a time. The caller holds the lock.
func (x *worker) advance(passed time.Duration) {
	now := time.Now()
	for _, r := range x.runs {
		j, s, _ := x.w.stepOf(r.task)
		if j == nil {
			continue
		}
		switch {
		case x.clockMS() > x.deadline:
			x.end(r, "lapsed")
			x.w.memberGone(r)
			continue
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			x.end(r, "stopped")
			x.w.memberGone(r)
			continue
		}
		if s.Gang {
			g := x.w.gangOf(r.task, r.number)
			if g.begunAt.IsZero() {
				if now.Sub(r.startedAt) > gangTimeout {
					x.end(r, "alone")
					x.w.memberGone(r)
				}
				continue
			}
		}
		r.worked += time.Duration(float64(passed) / max(1, x.slow))
		whole := j.work
		if s.LongRunning {
			whole = startup
		}
		r.percent = min(100, int(100*r.worked/whole))
		switch {
		case r.percent == 100 && !s.LongRunning:
			x.end(r, "done")
		case r.percent == 100:
			x.w.atWork(r.task)
		}
	}
}

// live advances all workers until stop is closed.
func (w *world) live(stop <-chan struct{}) {
	last := time.Now()
	for {
		select {
		case <-stop:
			return
		case <-time.After(stepEvery):
		}
		w.mu.Lock()
		passed := time.Since(last)
		last = last.Add(passed)
		for _, x := range w.workers {
			if x.up {
				x.advance(passed)
			}
		}
		w.mu.Unlock()
	}
}

// atWork records that a task of a lasting step is at work. The caller holds the lock.
func (w *world) atWork(task string) {
	l := w.lasting[task]
	if l == nil {
		l = &lastingTask{}
		w.lasting[task] = l
	}
	if !l.atWork {
		w.note("task %s is at work", task)
		*l = lastingTask{atWork: true, since: time.Now()}
	}
}

// leaves applies AVAIL to a run that ends, by an order of the system or not. The caller holds the lock.
func (x *worker) leaves(r *run, byOrder bool) {
	_, s, _ := x.w.stepOf(r.task)
	l := x.w.lasting[r.task]
	if s == nil || !s.LongRunning || l == nil || !l.atWork {
		return
	}
	if byOrder && s.MissAllowed > 0 && x.slow <= 1 {
		prefix, away := r.task[:strings.LastIndexByte(r.task, '.')+1], []string{}
		for name, other := range x.w.lasting {
			if name != r.task && strings.HasPrefix(name, prefix) && !other.atWork && (other.byOrder || time.Since(other.since) >= notice) {
				away = append(away, name)
			}
		}
		if len(away) >= s.MissAllowed {
			x.w.breach("AVAIL: an order of the system ends %s, which is at work on the sound worker %s, while %v are away; missAllowed is %d", r.task, x.id, away, s.MissAllowed)
		}
	}
	*l = lastingTask{since: time.Now(), byOrder: byOrder}
}
