package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	apiv1 "github.com/bulrushwinch/bulrushwinch/api/bulrushwinch/v1"
	"github.com/bulrushwinch/bulrushwinch/daemon"
)

// standInFlags are the flags that describe stand-in upstreams. The default capacity of each is
// that of an upstream in the deployments that use this program.
type standInFlags struct {
	address, keyFile, domains string
	count                     int
	cores, memoryGiB          int64
	slots, connections        int64
	runTime                   time.Duration
}

func (v *standInFlags) bind(f *flag.FlagSet) {
	f.StringVar(&v.address, "address", daemon.DevPublicAddress, "with -standin: comma-separated `addresses` of entries")
	f.StringVar(&v.keyFile, "key-file", "", "with -standin: `file` that holds an upstream's key")
	f.StringVar(&v.domains, "domains", "", "with -standin: comma-separated failure `domains`")
	f.IntVar(&v.count, "count", 6, "with -standin: `number` of upstreams")
	f.Int64Var(&v.cores, "cores", 64, "with -standin: cores of each upstream")
	f.Int64Var(&v.memoryGiB, "memory", 256, "with -standin: memory of each upstream in `GiB`")
	f.Int64Var(&v.slots, "slots", 8, "with -standin: slots of each upstream")
	f.Int64Var(&v.connections, "connections", 64, "with -standin: connections of each upstream")
	f.DurationVar(&v.runTime, "run-time", 300*time.Millisecond, "with -standin: `time` that a task takes")
}

func (v *standInFlags) run(ctx context.Context) int {
	key, err := os.ReadFile(v.keyFile)
	if err != nil || v.domains == "" || v.count < 1 {
		fmt.Fprintln(os.Stderr, "-standin needs a readable -key-file, -domains and a positive -count")
		return exitUsage
	}
	const milli, gibibyte = 1000, 1 << 30
	return report(daemon.StandIns{Addresses: strings.Split(v.address, ","), Key: strings.TrimSpace(string(key)), Count: v.count,
		Domains: strings.Split(v.domains, ","), RunTime: v.runTime, Capacity: &apiv1.Resources{MilliCores: v.cores * milli,
			MemoryBytes: v.memoryGiB * gibibyte, Slots: v.slots, Connections: v.connections}}.Run(ctx))
}
