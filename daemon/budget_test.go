package daemon

import (
	"expvar"
	"strconv"
	"testing"

	"github.com/bulrushwinch/bulrushwinch/config"
	"github.com/rs/zerolog"
)

// The budget of a replica on a small VM has room for the largest message of raft: without it the replica could never take
// a log entry with a large configuration.
func TestBudgetHoldsTheLargestPeerMessage(t *testing.T) {
	newBudget(&config.Settings{Roles: []config.Role{config.RoleReplica}}, 64<<20, maxControlBody, zerolog.Nop())
	if got, _ := strconv.Atoi(expvar.Get("ingress_budget_bytes").String()); got < largestPeerMessage {
		t.Errorf("budget of %d bytes", got)
	}
}
