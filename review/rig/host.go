package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["host"] = hostCase }

// hostCase changes the configuration: the new version writes the route's host with a capital letter. The clients send their calls
// with that host, letter by letter. Without the trouble it changes the route's timeout.
func hostCase(c *cell, trouble bool) (*verdict, error) {
	const (
		workers = 6
		job     = "5c0e7a21d94b36f8"
		// inForce is configApplyMs of the site.
		inForce = 2 * time.Second
	)
	if err := c.startSystem(); err != nil {
		return nil, err
	}
	if err := c.configure(); err != nil {
		return nil, err
	}
	for n := range workers {
		if _, err := c.startWorker(n, func(string, int64, string, string, int, string) {}); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	spec := map[string]any{"taskSpec": "work=500", "jobSteps": []any{map[string]any{"count": 2, "cpu": 2000, "memMb": 1024, "estimateMs": 500}}}
	if err := c.submit(job, spec); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	written := host
	next := config(9)
	route := next["routes"].([]any)[0].(map[string]any)
	if trouble {
		written = strings.ToUpper(host[:1]) + host[1:]
		route["host"] = written
	} else {
		route["timeoutMs"] = 2900
	}
	if status, _ := c.do(http.MethodPut, c.controls()[0], "/api/config", "", "", next); status != http.StatusOK {
		return nil, fmt.Errorf("the new configuration was not accepted")
	}
	time.Sleep(inForce + time.Second)
	v := &verdict{}
	for i := range 10 {
		front := c.address(21+i%2, "front")
		if status, _ := c.do(http.MethodGet, front, prefix+job, written, apiKey, nil); status == http.StatusNotFound {
			v.breaks("CONFIG: a GET with the host %s is answered 404, though the route %s%s and the key are there", written, written, prefix)
		}
		if status, _ := c.do(http.MethodPost, front, fmt.Sprintf("%s0a1b2c3d4e5f60%02d", prefix, i), written, apiKey, spec); status == http.StatusNotFound {
			v.breaks("CONFIG: a POST with the host %s is answered 404, though the route %s%s and the key are there", written, written, prefix)
		}
		time.Sleep(300 * time.Millisecond)
	}
	return v, nil
}
