package faults

import (
	"sync"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/raft"
	"google.golang.org/protobuf/proto"
)

// step is a point of the work at which a fault can be injected. The values are the rows of the fault
// matrix.
type step string

const (
	stepSubmit   step = "submit"
	stepPlace    step = "place"
	stepHandOut  step = "hand out"
	stepStart    step = "start"
	stepRun      step = "run"
	stepAnswer   step = "answer"
	stepWait     step = "wait"
	stepCancel   step = "cancel"
	stepGrant    step = "key grant"
	stepWithdraw step = "key withdraw"
	stepOut      step = "failure domain out"
	stepBack     step = "failure domain back"
	stepConfig   step = "configuration change"
	stepAnnounce step = "upstream announce"
	stepLeave    step = "upstream leave"
	stepJoin     step = "replica join"
	stepPromote  step = "replica promote"
	stepSnapshot step = "snapshot"
	stepTransfer step = "leadership transfer"
	stepDrain    step = "drain"
)

// steps holds the rows of the matrix; at describes when the step is taken.
var steps = []struct {
	step step
	at   string
	// stride is the distance between the occurrences at which the runs of a cell inject the
	// fault; 0 for steps that a run takes only once.
	stride int
}{
	{stepSubmit, "the leader logs a submission", 4},
	{stepPlace, "the leader logs placements", 4},
	{stepHandOut, "a start command leaves the leader", 4},
	{stepStart, "a task begins on an upstream", 4},
	{stepRun, "a task has run for 300 ms", 4},
	{stepAnswer, "the leader logs a task's success", 4},
	{stepWait, "a Wait call reaches the leader", 4},
	{stepCancel, "the leader logs a cancellation", 0},
	{stepGrant, "the leader logs the grant of a caller's key", 0},
	{stepWithdraw, "the leader logs the withdrawal of a key", 0},
	{stepOut, "the leader logs that a failure domain is out", 0},
	{stepBack, "the leader logs that the failure domain is back in", 0},
	{stepConfig, "the leader logs a change of a team", 0},
	{stepAnnounce, "the leader logs an upstream's announcement", 0},
	{stepLeave, "the leader logs that an upstream is leaving", 0},
	{stepJoin, "the leader logs a new learner", 0},
	{stepPromote, "the leader logs the learner's promotion", 0},
	{stepSnapshot, "the leader saves a snapshot", 1},
	{stepTransfer, "the leader tells another replica to take over", 0},
	{stepDrain, "an entry begins to drain", 0},
}

// phase is the point in the processing of a log entry at which a step triggers its fault. Steps that
// are not log entries ignore it.
type phase int

const (
	beforeSync phase = iota // before the leader syncs the entry to its disk
	afterSync               // after the leader has synced the entry
	applied                 // when the leader has applied the entry
	numPhases
)

// event describes where a step was taken.
type event struct {
	phase phase
	// replica is the address of the leader that took part, or "".
	replica string
	// upstream is the name of the upstream that took part, or "".
	upstream string
}

// trigger injects a fault when its step is taken after skip earlier occurrences, on the goroutine
// that takes the step.
type trigger struct {
	step   step
	phase  phase
	skip   int
	inject func(event)
}

// triggers holds the faults of one run that have not been injected yet.
type triggers struct {
	mu   sync.Mutex
	list []*trigger
}

// arm adds a trigger.
func (t *triggers) arm(g *trigger) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.list = append(t.list, g)
}

// untakenSteps returns the steps of the faults that were never injected.
func (t *triggers) untakenSteps() []step {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []step
	for _, g := range t.list {
		out = append(out, g.step)
	}
	return out
}

// hit injects every fault that is due at an occurrence of a step.
func (t *triggers) hit(s step, e event) {
	t.mu.Lock()
	var due []*trigger
	keep := t.list[:0:0]
	for _, g := range t.list {
		switch {
		case g.step != s || logged(s) && g.phase != e.phase:
			keep = append(keep, g)
		case g.skip > 0:
			g.skip--
			keep = append(keep, g)
		default:
			due = append(due, g)
		}
	}
	t.list = keep
	t.mu.Unlock()
	for _, g := range due {
		g.inject(e)
	}
}

// logged reports whether a step is a command in the log, so that it has all phases.
func logged(s step) bool {
	switch s {
	case stepHandOut, stepStart, stepRun, stepWait, stepJoin, stepPromote, stepSnapshot, stepTransfer, stepDrain:
		return false
	}
	return true
}

// commandSteps returns the steps that a log entry's commands stand for.
func commandSteps(data []byte) []step {
	batch := &peerv1.Batch{}
	if proto.Unmarshal(data, batch) != nil {
		return nil
	}
	var out []step
	for _, c := range batch.GetCommands() {
		if s := commandStep(c); s != "" {
			out = append(out, s)
		}
	}
	return out
}

// commandStep returns the step that a command stands for, or "".
func commandStep(c *peerv1.Command) step {
	switch c := c.GetCommand().(type) {
	case *peerv1.Command_Submit:
		return stepSubmit
	case *peerv1.Command_Place:
		return stepPlace
	case *peerv1.Command_Cancel:
		return stepCancel
	case *peerv1.Command_Announce:
		return stepAnnounce
	case *peerv1.Command_Leaving:
		return stepLeave
	case *peerv1.Command_Report:
		for _, r := range c.Report.GetTasks() {
			if r.GetState() == apiv1.ReportState_REPORT_STATE_SUCCEEDED {
				return stepAnswer
			}
		}
	case *peerv1.Command_Change:
		return changeStep(c.Change.GetRequest())
	}
	return ""
}

// changeStep returns the step that a change of the configuration stands for, or "".
func changeStep(req *apiv1.ChangeRequest) step {
	switch c := req.GetChange().(type) {
	case *apiv1.ChangeRequest_GrantKey:
		return stepGrant
	case *apiv1.ChangeRequest_WithdrawKey:
		return stepWithdraw
	case *apiv1.ChangeRequest_PutTeam:
		return stepConfig
	case *apiv1.ChangeRequest_PutFailureDomain:
		if c.PutFailureDomain.GetState() == apiv1.DomainState_DOMAIN_STATE_OUT {
			return stepOut
		}
		return stepBack
	}
	return ""
}

// memberStep returns the step that a change of the members stands for, or "".
func memberStep(before, after []raft.Member) step {
	switch {
	case len(after) > len(before):
		return stepJoin
	case countVoters(after) > countVoters(before):
		return stepPromote
	}
	return ""
}

func countVoters(members []raft.Member) int {
	n := 0
	for _, m := range members {
		if m.Voter {
			n++
		}
	}
	return n
}

// containsStart reports whether an answer to a poll has a command to start or prepare a task.
func containsStart(payload []byte) bool {
	resp := &apiv1.PollResponse{}
	if proto.Unmarshal(payload, resp) != nil {
		return false
	}
	for _, c := range resp.GetCommands() {
		if k := c.GetKind(); k == apiv1.CommandKind_COMMAND_KIND_START || k == apiv1.CommandKind_COMMAND_KIND_PREPARE {
			return true
		}
	}
	return false
}
