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

// upkeepTakes is maintenanceS of lomos-uy.
const upkeepTakes = 2 * time.Second

// vmService is a sound platform: it lists the machines and takes orders for their upkeep.
type vmService struct {
	mu    sync.Mutex
	order []string
	vms   map[string]*vm
	waves map[int64]map[string]bool
	// atOnce is how many machines of a wave may be down for their upkeep at once; broken is what the orders broke of that.
	atOnce int
	broken []string
	// takesDown ends the worker on a machine; bringsBack starts another one and returns its id.
	takesDown  func(machine string)
	bringsBack func(machine string) string
	// junk are entries of another writer that the list holds besides its own.
	junk   []any
	record *recorder
}

type vm struct {
	state, zone, worker string
	fence               int64
	done                map[int64]bool
}

func (s *vmService) serve(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/machines", s.list)
	mux.HandleFunc("POST /api/machine-upkeep", s.upkeep)
	go func() { _ = (&http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}).Serve(l) }()
	return nil
}

func reply(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

func (s *vmService) list(rw http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []any
	for _, name := range s.order {
		m := s.vms[name]
		out = append(out, map[string]any{"machine": name, "pool": service, "state": m.state, "zone": m.zone, "labels": []string{"a", "r1"},
			"capacity": map[string]int64{"cpu": roomCPU, "memMb": roomMem, "gpus": 0}, "id": m.worker})
	}
	reply(rw, http.StatusOK, map[string]any{"machines": append(out, s.junk...), "nextToken": ""})
}

// down counts the machines of a wave that are down for their upkeep.
func (s *vmService) down(wave int64) (n int) {
	for name := range s.waves[wave] {
		if s.vms[name].state == "upkeep" {
			n++
		}
	}
	return n
}

func (s *vmService) upkeep(rw http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var c struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	token, _ := strconv.ParseInt(r.Header.Get("Bulrushwinch-Fencing-Token"), 10, 64)
	m := (*vm)(nil)
	if json.NewDecoder(r.Body).Decode(&c) == nil {
		m = s.vms[c.Machine]
	}
	switch {
	case m == nil:
		reply(rw, http.StatusBadRequest, map[string]any{})
	case token < m.fence:
		reply(rw, http.StatusConflict, map[string]any{"reason": "fence"})
	case !s.waves[c.Wave][c.Machine]:
		reply(rw, http.StatusConflict, map[string]any{"reason": "wave"})
	case m.done[c.Wave]:
		reply(rw, http.StatusOK, map[string]any{})
	case m.state != "up":
		reply(rw, http.StatusConflict, map[string]any{"reason": "busy"})
	default:
		if down := s.down(c.Wave); down >= s.atOnce {
			s.broken = append(s.broken, fmt.Sprintf("LIMIT: the upkeep of %s begins while %d machines of its wave are down for theirs; at most %d may be", c.Machine, down, s.atOnce))
		}
		m.fence, m.state, m.worker, m.done[c.Wave] = token, "upkeep", "", true
		s.record.add("platform: upkeep of %s begins, ordered by %s with token %d", c.Machine, r.Header.Get("Bulrushwinch-Lease-Holder"), token)
		s.takesDown(c.Machine)
		time.AfterFunc(upkeepTakes, func() {
			id := s.bringsBack(c.Machine)
			s.mu.Lock()
			defer s.mu.Unlock()
			m.state, m.worker = "up", id
			s.record.add("platform: %s is up with %s", c.Machine, id)
		})
		reply(rw, http.StatusOK, map[string]any{})
	}
}
