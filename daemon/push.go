package daemon

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bulrushwinch/bulrushwinch/config"
	"github.com/bulrushwinch/bulrushwinch/control"
	"github.com/bulrushwinch/bulrushwinch/dispatch"
	"github.com/bulrushwinch/bulrushwinch/entry"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/bulrushwinch/bulrushwinch/platform"
	"github.com/bulrushwinch/bulrushwinch/replica"
	"github.com/bulrushwinch/bulrushwinch/retry"
	"github.com/cloudwego/hertz/pkg/app/server"
	hertzconfig "github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
)

const (
	// callTimeout bounds one attempt of a call at a replica. A commit takes about 20 ms; a
	// second leaves a slow disk its time, and a caller another attempt.
	callTimeout = 700 * time.Millisecond
	// leaderlessLimit is how long after the loss of a leader calls of callers wait for the next
	// one. An election takes 0.5 to 1 s; after that a wait would end at the caller's deadline.
	leaderlessLimit = 1200 * time.Millisecond
	// leaderSearchBackoffMax bounds the pauses of a search for the leader, and peerDialTimeout the opening
	// of a connection to a replica that may have just come back; links take milliseconds.
	leaderSearchBackoffMax     = 80 * time.Millisecond
	peerDialTimeout = 250 * time.Millisecond
	// leaderContactTTL is how long a process counts as connected after the leader has answered it. It
	// is twice the time that the leader holds a poll.
	leaderContactTTL = 3 * time.Second
	// maxControlBody bounds an operator's or upstream's body: a configuration of 1,400 routes has 0.4 MB.
	maxControlBody = 8 << 20
	// maxFrontBody bounds a caller's body: the platform allows 256 KiB.
	maxFrontBody = 512 << 10
	// unreadyDelay is how long a process that ends still takes new connections, until the
	// balancer, which asks once a second, has missed it twice.
	unreadyDelay = 2500 * time.Millisecond
	// killMargin is what is left of the time until a process is killed after its servers and the
	// calls between processes had theirs.
	killMargin = 700 * time.Millisecond
	// settingsInterval is the time between looks at the settings file.
	settingsInterval = time.Second
	// snapshotBytes and keepBytes suit replicas of 280 MB with disks of 128 MB.
	snapshotBytes = 8 << 20
	keepBytes     = 4 << 20
	// electionTicks is the shortest election timeout in ticks of 50 ms: 450 to 900 ms. A disk that
	// is thirty times slower takes 180 ms a sync, which must not end a leadership.
	electionTicks = 9
	// firstElectionTicks lets replicas that all start again elect a leader after 150 to 300 ms
	// instead of 600 to 1,200 ms; jobs have about a second to spare.
	firstElectionTicks = 3
	// learnerLag is how many entries a standby may be behind: a second's worth. Nine replicas have
	// four standbys, which took half of the leader's messages.
	learnerLag = 64
	// groupVoters is the number of voters that a group grows to: two lost disks then leave a
	// copy of all that was acknowledged.
	groupVoters = 5
	// minVoters is the number of voters below which nothing is acknowledged: a commit by two has
	// two disks. With three seeds a group has two voters while an emptied disk comes back.
	minVoters = 2
	// replaceAfter is how long a voter may be silent before a standby takes its place.
	replaceAfter = 15 * time.Second
	// permitPollTimeout bounds one poll for questions; the leader holds it for 1.5 s.
	permitPollTimeout = 2500 * time.Millisecond
)

// PushDaemon is one process of a system whose upstreams are called.
type PushDaemon struct {
	*Daemon
	pushSettings  *config.PushSettings
	path    string
	permits *platform.Permits

	draining atomic.Bool
	// lastLeaderReply is when the leader last answered, by the daemon's clock.
	lastLeaderReply atomic.Int64

	mu      sync.Mutex
	members []string
}

// NewPushDaemon returns a process; Run starts it. The path is that of the settings file.
func NewPushDaemon(path string, s *config.PushSettings, log zerolog.Logger) *PushDaemon {
	log = log.With().Str("node", s.Name).Logger()
	inner := &config.Settings{Name: s.Name, FailureDomain: s.FailureDomain, Roles: s.Roles, DataFolder: s.DataFolder,
		PeerAddress: s.PeerAddress, AdminAddress: s.AdminAddress, Replicas: s.SeedPeers, Voters: groupVoters, Limits: entry.DefaultLimits}
	c := &PushDaemon{Daemon: New(inner, log), pushSettings: s, path: path}
	c.router = entry.NewRouter(localForwarder{c.Daemon}, s.SeedPeers)
	c.router.SetBackoffMax(leaderSearchBackoffMax)
	c.pool.SetDialTimeout(peerDialTimeout)
	c.initialVoters = initialVotersOf(s.SeedPeers)
	policy := control.DefaultMembershipPolicy
	policy.Voters, policy.Replace, policy.Forget = groupVoters, replaceAfter, 2*replaceAfter
	policy.ReplaceAtAddress = true
	c.membership = &policy
	c.newEngine = c.engine
	c.tuneNode = func(n *replica.Config) {
		n.SnapshotBytes, n.KeepBytes = snapshotBytes, keepBytes
		n.Raft.ElectionTicks, n.Raft.FirstElectionTicks = electionTicks, firstElectionTicks
		n.Raft.LazyCommits, n.Raft.LearnerLag = true, learnerLag
	}
	if s.PermitAddress != "" {
		c.permits = platform.NewPermits(s.PermitAddress)
	}
	return c
}

func (c *PushDaemon) engine(host *control.Controller) control.Engine {
	cfg := dispatch.Config{MaxHold: c.pushSettings.MaxHold, StopGrace: c.pushSettings.StopGrace, MinVoters: min(len(c.initialVoters), minVoters),
		Replicas: host.ReplicaAddresses}
	var vms dispatch.VMs
	if c.pushSettings.VMsAddress != "" {
		vms = platform.NewVMs(c.pushSettings.VMsAddress, c.pushSettings.Name)
	}
	return dispatch.New(cfg, c.log, host, platform.NewUpstreams(), vms)
}

// localForwarder answers calls to this process without a connection.
type localForwarder struct{ d *Daemon }

// Forward implements entry.Forwarder.
func (f localForwarder) Forward(ctx context.Context, address string, req *peerv1.ForwardRequest) (*peerv1.ForwardResponse, bool, error) {
	if address == f.d.settings.PeerAddress {
		return (&peerService{f.d}).handleForwarded(ctx, req), true, nil
	}
	return f.d.pool.Forward(ctx, address, req)
}

// Call implements platform.System. A caller's job call is refused at once when there has been no
// leader for longer than an election takes: it has not run, and the caller can come again.
func (c *PushDaemon) Call(ctx context.Context, call *pipelinev1.Call) (*pipelinev1.Reply, error) {
	if lost := c.router.LeaderlessFor(); call.GetJob() != nil && lost > leaderlessLimit {
		return nil, errors.Wrapf(entry.ErrNothingProposed, "no leader has answered for %v", lost.Round(time.Millisecond))
	}
	if c.isRedundantHeartbeat(ctx, call.GetHeartbeat()) {
		return &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_OK}, nil
	}
	return c.callWithin(ctx, call, callTimeout)
}

// isRedundantHeartbeat reports whether a heartbeat says nothing new: what it describes is committed, and this
// process is in touch with the leader. 350 upstreams send 235 heartbeats a second, which cost
// the leader a twentieth of its processor.
func (c *PushDaemon) isRedundantHeartbeat(ctx context.Context, beat *pipelinev1.HeartbeatCall) bool {
	r := c.currentReplica()
	return beat != nil && r != nil && c.hasLeaderContact() && r.controller.KnowsUpstream(ctx, beat.GetUpstream())
}

// hasLeaderContact reports whether the leader has answered this process lately.
func (c *PushDaemon) hasLeaderContact() bool {
	at := c.lastLeaderReply.Load()
	return at != 0 && c.clock.Now()-time.Duration(at) < leaderContactTTL
}

func (c *PushDaemon) callWithin(ctx context.Context, call *pipelinev1.Call, timeout time.Duration) (*pipelinev1.Reply, error) {
	payload, err := proto.Marshal(call)
	if err != nil {
		return nil, errors.Wrap(entry.ErrNothingProposed, err.Error())
	}
	a, err := c.router.CallWithin(ctx, &peerv1.ForwardRequest{Method: peerv1.Method_METHOD_PIPELINE, Payload: payload, Process: c.settings.Name}, true, timeout)
	if err != nil {
		return nil, err
	}
	c.lastLeaderReply.Store(int64(c.clock.Now()))
	if a.GetStatus() != peerv1.ForwardStatus_FORWARD_STATUS_OK {
		return nil, errors.Wrap(entry.ErrUndetermined, a.GetRefusal().GetDetail())
	}
	r := &pipelinev1.Reply{}
	if err := proto.Unmarshal(a.GetPayload(), r); err != nil {
		return nil, errors.Wrap(entry.ErrUndetermined, err.Error())
	}
	if r.GetVerdict() == pipelinev1.Verdict_VERDICT_NOT_NOW && a.Uncertain {
		return nil, errors.Wrap(entry.ErrUndetermined, "an earlier attempt may have had an effect")
	}
	return r, nil
}

// Ready implements platform.System.
func (c *PushDaemon) Ready() bool {
	return !c.draining.Load() && c.hasLeaderContact()
}

// Draining implements platform.System.
func (c *PushDaemon) Draining() bool { return c.draining.Load() }

// pushServer is one HTTP server and its connections.
type pushServer struct {
	publicServer
}

// listen opens a server at an address with a bound on bodies; add registers its paths.
func (c *PushDaemon) listen(address string, maxBody int, add func(*server.Hertz)) (*pushServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "daemon: listen")
	}
	s := &pushServer{publicServer{listener: newTrackingListener(l)}}
	opts := []hertzconfig.Option{server.WithListener(s.listener), server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(maxBody), server.WithDisablePrintRoute(true), server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(idleTimeout), server.WithExitWaitTime(c.pushSettings.DrainTime)}
	s.hertz = server.New(opts...)
	add(s.hertz)
	return s, nil
}

// Run serves until ctx ends, then drains.
func (c *PushDaemon) Run(ctx context.Context, reload <-chan os.Signal) error {
	servers, err := c.openServers()
	if err != nil {
		return err
	}
	work, endWork := context.WithCancel(context.WithoutCancel(ctx))
	defer endWork()
	g, work := errgroup.WithContext(work)
	g.Go(func() error { return c.servePeers(work) })
	g.Go(func() error {
		return serveHTTP(work, &http.Server{Handler: c.health.handler(), ReadHeaderTimeout: readTimeout}, c.listeners.Admin)
	})
	if c.pushSettings.HasRole(config.RoleReplica) {
		g.Go(func() error { return c.runReplica(work, c.pushSettings.Bootstrap) })
	}
	g.Go(func() error { return c.pollPermits(work) })
	g.Go(func() error { return c.watchSettings(work, reload) })
	for _, s := range servers {
		go func() {
			if err := s.hertz.Run(); err != nil && work.Err() == nil {
				c.log.Error().Err(err).Msg("server ended")
			}
		}()
	}
	g.Go(func() error {
		defer endWork()
		select {
		case <-ctx.Done():
			c.drainServers(servers)
		case <-work.Done():
		}
		return nil
	})
	c.log.Info().Str("peer", c.pushSettings.PeerAddress).Strs("seeds", c.pushSettings.SeedPeers).Bool("bootstrap", c.pushSettings.Bootstrap).
		Dur("max_hold", c.pushSettings.MaxHold).Msg("process started")
	err = g.Wait()
	c.pool.Close()
	c.log.Info().Err(err).Msg("process ended")
	return err
}

func (c *PushDaemon) openServers() ([]*pushServer, error) {
	adapter := platform.NewAdapter(c, c.log)
	var servers []*pushServer
	for _, item := range []struct {
		address string
		maxBody int
		add     func(*server.Hertz)
	}{{c.pushSettings.FrontAddress, maxFrontBody, adapter.ServeCallers}, {c.pushSettings.ReadinessAddress, maxFrontBody, adapter.ServeReadiness},
		{c.pushSettings.ControlAddress, maxControlBody, adapter.ServeControl}} {
		if item.address == "" {
			continue
		}
		s, err := c.listen(item.address, item.maxBody, item.add)
		if err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	c.listeners = &Listeners{}
	var err error
	if c.listeners.Peer, err = net.Listen("tcp", c.pushSettings.PeerAddress); err != nil {
		return nil, errors.Wrap(err, "daemon: peer address")
	}
	if c.listeners.Admin, err = net.Listen("tcp", c.pushSettings.AdminAddress); err != nil {
		return nil, errors.Wrap(err, "daemon: admin address")
	}
	return servers, nil
}

// drainServers takes the process out of service without cutting a call: the balancer sees it
// unready, the leadership moves, connections end after their next answer.
func (c *PushDaemon) drainServers(servers []*pushServer) {
	c.log.Info().Msg("stop was asked for; draining")
	began := time.Now()
	c.draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), c.pushSettings.DrainTime-shutdownTimeout-killMargin)
	defer cancel()
	c.transferLeadership(ctx)
	if c.pushSettings.HasRole(config.RoleEntry) {
		_ = retry.Sleep(ctx, unreadyDelay)
	}
	for _, s := range servers {
		_ = s.listener.Close()
	}
	for _, s := range servers {
		if open := s.shutdown(ctx); open > 0 {
			c.log.Warn().Int("connections", open).Msg("drain timed out; the rest is cut")
		}
	}
	c.transferLeadership(ctx)
	c.log.Info().Dur("took", time.Since(began)).Msg("drained")
}

// watchSettings reads the settings again on a signal and whenever the file has changed.
func (c *PushDaemon) watchSettings(ctx context.Context, reload <-chan os.Signal) error {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	last, err := os.ReadFile(c.path)
	if err != nil {
		c.log.Warn().Err(err).Msg("settings file can't be read")
	}
	readable := err == nil
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-reload:
			c.log.Info().Msg("reload was asked for")
		case <-ticker.C:
		}
		data, err := os.ReadFile(c.path)
		if err != nil && readable {
			c.log.Warn().Err(err).Msg("settings file can't be read any more; the settings stay as they are")
		}
		readable = err == nil
		if err != nil || string(data) == string(last) {
			continue
		}
		last = data
		c.reload(data)
	}
}

// reload takes the seeds of changed settings; all else needs a restart.
func (c *PushDaemon) reload(data []byte) {
	s, err := config.ParsePush(c.path, data)
	if err != nil {
		c.log.Error().Err(err).Msg("changed settings are refused; the old ones stay in force")
		return
	}
	c.mu.Lock()
	c.pushSettings.SeedPeers = s.SeedPeers
	c.mu.Unlock()
	c.updateReplicas(nil)
	c.log.Info().Strs("seeds", s.SeedPeers).Msg("settings reloaded")
}

// updateReplicas looks for the leader at the seeds and at the group's members.
func (c *PushDaemon) updateReplicas(members []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if members != nil {
		c.members = members
	}
	seen := make(map[string]bool)
	var list []string
	for _, address := range append(append([]string(nil), c.members...), c.pushSettings.SeedPeers...) {
		if !seen[address] {
			seen[address] = true
			list = append(list, address)
		}
	}
	c.router.SetReplicas(list)
	c.setJoinAddresses(list)
}
