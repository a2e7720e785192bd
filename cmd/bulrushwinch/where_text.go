package main

import (
	"fmt"
	"time"

	"github.com/bulrushwinch/bulrushwinch/dispatch"
)

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// coresOf converts thousandths of a core.
func coresOf(milli int64) float64 { return float64(milli) / 1000 }

func needsText(n dispatch.WhereNeeds) string {
	return fmt.Sprintf("%.1f cores, %d MiB, %d GPUs", coresOf(n.MilliCores), n.MemoryMiB, n.GPUs)
}

// limitText is like needsText, where zero means no limit.
func limitText(n dispatch.WhereNeeds) string {
	if n == (dispatch.WhereNeeds{}) {
		return "no limit"
	}
	return "a limit of " + needsText(n)
}

func upstreamText(u dispatch.WhereUpstream) string {
	return fmt.Sprintf("%s (failure domain %s, rack %s): %s free before, run time x%.2f", u.ID, orDash(u.FailureDomain), orDash(u.Rack), needsText(u.Free), u.Slowness)
}
