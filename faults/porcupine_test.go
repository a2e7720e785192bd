package faults

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"
)

// configState is the state of the sequential model of the configuration: its revision and the
// share of raceTeam.
type configState struct {
	revision uint64
	share    int64
}

// firstRevision is the revision of a new cell, which has only the first operator's key.
const firstRevision = 1

// linearizabilityTimeout bounds the check of one history; a check that takes longer is a breach.
const linearizabilityTimeout = 30 * time.Second

// configModel is the sequential model of the configuration for porcupine. The output of each
// operation holds all that the model needs.
var configModel = porcupine.Model{
	Init: func() any { return configState{revision: firstRevision} },
	Step: func(state, input, output any) (bool, any) {
		s := state.(configState)
		switch op := output.(type) {
		case configRead:
			return op.revision == s.revision && op.shares[raceTeam] == s.share, s
		case change:
			return stepChange(s, op)
		}
		return false, s
	},
	Equal: func(a, b any) bool { return a == b },
}

// stepChange is the model's step for a change that was applied, or for one that was refused because
// its base is not the revision in force.
func stepChange(s configState, c change) (bool, any) {
	if !c.applied {
		return c.revision == s.revision, s
	}
	if c.revision != s.revision+1 || c.base != 0 && c.base != s.revision {
		return false, s
	}
	s.revision++
	if c.team == raceTeam {
		s.share = c.share
	}
	return true, s
}

// notLinearizable checks whether all operations on the configuration are linearizable in the
// model. An operation with its resends counts once, from its first send to its first answer.
func notLinearizable(h *history) []string {
	var ops []porcupine.Operation
	seen := make(map[string]bool)
	for _, c := range h.changes {
		if !seen[c.operation] {
			seen[c.operation] = true
			ops = append(ops, porcupine.Operation{Input: c.operation, Call: c.sent.UnixNano(), Output: c, Return: c.done.UnixNano()})
		}
	}
	for _, r := range h.reads {
		ops = append(ops, porcupine.Operation{Input: "read", Call: r.sent.UnixNano(), Output: r, Return: r.done.UnixNano()})
	}
	for i := range ops {
		ops[i].ClientId = i
	}
	if result := porcupine.CheckOperationsTimeout(configModel, ops, linearizabilityTimeout); result != porcupine.Ok {
		return []string{fmt.Sprintf("%d operations on the configuration: %s", len(ops), result)}
	}
	return nil
}
