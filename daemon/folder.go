package daemon

import (
	"context"
	"io"
	"slices"
	"strings"

	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/bulrushwinch/bulrushwinch/wal"
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// folder brings a data folder into a group: as it is if it belongs to one, as a new
// learner if it is empty or damaged, as the first voter of a new group on request.
type folder struct {
	dir string
	// self describes this replica; its ID is filled in from the identity.
	self raft.Member
	log  zerolog.Logger
	// initialVoters found a group together, under identities that follow from their addresses;
	// empty where one replica founds it and the others join.
	initialVoters []raft.Member
	// joinOnce asks every other replica once for a group that has taken the replica in, and
	// returns zero if there is none.
	joinOnce func(ctx context.Context, id wal.Identity) (group uint64)
	// joinWithRetry asks until a group has taken the replica in, or ctx ends.
	joinWithRetry func(ctx context.Context, id wal.Identity) (group uint64, err error)
}

// openedFolder is a data folder that belongs to a group.
type openedFolder struct {
	id       wal.Identity
	storage  *wal.Log
	restored raft.Restored
}

// open opens the folder. Damaged content is set aside and the replica joins under a new
// identity; it never founds a group then, as the one that it had may live on.
func (f *folder) open(ctx context.Context, bootstrap bool) (*openedFolder, error) {
	for {
		opened, err := f.tryOpen(ctx, bootstrap)
		if !errors.Is(err, wal.ErrCorrupt) {
			return opened, err
		}
		aside, moveErr := wal.SetAside(f.dir)
		if moveErr != nil {
			return nil, moveErr
		}
		f.log.Error().Err(err).Str("moved_to", aside).
			Msg("data folder is damaged; its content was moved and this replica joins its group as a new learner")
		bootstrap = false
	}
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

// assignGroup gives the folder a group. A crash on the way leaves an identity without a
// group and an empty log, with which it starts over.
func (f *folder) assignGroup(ctx context.Context, id wal.Identity, bootstrap bool) (wal.Identity, error) {
	storage, restored, err := wal.Open(f.dir)
	if err != nil {
		return id, err
	}
	defer func() { _ = storage.Close() }()
	if restored.Snapshot.Index > 0 || len(restored.Entries) > 0 {
		return id, errors.Wrap(wal.ErrCorrupt, "the data folder holds a log without a group")
	}
	if own := f.ownInitialVoter(); bootstrap && own != nil {
		id = wal.Identity{Replica: own.ID, Group: initialGroupID(f.initialVoters)}
		f.log.Info().Uint64("replica", uint64(id.Replica)).Uint64("group", id.Group).Msg("founding a group with the other seeds")
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

// ownInitialVoter returns this replica's entry among the founders, or nil.
func (f *folder) ownInitialVoter() *raft.Member {
	for i := range f.initialVoters {
		if f.initialVoters[i].Address == f.self.Address {
			return &f.initialVoters[i]
		}
	}
	return nil
}

// initialVotersOf derives the first membership from the founders' addresses alone, so that
// each of them writes the same one. Failure domains are filled in later, as replicas join
// again with theirs.
func initialVotersOf(addresses []string) []raft.Member {
	sorted := slices.Sorted(slices.Values(addresses))
	var out []raft.Member
	for _, address := range slices.Compact(sorted) {
		out = append(out, raft.Member{ID: raft.ID(hashIdentity(address)), Address: address, Voter: true})
	}
	return out
}

func initialGroupID(members []raft.Member) uint64 {
	var all strings.Builder
	for _, m := range members {
		all.WriteString(m.Address + " ")
	}
	return hashIdentity(all.String())
}

// hashIdentity returns a non-zero number below 2^63, like those of random identities.
func hashIdentity(text string) uint64 { return xxhash.Sum64String(text)>>1 | 1 }

// joinOrBootstrap joins a group, or founds one if that is asked for and no other replica
// knows a group.
func (f *folder) joinOrBootstrap(ctx context.Context, id wal.Identity, bootstrap bool, storage *wal.Log) (uint64, error) {
	if !bootstrap || len(f.initialVoters) > 0 {
		return f.joinWithRetry(ctx, id)
	}
	if group := f.joinOnce(ctx, id); group != 0 {
		f.log.Warn().Uint64("group", group).Msg("bootstrap was asked for, but a group exists; joined it as a learner")
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
