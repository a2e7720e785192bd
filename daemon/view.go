package daemon

import (
	"context"
	"time"

	"connectrpc.com/connect"
	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/config"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/retry"
	"github.com/bulrushwinch/bulrushwinch/timeline"
	"github.com/bulrushwinch/bulrushwinch/view"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"
)

const (
	// viewHold bounds how long this process holds a view request (a long poll) of another one.
	viewHold = 1200 * time.Millisecond
	// viewTimeout bounds a view request of this process; it is longer than viewHold.
	viewTimeout    = 2500 * time.Millisecond
	viewBackoffMin = 50 * time.Millisecond
	viewBackoffMax = 500 * time.Millisecond
	// timelineTimeout bounds the collection of events from all processes.
	timelineTimeout = 2 * time.Second
	// timelineCalls bounds the number of processes that are asked for events concurrently.
	timelineCalls = 8
)

// viewWatcher keeps this process's view of the configuration in force up to date.
type viewWatcher struct {
	d *Daemon
	// sources are asked one after the other.
	sources *sourceSelector
	// fromLeader is set for replicas, which fetch the view from the leader only. Thereby views flow
	// from the leader to the replicas and from these to the entries, and never in a cycle.
	fromLeader bool
	// leader is the address of the leader that the last response with one named.
	leader string
}

// watchView keeps the view of the configuration in force up to date until ctx ends.
func (d *Daemon) watchView(ctx context.Context) error {
	w := &viewWatcher{d: d, fromLeader: d.settings.HasRole(config.RoleReplica),
		sources: &sourceSelector{self: d.settings.PeerAddress, list: d.settings.Replicas}}
	if !w.fromLeader {
		w.sources.list = entrySources(d.settings)
	}
	backoff := retry.Backoff{Min: viewBackoffMin, Max: viewBackoffMax}
	for ctx.Err() == nil {
		if w.refresh(ctx) {
			backoff.Reset()
			continue
		}
		_ = retry.Sleep(ctx, backoff.Next())
	}
	return nil
}

// entrySources returns the addresses that an entry asks for the view: its configured view
// sources, then the replicas. The first of these depends on a hash of the entry's name, so that
// entries spread over the replicas.
func entrySources(s *config.Settings) []string {
	n := len(s.Replicas)
	first := int(xxhash.Sum64String(s.Name) % uint64(n))
	out := append([]string(nil), s.ViewSources...)
	for i := range n {
		out = append(out, s.Replicas[(first+i)%n])
	}
	return out
}

// refresh fetches the view once, from the replica in this process if it leads and from the next
// source otherwise. It reports whether a response was applied.
func (w *viewWatcher) refresh(ctx context.Context) bool {
	sent := w.d.clock.Now()
	if resp := w.askLocalReplica(ctx); resp != nil && w.apply(resp, sent, view.FromLeader) {
		return true
	}
	address := w.sources.pick()
	if address == "" {
		return false
	}
	sent = w.d.clock.Now()
	resp := w.fetchFrom(ctx, address)
	if resp.GetStatus() == peerv1.ForwardStatus_FORWARD_STATUS_OK && w.apply(resp, sent, view.FromProcess) {
		w.sources.succeeded()
		return true
	}
	leader := ""
	if w.fromLeader {
		leader = resp.GetLeaderAddress()
	}
	w.sources.failed(leader)
	return false
}

// askLocalReplica returns the view of the replica in this process, or nil if there is none or it
// does not lead.
func (w *viewWatcher) askLocalReplica(ctx context.Context) *peerv1.ViewResponse {
	r := w.d.currentReplica()
	if r == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	resp := r.controller.View(ctx, w.request())
	if resp.GetStatus() != peerv1.ForwardStatus_FORWARD_STATUS_OK {
		w.sources.setHint(resp.GetLeaderAddress())
		return nil
	}
	resp.LeaderAddress = w.d.settings.PeerAddress
	return resp
}

func (w *viewWatcher) request() *peerv1.ViewRequest {
	return &peerv1.ViewRequest{KnownRevision: w.d.view.Revision(), Process: w.d.settings.Name, Ready: w.d.health.ready(),
		FromLeader: w.fromLeader, Address: w.d.settings.PeerAddress, Reports: w.d.view.Reports()}
}

func (w *viewWatcher) fetchFrom(ctx context.Context, address string) *peerv1.ViewResponse {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	c, began := w.d.pool.Get(address), time.Now()
	resp, err := c.View(ctx, connect.NewRequest(w.request()))
	if err == nil {
		return resp.Msg
	}
	if ctx.Err() != nil {
		c.CloseSilentSince(began)
	}
	return nil
}

// apply puts a response in force and reports whether it was accepted.
func (w *viewWatcher) apply(resp *peerv1.ViewResponse, sent time.Duration, from view.Source) bool {
	before := w.d.view.Revision()
	if err := w.d.view.Update(resp, sent, from); err != nil {
		w.d.log.Warn().Err(err).Uint64("revision", resp.GetRevision()).Msg("view refused; trying another source")
		return false
	}
	if leader := resp.GetLeaderAddress(); leader != "" && leader != w.leader {
		w.leader = leader
		w.d.router.SetLeader(leader)
	}
	if revision := resp.GetRevision(); revision != before {
		w.d.events.Add(&apiv1.Event{Kind: "revision-in-force", Revision: revision})
	}
	w.d.health.checkView()
	return true
}

// gatherTimeline merges the events of this process with those of the processes at the given
// addresses. The response lists the addresses that did not answer as missing.
func (d *Daemon) gatherTimeline(ctx context.Context, filter *apiv1.TimelineRequest, addresses []string) *apiv1.TimelineResponse {
	ctx, cancel := context.WithTimeout(ctx, timelineTimeout)
	defer cancel()
	lists := make([][]*apiv1.Event, len(addresses)+1)
	missing := make([]bool, len(addresses))
	lists[len(addresses)] = d.events.Events(filter)
	var g errgroup.Group
	g.SetLimit(timelineCalls)
	for i, address := range addresses {
		if address == d.settings.PeerAddress || address == "" {
			continue
		}
		g.Go(func() error {
			events, err := d.fetchEvents(ctx, address, filter)
			lists[i], missing[i] = events, err != nil
			return nil
		})
	}
	_ = g.Wait()
	out := &apiv1.TimelineResponse{Events: timeline.Merge(filter, lists...)}
	for i, address := range addresses {
		if missing[i] {
			out.Missing = append(out.Missing, address)
		}
	}
	return out
}

func (d *Daemon) fetchEvents(ctx context.Context, address string, filter *apiv1.TimelineRequest) ([]*apiv1.Event, error) {
	req := connect.NewRequest(&peerv1.EventsRequest{Filter: filter, WallNs: d.events.Clock().Now().WallNS})
	resp, err := d.pool.Get(address).Events(ctx, req)
	if err != nil {
		return nil, err
	}
	d.events.Clock().Observe(resp.Msg.GetWallNs())
	return resp.Msg.GetEvents(), nil
}
