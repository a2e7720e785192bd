package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// operator changes the configuration and reads it back. A version that was acknowledged must
// never be older than what a later read shows.
type operator struct {
	r     *run
	mu    sync.Mutex
	acked int
}

const configText = `{"version":%d,"routes":[{"name":"q","host":"h","pathPrefix":"/q/","timeoutMs":3000,"service":"print","maxAttempts":3,"stretch":2}],
	"services":[{"name":"print"}],"tenants":[{"name":"t","apiKeys":[%q],"weight":1}]}`

// put sends a version to replicas until one has acknowledged it, or time runs out.
func (o *operator) put(version int, rng *rand.Rand, within time.Duration) bool {
	body := fmt.Sprintf(configText, version, key)
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		n := o.r.nodes[rng.IntN(replicas)]
		if status, _ := o.r.call(http.MethodPut, o.r.address(n, 1), "/api/config", "", body); status == http.StatusOK {
			o.mu.Lock()
			o.acked = max(o.acked, version)
			o.mu.Unlock()
			return true
		}
	}
	return false
}

// read asks one replica for the configuration and checks its version.
func (o *operator) read(rng *rand.Rand) bool {
	o.mu.Lock()
	acked := o.acked
	o.mu.Unlock()
	n := o.r.nodes[rng.IntN(replicas)]
	status, body := o.r.call(http.MethodGet, o.r.address(n, 1), "/api/config", "", "")
	if status != http.StatusOK {
		return false
	}
	var c struct {
		Version int `json:"version"`
	}
	if err := json.Unmarshal([]byte(body), &c); err != nil || c.Version < acked {
		o.r.t.Errorf("%s shows version %d after %d was acknowledged: %v", n.name, c.Version, acked, err)
	}
	return true
}

// changeUntil changes and reads the configuration until stop is closed.
func (o *operator) changeUntil(stop <-chan struct{}, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 55))
	for version := 2; ; version++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(100+rng.IntN(400)) * time.Millisecond):
		}
		o.put(version, rng, 2*time.Second)
		o.read(rng)
	}
}

// finish expects a read within the time that the group needs to come back.
func (o *operator) finish() {
	rng := rand.New(rand.NewPCG(1, 1))
	for until := time.Now().Add(settle); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if o.read(rng) {
			return
		}
	}
	o.r.t.Error("the configuration can't be read after the last fault")
}
