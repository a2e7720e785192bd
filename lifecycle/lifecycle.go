// Package lifecycle defines the states that jobs, tasks, upstreams and daemons
// pass through, as machines on qmuntal/stateless.
//
// A Machine is shared by all objects of a kind; the state itself is stored in
// the object. The transitions of a machine are compiled into a table once, so
// that a transition costs a map look-up.
package lifecycle

import (
	"context"

	"github.com/pkg/errors"
	"github.com/qmuntal/stateless"
)

// ErrNotPermitted is returned for a trigger that the current state does not permit.
var ErrNotPermitted = errors.New("lifecycle: transition not permitted")

type edge[S, T comparable] struct {
	from    S
	trigger T
}

// Machine is a compiled state machine without a state of its own.
type Machine[S, T comparable] struct {
	table map[edge[S, T]]S
	graph string
}

// compile asks the configured machine for the target of every permitted trigger.
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

// Next returns the state that a trigger leads to, or ErrNotPermitted.
func (m *Machine[S, T]) Next(from S, trigger T) (S, error) {
	to, ok := m.table[edge[S, T]{from, trigger}]
	if !ok {
		return from, errors.Wrapf(ErrNotPermitted, "%v on %v", trigger, from)
	}
	return to, nil
}

// Fire moves *state along a trigger, or returns ErrNotPermitted and leaves it.
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

// Graph returns the machine in the DOT language, for the documentation.
func (m *Machine[S, T]) Graph() string { return m.graph }
