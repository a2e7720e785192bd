package pipeline

import pipelinev1 "github.com/bulrushwinch/bulrushwinch/pipeline/v1"

// Resources is an amount in each dimension that an upstream offers.
type Resources struct {
	MilliCores int64
	MemoryMiB  int64
	GPUs       int64
}

// ResourcesFromProto converts the message; nil is zero.
func ResourcesFromProto(r *pipelinev1.Resources) Resources {
	return Resources{r.GetMilliCores(), r.GetMemoryMib(), r.GetGpus()}
}

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCores + o.MilliCores, r.MemoryMiB + o.MemoryMiB, r.GPUs + o.GPUs}
}

// Minus returns the difference.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.MilliCores - o.MilliCores, r.MemoryMiB - o.MemoryMiB, r.GPUs - o.GPUs}
}

// Times returns the n-fold amount.
func (r Resources) Times(n int64) Resources {
	return Resources{r.MilliCores * n, r.MemoryMiB * n, r.GPUs * n}
}

// Fits reports whether r is at most o in each dimension.
func (r Resources) Fits(o Resources) bool {
	return r.MilliCores <= o.MilliCores && r.MemoryMiB <= o.MemoryMiB && r.GPUs <= o.GPUs
}

// Within reports whether r is at most limit; zero in a dimension of the limit means no limit.
func (r Resources) Within(limit Resources) bool {
	return within(r.MilliCores, limit.MilliCores) && within(r.MemoryMiB, limit.MemoryMiB) && within(r.GPUs, limit.GPUs)
}

func within(used, limit int64) bool { return limit == 0 || used <= limit }

// Count returns how many times need fits into r, at most most.
func (r Resources) Count(need Resources, most int) int {
	n := int64(most)
	for _, d := range [...][2]int64{{r.MilliCores, need.MilliCores}, {r.MemoryMiB, need.MemoryMiB}, {r.GPUs, need.GPUs}} {
		if d[1] > 0 {
			n = min(n, d[0]/d[1])
		}
	}
	return int(max(n, 0))
}
