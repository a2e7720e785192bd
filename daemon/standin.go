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

// StandIns are upstreams for trials: their tasks do nothing but take time.
type StandIns struct {
	// Addresses are those of entries, with ports; Key is an upstream's key.
	Addresses []string
	Key       string
	// TLS is the client's configuration; nil means plain TCP.
	TLS *tls.Config
	// Count is the number of stand-ins, which are assigned to Domains in rotation.
	Count   int
	Domains []string
	// Capacity is that of each stand-in.
	Capacity *apiv1.Resources
	// RunTime is the time that a task takes.
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
