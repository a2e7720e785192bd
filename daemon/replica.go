package daemon

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/bulrushwinch/bulrushwinch/control"
	"github.com/bulrushwinch/bulrushwinch/lease"
	"github.com/bulrushwinch/bulrushwinch/peer"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/bulrushwinch/bulrushwinch/replica"
	"github.com/bulrushwinch/bulrushwinch/retry"
	"github.com/bulrushwinch/bulrushwinch/state"
	"github.com/bulrushwinch/bulrushwinch/wal"
)

const (
	// joinTimeout bounds one request to join a group; joinBackoffMin and joinBackoffMax are the
	// limits of the pause between two requests. A replica whose disk was emptied has seconds to join
	// and to catch up once the others are back.
	joinTimeout    = 2 * time.Second
	joinBackoffMin = 100 * time.Millisecond
	joinBackoffMax = 500 * time.Millisecond
)

// replicaRole is the replica that runs in this process.
type replicaRole struct {
	group      uint64
	node       *replica.Node[[]state.Result]
	controller *control.Controller
	transport  *peer.Transport
	// where answers questions about jobs; nil where upstreams poll.
	where whereEngine
}

// runReplica locks and opens the data folder, joins or creates a group and runs the replica until
// ctx ends or the data folder can't be written for another reason than a lack of space.
func (d *Daemon) runReplica(ctx context.Context, bootstrap bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &folder{dir: d.settings.DataFolder, log: d.log, joinOnce: d.joinOnce, joinWithRetry: d.joinWithRetry,
		self: raft.Member{Address: d.settings.PeerAddress, Domain: d.settings.FailureDomain}, initialVoters: d.initialVoters}
	lock, err := retryWithoutSpace(ctx, f, func() (*wal.FolderLock, error) { return wal.LockFolder(f.dir) })
	if err != nil {
		return err
	}
	defer func() { _ = lock.Release() }()
	opened, err := f.open(ctx, bootstrap)
	if err != nil {
		return err
	}
	id, storage, restored := opened.id, opened.storage, opened.restored
	defer func() { _ = storage.Close() }()
	d.logRecovery(storage.Recovery(), restored)
	role, err := d.buildReplica(ctx, id, storage, restored)
	if err != nil {
		return err
	}
	d.setReplica(role)
	defer d.setReplica(nil)
	d.log.Info().Uint64("replica", uint64(id.Replica)).Uint64("group", id.Group).Msg("replica started")
	go d.keepMembership(ctx, id, role)
	err = role.node.Run(ctx)
	if err != nil {
		d.log.Error().Err(err).Msg("replica failed; the process ends")
	}
	// The transport sends until its context ends.
	cancel()
	role.transport.Wait()
	return err
}

// logRecovery logs what was found in the data folder.
func (d *Daemon) logRecovery(r wal.Recovery, restored raft.DurableState) {
	d.log.Info().Int("segments", r.Segments).Uint64("last_frame", r.LastFrame).Int64("torn_bytes", r.TornBytes).
		Uint64("snapshot", restored.Snapshot.Index).Int("entries", len(restored.Entries)).
		Uint64("term", restored.HardState.Term).Uint64("committed", restored.HardState.Commit).
		Msg("data folder opened")
}

func (d *Daemon) buildReplica(ctx context.Context, id wal.Identity, storage *wal.Log, restored raft.DurableState) (*replicaRole, error) {
	st := state.New(state.DefaultSettings)
	cfg := control.DefaultConfig
	cfg.Membership.Voters, cfg.OperatorKey = d.settings.Voters, d.settings.OperatorKey
	if d.settings.PollHold > 0 {
		cfg.PollHold = d.settings.PollHold
	}
	if d.membership != nil {
		cfg.Membership = *d.membership
	}
	controller := control.New(cfg, st, lease.BootClock{}, d.events)
	var where whereEngine
	if d.newEngine != nil {
		engine := d.newEngine(controller)
		controller.SetEngine(engine)
		where, _ = engine.(whereEngine)
	}
	controller.SetPassOn(d.pool.Forward)
	controller.SetContain(d.contain)
	transport := peer.NewTransport(ctx, d.pool, id.Group, raft.Member{ID: id.Replica, Address: d.settings.PeerAddress})
	nodeConfig := replica.DefaultConfig(id.Replica, uint64(time.Now().UnixNano()))
	if d.tuneNode != nil {
		d.tuneNode(&nodeConfig)
	}
	nodeConfig.Warn = func(err error) { d.log.Warn().Err(err).Msg("storage error; the replica keeps running") }
	nodeConfig.NoSpace = func(err error) {
		d.log.Error().Err(err).Msg("no space for the log; the replica waits and does not lead")
	}
	nodeConfig.SpaceReturned = func(waited time.Duration) {
		d.log.Info().Dur("waited", waited).Msg("the log has space again; the replica continues")
	}
	node, err := replica.New(nodeConfig, control.Machine{State: st}, controller, storage, transport, restored)
	if err != nil {
		return nil, err
	}
	controller.Attach(node)
	return &replicaRole{group: id.Group, node: node, controller: controller, transport: transport, where: where}, nil
}

// joinOnce asks every other replica once to admit this one to its group. It returns the group, or
// zero if none does.
func (d *Daemon) joinOnce(ctx context.Context, id wal.Identity) uint64 {
	for _, address := range d.otherAddresses() {
		if group := d.joinVia(ctx, address, 0, d.ownMember(id)); group != 0 {
			return group
		}
	}
	return 0
}

// otherAddresses returns joinAddresses without this replica's own.
func (d *Daemon) otherAddresses() []string {
	return slices.DeleteFunc(slices.Clone(d.joinAddresses()), func(a string) bool { return a == d.settings.PeerAddress })
}

// joinWithRetry asks one replica after the other until the leader has added this one as a
// learner, or ctx ends.
func (d *Daemon) joinWithRetry(ctx context.Context, id wal.Identity) (group uint64, err error) {
	backoff := retry.Backoff{Min: joinBackoffMin, Max: joinBackoffMax}
	for next := 0; ; next++ {
		if list := d.otherAddresses(); len(list) > 0 {
			if group := d.joinVia(ctx, list[next%len(list)], 0, d.ownMember(id)); group != 0 {
				return group, nil
			}
		}
		if err := retry.Sleep(ctx, backoff.Next()); err != nil {
			return 0, err
		}
	}
}

// joinVia asks a replica, and then the leader that it names, to admit a member. It returns the
// group, or zero if neither does.
func (d *Daemon) joinVia(ctx context.Context, address string, group uint64, member *peerv1.Member) uint64 {
	resp := d.requestJoin(ctx, address, group, member)
	if leader := resp.GetLeaderAddress(); leader != "" && leader != address && leader != d.settings.PeerAddress {
		resp = d.requestJoin(ctx, leader, group, member)
	}
	if resp.GetStatus() != peerv1.ForwardStatus_FORWARD_STATUS_OK {
		return 0
	}
	return resp.GetGroup()
}

func (d *Daemon) requestJoin(ctx context.Context, address string, group uint64, member *peerv1.Member) *peerv1.JoinResponse {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	resp, err := d.pool.Get(address).Join(ctx, connect.NewRequest(&peerv1.JoinRequest{Group: group, Member: member}))
	if err != nil {
		d.log.Info().Err(err).Str("address", address).Msg("replica did not answer a request to join its group")
		return nil
	}
	return resp.Msg
}
