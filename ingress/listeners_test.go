package ingress_test

import "testing"

// Bodies of the largest requests in bytes.
const (
	frontBody   = 512 << 10
	controlBody = 8 << 20
)

// Callers outside the limits don't end or fill an entry.
func TestCrowdOnTheFront(t *testing.T) {
	testCrowd(t, startPush("entry", entryMemory), listener{portFront, "POST /labels/job-1", "{", []int{400}, frontBody, entryBound})
}

// Clients of the readiness check outside the limits don't end or fill an entry.
func TestCrowdOnReadiness(t *testing.T) {
	testCrowd(t, startPush("entry", entryMemory), listener{portReadiness, "GET /api/ready", "", []int{200, 503}, frontBody, entryBound})
}

// Operators and upstreams outside the limits don't end or fill a replica.
func TestCrowdOnControl(t *testing.T) {
	testCrowd(t, startPush("replica", replicaMemory), listener{portFront, "PUT /api/config", "{", []int{400}, controlBody, replicaBound})
}

// Clients of the public address outside the limits don't end or fill a process that upstreams poll.
func TestCrowdOnPublic(t *testing.T) {
	testCrowd(t, startPolled, listener{portFront, "POST /bulrushwinch.v1.CallerService/Submit", "{}", []int{200, 400, 401, 403}, controlBody,
		defaultBudget + runtimeMargin})
}

// Clients without the cluster secret don't end or fill a process through its peer address.
func TestCrowdOnPeer(t *testing.T) {
	testCrowd(t, startPush("replica", replicaMemory), listener{portPeer, "POST /peer.v1.PeerService/View", "{}", []int{200}, controlBody,
		replicaBound})
}

// Clients of the admin address outside the limits don't end or fill a process.
func TestCrowdOnAdmin(t *testing.T) {
	testCrowd(t, startPush("entry", entryMemory), listener{portAdmin, "GET /healthz", "", []int{200}, controlBody, entryBound})
}
