package wal_test

import (
	"context"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bulrushwinch/bulrushwinch/control"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/raft"
	"github.com/bulrushwinch/bulrushwinch/replica"
	"github.com/bulrushwinch/bulrushwinch/retry"
	"github.com/bulrushwinch/bulrushwinch/state"
	"github.com/bulrushwinch/bulrushwinch/wal"
	"github.com/pkg/errors"
)

const (
	// groupID identifies the group in identities and join requests.
	groupID = 1
	// joinTimeout bounds one request to join, joinPause is the time between two of them, and
	// memberCheckInterval that between checks that the group lists a replica.
	joinTimeout         = 2 * time.Second
	joinPause           = 200 * time.Millisecond
	memberCheckInterval = 5 * time.Second
	// spacePause is the time between two attempts to open a folder on a full disk.
	spacePause = 500 * time.Millisecond
	// minVoters is the number of voters below which nothing is proposed.
	minVoters = 2
	// linePrefix marks the entries of the test. A batch of commands never begins with it.
	linePrefix = "\xffline "
)

var errNotLeading = errors.New("the replica does not lead")

// groupClock is a lease.Clock on the virtual time of the test.
type groupClock struct{ start time.Time }

func (c groupClock) Now() time.Duration { return time.Since(c.start) }

// lineMachine applies the entries of the test, and all others as a replica does.
type lineMachine struct {
	control.Machine
	mu    sync.Mutex
	lines []string
}

func (m *lineMachine) Apply(data []byte) []state.Result {
	line, ok := strings.CutPrefix(string(data), linePrefix)
	if !ok {
		return m.Machine.Apply(data)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lines = append(m.lines, line)
	return nil
}

func (m *lineMachine) Capture() func(io.Writer) error {
	lines, rest := strings.Join(m.all(), "\n")+"\x00", m.Machine.Capture()
	return func(w io.Writer) error {
		if _, err := io.WriteString(w, lines); err != nil {
			return err
		}
		return rest(w)
	}
}

func (m *lineMachine) Restore(r io.Reader) error {
	data, err := io.ReadAll(r)
	if err != nil || len(data) == 0 {
		return err
	}
	lines, rest, _ := strings.Cut(string(data), "\x00")
	m.mu.Lock()
	m.lines = strings.FieldsFunc(lines, func(c rune) bool { return c == '\n' })
	m.mu.Unlock()
	return m.Machine.Restore(strings.NewReader(rest))
}

func (m *lineMachine) all() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.lines)
}

// process is one life of a replica on a machine.
type process struct {
	group  *group
	host   *machine
	files  *wal.ProcessFiles
	ctx    context.Context
	cancel context.CancelFunc
	// ended is closed once nothing of the process runs any more.
	ended chan struct{}
	wg    sync.WaitGroup
	// running is set once the replica belongs to the group; it is guarded by group.mu.
	running *runningReplica
}

// runningReplica is a replica that belongs to the group.
type runningReplica struct {
	id         raft.ID
	node       *replica.Node[[]state.Result]
	controller *control.Controller
	machine    *lineMachine
}

// kill ends the process at once.
func (p *process) kill() {
	p.files.Kill()
	p.cancel()
}

// run is the life of the process.
func (p *process) run() {
	defer close(p.ended)
	defer p.wg.Wait()
	defer p.cancel()
	err := p.serve()
	if err != nil && !p.files.Killed() && p.group.ctx.Err() == nil {
		p.group.t.Errorf("seed %d: replica at %s: %v", p.group.seed, p.host.address, err)
	}
}

func (p *process) serve() error {
	id, log, restored, err := p.open()
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	st := state.New(state.DefaultSettings)
	cfg := control.DefaultConfig
	cfg.Membership = control.UnattendedMembershipPolicy
	r := &runningReplica{id: id, machine: &lineMachine{Machine: control.Machine{State: st}},
		controller: control.New(cfg, st, groupClock{p.group.start}, nil)}
	r.node, err = replica.New(p.group.nodeConfig(id), r.machine, r.controller, log, &groupTransport{p, id}, restored)
	if err != nil {
		return err
	}
	r.controller.Attach(r.node)
	p.group.setRunning(p, r)
	p.wg.Go(func() { p.keepMembership(r) })
	return r.node.Run(p.ctx)
}

// open makes the data folder part of the group, as package daemon does: an empty one joins, and a
// damaged one is moved aside and joins under a new identity.
func (p *process) open() (raft.ID, *wal.Log, raft.DurableState, error) {
	for {
		id, log, restored, err := p.tryOpen()
		if errors.Is(err, wal.ErrNoSpace) && retry.Sleep(p.ctx, spacePause) == nil {
			continue
		}
		if !errors.Is(err, wal.ErrCorrupt) || p.files.Killed() {
			return id, log, restored, err
		}
		p.group.t.Errorf("seed %d: %s sets its folder aside: %v", p.group.seed, p.host.address, err)
		if _, err := p.files.SetAside(); err != nil {
			return id, nil, restored, err
		}
	}
}

func (p *process) tryOpen() (id raft.ID, log *wal.Log, restored raft.DurableState, err error) {
	identity, err := p.files.LoadIdentity()
	if err == nil && identity.Group == 0 {
		identity, err = p.joinNew(identity)
	}
	if err != nil {
		return id, nil, restored, err
	}
	hasLog, err := p.files.HasLog()
	if err == nil && !hasLog {
		err = errors.Wrap(wal.ErrCorrupt, "the log of a member is missing")
	}
	if err != nil {
		return id, nil, restored, err
	}
	log, restored, err = p.files.Open()
	return identity.Replica, log, restored, err
}

// joinNew joins the group with an empty folder.
func (p *process) joinNew(identity wal.Identity) (wal.Identity, error) {
	log, restored, err := p.files.Open()
	if err != nil {
		return identity, err
	}
	defer func() { _ = log.Close() }()
	if restored.Snapshot.Index > 0 || len(restored.Entries) > 0 {
		return identity, errors.Wrap(wal.ErrCorrupt, "a log without a group")
	}
	for !p.joinAnywhere(0, identity.Replica) {
		if err := retry.Sleep(p.ctx, joinPause); err != nil {
			return identity, err
		}
	}
	identity.Group = groupID
	return identity, p.files.SaveIdentity(identity)
}

// joinAnywhere asks a random machine, and then the leader that it names, to admit the replica.
func (p *process) joinAnywhere(group uint64, id raft.ID) bool {
	resp := p.requestJoin(p.group.randomAddress(), group, id)
	if leader := resp.GetLeaderAddress(); leader != "" {
		resp = p.requestJoin(leader, group, id)
	}
	return resp.GetStatus() == peerv1.ForwardStatus_FORWARD_STATUS_OK
}

func (p *process) requestJoin(address string, group uint64, id raft.ID) *peerv1.JoinResponse {
	to := p.group.reach(p.host, address)
	if to == nil || address == p.host.address {
		return nil
	}
	ctx, cancel := context.WithTimeout(p.ctx, joinTimeout)
	defer cancel()
	if retry.Sleep(ctx, p.group.delay()) != nil {
		return nil
	}
	resp := to.running.controller.Join(ctx, &peerv1.JoinRequest{Group: group, Member: &peerv1.Member{Id: uint64(id),
		Address: p.host.address, FailureDomain: p.host.domain}}, groupID)
	if to.files.Killed() || p.group.reach(p.host, address) != to {
		return nil
	}
	return resp
}

// keepMembership joins the group again if the group does not list this replica as it is.
func (p *process) keepMembership(r *runningReplica) {
	for retry.Sleep(p.ctx, memberCheckInterval) == nil {
		listed := make(chan bool, 1)
		_ = r.node.Post(p.ctx, func() {
			listed <- slices.ContainsFunc(r.node.Raft().Members(), func(m raft.Member) bool {
				return m.ID == r.id && m.Address == p.host.address && m.Domain == p.host.domain
			})
		})
		select {
		case ok := <-listed:
			if !ok {
				p.joinAnywhere(groupID, r.id)
			}
		case <-r.node.Done():
			return
		}
	}
}

// propose proposes a line and calls done once it is committed. done runs on the control goroutine.
func (p *process) propose(line string, done func()) error {
	r := p.running
	result := make(chan error, 1)
	err := r.node.Post(p.ctx, func() {
		if !r.controller.Leading() || r.controller.Voters() < minVoters {
			result <- errNotLeading
			return
		}
		r.node.Propose([]byte(linePrefix+line), func(_ []state.Result, err error) {
			if err == nil && p.files.Killed() {
				err = replica.ErrLost
			}
			if err == nil {
				done()
			}
			result <- err
		})
	})
	if err != nil {
		return err
	}
	select {
	case err = <-result:
	case <-r.node.Done():
		err = replica.ErrLost
	}
	return err
}

// groupTransport implements replica.Transport for one process.
type groupTransport struct {
	from *process
	id   raft.ID
}

// Send implements replica.Transport.
func (t *groupTransport) Send(to raft.Member, messages []raft.Message) {
	if t.from.files.Killed() {
		return
	}
	g := t.from.group
	time.AfterFunc(g.delay(), func() {
		if p := g.reachMember(t.from.host, to); p != nil {
			p.running.node.Receive(messages)
		}
	})
}

// SendSnapshot implements replica.Transport.
func (t *groupTransport) SendSnapshot(ctx context.Context, to raft.Member, m raft.Message, content io.Reader, progress func()) error {
	data, err := io.ReadAll(content)
	if err != nil {
		return err
	}
	g := t.from.group
	if err := retry.Sleep(ctx, g.delay()); err != nil {
		return err
	}
	p := g.reachMember(t.from.host, to)
	if p == nil || t.from.files.Killed() {
		return errors.New("the replica can't be reached")
	}
	progress()
	err = p.running.node.ReceiveSnapshot(m, func(w io.Writer) error {
		_, err := w.Write(data)
		return err
	})
	if err != nil {
		// Only the text of an error travels, so that it is not taken for one of the sender's disk.
		return errors.Errorf("%s: %v", p.host.address, err)
	}
	return nil
}
