package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/bulrushwinch/bulrushwinch/config"
	"github.com/bulrushwinch/bulrushwinch/entry"
	"github.com/bulrushwinch/bulrushwinch/peer"
	"github.com/bulrushwinch/bulrushwinch/timeline"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
)

const (
	// eventCapacity is the number of events that a process remembers.
	eventCapacity = 16384
	// drainTimeout bounds how long open calls may take to finish.
	drainTimeout = 30 * time.Second
)

// Daemon is one process of the system.
type Daemon struct {
	settings *config.Settings
	log      zerolog.Logger
	events   *timeline.Recorder
	pool     *peer.Pool
	router   *entry.Router
	health   *health

	mu      sync.Mutex
	replica *replicaRole
}

// New returns a daemon; Run starts it.
func New(s *config.Settings, log zerolog.Logger) *Daemon {
	events := timeline.NewRecorder(s.Name, timeline.NewClock(time.Now), eventCapacity)
	pool := peer.NewPool(s.Secret, nil)
	return &Daemon{settings: s, log: log, events: events, pool: pool, router: entry.NewRouter(pool, s.Replicas), health: newHealth(s.Name)}
}

// Run serves until ctx ends, then drains. With bootstrap set, an empty data folder
// becomes the first replica of a new group.
func (d *Daemon) Run(ctx context.Context, bootstrap bool) error {
	public, err := net.Listen("tcp", d.settings.PublicAddress)
	if err != nil {
		return errors.Wrap(err, "daemon: public address")
	}
	peers, err := net.Listen("tcp", d.settings.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "daemon: peer address")
	}
	admin, err := net.Listen("tcp", d.settings.AdminAddress)
	if err != nil {
		return errors.Wrap(err, "daemon: admin address")
	}
	// Servers go on while the daemon drains; work ends them.
	work, endWork := context.WithCancel(context.WithoutCancel(ctx))
	defer endWork()
	g, work := errgroup.WithContext(work)
	g.Go(func() error {
		return serveHTTP(work, peer.NewServer(peer.NewHandler(d.settings.Secret, &peerService{d})), peers)
	})
	g.Go(func() error { return serveHTTP(work, &http.Server{Handler: d.health.handler()}, admin) })
	if d.settings.HasRole(config.RoleReplica) {
		g.Go(func() error { return d.runReplica(work, bootstrap) })
	}
	g.Go(func() error { return d.watchView(work) })
	g.Go(func() error {
		defer endWork()
		return d.servePublic(ctx, work, public)
	})
	d.log.Info().Str("public", public.Addr().String()).Str("peer", peers.Addr().String()).Msg("daemon started")
	err = g.Wait()
	d.pool.Close()
	return err
}

// serveHTTP serves until ctx ends.
func serveHTTP(ctx context.Context, s *http.Server, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "daemon: serve")
	}
	return nil
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
}
