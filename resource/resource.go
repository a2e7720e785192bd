// Package resource implements vectors of resource amounts: cores, memory, accelerators, slots and
// connections. They describe what a VM offers, what a task needs and what a team may use.
package resource

import (
	"fmt"
	"math"
	"strings"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
)

// Unlimited is the limit of a dimension that has no upper bound.
const Unlimited = math.MaxInt64

// Dimension identifies one component of a Vector.
type Dimension uint8

// The dimensions, in the order in which limits and fits are checked.
const (
	// Cores is processor time, in thousandths of a core.
	Cores Dimension = iota
	// Memory is main memory, in bytes.
	Memory
	// Accelerators is a number of accelerators, such as GPUs.
	Accelerators
	// Slots is a number of task slots.
	Slots
	// Connections is a number of connections.
	Connections
	// NumDimensions is the number of dimensions.
	NumDimensions
)

var dimensionNames = [NumDimensions]string{"cores", "memory", "accelerators", "slots", "connections"}

// String returns the lower-case name of the dimension, such as "cores".
func (d Dimension) String() string { return dimensionNames[d] }

// Vector holds one amount per Dimension: cores in thousandths of a core, memory in bytes, the others
// as counts.
type Vector [NumDimensions]int64

// Add returns the sum v + o per dimension. It does not check for overflow.
func (v Vector) Add(o Vector) Vector {
	for i := range v {
		v[i] += o[i]
	}
	return v
}

// Sub returns the difference v - o per dimension, which may be negative.
func (v Vector) Sub(o Vector) Vector {
	for i := range v {
		v[i] -= o[i]
	}
	return v
}

// Fits reports whether v is at most limit in every dimension.
func (v Vector) Fits(limit Vector) bool {
	_, ok := v.FirstOver(limit)
	return ok
}

// FirstOver returns the first dimension in which v exceeds limit. If there is none, v fits: ok is
// true and d is meaningless.
func (v Vector) FirstOver(limit Vector) (d Dimension, ok bool) {
	for i := range v {
		if v[i] > limit[i] {
			return Dimension(i), false
		}
	}
	return 0, true
}

// Max returns the larger amount of v and o per dimension.
func (v Vector) Max(o Vector) Vector {
	for i := range v {
		v[i] = max(v[i], o[i])
	}
	return v
}

// IsZero reports whether every amount is zero.
func (v Vector) IsZero() bool { return v == Vector{} }

// HasNegative reports whether any amount is below zero.
func (v Vector) HasNegative() bool {
	for _, a := range v {
		if a < 0 {
			return true
		}
	}
	return false
}

// String lists the non-zero amounts, such as "2.5 cores, 512 MiB, 1 slot", or returns "nothing" if
// all are zero.
func (v Vector) String() string {
	var parts []string
	for i, a := range v {
		if a != 0 {
			parts = append(parts, Format(Dimension(i), a))
		}
	}
	if len(parts) == 0 {
		return "nothing"
	}
	return strings.Join(parts, ", ")
}

// Format renders one amount with its unit, such as "2.5 cores" or "1 slot". Memory is rounded towards
// zero to whole MiB.
func Format(d Dimension, amount int64) string {
	const mebibyte = 1 << 20
	switch d {
	case Cores:
		if amount == 1000 {
			return "1 core"
		}
		return fmt.Sprintf("%g cores", float64(amount)/1000)
	case Memory:
		return fmt.Sprintf("%d MiB", amount/mebibyte)
	}
	name := dimensionNames[d]
	if amount == 1 {
		name = strings.TrimSuffix(name, "s")
	}
	return fmt.Sprintf("%d %s", amount, name)
}

// FromProto converts amounts from the message of the public API. A nil message gives the zero
// Vector.
func FromProto(r *apiv1.Resources) Vector {
	return Vector{r.GetMilliCores(), r.GetMemoryBytes(), r.GetAccelerators(), r.GetSlots(), r.GetConnections()}
}

// Proto converts v to the message of the public API.
func (v Vector) Proto() *apiv1.Resources {
	return &apiv1.Resources{MilliCores: v[Cores], MemoryBytes: v[Memory], Accelerators: v[Accelerators],
		Slots: v[Slots], Connections: v[Connections]}
}

// LimitFromProto converts an upper limit from the message of the public API. Absent dimensions, or
// all of them if l is nil, are Unlimited.
func LimitFromProto(l *apiv1.Limit) Vector {
	v := Vector{Unlimited, Unlimited, Unlimited, Unlimited, Unlimited}
	if l == nil {
		return v
	}
	for i, p := range []*int64{l.MilliCores, l.MemoryBytes, l.Accelerators, l.Slots, l.Connections} {
		if p != nil {
			v[i] = *p
		}
	}
	return v
}
