package pipeline

import (
	"math"

	pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"
)

// Resources is an amount of CPU, memory and GPUs.
type Resources struct {
	// MilliCores is CPU in thousandths of a core.
	MilliCores int64
	// MemoryMiB is memory in MiB.
	MemoryMiB int64
	// GPUs is a number of whole GPUs.
	GPUs int64
}

// ResourcesFromProto returns the amount that a message holds; nil gives zero.
func ResourcesFromProto(r *pipelinev1.Resources) Resources {
	return Resources{r.GetMilliCores(), r.GetMemoryMib(), r.GetGpus()}
}

// Plus returns r + o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCores + o.MilliCores, r.MemoryMiB + o.MemoryMiB, r.GPUs + o.GPUs}
}

// Minus returns r - o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.MilliCores - o.MilliCores, r.MemoryMiB - o.MemoryMiB, r.GPUs - o.GPUs}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int64) Resources {
	return Resources{r.MilliCores * n, r.MemoryMiB * n, r.GPUs * n}
}

// Share returns a share of r, rounded up, so that what is above zero stays so.
func (r Resources) Share(of float64) Resources {
	part := func(x int64) int64 { return int64(math.Ceil(of * float64(x))) }
	return Resources{part(r.MilliCores), part(r.MemoryMiB), part(r.GPUs)}
}

// Fits reports whether r is at most o in each dimension.
func (r Resources) Fits(o Resources) bool {
	return r.MilliCores <= o.MilliCores && r.MemoryMiB <= o.MemoryMiB && r.GPUs <= o.GPUs
}

// WithinLimit reports whether r is at most limit in each dimension; zero in a dimension of limit means
// no limit there.
func (r Resources) WithinLimit(limit Resources) bool {
	return within(r.MilliCores, limit.MilliCores) && within(r.MemoryMiB, limit.MemoryMiB) && within(r.GPUs, limit.GPUs)
}

func within(used, limit int64) bool { return limit == 0 || used <= limit }

// FitCount returns how many times need fits into r, but at most limit. It is never negative.
func (r Resources) FitCount(need Resources, limit int) int {
	n := int64(limit)
	for _, d := range [...][2]int64{{r.MilliCores, need.MilliCores}, {r.MemoryMiB, need.MemoryMiB}, {r.GPUs, need.GPUs}} {
		if d[1] > 0 {
			n = min(n, d[0]/d[1])
		}
	}
	return int(max(n, 0))
}
