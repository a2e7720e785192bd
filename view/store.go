package view

import (
	"context"
	"crypto/sha256"
	"sync"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/lease"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/pkg/errors"
)

const (
	// DefaultStaleAfter is the age above which a view is stale.
	DefaultStaleAfter = 3 * time.Second
	// reportTTL is how long after its arrival a report of a process is returned by Reports.
	reportTTL = 10 * time.Second
	// maxDeletions is the maximum number of remembered deletions; a process whose revision is older
	// than these receives the whole view.
	maxDeletions = 4096
)

// Source tells where a view came from.
type Source int

// Sources of a view.
const (
	// FromLeader marks a view confirmed by the replica in this process.
	FromLeader Source = iota
	// FromProcess marks a view fetched from another process.
	FromProcess
)

// ErrStaleRevision means that a response is older than the view in force and was ignored.
var ErrStaleRevision = errors.New("view: response is older than the view in force")

// ErrNoBaseView means that a response is a delta, but the store has no view to apply it to.
var ErrNoBaseView = errors.New("view: received a delta, but there is no view to apply it to")

// Store holds the view of one process. It is safe for concurrent use.
type Store struct {
	clock      lease.Clock
	staleAfter time.Duration

	mu     sync.Mutex
	loaded bool
	// fromLeader is set if the latest update came from the replica in this process.
	fromLeader bool
	revision   uint64
	// minDeltaBase is the oldest revision from which Serve can return a delta.
	minDeltaBase uint64
	// confirmedAt is the time on clock of the latest confirmation by a quorum. It may be too early,
	// but never too late.
	confirmedAt time.Duration
	leader      string
	keys        *table[*peerv1.KeyRecord]
	queues      *table[*apiv1.Queue]
	teams       *table[*apiv1.Team]
	byHash      map[[sha256.Size]byte]*peerv1.KeyRecord
	members     []*peerv1.Member
	// updated is closed and replaced by each update.
	updated chan struct{}
	reports map[string]report
}

// report is the latest report of another process.
type report struct {
	message    *peerv1.ProcessReport
	receivedAt time.Duration
}

// New returns an empty store, which is stale until its first update. A view is stale if it was
// confirmed more than staleAfter ago on clock.
func New(clock lease.Clock, staleAfter time.Duration) *Store {
	return &Store{clock: clock, staleAfter: staleAfter,
		keys:    newTable((*peerv1.KeyRecord).GetKeyId),
		queues:  newTable((*apiv1.Queue).GetName),
		teams:   newTable((*apiv1.Team).GetName),
		byHash:  make(map[[sha256.Size]byte]*peerv1.KeyRecord),
		updated: make(chan struct{}), reports: make(map[string]report)}
}

// Update applies a response to a request that was sent at sent on the store's clock. The view
// in the response had the age age_ns when the response was sent, and since then at most the
// duration of the call minus held_ns, the time that it was held, has passed. So the age is never
// understated, even if the clocks of the processes differ. The error is ErrStaleRevision or
// ErrNoBaseView.
func (s *Store) Update(resp *peerv1.ViewResponse, sent time.Duration, from Source) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loaded && resp.GetRevision() < s.revision {
		return errors.WithStack(ErrStaleRevision)
	}
	if err := s.apply(resp); err != nil {
		return err
	}
	s.fromLeader = from == FromLeader
	s.leader = resp.GetLeaderAddress()
	if at := sent + time.Duration(resp.GetHeldNs()-resp.GetAgeNs()); !s.loaded || at > s.confirmedAt {
		s.confirmedAt = at
	}
	s.loaded, s.members = true, resp.GetMembers()
	close(s.updated)
	s.updated = make(chan struct{})
	return nil
}

// apply updates the tables to the revision of the response.
func (s *Store) apply(resp *peerv1.ViewResponse) error {
	revision := resp.GetRevision()
	switch {
	case s.loaded && revision == s.revision && !resp.GetDelta():
		return nil
	case resp.GetDelta():
		if !s.loaded {
			return errors.WithStack(ErrNoBaseView)
		}
		applyDelta(s.keys, resp.GetKeys(), resp.GetRemovedKeys(), revision)
		applyDelta(s.queues, resp.GetQueues(), resp.GetRemovedQueues(), revision)
		applyDelta(s.teams, resp.GetTeams(), resp.GetRemovedTeams(), revision)
	default:
		s.keys.replace(resp.GetKeys(), revision)
		s.queues.replace(resp.GetQueues(), revision)
		s.teams.replace(resp.GetTeams(), revision)
		if !s.loaded {
			s.minDeltaBase = revision
		}
	}
	s.revision = revision
	s.indexKeys()
	s.trimDeletions()
	return nil
}

func (s *Store) indexKeys() {
	clear(s.byHash)
	for _, r := range s.keys.rows {
		if len(r.record.GetKeySha256()) == sha256.Size {
			s.byHash[[sha256.Size]byte(r.record.GetKeySha256())] = r.record
		}
	}
}

// trimDeletions deletes the remembered deletions if there are more than maxDeletions, and raises
// the oldest revision that a delta may start from accordingly.
func (s *Store) trimDeletions() {
	if len(s.keys.deleted)+len(s.queues.deleted)+len(s.teams.deleted) > maxDeletions {
		s.minDeltaBase = s.revision
		clear(s.keys.deleted)
		clear(s.queues.deleted)
		clear(s.teams.deleted)
	}
}

// Fresh reports whether a quorum confirmed the view at most staleAfter ago.
func (s *Store) Fresh() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fresh()
}

func (s *Store) fresh() bool {
	return s.loaded && s.clock.Now()-s.confirmedAt <= s.staleAfter
}

// Age returns the time since a quorum confirmed the view; ok is false before the first update.
func (s *Store) Age() (age time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.Now() - s.confirmedAt, s.loaded
}

// Revision returns the configuration revision in force at this process; 0 before the first update.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Leader returns the peer address of the leader that confirmed the view; it may be
// empty or out of date.
func (s *Store) Leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader
}

// Serve answers the view request of another process: immediately if its revision differs,
// else at the next confirmation or when ctx ends. If the view is stale, or the request needs the
// leader's process and this is not it, the status of the response is NOT_LEADER.
func (s *Store) Serve(ctx context.Context, req *peerv1.ViewRequest) *peerv1.ViewResponse {
	s.mu.Lock()
	arrived := s.clock.Now()
	known, updated := req.GetKnownRevision(), s.updated
	wait := s.fresh() && known == s.revision
	s.mu.Unlock()
	if wait {
		select {
		case <-updated:
		case <-ctx.Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fresh() || req.GetFromLeader() && !s.fromLeader {
		return &peerv1.ViewResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_NOT_LEADER, LeaderAddress: s.leader}
	}
	s.recordReports(req)
	out := s.since(known)
	out.HeldNs = int64(s.clock.Now() - arrived)
	return out
}

// since returns the changes since a known revision, or the whole view if that revision is too
// old or unknown.
func (s *Store) since(known uint64) *peerv1.ViewResponse {
	out := &peerv1.ViewResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_OK, LeaderAddress: s.leader,
		Revision: s.revision, Members: s.members, AgeNs: int64(s.clock.Now() - s.confirmedAt)}
	if known == s.revision {
		return out
	}
	from := uint64(0)
	if known > 0 && known >= s.minDeltaBase && known < s.revision {
		out.Delta, from = true, known
	}
	out.Keys, out.RemovedKeys = s.keys.since(from)
	out.Queues, out.RemovedQueues = s.queues.since(from)
	out.Teams, out.RemovedTeams = s.teams.since(from)
	return out
}

// recordReports records the reports in a request: of its sender, and of the processes that fetch
// their view through the sender.
func (s *Store) recordReports(req *peerv1.ViewRequest) {
	now := s.clock.Now()
	own := &peerv1.ProcessReport{Process: req.GetProcess(), Revision: req.GetKnownRevision(), Ready: req.GetReady(),
		Address: req.GetAddress()}
	for _, r := range append(req.GetReports(), own) {
		s.reports[r.GetProcess()] = report{r, now}
	}
}

// Reports returns the reports of the last 10 s from processes that fetch their view from this
// one, directly or through others.
func (s *Store) Reports() []*peerv1.ProcessReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	var out []*peerv1.ProcessReport
	for name, r := range s.reports {
		if now-r.receivedAt > reportTTL {
			delete(s.reports, name)
			continue
		}
		out = append(out, r.message)
	}
	return out
}
