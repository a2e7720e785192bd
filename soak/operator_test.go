package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// operator changes the configuration and reads it back. A read must never show an older version
// than one that was acknowledged before it.
type operator struct {
	r     *run
	mu    sync.Mutex
	acked int // highest version acknowledged
}

// configTemplate is the format of a configuration: its version and the caller's key.
const configTemplate = `{"version":%d,"routes":[{"name":"q","host":"h","pathPrefix":"/q/","timeoutMs":3000,"service":"print","maxAttempts":3,"stretch":2}],
	"services":[{"name":"print"}],"tenants":[{"name":"t","apiKeys":[%q],"weight":1}]}`

// put sends a version to random replicas until one acknowledges it, and reports whether one did
// within the given time.
func (o *operator) put(version int, rng *rand.Rand, within time.Duration) bool {
	body := fmt.Sprintf(configTemplate, version, key)
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

// read requests the configuration from one replica and checks its version; false means that there
// was no answer.
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

// awaitRead fails the test unless a read gets an answer within completionTimeout.
func (o *operator) awaitRead() {
	rng := rand.New(rand.NewPCG(1, 1))
	for until := time.Now().Add(completionTimeout); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if o.read(rng) {
			return
		}
	}
	o.r.t.Error("the configuration could not be read after the last fault")
}
