package soak

import (
	"encoding/json"
	"net/http"
	"time"
)

// voterTimeout bounds the wait until replicas vote. On an idle machine it takes 3 s; beside other load, replicas start
// late and leaderships are lost.
const voterTimeout = 60 * time.Second

// awaitVoters waits until the replica of one node runs and knows a committed membership in which all of the given
// nodes vote.
func (r *run) awaitVoters(at *node, voters ...*node) {
	r.t.Helper()
	for until := time.Now().Add(voterTimeout); ; time.Sleep(50 * time.Millisecond) {
		roles := r.memberRoles(at)
		if allVote(r, roles, voters) {
			return
		}
		if time.Now().After(until) {
			r.t.Fatalf("members known to %s after %v: %v", at.name, voterTimeout, roles)
		}
	}
}

func allVote(r *run, roles map[string]string, voters []*node) bool {
	for _, n := range voters {
		if roles[r.address(n, 3)] != "voter" {
			return false
		}
	}
	return true
}

// memberRoles returns the metric group_members of a node, by peer address.
func (r *run) memberRoles(n *node) map[string]string {
	status, body := r.call(http.MethodGet, r.address(n, 4), "/debug/vars", "", "")
	var vars struct {
		Members map[string]string `json:"group_members"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(body), &vars) != nil {
		return nil
	}
	return vars.Members
}

// lastLeadership returns when the last leadership began, by the logs of all replicas.
func (r *run) lastLeadership() time.Time { return time.UnixMilli(r.lastLine("leadership begins").Time) }
