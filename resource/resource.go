// Package resource does arithmetic on amounts in every dimension that a VM offers.
package resource

import (
	"fmt"
	"math"
	"strings"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
)

// Unlimited is the amount of a dimension without an upper limit.
const Unlimited = math.MaxInt64

// Dimension names one component of a Vector.
type Dimension uint8

// Dimensions, in the order in which limits and fits are checked.
const (
	Cores Dimension = iota
	Memory
	Accelerators
	Slots
	Connections
	// NumDimensions is the number of dimensions.
	NumDimensions
)

var dimensionNames = [NumDimensions]string{"cores", "memory", "accelerators", "slots", "connections"}

// String returns the dimension's name.
func (d Dimension) String() string { return dimensionNames[d] }

// Vector is an amount per Dimension: thousandths of a core, bytes, and counts.
type Vector [NumDimensions]int64

// Add returns v + o.
func (v Vector) Add(o Vector) Vector {
	for i := range v {
		v[i] += o[i]
	}
	return v
}

// Sub returns v - o.
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

// FirstOver returns the first dimension in which v exceeds limit; ok is true if there is none.
func (v Vector) FirstOver(limit Vector) (d Dimension, ok bool) {
	for i := range v {
		if v[i] > limit[i] {
			return Dimension(i), false
		}
	}
	return 0, true
}

// Max returns the larger amount per dimension.
func (v Vector) Max(o Vector) Vector {
	for i := range v {
		v[i] = max(v[i], o[i])
	}
	return v
}

// IsZero reports whether every amount is zero.
func (v Vector) IsZero() bool { return v == Vector{} }

// Negative reports whether any amount is below zero.
func (v Vector) Negative() bool {
	for _, a := range v {
		if a < 0 {
			return true
		}
	}
	return false
}

// String lists the non-zero amounts, e.g. "2.5 cores, 512 MiB, 1 slot".
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

// Format renders one amount with its unit.
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

// FromProto converts the public message; nil is the zero Vector.
func FromProto(r *apiv1.Resources) Vector {
	return Vector{r.GetMilliCores(), r.GetMemoryBytes(), r.GetAccelerators(), r.GetSlots(), r.GetConnections()}
}

// Proto converts to the public message.
func (v Vector) Proto() *apiv1.Resources {
	return &apiv1.Resources{MilliCores: v[Cores], MemoryBytes: v[Memory], Accelerators: v[Accelerators],
		Slots: v[Slots], Connections: v[Connections]}
}

// LimitFromProto converts an upper limit; absent dimensions are Unlimited.
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
