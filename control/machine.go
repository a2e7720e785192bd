package control

import (
	"bytes"

	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/state"
	"google.golang.org/protobuf/proto"
)

// Machine adapts a State to replica.Machine.
type Machine struct {
	State *state.State
}

// Apply implements replica.Machine.
func (m Machine) Apply(data []byte) []state.Result {
	batch := &peerv1.Batch{}
	if err := proto.Unmarshal(data, batch); err != nil {
		panic("control: committed entry can't be decoded: " + err.Error())
	}
	return m.State.Apply(batch)
}

// Snapshot implements replica.Machine.
func (m Machine) Snapshot() []byte { return m.State.Snapshot() }

// Restore implements replica.Machine.
func (m Machine) Restore(data []byte) error { return m.State.Restore(bytes.NewReader(data)) }
