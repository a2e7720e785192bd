package daemon

import (
	"context"
	"time"

	"connectrpc.com/connect"
	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/retry"
	"github.com/bulrushwinch/bulrushwinch/timeline"
)

const (
	viewTimeout     = 2500 * time.Millisecond
	viewBackoffMin  = 50 * time.Millisecond
	viewBackoffMax  = 500 * time.Millisecond
	timelineTimeout = 2 * time.Second
)

// watchView follows the configuration in force by long polls to the leader.
func (d *Daemon) watchView(ctx context.Context) error {
	backoff := retry.Backoff{Min: viewBackoffMin, Max: viewBackoffMax}
	leader, next := "", 0
	var known uint64
	for ctx.Err() == nil {
		address := leader
		if address == "" {
			address = d.settings.Replicas[next%len(d.settings.Replicas)]
			next++
		}
		sent := time.Now()
		view := d.fetchView(ctx, address, known)
		if view.GetStatus() == peerv1.ForwardStatus_FORWARD_STATUS_OK {
			known, leader = view.GetRevision(), address
			d.health.viewFresh(known, sent)
			backoff.Reset()
			continue
		}
		leader = view.GetLeaderAddress()
		d.health.checkView(time.Now())
		_ = retry.Sleep(ctx, backoff.Next())
	}
	return nil
}

func (d *Daemon) fetchView(ctx context.Context, address string, known uint64) *peerv1.ViewResponse {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	c := d.pool.Get(address)
	resp, err := c.View(ctx, connect.NewRequest(&peerv1.ViewRequest{KnownRevision: known, Process: d.settings.Name, Ready: d.health.ready()}))
	if err == nil {
		return resp.Msg
	}
	if ctx.Err() != nil {
		d.pool.Abandon(address, c)
	}
	return nil
}

// gatherTimeline merges the events of this process with those of the replicas.
func (d *Daemon) gatherTimeline(ctx context.Context, filter *apiv1.TimelineRequest) *apiv1.TimelineResponse {
	ctx, cancel := context.WithTimeout(ctx, timelineTimeout)
	defer cancel()
	out := &apiv1.TimelineResponse{}
	lists := [][]*apiv1.Event{d.events.Events(filter)}
	for _, address := range d.settings.Replicas {
		if address == d.settings.PeerAddress {
			continue
		}
		resp, err := d.pool.Get(address).Events(ctx, connect.NewRequest(&peerv1.EventsRequest{Filter: filter, WallNs: d.events.Clock().Now().WallNS}))
		if err != nil {
			out.Missing = append(out.Missing, address)
			continue
		}
		d.events.Clock().Observe(resp.Msg.GetWallNs())
		lists = append(lists, resp.Msg.GetEvents())
	}
	out.Events = timeline.Merge(filter, lists...)
	return out
}
