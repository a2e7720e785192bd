package daemon

import (
	"context"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/config"
	"github.com/bulrushwinch/bulrushwinch/control"
	"github.com/bulrushwinch/bulrushwinch/dispatch"
	"github.com/bulrushwinch/bulrushwinch/entry"
	"github.com/bulrushwinch/bulrushwinch/ingress"
	"github.com/bulrushwinch/bulrushwinch/peer"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
	"github.com/bulrushwinch/bulrushwinch/platform"
	"github.com/bulrushwinch/bulrushwinch/relay"
	"github.com/bulrushwinch/bulrushwinch/replica"
	"github.com/bulrushwinch/bulrushwinch/retry"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
)

const (
	// callTimeout bounds one attempt of a call to a replica. A commit takes about 20 ms; a limit
	// of at most a second leaves time for a slow disk, and for another attempt before the
	// caller's deadline.
	callTimeout = 700 * time.Millisecond
	// leaderSearchTime is how long a caller's call waits for a leader if it certainly has had no effect.
	// An election takes 0.5 to 1 s, and a refusal should arrive while the caller can still try another
	// process.
	leaderSearchTime = 1500 * time.Millisecond
	// leaderlessLimit is how long after the loss of a leader an election should be over. From then on
	// calls wait for leaderlessWait only: it spans much of the time between a caller's attempts, so that
	// most calls meet the leader as soon as there is one, and each still gets its refusal soon.
	leaderlessLimit = 1200 * time.Millisecond
	leaderlessWait  = 250 * time.Millisecond
	// leaderSearchBackoffMax bounds the pauses between attempts to reach the leader.
	leaderSearchBackoffMax = 80 * time.Millisecond
	// peerDialTimeout bounds the opening of a connection to a replica that may have just
	// restarted; over a working link this takes milliseconds.
	peerDialTimeout = 250 * time.Millisecond
	// leaderContactTTL is how long a process counts as connected after a reply of the leader. It
	// is twice the time for which the leader holds a poll.
	leaderContactTTL = 3 * time.Second
	// maxControlBody bounds the body of an operator's or upstream's request in bytes. A
	// configuration of 1,400 routes has 0.4 MB.
	maxControlBody = 8 << 20
	// maxFrontBody bounds the body of a caller's request in bytes. The platform allows 256 KiB.
	maxFrontBody = 512 << 10
	// maxCheckBody bounds the body of a readiness check in bytes, which has none.
	maxCheckBody = 4 << 10
	// unreadyDelay is how long a process that is stopping still accepts new connections, until
	// the load balancer, which checks once a second, has found it unready twice.
	unreadyDelay = 2500 * time.Millisecond
	// killMargin is the part of DrainTime that is kept in reserve, so that the process has ended
	// before it is killed: the drain of the HTTP servers and then shutdownTimeout get the rest.
	killMargin = 700 * time.Millisecond
	// heapShare is the share of a VM's memory from which on garbage is collected more often. The
	// rest holds the program itself and data that the kernel keeps for connections.
	heapShare = 0.7
	// settingsInterval is the time between checks of the settings file.
	settingsInterval = time.Second
	// snapshotBytes is the size of applied entries, in bytes, after which a snapshot is written,
	// and keepBytes the size of those that stay in memory after it. They suit replicas with 280 MB
	// of memory and 128 MB of disk.
	snapshotBytes = 8 << 20
	keepBytes     = 4 << 20
	// electionTicks is the shortest election timeout in ticks of 50 ms; timeouts are 450 to 900
	// ms. A disk that is thirty times slower takes 180 ms a sync, which must not end a
	// leadership.
	electionTicks = 9
	// firstElectionTicks lets replicas that have all restarted elect a leader within 50 to 80 ms, as
	// calls are refused until then.
	firstElectionTicks = 1
	// learnerLag is how many entries a standby, which is a learner, may be behind before the leader
	// sends it entries without waiting for its next heartbeat reply. It is about a second's worth.
	// Nine replicas have four standbys; sending them each entry at once took half of the leader's
	// messages.
	learnerLag = 64
	// minVoters is the number of voters below which nothing is acknowledged: a commit by two
	// voters is on two disks. With three seeds a group has only two voters while a replica whose
	// disk was erased comes back.
	minVoters = 2
	// permitPollTimeout bounds one poll for permit questions; the leader holds it for 1.5 s.
	permitPollTimeout = 2500 * time.Millisecond
)

// PushDaemon is one process in push mode: the leader sends its calls to the upstreams, which do
// not poll.
type PushDaemon struct {
	*Daemon
	pushSettings *config.PushSettings
	path         string
	permits      *platform.Permits
	upstreams    *platform.Upstreams
	gc           *gcTuner

	// inFlight bounds the callers' calls that this process forwards; nil bounds none.
	inFlight *entry.InFlight
	draining atomic.Bool
	// lastLeaderReply is the time of the leader's last reply in nanoseconds of the daemon's
	// clock; zero means none yet.
	lastLeaderReply atomic.Int64

	// mu guards members and the seeds in pushSettings, which reload replaces.
	mu sync.Mutex
	// members are the addresses of the group's members that the leader named last.
	members []string
}

// NewPushDaemon returns a process for checked settings; Run starts it. The path is that of the
// settings file, which is read again when it changes.
func NewPushDaemon(path string, s *config.PushSettings, log zerolog.Logger) *PushDaemon {
	log = log.With().Str("node", s.Name).Logger()
	inner := &config.Settings{Name: s.Name, FailureDomain: s.FailureDomain, Roles: s.Roles, DataFolder: s.DataFolder,
		PeerAddress: s.PeerAddress, AdminAddress: s.AdminAddress, Replicas: s.SeedPeers, Voters: control.UnattendedMembershipPolicy.Voters, Limits: entry.DefaultLimits, Ingress: s.Ingress}
	c := &PushDaemon{Daemon: New(inner, log), pushSettings: s, path: path, gc: newGCTuner(),
		inFlight: entry.NewInFlight(entry.MaxCallsInFlight, entry.MaxBytesInFlight)}
	c.budget = newBudget(inner, s.MemoryBytes, maxBodyOf(s), log)
	c.router = entry.NewRouter(localForwarder{c.Daemon}, s.SeedPeers)
	c.router.SetBackoffMax(leaderSearchBackoffMax)
	c.pool.SetDialTimeout(peerDialTimeout)
	c.initialVoters = initialVotersOf(s.SeedPeers)
	c.membership = &control.UnattendedMembershipPolicy
	c.newEngine = c.engine
	if s.HasRole(config.RoleReplica) {
		c.upstreams = platform.NewUpstreams()
		c.relay = relay.NewServer(c.upstreams, c.clock, log)
	}
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

// engine returns the engine that sends the calls of a leader to the upstreams.
func (c *PushDaemon) engine(host *control.Controller) control.Engine {
	cfg := dispatch.Config{MaxHold: c.pushSettings.MaxHold, StopGrace: c.pushSettings.StopGrace, MinVoters: min(len(c.initialVoters), minVoters),
		Replicas: host.ReplicaAddresses}
	var vms dispatch.VMs
	if c.pushSettings.VMsAddress != "" {
		vms = platform.NewVMs(c.pushSettings.VMsAddress, c.pushSettings.Name)
	}
	return tunedEngine{dispatch.New(cfg, c.log, host, dispatch.Contain(relay.NewClient(c.upstreams, c.pool, c.settings.Name), c.contain), vms), c.gc}
}

// maxBodyOf returns the size in bytes of the largest body that a process takes.
func maxBodyOf(s *config.PushSettings) int64 {
	if s.HasRole(config.RoleReplica) {
		return maxControlBody
	}
	return maxFrontBody
}

// localForwarder handles calls to this process without a connection, and forwards the others.
type localForwarder struct{ d *Daemon }

// Forward implements entry.Forwarder.
func (f localForwarder) Forward(ctx context.Context, address string, req *peerv1.ForwardRequest) (*peerv1.ForwardResponse, bool, error) {
	if address == f.d.settings.PeerAddress {
		return (&peerService{f.d}).handleForwarded(ctx, req), true, nil
	}
	return f.d.pool.Forward(ctx, address, req)
}

// Call implements platform.System. A caller's job call that certainly has had no effect is refused
// when no leader is found within leaderSearchTime, or leaderlessWait if there has been none for long:
// the caller can send it again. One that may have had an effect is repeated until its deadline, as only
// the leader's answer tells what became of it.
func (c *PushDaemon) Call(ctx context.Context, call *pipelinev1.Call) (*pipelinev1.Reply, error) {
	if c.isRedundantHeartbeat(ctx, call.GetHeartbeat()) {
		return &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_OK}, nil
	}
	bounds := entry.Bounds{Attempt: callTimeout}
	if job := call.GetJob(); job != nil {
		if c.inFlight != nil {
			end, ok := c.inFlight.Acquire(job.GetVerb() == pipelinev1.JobVerb_JOB_VERB_SUBMIT, int64(proto.Size(call)))
			if !ok {
				return overloaded, nil
			}
			defer end()
		}
		bounds.Search = leaderSearchTime
		if c.router.LeaderlessFor() > leaderlessLimit {
			bounds.Search = leaderlessWait
		}
	}
	if order := call.GetSetDomain(); order != nil {
		return c.orderDomain(ctx, order, bounds)
	}
	return c.callWithin(ctx, call, bounds)
}

// overloaded is the reply to a caller's call that is refused before it is forwarded. Calls end within three seconds.
var overloaded = &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_NOT_NOW, Detail: "this process is overloaded with calls; nothing was proposed",
	RetryAfterMs: entry.LeaderlessReturn.Milliseconds()}

// isRedundantHeartbeat reports whether a heartbeat brings nothing new: what it describes is
// committed, and this process has contact with the leader. Such heartbeats are not forwarded: 350
// upstreams send 235 heartbeats a second, which cost the leader a twentieth of its processor.
func (c *PushDaemon) isRedundantHeartbeat(ctx context.Context, beat *pipelinev1.HeartbeatCall) bool {
	r := c.currentReplica()
	return beat != nil && r != nil && c.hasLeaderContact() && r.controller.KnowsUpstream(ctx, beat.GetUpstream())
}

// hasLeaderContact reports whether the leader has replied to this process within
// leaderContactTTL.
func (c *PushDaemon) hasLeaderContact() bool {
	at := c.lastLeaderReply.Load()
	return at != 0 && c.clock.Now()-time.Duration(at) < leaderContactTTL
}

// unencodable is the reply to a call that no process can encode, such as one with a name that is not UTF-8.
var unencodable = &pipelinev1.Reply{Verdict: pipelinev1.Verdict_VERDICT_INVALID, Detail: "the call can't be encoded"}

// callWithin sends a call to the leader within bounds.
func (c *PushDaemon) callWithin(ctx context.Context, call *pipelinev1.Call, bounds entry.Bounds) (*pipelinev1.Reply, error) {
	payload, err := proto.Marshal(call)
	if err != nil {
		return unencodable, nil
	}
	if bounds.NoEffect = hasNoEffect(call); bounds.NoEffect {
		ctx = peer.WithoutEffect(ctx)
	}
	a, err := c.router.CallWithin(ctx, &peerv1.ForwardRequest{Method: peerv1.Method_METHOD_PIPELINE, Payload: payload, Process: c.settings.Name}, true, bounds)
	if err != nil {
		return nil, err
	}
	c.lastLeaderReply.Store(int64(c.clock.Now()))
	if a.GetStatus() != peerv1.ForwardStatus_FORWARD_STATUS_OK {
		if !a.Uncertain && a.GetRefusal().GetKind() == apiv1.OutcomeKind_OUTCOME_KIND_NOT_RUN {
			return nil, errors.Wrap(entry.ErrNothingProposed, a.GetRefusal().GetDetail())
		}
		return nil, errors.Wrap(entry.ErrUndetermined, a.GetRefusal().GetDetail())
	}
	r := &pipelinev1.Reply{}
	if err := proto.Unmarshal(a.GetPayload(), r); err != nil {
		return nil, errors.Wrap(entry.ErrUndetermined, err.Error())
	}
	if a.Uncertain && refusesEffect(call, r.GetVerdict()) {
		return nil, errors.Wrapf(entry.ErrUndetermined, "an earlier attempt got no answer, and a later one was refused (%s: %s)", r.GetVerdict(), r.GetDetail())
	}
	return r, nil
}

// refusesEffect reports whether a verdict tells the caller that the call had no effect. After an attempt of
// unknown outcome that may be false: what was allowed then may be refused now.
func refusesEffect(call *pipelinev1.Call, v pipelinev1.Verdict) bool {
	switch {
	case v == pipelinev1.Verdict_VERDICT_OK || isRead(call):
		return false
	case call.GetJob().GetVerb() == pipelinev1.JobVerb_JOB_VERB_CANCEL && v == pipelinev1.Verdict_VERDICT_NO_JOB:
		// It tells of the job, not of the call.
		return false
	}
	return true
}

// hasNoEffect reports whether a call has no effect that its sender must know of: it is a read, or the poll of a
// process for permit questions, which is followed by the next one whatever becomes of it.
func hasNoEffect(call *pipelinev1.Call) bool { return isRead(call) || call.GetPermitPoll() != nil }

// isRead reports whether a call only reads.
func isRead(call *pipelinev1.Call) bool {
	switch c := call.GetCall().(type) {
	case *pipelinev1.Call_GetConfig, *pipelinev1.Call_GetWave, *pipelinev1.Call_GetDomainRevision:
		return true
	case *pipelinev1.Call_Job:
		return c.Job.GetVerb() == pipelinev1.JobVerb_JOB_VERB_GET
	}
	return false
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

// pushListener describes a listener: maxBody bounds a request's body in bytes, connections the open connections, and
// add registers its paths.
type pushListener struct {
	name, address        string
	priority             ingress.Priority
	connections, maxBody int
	add                  func(*server.Hertz)
}

// listen opens a server.
func (c *PushDaemon) listen(l pushListener) (*pushServer, error) {
	inner, err := net.Listen("tcp", l.address)
	if err != nil {
		return nil, errors.Wrap(err, "daemon: listen")
	}
	s := &pushServer{publicServer{listener: newTrackingListener(inner)}}
	bounded := c.budget.Listen(s.listener, l.name, l.priority, l.connections, l.maxBody)
	s.hertz = newHertz(bounded, l.maxBody, c.pushSettings.DrainTime)
	s.hertz.Use(c.containRequest, readBody)
	l.add(s.hertz)
	return s, nil
}

// Run serves until ctx ends, then drains. A signal on reload makes it check the settings file for
// changes at once. Run returns an error if a socket can't be opened, or if the peer server, the
// admin server or the replica fails; a failure of another server is only logged.
func (c *PushDaemon) Run(ctx context.Context, reload <-chan os.Signal) error {
	if c.pushSettings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(c.pushSettings.MemoryBytes)))
	}
	servers, err := c.openServers()
	if err != nil {
		return err
	}
	work, endWork := context.WithCancel(context.WithoutCancel(ctx))
	defer endWork()
	g, work := errgroup.WithContext(work)
	g.Go(func() error { return c.servePeers(work) })
	g.Go(func() error {
		return c.serveAdmin(work)
	})
	if c.pushSettings.HasRole(config.RoleReplica) {
		g.Go(func() error { return c.runReplica(work, c.pushSettings.Bootstrap) })
		g.Go(func() error { return c.relay.Watch(work) })
	}
	g.Go(func() error { return c.tuneGC(work) })
	g.Go(func() error { return c.pollPermits(work) })
	g.Go(func() error { return c.watchSettings(work, reload) })
	for _, s := range servers {
		go func() {
			if err := s.hertz.Run(); err != nil && work.Err() == nil {
				c.log.Error().Err(err).Msg("HTTP server stopped")
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
	limits := c.settings.Ingress
	for _, l := range []pushListener{
		{"front", c.pushSettings.FrontAddress, ingress.PriorityCallers, limits.Connections, maxFrontBody, adapter.ServeCallers},
		{"readiness", c.pushSettings.ReadinessAddress, ingress.PriorityCallers, limits.CheckConnections, maxCheckBody, adapter.ServeReadiness},
		{"control", c.pushSettings.ControlAddress, ingress.PriorityControl, limits.Connections, maxControlBody, adapter.ServeControl}} {
		if l.address == "" {
			continue
		}
		s, err := c.listen(l)
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

// drainServers takes the process out of service without cutting off a call: the load balancer
// sees it unready, the leadership is transferred, and connections close after their next
// response.
func (c *PushDaemon) drainServers(servers []*pushServer) {
	c.log.Info().Msg("stop requested; draining")
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
			c.log.Warn().Int("connections", open).Msg("drain timed out; closing the remaining connections")
		}
	}
	c.transferLeadership(ctx)
	c.log.Info().Dur("took", time.Since(began)).Msg("drained")
}

// watchSettings reads the settings file on a signal and every settingsInterval, and reloads it if
// it has changed.
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
			c.log.Info().Msg("reload requested")
		case <-ticker.C:
		}
		data, err := os.ReadFile(c.path)
		if err != nil && readable {
			c.log.Warn().Err(err).Msg("settings file can't be read any more; keeping the current settings")
		}
		readable = err == nil
		if err != nil || string(data) == string(last) {
			continue
		}
		last = data
		c.reload(data)
	}
}

// reload applies the seeds of changed settings; all other changes need a restart.
func (c *PushDaemon) reload(data []byte) {
	s, err := config.ParsePush(c.path, data)
	if err != nil {
		c.log.Error().Err(err).Msg("changed settings are invalid; keeping the old ones")
		return
	}
	c.mu.Lock()
	c.pushSettings.SeedPeers = s.SeedPeers
	c.mu.Unlock()
	c.updateReplicas(nil)
	c.log.Info().Strs("seeds", s.SeedPeers).Msg("settings reloaded")
}

// updateReplicas sets the addresses where this process looks for the leader: those of the group's
// members, followed by the seeds. If members is nil, the last known ones stay.
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
