package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/client"
	"github.com/bulrushwinch/bulrushwinch/lease"
	"github.com/bulrushwinch/bulrushwinch/upstream"
	"golang.org/x/sync/errgroup"
)

// StandIns are upstreams for trials: their tasks only take time.
type StandIns struct {
	// Addresses are those of entries; Key is an upstream's key.
	Addresses []string
	Key       string
	TLS       *tls.Config
	// Count stand-ins are spread over the failure domains in turn.
	Count    int
	Domains  []string
	Capacity *apiv1.Resources
	// RunTime is how long a task takes.
	RunTime time.Duration
}

// standInsPerRack is the number of stand-ins in one rack.
const standInsPerRack = 8

// Run runs the stand-ins until ctx ends.
func (s StandIns) Run(ctx context.Context) error {
	api := client.New(client.Config{Addresses: s.Addresses, Key: s.Key, TLS: s.TLS})
	defer api.Close()
	g, work := errgroup.WithContext(ctx)
	for i := range s.Count {
		domain := s.Domains[i%len(s.Domains)]
		agent := upstream.New(upstream.Config{Name: fmt.Sprintf("standin-%d", i+1), FailureDomain: domain,
			Rack: fmt.Sprintf("%s-rack-%d", domain, i/len(s.Domains)/standInsPerRack+1), VM: fmt.Sprintf("standin-vm-%d", i+1),
			Capacity: s.Capacity}, api, upstream.StandIn{RunTime: s.RunTime}, lease.BootClock{})
		g.Go(func() error { return agent.Run(work) })
	}
	return ignoreCancel(ctx, g.Wait())
}
