package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// endsListed is the most ends that one answer lists.
const endsListed = 500

// lasting is the payload of a task that lasts; any other payload is the time that a task takes.
const lasting = "lasts"

// upstream is one life of a stand-in for an upstream, as PROTOCOL.md describes it. It guards no capacity.
type upstream struct {
	id, address, zone, kind string
	nodes                   []string
	rec                     *record
	began                   time.Time

	mu         sync.Mutex
	token      int64
	deadlineMS int64
	running    map[string]*run
	// closed is the highest run of each task that was stopped or has ended.
	closed  map[string]int64
	ended   [][]any
	lastEnd int64
	changed chan struct{}
}

// run is a run that has not ended.
type run struct {
	task   string
	number int64
	timer  *time.Timer
}

// runUpstream runs the stand-in until its process is ended.
func runUpstream(args []string) {
	rec, err := openRecord(args[5])
	if err != nil {
		panic(err)
	}
	u := &upstream{id: args[0], address: args[1], zone: args[2], kind: args[3], nodes: strings.Split(args[4], ","), rec: rec, began: time.Now(),
		running: make(map[string]*run), closed: make(map[string]int64), changed: make(chan struct{})}
	l, err := net.Listen("tcp", u.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	u.note(event{What: "listens"})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", u.serve(u.start))
	mux.HandleFunc("POST /api/run-stop", u.serve(u.stop))
	mux.HandleFunc("POST /api/hold", u.serve(u.hold))
	go u.sendHeartbeats()
	go u.expireLease()
	panic(http.Serve(l, mux))
}

func (u *upstream) note(e event) {
	e.Who, e.Born = u.id, u.began.UnixMilli()
	u.rec.write(e)
}

// clockMS is the upstream's steady clock, which starts anew with each life.
func (u *upstream) clockMS() int64 { return time.Since(u.began).Milliseconds() + 1 }

// order is the body of a call.
type order struct {
	Task         string `json:"task"`
	Run          int64  `json:"run"`
	TaskSpec     string `json:"taskSpec"`
	DeadlineMS   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMS       int64  `json:"waitMs"`
}

// serve decodes a call, checks the instance and the fencing token, and holds the lock while f answers.
func (u *upstream) serve(f func(r *http.Request, o order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		u.mu.Lock()
		defer u.mu.Unlock()
		var o order
		status, body := http.StatusBadRequest, map[string]any{}
		expected := r.Header.Get("Bulrushwinch-Expect-Instance")
		switch {
		case json.NewDecoder(r.Body).Decode(&o) != nil:
		case expected != "" && expected != u.id:
			status = http.StatusMisdirectedRequest
		case o.FencingToken < u.token:
			status, body = http.StatusConflict, map[string]any{"reason": "fence"}
		default:
			u.token = o.FencingToken
			status, body = f(r, o)
		}
		body["clockMs"] = u.clockMS()
		u.note(event{What: "answers " + r.URL.Path, Task: o.Task, Run: o.Run, Status: status,
			Detail: fmt.Sprintf("token %d, lastSeen %d, deadlineMs %d, clockMs %d, reason %v", o.FencingToken, o.LastSeen, o.DeadlineMS, u.clockMS(), body["reason"])})
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

// extend sets the end of the lease. It never shortens, and is at most maxHold ahead.
func (u *upstream) extend(deadlineMS int64) {
	u.deadlineMS = max(u.deadlineMS, min(deadlineMS, u.clockMS()+maxHold.Milliseconds()))
}

func key(task string, number int64) string { return fmt.Sprintf("%s/%d", task, number) }

func (u *upstream) start(_ *http.Request, o order) (int, map[string]any) {
	u.extend(o.DeadlineMS)
	k := key(o.Task, o.Run)
	switch {
	case u.running[k] != nil:
		return http.StatusOK, map[string]any{}
	case o.Run <= u.closed[o.Task]:
		return http.StatusConflict, map[string]any{"reason": "old"}
	case u.deadlineMS <= u.clockMS():
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	r := &run{task: o.Task, number: o.Run}
	if o.TaskSpec != lasting {
		length, err := time.ParseDuration(o.TaskSpec)
		if err != nil {
			return http.StatusBadRequest, map[string]any{}
		}
		r.timer = time.AfterFunc(length, func() {
			u.mu.Lock()
			defer u.mu.Unlock()
			if u.running[k] == r {
				u.end(r, "done")
			}
		})
	}
	u.running[k] = r
	u.note(event{What: "start", Task: o.Task, Run: o.Run})
	return http.StatusOK, map[string]any{}
}

// end ends a run and lists its end. The caller holds the lock.
func (u *upstream) end(r *run, how string) {
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(u.running, key(r.task, r.number))
	u.closed[r.task] = max(u.closed[r.task], r.number)
	u.lastEnd++
	u.ended = append(u.ended, []any{u.lastEnd, r.task, r.number, how, ""})
	u.note(event{What: "end", Task: r.task, Run: r.number, How: how, Detail: fmt.Sprintf("listed as %d", u.lastEnd)})
	close(u.changed)
	u.changed = make(chan struct{})
}

func (u *upstream) stop(_ *http.Request, o order) (int, map[string]any) {
	u.closed[o.Task] = max(u.closed[o.Task], o.Run)
	if r := u.running[key(o.Task, o.Run)]; r != nil {
		u.end(r, "stopped")
	}
	return http.StatusOK, map[string]any{}
}

// hold forgets the ends up to lastSeen, extends the lease, waits for an end if it may, and lists what runs and has
// ended.
func (u *upstream) hold(r *http.Request, o order) (int, map[string]any) {
	if o.DeadlineMS > 0 {
		u.extend(o.DeadlineMS)
	}
	for len(u.ended) > 0 && u.ended[0][0].(int64) <= o.LastSeen {
		u.note(event{What: "end taken note of", Task: u.ended[0][1].(string), Run: u.ended[0][2].(int64), How: u.ended[0][3].(string),
			Detail: fmt.Sprintf("listed as %d, lastSeen %d", u.ended[0][0], o.LastSeen)})
		u.ended = u.ended[1:]
	}
	if len(u.ended) == 0 && o.WaitMS > 0 {
		changed := u.changed
		u.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		u.mu.Lock()
	}
	running := [][]any{}
	for _, x := range u.running {
		running = append(running, []any{x.task, x.number, "", 100, 1000})
	}
	return http.StatusOK, map[string]any{"born": u.began.UnixMilli(), "running": running, "ended": append([][]any{}, u.ended[:min(len(u.ended), endsListed)]...)}
}

// expireLease ends all runs when the lease has expired.
func (u *upstream) expireLease() {
	for range time.Tick(10 * time.Millisecond) {
		u.mu.Lock()
		if u.deadlineMS != 0 && u.clockMS() > u.deadlineMS {
			u.deadlineMS = 0
			u.note(event{What: "lease lapsed"})
			for _, r := range u.running {
				u.end(r, "lapsed")
			}
		}
		u.mu.Unlock()
	}
}

// sendHeartbeats announces the upstream, at once and then about every heartbeat, to the node that answered last. After
// a failure or a second without a 2xx it calls the next node.
func (u *upstream) sendHeartbeats() {
	client := &http.Client{Timeout: time.Second}
	node := 0
	for sequence := int64(1); ; sequence++ {
		body, err := json.Marshal(map[string]any{"service": service, "address": u.address, "zone": u.zone, "version": "v1", "slots": 8, "state": "ready",
			"coldLeftMs": 0, "capacity": map[string]int{"cpu": 64000, "memMb": 262144, "gpus": 0}, "labels": []string{u.kind, "r-" + u.zone},
			"machine": "m-" + u.id, "clockMs": u.clockMS(), "seqNo": sequence, "born": u.began.UnixMilli()})
		if err != nil {
			panic(err)
		}
		if u.announce(client, u.nodes[node], body) {
			time.Sleep(heartbeat)
			continue
		}
		node = (node + 1) % len(u.nodes)
		time.Sleep(50 * time.Millisecond)
	}
}

// announce sends one heartbeat and reports whether it was acknowledged.
func (u *upstream) announce(client *http.Client, node string, body []byte) bool {
	req, err := http.NewRequest(http.MethodPut, "http://"+node+"/api/instances/"+u.id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		u.note(event{What: "heartbeat not answered", Detail: node})
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	u.note(event{What: "heartbeat", Status: resp.StatusCode, Detail: node})
	return resp.StatusCode/100 == 2
}
