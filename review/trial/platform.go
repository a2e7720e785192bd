package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// adviceService says which workers may run a step: all of them. It handles one call at a time for each
// calling machine.
type adviceService struct {
	w       *world
	address string
	mu      sync.Mutex
	turns   map[string]*sync.Mutex
	next    int
	// decision, perWorker and valid are as in the configuration.
	decision, perWorker, valid time.Duration
}

func startAdvice(w *world, ip string) (*adviceService, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	a := &adviceService{w: w, address: l.Addr().String(), turns: make(map[string]*sync.Mutex),
		decision: 430 * time.Millisecond, perWorker: 6100 * time.Microsecond, valid: 2 * time.Second}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/advise", a.serve)
	go func() { _ = (&http.Server{Handler: mux}).Serve(l) }()
	return a, nil
}

func (a *adviceService) serve(rw http.ResponseWriter, r *http.Request) {
	var q struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil || len(q.Workers) > 100 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	// All processes call from loopback addresses; the connection stands for the calling machine.
	a.mu.Lock()
	turn := a.turns[r.RemoteAddr]
	if turn == nil {
		turn = &sync.Mutex{}
		a.turns[r.RemoteAddr] = turn
	}
	a.mu.Unlock()
	turn.Lock()
	time.Sleep(a.decision + time.Duration(len(q.Workers))*a.perWorker)
	turn.Unlock()
	a.w.mu.Lock()
	defer a.w.mu.Unlock()
	good := make([][]string, 0, len(q.Workers))
	for _, id := range q.Workers {
		a.next++
		name := fmt.Sprintf("t%d", a.next)
		a.w.advised[name] = ticket{q.Step, id, time.Now().Add(a.valid)}
		good = append(good, []string{id, name})
	}
	a.w.note("advice on %s for %d workers: %d good", q.Step, len(q.Workers), len(good))
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"good": good, "validMs": a.valid.Milliseconds()})
}

// cloud is the platform's list of machines and its upkeep.
type cloud struct {
	w        *world
	address  string
	machines []*machine
	// waves holds the machines of each wave, caps how many may be down at once.
	waves map[int64]map[string]bool
	caps  map[int64]int
	// foreign are entries of the list from another writer, after the proper ones.
	foreign []map[string]any
	// restart brings a machine's next worker up; taken is called when an upkeep takes a worker.
	restart func(*machine)
	taken   func(*machine, *worker)
}

// machine is a machine of the platform with its worker.
type machine struct {
	name   string
	worker *worker
	// state is as in the list of machines.
	state string
	token int64
	// done holds the waves whose upkeep has begun.
	done map[int64]bool
	wave int64
}

// maintenanceTime is the time from the start of an upkeep until the next worker joins.
const maintenanceTime = 2 * time.Second

func startCloud(w *world, ip string) (*cloud, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	c := &cloud{w: w, address: l.Addr().String(), waves: make(map[int64]map[string]bool), caps: make(map[int64]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/machines", c.list)
	mux.HandleFunc("POST /api/machine-upkeep", c.upkeep)
	go func() { _ = (&http.Server{Handler: mux}).Serve(l) }()
	return c, nil
}

func (c *cloud) list(rw http.ResponseWriter, _ *http.Request) {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	out := make([]map[string]any, 0, len(c.machines))
	for _, m := range c.machines {
		x := m.worker
		e := map[string]any{"machine": m.name, "pool": "lomera", "state": m.state, "zone": x.zone, "labels": append(append([]string(nil), x.labels...), x.rack),
			"capacity": map[string]int64{"cpu": x.cpu, "memMb": x.mem, "gpus": 0}}
		if m.state == "up" {
			e["id"] = x.id
		}
		out = append(out, e)
	}
	out = append(out, c.foreign...)
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"machines": out, "nextToken": nil})
}

func (c *cloud) refuse(rw http.ResponseWriter, status int, reason string) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(map[string]string{"reason": reason})
}

func (c *cloud) upkeep(rw http.ResponseWriter, r *http.Request) {
	var q struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	_ = json.NewDecoder(r.Body).Decode(&q)
	token, _ := strconv.ParseInt(r.Header.Get("Bulrushwinch-Fencing-Token"), 10, 64)
	holder := r.Header.Get("Bulrushwinch-Lease-Holder")
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	var m *machine
	for _, x := range c.machines {
		if x.name == q.Machine {
			m = x
		}
	}
	verdict := ""
	switch {
	case m == nil:
		c.refuse(rw, http.StatusBadRequest, "")
		return
	case token < m.token:
		verdict = "fence"
	case m.done[q.Wave]:
	case !c.waves[q.Wave][m.name]:
		verdict = "wave"
	case m.state != "up":
		verdict = "busy"
	}
	m.token = max(m.token, token)
	c.w.note("upkeep of %s for wave %d ordered by %s: %s", m.name, q.Wave, holder, verdict)
	if verdict != "" {
		c.refuse(rw, http.StatusConflict, verdict)
		return
	}
	if !m.done[q.Wave] {
		c.begin(m, q.Wave)
	}
	rw.Header().Set("Content-Type", "application/json")
	_, _ = rw.Write([]byte("{}"))
}

// begin begins the upkeep of a machine. The caller holds the lock.
func (c *cloud) begin(m *machine, wave int64) {
	down := 0
	for _, x := range c.machines {
		if x.state == "upkeep" && x.wave == wave {
			down++
		}
	}
	if down >= c.caps[wave] {
		c.w.breach("LIMIT: the upkeep of %s begins while %d machines of wave %d, whose cap is %d, are down for theirs", m.name, down, wave, c.caps[wave])
	}
	m.done[wave], m.wave, m.state = true, wave, "upkeep"
	c.w.note("upkeep of %s begins; %d of its wave are down now", m.name, down+1)
	if c.taken != nil {
		c.taken(m, m.worker)
	}
	m.worker.crashLocked("upkeep")
	time.AfterFunc(maintenanceTime, func() { c.restart(m) })
}
