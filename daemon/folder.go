package daemon

import (
	"context"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/bulrushwinch/bulrushwinch/retry"
	"github.com/bulrushwinch/bulrushwinch/wal"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// folder makes a data folder part of a group: one that belongs to a group already is used as it
// is, an empty or damaged one joins as a new learner, and on request an empty one becomes a voter
// of a new group.
type folder struct {
	dir string
	// self describes this replica; its ID is filled in from the identity.
	self raft.Member
	log  zerolog.Logger
	// initialVoters create a group together, with identities derived from their addresses. It is
	// empty where one replica creates the group and the others join it.
	initialVoters []raft.Member
	// joinOnce asks every other replica once to admit this one to its group. It returns the
	// group, or zero if none does.
	joinOnce func(ctx context.Context, id wal.Identity) (group uint64)
	// joinWithRetry asks until a group has admitted this replica, or ctx ends.
	joinWithRetry func(ctx context.Context, id wal.Identity) (group uint64, err error)
}

// openedFolder is a data folder that belongs to a group.
type openedFolder struct {
	id       wal.Identity
	storage  *wal.Log
	restored raft.DurableState
}

// open opens the folder. Damaged content is moved aside, and the replica joins under a new
// identity; it does not create a group then, because the group that it belonged to may still be
// running. Without space, open waits.
func (f *folder) open(ctx context.Context, bootstrap bool) (*openedFolder, error) {
	for {
		opened, err := retryWithoutSpace(ctx, f, func() (*openedFolder, error) { return f.tryOpen(ctx, bootstrap) })
		if !errors.Is(err, wal.ErrCorrupt) {
			return opened, err
		}
		aside, moveErr := retryWithoutSpace(ctx, f, func() (string, error) { return wal.SetAside(f.dir) })
		if moveErr != nil {
			return nil, moveErr
		}
		f.log.Error().Err(err).Str("moved_to", aside).
			Msg("data folder is damaged; its content was moved and this replica joins its group as a new learner")
		bootstrap = false
	}
}

// spaceRetryInterval is the time between two attempts to open a data folder without space.
const spaceRetryInterval = 500 * time.Millisecond

// retryWithoutSpace makes a call again until it finds space or ctx ends. A call that was interrupted by a lack
// of space may be made again like one that was interrupted by a crash.
func retryWithoutSpace[T any](ctx context.Context, f *folder, call func() (T, error)) (T, error) {
	out, err := call()
	if !errors.Is(err, wal.ErrNoSpace) {
		return out, err
	}
	began := time.Now()
	f.log.Error().Err(err).Msg("no space in the data folder; the replica waits to open it")
	wal.WaitsForSpace.Add(1)
	defer wal.WaitsForSpace.Add(-1)
	for errors.Is(err, wal.ErrNoSpace) {
		if err := retry.Sleep(ctx, spaceRetryInterval); err != nil {
			return out, err
		}
		out, err = call()
	}
	f.log.Info().Dur("waited", time.Since(began)).Msg("the data folder has space again")
	return out, err
}

func (f *folder) tryOpen(ctx context.Context, bootstrap bool) (*openedFolder, error) {
	id, created, err := wal.LoadIdentity(f.dir)
	if err != nil {
		return nil, err
	}
	if created {
		f.log.Info().Uint64("replica", uint64(id.Replica)).Msg("data folder is new; created a replica identity")
	}
	if id.Group == 0 {
		if id, err = f.assignGroup(ctx, id, bootstrap); err != nil {
			return nil, err
		}
	}
	hasLog, err := wal.HasLog(f.dir)
	if err == nil && !hasLog {
		err = errors.Wrap(wal.ErrCorrupt, "the log of a member is missing")
	}
	if err != nil {
		return nil, err
	}
	storage, restored, err := wal.Open(f.dir)
	if err != nil {
		return nil, err
	}
	return &openedFolder{id, storage, restored}, nil
}

// assignGroup joins or creates a group and saves it in the folder's identity. A crash while
// joining leaves an identity without a group and an empty log, from which the next start begins
// again. A crash while creating a group leaves a log with the first membership, and the next start
// completes the group.
func (f *folder) assignGroup(ctx context.Context, id wal.Identity, bootstrap bool) (wal.Identity, error) {
	storage, restored, err := wal.Open(f.dir)
	if err != nil {
		return id, err
	}
	defer func() { _ = storage.Close() }()
	if restored.Snapshot.Index > 0 || len(restored.Entries) > 0 {
		if id, err = f.resumeFormation(id, restored, storage); err != nil {
			return id, err
		}
		return id, wal.SaveIdentity(f.dir, id)
	}
	if own := f.ownInitialVoter(); bootstrap && own != nil {
		id = wal.Identity{Replica: own.ID, Group: initialGroupID(f.initialVoters)}
		f.log.Info().Uint64("replica", uint64(id.Replica)).Uint64("group", id.Group).Msg("creating a group with the other seeds")
		if err := f.bootstrapGroup(storage, f.initialVoters); err != nil {
			return id, err
		}
		return id, wal.SaveIdentity(f.dir, id)
	}
	if id.Group, err = f.joinOrBootstrap(ctx, id, bootstrap, storage); err != nil {
		return id, err
	}
	return id, wal.SaveIdentity(f.dir, id)
}

// resumeFormation completes the creation of a group that a crash has interrupted, and returns the
// identity of the member that this replica was to become. That is safe as long as the log holds
// nothing but the first membership: a replica votes and acknowledges nothing before its identity
// names a group.
func (f *folder) resumeFormation(id wal.Identity, restored raft.DurableState, storage *wal.Log) (wal.Identity, error) {
	members := restored.Snapshot.Members
	first := raft.BootstrapGroup(members)
	hard := restored.HardState
	unused := restored.Snapshot.Index == first.Snapshot.Index && len(restored.Entries) == 0 &&
		hard.Term <= first.HardState.Term && hard.Vote == raft.None
	own := f.ownEntry(members)
	switch {
	case unused && own != nil && own.ID == id.Replica:
		id.Group = wal.RandomID()
	case unused && own != nil && own.ID == raft.ID(hashIdentity(own.Address)):
		id = wal.Identity{Replica: own.ID, Group: initialGroupID(members)}
	default:
		return id, errors.Wrap(wal.ErrCorrupt, "the data folder holds a log, but its identity names no group")
	}
	f.log.Info().Uint64("replica", uint64(id.Replica)).Uint64("group", id.Group).Msg("completing a group whose creation was interrupted")
	return id, storage.Append(first.HardState, nil)
}

// ownInitialVoter returns this replica's entry in initialVoters, or nil.
func (f *folder) ownInitialVoter() *raft.Member { return f.ownEntry(f.initialVoters) }

// ownEntry returns the member with this replica's address, or nil.
func (f *folder) ownEntry(members []raft.Member) *raft.Member {
	for i := range members {
		if members[i].Address == f.self.Address {
			return &members[i]
		}
	}
	return nil
}

// initialVotersOf derives the first membership from the voters' addresses alone, so that each of
// them writes the same one. Failure domains are filled in later, when the replicas join again
// with theirs.
func initialVotersOf(addresses []string) []raft.Member {
	sorted := slices.Sorted(slices.Values(addresses))
	var out []raft.Member
	for _, address := range slices.Compact(sorted) {
		out = append(out, raft.Member{ID: raft.ID(hashIdentity(address)), Address: address, Voter: true})
	}
	return out
}

// initialGroupID derives the ID of a group from the addresses of its initial voters.
func initialGroupID(members []raft.Member) uint64 {
	var all strings.Builder
	for _, m := range members {
		all.WriteString(m.Address + " ")
	}
	return hashIdentity(all.String())
}

// hashIdentity hashes text to a non-zero number below 2^63, the range of random identities.
func hashIdentity(text string) uint64 { return xxhash.Sum64String(text)>>1 | 1 }

// joinOrBootstrap joins a group. It creates one instead if bootstrap is set, no initial voters
// are configured and no other replica belongs to a group.
func (f *folder) joinOrBootstrap(ctx context.Context, id wal.Identity, bootstrap bool, storage *wal.Log) (uint64, error) {
	if !bootstrap || len(f.initialVoters) > 0 {
		return f.joinWithRetry(ctx, id)
	}
	if group := f.joinOnce(ctx, id); group != 0 {
		f.log.Warn().Uint64("group", group).Msg("bootstrap was requested, but a group exists already; joined it as a learner")
		return group, nil
	}
	return wal.RandomID(), f.bootstrapAlone(id, storage)
}

// bootstrapAlone writes the state of a new group with this replica as its only voter.
func (f *folder) bootstrapAlone(id wal.Identity, storage *wal.Log) error {
	self := f.self
	self.ID = id.Replica
	return f.bootstrapGroup(storage, raft.Bootstrap(self).Snapshot.Members)
}

// bootstrapGroup writes the state of a new group of the given voters.
func (f *folder) bootstrapGroup(storage *wal.Log, voters []raft.Member) error {
	first := raft.BootstrapGroup(voters)
	empty := func(io.Writer) error { return nil }
	if err := storage.StoreSnapshot(first.Snapshot, wal.Received, empty); err != nil {
		return err
	}
	if err := storage.UseSnapshot(first.Snapshot, wal.Received); err != nil {
		return err
	}
	return storage.Append(first.HardState, nil)
}
