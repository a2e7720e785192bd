package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/bulrushwinch/bulrushwinch/dispatch"
	"github.com/sebdah/goldie/v2"
)

// TestWhereOutputs expects the command to go on to the process that leads, and to print its answer.
func TestWhereOutputs(t *testing.T) {
	answers := map[string]*dispatch.Where{
		"full": {Verdict: "not_now", Reason: "all places for jobs are taken: 9 of 9 are taken", RetryAfterMS: 2500, Confirmed: true},
		"montevideo": {Queue: "labels", Team: "montevideo", ConfigVersion: 3, Confirmed: true, Admitted: true, Service: "print", Priority: 2,
			TeamUse: dispatch.WhereNeeds{MilliCores: 1500}, TeamLimit: dispatch.WhereNeeds{MilliCores: 4000, MemoryMiB: 64},
			Now: []dispatch.WhereStep{{Turn: 2, Of: 3, RemainingMS: 1000, SlackMS: 500, InTime: true, Useful: true, Obstacles: map[string]int{"can take a task now": 1},
				Upstreams: []dispatch.WhereUpstream{{ID: "printer-1", FailureDomain: "prado", Rack: "rack-1", Tasks: 1, Free: dispatch.WhereNeeds{MilliCores: 1000}, Slowness: 1}},
				Asks:      []dispatch.WhereUpstream{{ID: "printer-2", Slowness: 1.3}}, Waiting: 1, Why: "waiting for the answer to a permit question", Overloaded: true}},
			Next: []dispatch.WhereStep{{Stops: []dispatch.WhereStop{{Request: "5c0e7a21d94b36f8", Task: 4, Upstream: "printer-2"}}, Reserved: 2}}},
	}
	known := &dispatch.Where{Queue: "labels", Confirmed: true, Admitted: true, State: "running", Service: "print", Route: "nony24.example/lohu930/", QueueGone: true}
	follower := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "not the leader", http.StatusMisdirectedRequest)
	}))
	defer follower.Close()
	leader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := answers[r.URL.Query().Get("team")]
		if r.URL.Query().Get("request") == "5c0e7a21d94b36f8" {
			answer = known
		}
		if answer == nil {
			http.Error(w, "one question about a job is answered a second", http.StatusTooManyRequests)
			return
		}
		_ = json.NewEncoder(w).Encode(answer)
	}))
	defer leader.Close()
	first, second := strings.TrimPrefix(follower.URL, "http://"), strings.TrimPrefix(leader.URL, "http://")
	admin := "where -admin " + first + "," + second
	got := runTool(t, second, admin+" -team montevideo -queue labels -tasks 2", admin+" -team full -queue labels", admin+" -team busy -queue labels",
		admin+" 5c0e7a21d94b36f8", admin+" -queue labels 5c0e7a21d94b36f8",
		"where -admin "+first+" -queue labels", "where -queue labels", "where -admin x -queue labels -f job.json")
	goldie.New(t, goldie.WithFixtureDir(fixtures)).Assert(t, "where", []byte(strings.ReplaceAll(string(got), first, "FOLLOWER")))
}
