package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/bulrushwinch/bulrushwinch/config"
	"github.com/bulrushwinch/bulrushwinch/contain"
	"github.com/bulrushwinch/bulrushwinch/control"
	"github.com/bulrushwinch/bulrushwinch/entry"
	"github.com/bulrushwinch/bulrushwinch/ingress"
	"github.com/bulrushwinch/bulrushwinch/lease"
	"github.com/bulrushwinch/bulrushwinch/peer"
	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/bulrushwinch/bulrushwinch/relay"
	"github.com/bulrushwinch/bulrushwinch/replica"
	"github.com/bulrushwinch/bulrushwinch/timeline"
	"github.com/bulrushwinch/bulrushwinch/view"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
)

const (
	// eventCapacity is the number of timeline events that a process keeps.
	eventCapacity = 16384
	// drainTimeout bounds how long open calls may take to finish during a drain.
	drainTimeout = 30 * time.Second
	// leadershipTransferTimeout bounds one attempt to transfer the leadership.
	leadershipTransferTimeout = 3 * time.Second
	// shutdownTimeout bounds how long open calls may take to finish when the peer server or the
	// admin server shuts down.
	shutdownTimeout = 2 * time.Second
	// failureTimeout takes the place of shutdownTimeout in a process that has failed, so that it is started again
	// soon.
	failureTimeout = 200 * time.Millisecond
)

// Daemon is one process of a cell. Its upstreams poll it, unless it is part of a PushDaemon.
type Daemon struct {
	settings  *config.Settings
	log       zerolog.Logger
	events    *timeline.Recorder
	clock     lease.Clock
	pool      *peer.Pool
	router    *entry.Router
	view      *view.Store
	entry     *entry.Server
	health    *health
	listeners *Listeners
	// initialVoters, membership, newEngine, relay and tuneNode are set in push mode only.
	initialVoters []raft.Member
	membership    *control.MembershipPolicy
	newEngine     func(*control.Controller) control.Engine
	// relay carries calls of the leader to upstreams; nil if this process does not.
	relay *relay.Server
	// contain ends requests that meet an unexpected error.
	contain contain.Reporter
	// budget bounds what unfinished requests hold.
	budget   *ingress.Budget
	tuneNode func(*replica.Config)

	mu      sync.Mutex
	replica *replicaRole
}

// Listeners are the open sockets of a daemon. A nil socket is not open.
type Listeners struct {
	// Public serves callers, operators and upstreams, Peer other processes of the cell, and Admin
	// health checks and metrics.
	Public, Peer, Admin net.Listener
}

// Listen opens the sockets at the addresses of the settings. If one of them can't be opened, it
// closes the others and returns an error that names the address.
func Listen(s *config.Settings) (*Listeners, error) {
	l := &Listeners{}
	for _, item := range []struct {
		name, address string
		listener      *net.Listener
	}{{"public", s.PublicAddress, &l.Public}, {"peer", s.PeerAddress, &l.Peer}, {"admin", s.AdminAddress, &l.Admin}} {
		opened, err := net.Listen("tcp", item.address)
		if err != nil {
			l.Close()
			return nil, errors.Wrapf(err, "daemon: %s address", item.name)
		}
		*item.listener = opened
	}
	return l, nil
}

// Close closes the sockets that are open.
func (l *Listeners) Close() {
	for _, opened := range []net.Listener{l.Public, l.Peer, l.Admin} {
		if opened != nil {
			_ = opened.Close()
		}
	}
}

// New returns a daemon for checked settings; Run starts it.
func New(s *config.Settings, log zerolog.Logger) *Daemon {
	d := &Daemon{settings: s, log: log, clock: lease.BootClock{}, contain: contain.NewReporter(log),
		events: timeline.NewRecorder(s.Name, timeline.NewClock(time.Now), eventCapacity),
		pool:   peer.NewPool(s.Secret.Reveal(), s.PeerClientTLS)}
	d.budget = newBudget(s, 0, 2*maxRequestBytes, log)
	d.view = view.New(d.clock, view.DefaultStaleAfter)
	d.router = entry.NewRouter(d.pool, s.Replicas)
	d.entry = entry.NewServer(s.Name, d.router, d.events, d.gatherTimeline, entry.WithView(d.view), entry.WithLimits(s.Limits))
	d.health = newHealth(log, d.events, d.view)
	return d
}

// SetListeners makes the daemon serve on sockets that are open already. It must be called before
// Run.
func (d *Daemon) SetListeners(l *Listeners) { d.listeners = l }

// Run serves until ctx ends, then drains. With bootstrap set, a replica with an empty data folder
// creates a new group, unless another replica already belongs to one. Run returns an error if a
// socket can't be opened, or if a server or the replica fails.
func (d *Daemon) Run(ctx context.Context, bootstrap bool) error {
	if d.listeners == nil {
		l, err := Listen(d.settings)
		if err != nil {
			return err
		}
		d.listeners = l
	}
	for _, w := range d.settings.Warnings {
		d.log.Warn().Msg(w)
	}
	// The servers keep running during the drain; the end of work stops them.
	work, endWork := context.WithCancel(context.WithoutCancel(ctx))
	defer endWork()
	g, work := errgroup.WithContext(work)
	g.Go(func() error { return d.servePeers(work) })
	g.Go(func() error {
		return d.serveAdmin(work)
	})
	if d.settings.HasRole(config.RoleReplica) {
		g.Go(func() error { return d.runReplica(work, bootstrap) })
	}
	g.Go(func() error { return d.watchView(work) })
	g.Go(func() error { return d.health.watch(work) })
	g.Go(func() error {
		defer endWork()
		return d.servePublic(ctx, work, newTrackingListener(d.listeners.Public))
	})
	d.log.Info().Str("public", d.listeners.Public.Addr().String()).Str("peer", d.listeners.Peer.Addr().String()).
		Bool("public_tls", d.settings.PublicTLS != nil).Bool("peer_tls", d.settings.PeerServerTLS != nil).Msg("daemon started")
	err := g.Wait()
	d.pool.Close()
	return err
}

func (d *Daemon) servePeers(ctx context.Context) error {
	s := peer.NewServer(peer.NewHandler(d.settings.Secret.Reveal(), &peerService{d}, d.contain))
	bounded := d.budget.ListenCounted(d.listeners.Peer, "peer", ingress.PriorityPeers, d.settings.Ingress.Connections)
	bounded.Bound(s)
	var l net.Listener = bounded
	if d.settings.PeerServerTLS != nil {
		s.TLSConfig = d.settings.PeerServerTLS.Clone()
		s.TLSConfig.NextProtos = []string{"h2"}
		l = tls.NewListener(l, s.TLSConfig)
	}
	return serveHTTP(ctx, s, l)
}

// largestPeerMessage is the size in bytes of the largest message of raft, with some room: a batch of 4 MiB, and beyond it
// one log entry that holds a configuration of 8 MiB behind other commands of 4 MiB.
const largestPeerMessage = 17 << 20

// newBudget returns the budget of a process with a VM of memory bytes, or zero, whose largest body has body bytes. It
// sets limits that the settings lack.
func newBudget(s *config.Settings, memory, body int64, log zerolog.Logger) *ingress.Budget {
	if s.Ingress == (ingress.Limits{}) {
		s.Ingress = ingress.DefaultLimits
	}
	if s.HasRole(config.RoleReplica) {
		body = max(body, largestPeerMessage)
	}
	return ingress.NewBudget(s.Ingress, s.Ingress.Budget(memory, body), log)
}

// serveAdmin serves health checks, metrics and questions about jobs until ctx ends.
func (d *Daemon) serveAdmin(ctx context.Context) error {
	s := &http.Server{Handler: d.adminHandler(), ReadTimeout: readTimeout, WriteTimeout: readTimeout}
	l := d.budget.ListenCounted(d.listeners.Admin, "admin", ingress.PriorityCallers, d.settings.Ingress.CheckConnections)
	l.Bound(s)
	return serveHTTP(ctx, s, l)
}

// serveHTTP serves until ctx ends, then gives open calls shutdownTimeout to finish, or failureTimeout if another part of
// the process has failed.
func serveHTTP(ctx context.Context, s *http.Server, l net.Listener) error {
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		timeout := shutdownTimeout
		if !errors.Is(context.Cause(ctx), context.Canceled) {
			timeout = failureTimeout
		}
		finish, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
		defer cancel()
		if s.Shutdown(finish) != nil {
			_ = s.Close()
		}
	})
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		stop()
		return errors.Wrap(err, "daemon: serve")
	}
	<-done
	return nil
}

// joinAddresses returns the peer addresses of the replicas that this one asks to admit it to
// their group.
func (d *Daemon) joinAddresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.settings.Replicas
}

func (d *Daemon) setJoinAddresses(list []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.settings.Replicas = list
}

func (d *Daemon) currentReplica() *replicaRole {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.replica
}

func (d *Daemon) setReplica(r *replicaRole) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.replica = r
	currentReplica.Store(r)
}
