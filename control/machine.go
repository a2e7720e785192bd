package control

import (
	"io"

	peerv1 "github.com/bulrushwinch/bulrushwinch/peer/v1"
	"github.com/bulrushwinch/bulrushwinch/state"
	"google.golang.org/protobuf/proto"
)

// Machine implements replica.Machine on a State.
type Machine struct {
	// State is the replicated state that entries are applied to.
	State *state.State
}

// Apply implements replica.Machine. It panics on an entry that can't be decoded, since the
// replicas would diverge.
func (m Machine) Apply(data []byte) []state.Result {
	batch := &peerv1.Batch{}
	if err := proto.Unmarshal(data, batch); err != nil {
		panic("control: committed entry can't be decoded: " + err.Error())
	}
	return m.State.Apply(batch)
}

// Capture implements replica.Machine.
func (m Machine) Capture() func(io.Writer) error { return m.State.Capture() }

// Restore implements replica.Machine.
func (m Machine) Restore(r io.Reader) error { return m.State.Restore(r) }
