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
	// DefaultStaleAfter is how long a process works without a newer confirmation.
	DefaultStaleAfter = 3 * time.Second
	// reportLife is how long a report of a process is passed on.
	reportLife = 10 * time.Second
	// maxGone bounds remembered deletions; a process that is further behind gets all.
	maxGone = 4096
)

// Source tells where a response came from.
type Source int

// Sources of a view.
const (
	// FromLeader marks a view confirmed by the replica in this process.
	FromLeader Source = iota
	// FromProcess marks a view fetched from another process.
	FromProcess
)

// ErrReverted tells that a response is older than the view in force; it was not taken.
var ErrReverted = errors.New("view: response is older than the view in force")

// ErrGap tells that a delta does not follow from the view in force; it was not taken.
var ErrGap = errors.New("view: delta does not follow from the view in force")

// Store holds one process's view. It is safe for concurrent use.
type Store struct {
	clock      lease.Clock
	staleAfter time.Duration

	mu        sync.Mutex
	loaded    bool
	root      bool
	revision  uint64
	floor     uint64
	confirmed time.Duration
	leader    string
	keys      *table[*peerv1.KeyRecord]
	queues    *table[*apiv1.Queue]
	teams     *table[*apiv1.Team]
	byHash    map[[sha256.Size]byte]*peerv1.KeyRecord
	members   []*peerv1.Member
	updated   chan struct{}
	reports   map[string]report
}

// report is what another process last said of itself.
type report struct {
	message *peerv1.ProcessReport
	seen    time.Duration
}

// New returns an empty store that counts as stale until its first update.
func New(clock lease.Clock, staleAfter time.Duration) *Store {
	return &Store{clock: clock, staleAfter: staleAfter,
		keys:    newTable((*peerv1.KeyRecord).GetKeyId),
		queues:  newTable((*apiv1.Queue).GetName),
		teams:   newTable((*apiv1.Team).GetName),
		byHash:  make(map[[sha256.Size]byte]*peerv1.KeyRecord),
		updated: make(chan struct{}), reports: make(map[string]report)}
}

// Update takes a response to a request sent at sent on the store's clock. When the
// response left, its view had age_ns; since then at most the time passed that the call
// took without being held. So the age is never understated, whatever the clocks say.
func (s *Store) Update(resp *peerv1.ViewResponse, sent time.Duration, from Source) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loaded && resp.GetRevision() < s.revision {
		return errors.WithStack(ErrReverted)
	}
	if err := s.take(resp); err != nil {
		return err
	}
	s.root = from == FromLeader
	s.leader = resp.GetLeaderAddress()
	if at := sent + time.Duration(resp.GetHeldNs()-resp.GetAgeNs()); !s.loaded || at > s.confirmed {
		s.confirmed = at
	}
	s.loaded, s.members = true, resp.GetMembers()
	close(s.updated)
	s.updated = make(chan struct{})
	return nil
}

// take brings the tables to the revision of the response.
func (s *Store) take(resp *peerv1.ViewResponse) error {
	revision := resp.GetRevision()
	switch {
	case s.loaded && revision == s.revision && !resp.GetDelta():
		return nil
	case resp.GetDelta():
		if !s.loaded {
			return errors.WithStack(ErrGap)
		}
		applyDelta(s.keys, resp.GetKeys(), resp.GetRemovedKeys(), revision)
		applyDelta(s.queues, resp.GetQueues(), resp.GetRemovedQueues(), revision)
		applyDelta(s.teams, resp.GetTeams(), resp.GetRemovedTeams(), revision)
	default:
		s.keys.replace(resp.GetKeys(), revision)
		s.queues.replace(resp.GetQueues(), revision)
		s.teams.replace(resp.GetTeams(), revision)
		if !s.loaded {
			s.floor = revision
		}
	}
	s.revision = revision
	s.indexKeys()
	s.forgetGone()
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

// forgetGone bounds the memory of deletions by raising the oldest revision that a
// delta may start from.
func (s *Store) forgetGone() {
	if len(s.keys.gone)+len(s.queues.gone)+len(s.teams.gone) > maxGone {
		s.floor = s.revision
		clear(s.keys.gone)
		clear(s.queues.gone)
		clear(s.teams.gone)
	}
}

// Fresh reports whether a quorum confirmed the view a short time ago.
func (s *Store) Fresh() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fresh()
}

func (s *Store) fresh() bool {
	return s.loaded && s.clock.Now()-s.confirmed <= s.staleAfter
}

// Age returns how long ago a quorum confirmed the view; ok is false before the first.
func (s *Store) Age() (age time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.Now() - s.confirmed, s.loaded
}

// Revision returns the revision in force at this process.
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

// Serve answers another process: at once if its revision differs, else at the next
// confirmation or when ctx ends. A view that is not fresh is not served.
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
	if !s.fresh() || req.GetFromLeader() && !s.root {
		return &peerv1.ViewResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_NOT_LEADER, LeaderAddress: s.leader}
	}
	s.note(req)
	out := s.since(known)
	out.HeldNs = int64(s.clock.Now() - arrived)
	return out
}

// since returns the view as a delta on a known revision, or whole.
func (s *Store) since(known uint64) *peerv1.ViewResponse {
	out := &peerv1.ViewResponse{Status: peerv1.ForwardStatus_FORWARD_STATUS_OK, LeaderAddress: s.leader,
		Revision: s.revision, Members: s.members, AgeNs: int64(s.clock.Now() - s.confirmed)}
	if known == s.revision {
		return out
	}
	from := uint64(0)
	if known > 0 && known >= s.floor && known < s.revision {
		out.Delta, from = true, known
	}
	out.Keys, out.RemovedKeys = s.keys.since(from)
	out.Queues, out.RemovedQueues = s.queues.since(from)
	out.Teams, out.RemovedTeams = s.teams.since(from)
	return out
}

// note remembers what a process that was served said of itself and of those behind it.
func (s *Store) note(req *peerv1.ViewRequest) {
	now := s.clock.Now()
	own := &peerv1.ProcessReport{Process: req.GetProcess(), Revision: req.GetKnownRevision(), Ready: req.GetReady(),
		Address: req.GetAddress()}
	for _, r := range append(req.GetReports(), own) {
		s.reports[r.GetProcess()] = report{r, now}
	}
}

// Reports returns what the processes that fetch from this one said lately.
func (s *Store) Reports() []*peerv1.ProcessReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	var out []*peerv1.ProcessReport
	for name, r := range s.reports {
		if now-r.seen > reportLife {
			delete(s.reports, name)
			continue
		}
		out = append(out, r.message)
	}
	return out
}
