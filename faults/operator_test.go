package faults

import (
	"context"
	"crypto/sha256"
	"fmt"
	"os"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/entry"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/raft"
)

const (
	operatorKey  = "operator-key"
	upstreamKey  = "upstream-key"
	spareAddress = "replica-spare"
	// raceTeam is the team whose share competing operators change.
	raceTeam = "race"

	// startupTime is the time that a new cell gets to elect a leader or to register its workers.
	startupTime = 3 * time.Second
	// callTimeout bounds one send of a call, callTries the number of sends.
	callTimeout = 8 * time.Second
	// resendPause is the time between two sends of a call.
	resendPause = 150 * time.Millisecond
	callTries   = 200
)

func makeFolder(dir string) error { return os.MkdirAll(dir, 0o700) }

// send sends one call of an operator or caller; try selects the entry, round robin.
func (c *cell) send(from, method string, try int, f func(context.Context, *entry.Server) error) error {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	return c.call(ctx, from, method, c.entries[try%len(c.entries)], f)
}

// change makes one change of the configuration, resending it until it has an answer, and records it
// in the history. Without an answer it returns an empty response.
func (c *cell) change(client int, req *apiv1.ChangeRequest) *apiv1.ChangeResponse {
	op := change{client: client, operation: req.GetOperationId(), base: req.GetBaseRevision(), sent: time.Now(),
		team: req.GetPutTeam().GetName(), share: req.GetPutTeam().GetShare()}
	var out *apiv1.ChangeResponse
	for try := range callTries {
		err := c.send(fmt.Sprintf("operator-%d", client), "change", try+client, func(ctx context.Context, s *entry.Server) error {
			resp, err := s.Change(ctx, withKey(req, operatorKey))
			if err == nil {
				out = resp.Msg
			}
			return err
		})
		if err == nil && out.GetOutcome().GetReason() != apiv1.Reason_REASON_KEY_UNKNOWN {
			op.done, op.applied, op.revision = time.Now(), out.GetApplied(), out.GetRevision()
			add(c.history, &c.history.changes, op)
			return out
		}
		if c.ctx.Err() != nil {
			break
		}
		time.Sleep(resendPause)
	}
	add(c.history, &c.history.unfinished, "no answer to change "+req.GetOperationId())
	return &apiv1.ChangeResponse{}
}

// putTeam returns a request to create or replace a team; base is the revision that it depends on, 0
// for none.
func putTeam(operation string, base uint64, t *apiv1.Team) *apiv1.ChangeRequest {
	return &apiv1.ChangeRequest{OperationId: operation, BaseRevision: base, Change: &apiv1.ChangeRequest_PutTeam{PutTeam: t}}
}

// putQueue returns a request to create or replace a team's queue.
func putQueue(name, team string) *apiv1.ChangeRequest {
	return &apiv1.ChangeRequest{OperationId: "queue-" + name, Change: &apiv1.ChangeRequest_PutQueue{PutQueue: &apiv1.Queue{Name: name, Team: team}}}
}

// grantKey returns a request to grant a key.
func grantKey(id, team, key string, role apiv1.KeyRole) *apiv1.ChangeRequest {
	sum := sha256.Sum256([]byte(key))
	return &apiv1.ChangeRequest{OperationId: "grant-" + id, Change: &apiv1.ChangeRequest_GrantKey{
		GrantKey: &apiv1.GrantKey{KeyId: id, Team: team, KeySha256: sum[:], Role: role}}}
}

// setDomain returns a request to set the state of a failure domain, with a notice of 1 s.
func setDomain(operation, name string, st apiv1.DomainState) *apiv1.ChangeRequest {
	return &apiv1.ChangeRequest{OperationId: operation, Change: &apiv1.ChangeRequest_PutFailureDomain{
		PutFailureDomain: &apiv1.FailureDomain{Name: name, State: st, NoticeMs: 1000}}}
}

// read requests the status once and records the configuration in force; it returns nil if there was
// no answer.
func (c *cell) read(client, try int) *apiv1.StatusResponse {
	r := configRead{client: client, sent: time.Now(), shares: make(map[string]int64)}
	var out *apiv1.StatusResponse
	err := c.send(fmt.Sprintf("operator-%d", client), "status", try, func(ctx context.Context, s *entry.Server) error {
		resp, err := s.Status(ctx, withKey(&apiv1.StatusRequest{}, operatorKey))
		if err == nil {
			out = resp.Msg
		}
		return err
	})
	if err != nil {
		return nil
	}
	r.done, r.revision = time.Now(), out.GetRevision()
	for _, t := range out.GetTeams() {
		r.shares[t.GetTeam().GetName()] = t.GetTeam().GetShare()
	}
	add(c.history, &c.history.reads, r)
	return out
}

// race makes two operators change the same team from the same revision at the same time; each sends
// its change twice.
func (c *cell) race(round string) {
	base := uint64(0)
	for try := 0; base == 0 && c.ctx.Err() == nil; try++ {
		if st := c.read(0, try); st != nil {
			base = st.GetRevision()
			break
		}
		time.Sleep(resendPause)
	}
	for client := 1; client <= 2; client++ {
		c.heal(0, func() {
			req := putTeam(fmt.Sprintf("race-%s-%d", round, client), base, &apiv1.Team{Name: raceTeam, Share: int64(base)*10 + int64(client)})
			c.change(client, req)
			c.change(client, req)
		})
	}
}

// changeReplica sends a change of the membership until it has an answer. The group may refuse it
// for the time being; only a change that was applied is recorded as an operation.
func (c *cell) changeReplica(operation string, id raft.ID, action apiv1.ReplicaAction) {
	op := change{operation: operation, sent: time.Now()}
	for c.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
		resp, err := c.operator.server.Change(ctx, withKey(&apiv1.ChangeRequest{OperationId: operation, Change: &apiv1.ChangeRequest_Replica{
			Replica: &apiv1.ReplicaChange{ReplicaId: uint64(id), Action: action}}}, operatorKey))
		cancel()
		if err != nil {
			time.Sleep(resendPause)
			continue
		}
		if resp.Msg.GetApplied() {
			op.done, op.applied, op.revision = time.Now(), true, resp.Msg.GetRevision()
			add(c.history, &c.history.changes, op)
		}
		return
	}
}

// awaitMembers calls act repeatedly until the members in the leader's status satisfy wanted.
func (c *cell) awaitMembers(act func(), wanted func([]*apiv1.ReplicaStatus) bool) {
	for c.ctx.Err() == nil {
		act()
		ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
		resp, err := c.operator.server.Status(ctx, withKey(&apiv1.StatusRequest{}, operatorKey))
		cancel()
		if err == nil && wanted(resp.Msg.GetReplicas()) {
			return
		}
		time.Sleep(resendPause)
	}
}

// findMember returns the member with an identity, or nil.
func findMember(list []*apiv1.ReplicaStatus, id raft.ID) *apiv1.ReplicaStatus {
	for _, r := range list {
		if r.GetReplicaId() == uint64(id) {
			return r
		}
	}
	return nil
}

// caughtUp reports whether a member is at most snapshotEntries log entries behind.
func caughtUp(list []*apiv1.ReplicaStatus, id raft.ID) bool {
	m, highest := findMember(list, id), uint64(0)
	for _, r := range list {
		highest = max(highest, r.GetMatch())
	}
	return m.GetMatch() > 0 && m.GetMatch()+snapshotEntries >= highest
}

// join starts a replica with a new identity and an empty disk, adds it to the group, and waits until
// it has caught up.
func (c *cell) join(address string) *memReplica {
	c.mu.Lock()
	c.lastID++
	id := c.lastID
	c.mu.Unlock()
	r := c.startReplica(address, id, c.newDisk(id))
	req := &peerv1.JoinRequest{Member: &peerv1.Member{Id: uint64(id), Address: address, FailureDomain: domainOf(address)}}
	c.awaitMembers(func() {
		for _, to := range c.live() {
			ctx, cancel := context.WithTimeout(c.ctx, time.Second)
			_, _ = c.net.roundTrip(ctx, toLeader, "operator", to.address, func() error {
				to.controller.Join(ctx, req, groupID)
				return nil
			})
			cancel()
		}
	}, func(list []*apiv1.ReplicaStatus) bool { return caughtUp(list, id) })
	return r
}

// replace removes a lost replica and waits until the group has all its voters again.
func (c *cell) replace(lost *memReplica) {
	remove := func() {
		c.changeReplica(fmt.Sprintf("remove-%d", lost.id), lost.id, apiv1.ReplicaAction_REPLICA_ACTION_REMOVE)
	}
	c.awaitMembers(remove, func(list []*apiv1.ReplicaStatus) bool { return findMember(list, lost.id) == nil })
	c.awaitMembers(func() {}, func(list []*apiv1.ReplicaStatus) bool {
		voters := 0
		for _, r := range list {
			if r.GetRole() == "voter" && caughtUp(list, raft.ID(r.GetReplicaId())) {
				voters++
			}
		}
		return voters >= len(testDomains)
	})
}

// repair replaces a lost replica by a new one with an empty disk on the same VM.
func (c *cell) repair(lost *memReplica) {
	c.join(lost.address)
	c.replace(lost)
}

// domainOf returns the failure domain of a replica's address; the spare VM is in the first one.
func domainOf(address string) string {
	for _, d := range testDomains {
		if address == "replica-"+d {
			return d
		}
	}
	return testDomains[0]
}

// replaceFollower adds the spare VM to the group and removes a follower, unless another VM is down.
func (c *cell) replaceFollower() {
	c.repairing <- struct{}{}
	defer func() { <-c.repairing }()
	spare := c.join(spareAddress)
	if len(c.live()) <= len(testDomains) {
		return
	}
	for _, r := range c.live() {
		if r != c.leader() && r != spare {
			c.crash(r)
			c.replace(r)
			return
		}
	}
}

// transfer transfers the leadership to a follower.
func (c *cell) transfer() {
	c.repairing <- struct{}{}
	defer func() { <-c.repairing }()
	if r := c.followerAt(event{}); r != nil {
		c.changeReplica("transfer", r.id, apiv1.ReplicaAction_REPLICA_ACTION_TRANSFER_LEADERSHIP)
	}
}
