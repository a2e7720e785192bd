// Package lifecycle defines the states of jobs, tasks, pipelines, upstreams, sessions
// and daemons as state machines on qmuntal/stateless.
//
// A Machine is shared by all objects of a kind; the state itself is stored in the
// object. The transitions of a machine are compiled into a table once, so that a
// transition costs one map look-up.
package lifecycle

import (
	"context"

	"github.com/pkg/errors"
	"github.com/qmuntal/stateless"
)

// ErrNotPermitted is returned for a trigger that the current state does not permit.
var ErrNotPermitted = errors.New("lifecycle: transition not permitted")

// edge is a trigger in a state, the key of the transition table.
type edge[S, T comparable] struct {
	from    S
	trigger T
}

// Machine is a compiled state machine. It holds no current state.
type Machine[S, T comparable] struct {
	table map[edge[S, T]]S
	graph string
}

// compile builds the table from the target state of every permitted trigger in every state. It
// panics if the configuration is not valid.
func compile[S, T comparable](states []S, configure func(*stateless.StateMachine)) *Machine[S, T] {
	m := &Machine[S, T]{table: make(map[edge[S, T]]S)}
	for _, s := range states {
		current := any(s)
		machine := stateless.NewStateMachineWithExternalStorage(
			func(context.Context) (any, error) { return current, nil },
			func(_ context.Context, next any) error { current = next; return nil },
			stateless.FiringImmediate)
		configure(machine)
		m.graph = machine.ToGraph()
		triggers, err := machine.PermittedTriggers()
		if err != nil {
			panic("lifecycle: " + err.Error())
		}
		for _, t := range triggers {
			current = s
			if err := machine.Fire(t); err != nil {
				panic("lifecycle: " + err.Error())
			}
			m.table[edge[S, T]{s, t.(T)}] = current.(S)
		}
	}
	return m
}

// Next returns the state that a trigger leads to, or the unchanged state and ErrNotPermitted.
func (m *Machine[S, T]) Next(from S, trigger T) (S, error) {
	to, ok := m.table[edge[S, T]{from, trigger}]
	if !ok {
		return from, errors.Wrapf(ErrNotPermitted, "trigger %v in state %v", trigger, from)
	}
	return to, nil
}

// Fire sets *state to the target of a trigger, or leaves it and returns ErrNotPermitted.
func (m *Machine[S, T]) Fire(state *S, trigger T) error {
	to, err := m.Next(*state, trigger)
	if err == nil {
		*state = to
	}
	return err
}

// Permits reports whether a state permits a trigger.
func (m *Machine[S, T]) Permits(from S, trigger T) bool {
	_, ok := m.table[edge[S, T]{from, trigger}]
	return ok
}

// Graph returns the state machine in the DOT language of Graphviz, for the documentation.
func (m *Machine[S, T]) Graph() string { return m.graph }
