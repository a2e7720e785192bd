package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// callerDeadline is how long a caller waits for an answer.
	callerDeadline = 3 * time.Second
	// host and prefix select the only queue.
	host   = "nony24.example"
	prefix = "/lohu930/"
)

// config is what the cases set in the configuration; the rest is the same for all.
type config struct {
	version int
	keys    []string
}

// body returns the configuration as the operator sends it.
func (c config) body() []byte {
	routes := []map[string]any{{"name": "r-cpihhac", "host": host, "pathPrefix": prefix, "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 2500,
		"priority": 1, "service": service, "maxAttempts": 3, "stretch": 2.2, "public": false}}
	data, err := json.Marshal(map[string]any{"version": c.version, "routes": routes,
		"services": []map[string]any{{"name": service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "enforcesCapacity": false, "standby": false}},
		"limits":   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": "kaje80", "apiKeys": c.keys, "priority": 1, "weight": 12, "cap": map[string]int{"cpu": 0, "memMb": 0, "gpus": 0}}}})
	if err != nil {
		panic(err)
	}
	return data
}

// answer is the answer to a call; the status is zero if there was none.
type answer struct {
	status int
	body   string
	at     time.Time
}

// clear reports whether the answer tells what became of the call.
func (a answer) clear() bool {
	return a.status != 0 && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout
}

// request sends a request on a connection of its own and records it with its answer.
func (c *cell) request(ctx context.Context, who, method, url, key, job string, body []byte) answer {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+url, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Host = host
		req.Header.Set("Authorization", "Token "+key)
		req.Header.Set("Bulrushwinch-Deadline-Ms", fmt.Sprint(callerDeadline.Milliseconds()))
	}
	c.rec.write(event{Who: who, What: "sends " + method, Job: job, Detail: url})
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	out := answer{at: time.Now()}
	if err == nil {
		data, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		out = answer{resp.StatusCode, string(data[:min(len(data), 200)]), time.Now()}
	}
	c.rec.write(event{Who: who, What: "answer to " + method, Job: job, Status: out.status, Body: out.body, Detail: url})
	return out
}

// order sends an order of the operator until it has a 2xx, beginning at node first; each node has a second.
func (c *cell) order(method, path string, body []byte, first int, patience time.Duration) (answer, error) {
	nodes := c.seeds()
	for began, n := time.Now(), first; time.Since(began) < patience; n++ {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		a := c.request(ctx, "operator", method, nodes[n%len(nodes)]+path, "", "", body)
		cancel()
		if a.status/100 == 2 || a.status >= 400 && a.status < 500 {
			return a, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return answer{}, fmt.Errorf("%s %s was not acknowledged", method, path)
}

// configure puts a configuration into force.
func (c *cell) configure(cfg config, first int) error {
	a, err := c.order(http.MethodPut, "/api/config", cfg.body(), first, 20*time.Second)
	if err == nil && a.status != http.StatusOK {
		err = fmt.Errorf("the configuration was answered with %d: %s", a.status, a.body)
	}
	for _, f := range c.formed {
		err = errors.Join(err, f())
	}
	c.formed = nil
	return err
}

// newJobID returns a new identity of a job.
func newJobID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// step is a step of a job with one kind of task.
type step struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu"`
	MemMB       int    `json:"memMb"`
	EstimateMS  int    `json:"estimateMs,omitempty"`
	Constraints string `json:"constraints,omitempty"`
	LongRunning bool   `json:"longRunning,omitempty"`
}

// jobBody returns the body of a job of one step.
func jobBody(spec string, s step) []byte {
	data, err := json.Marshal(map[string]any{"taskSpec": spec, "jobSteps": []step{s}})
	if err != nil {
		panic(err)
	}
	return data
}

// callJob calls about a job at an entry, once, with the caller's whole deadline.
func (c *cell) callJob(method string, entry int, key, id string, body []byte) answer {
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline)
	defer cancel()
	fronts := c.fronts()
	return c.request(ctx, "caller", method, fronts[entry%len(fronts)]+prefix+id, key, id, body)
}

// submit hands a job in until it has a clear answer that is not 503.
func (c *cell) submit(entry int, key, id string, body []byte) (answer, error) {
	for n := range 10 {
		a := c.callJob(http.MethodPost, entry+n, key, id, body)
		if a.clear() && a.status != http.StatusServiceUnavailable {
			if a.status/100 != 2 {
				return a, fmt.Errorf("job %s was answered with %d: %s", id, a.status, a.body)
			}
			return a, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return answer{}, fmt.Errorf("job %s was not accepted", id)
}

// awaitState asks for a job until it is in one of the given states.
func (c *cell) awaitState(key, id string, patience time.Duration, states ...string) (string, error) {
	last := ""
	for began, n := time.Now(), 0; time.Since(began) < patience; n++ {
		a := c.callJob(http.MethodGet, n, key, id, nil)
		var reply struct{ State string }
		if a.status == http.StatusOK && json.Unmarshal([]byte(a.body), &reply) == nil {
			last = reply.State
			for _, s := range states {
				if s == last {
					return last, nil
				}
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return last, fmt.Errorf("job %s is %q after %s", id, last, patience)
}
