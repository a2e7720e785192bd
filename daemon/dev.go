package daemon

import (
	"context"
	"crypto/sha256"
	"os"
	"path/filepath"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/client"
	"github.com/bulrushwinch/bulrushwinch/config"
	"github.com/bulrushwinch/bulrushwinch/entry"
	"github.com/bulrushwinch/bulrushwinch/lease"
	"github.com/bulrushwinch/bulrushwinch/upstream"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
)

// Addresses and keys of the development cell. The keys are for loopback only.
const (
	// DevPublicAddress serves callers, operators and upstreams.
	DevPublicAddress = "127.0.0.1:7400"
	devPeerAddress   = "127.0.0.1:7401"
	devAdminAddress  = "127.0.0.1:7402"
	// DevOperatorKey, DevCallerKey and DevUpstreamKey are the API keys of the three roles.
	DevOperatorKey = "dev-operator-key"
	DevCallerKey   = "dev-caller-key"
	DevUpstreamKey = "dev-upstream-key"
	// DevTeam and DevQueue are created when the cell starts.
	DevTeam  = "montevideo"
	DevQueue = "labels"
)

// devRunTime is the time that a task takes on a stand-in upstream.
const devRunTime = 300 * time.Millisecond

var devDomains = []string{"cordon", "prado", "pocitos"}

// RunDev runs a development cell of one process, with one stand-in upstream per failure domain
// and its data in a temporary folder, until ctx ends.
func RunDev(ctx context.Context, log zerolog.Logger) error {
	dir, err := os.MkdirTemp("", "bulrushwinch-dev-")
	if err != nil {
		return errors.Wrap(err, "daemon: development folder")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	key := sha256.Sum256([]byte(DevOperatorKey))
	s := &config.Settings{Name: "dev", FailureDomain: devDomains[0], Roles: []config.Role{config.RoleEntry, config.RoleReplica},
		DataFolder: filepath.Join(dir, "data"), PublicAddress: DevPublicAddress, PeerAddress: devPeerAddress,
		AdminAddress: devAdminAddress, Replicas: []string{devPeerAddress}, Voters: 1,
		Secret: "development-cluster-secret", OperatorKey: key[:], Limits: entry.DefaultLimits, LogLevel: "info"}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return New(s, log).Run(ctx, true) })
	g.Go(func() error { return ignoreCancel(ctx, runDevUpstreams(ctx)) })
	return g.Wait()
}

// ignoreCancel returns nil once ctx has ended, and err otherwise.
func ignoreCancel(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// runDevUpstreams configures the cell and runs its stand-in upstreams.
func runDevUpstreams(ctx context.Context) error {
	if err := configureDev(ctx); err != nil {
		return err
	}
	api := client.New(client.Config{Addresses: []string{DevPublicAddress}, Key: DevUpstreamKey})
	defer api.Close()
	g, ctx := errgroup.WithContext(ctx)
	for _, domain := range devDomains {
		agent := upstream.New(upstream.Config{Name: "printer-" + domain, FailureDomain: domain, Rack: "rack-1", VM: "vm-" + domain,
			Capacity: &apiv1.Resources{MilliCores: 64_000, MemoryBytes: 256 << 30, Slots: 8, Connections: 64}},
			api, upstream.StandIn{RunTime: devRunTime}, lease.BootClock{})
		g.Go(func() error { return agent.Run(ctx) })
	}
	return g.Wait()
}

func configureDev(ctx context.Context) error {
	operator := client.New(client.Config{Addresses: []string{DevPublicAddress}, Key: DevOperatorKey})
	defer operator.Close()
	for _, change := range devChanges() {
		if err := changeUntilApplied(ctx, operator, change); err != nil {
			return err
		}
	}
	return nil
}

func devChanges() []*apiv1.ChangeRequest {
	list := []*apiv1.ChangeRequest{
		{OperationId: "dev-team", Change: &apiv1.ChangeRequest_PutTeam{PutTeam: &apiv1.Team{Name: DevTeam, Share: 1}}},
		{OperationId: "dev-queue", Change: &apiv1.ChangeRequest_PutQueue{PutQueue: &apiv1.Queue{Name: DevQueue, Team: DevTeam}}},
		{OperationId: "dev-caller", Change: grantKeyChange("caller", DevTeam, DevCallerKey, apiv1.KeyRole_KEY_ROLE_CALLER)},
		{OperationId: "dev-upstream", Change: grantKeyChange("upstream", "", DevUpstreamKey, apiv1.KeyRole_KEY_ROLE_UPSTREAM)},
	}
	for _, d := range devDomains {
		list = append(list, &apiv1.ChangeRequest{OperationId: "dev-domain-" + d, Change: &apiv1.ChangeRequest_PutFailureDomain{
			PutFailureDomain: &apiv1.FailureDomain{Name: d, State: apiv1.DomainState_DOMAIN_STATE_IN, NoticeMs: 2000}}})
	}
	return list
}

func grantKeyChange(id, team, key string, role apiv1.KeyRole) *apiv1.ChangeRequest_GrantKey {
	sum := sha256.Sum256([]byte(key))
	return &apiv1.ChangeRequest_GrantKey{GrantKey: &apiv1.GrantKey{KeyId: id, Team: team, KeySha256: sum[:], Role: role}}
}

const (
	devChangeRetry   = 100 * time.Millisecond
	devChangeTimeout = 5 * time.Second
)

// changeUntilApplied sends a change again until it is applied. Errors and the reason KEY_UNKNOWN
// lead to another attempt; any other refusal is returned as an error.
func changeUntilApplied(ctx context.Context, c *client.Client, change *apiv1.ChangeRequest) error {
	for {
		call, cancel := context.WithTimeout(ctx, devChangeTimeout)
		resp, err := c.Change(call, change)
		cancel()
		switch {
		case err == nil && resp.GetApplied():
			return nil
		case err == nil && resp.GetOutcome().GetReason() != apiv1.Reason_REASON_KEY_UNKNOWN:
			return errors.Errorf("daemon: %s: %s", change.GetOperationId(), resp.GetOutcome().GetDetail())
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(devChangeRetry):
		}
	}
}
