package main

import (
	"time"

	"golang.org/x/sys/unix"
)

// processorTime returns the processor time used so far by the calling OS thread.
func processorTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts); err != nil {
		panic("bench: cannot read the CPU clock of the thread: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
