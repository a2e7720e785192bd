package lease

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock is the Clock that reads CLOCK_BOOTTIME, which also advances while the machine is suspended.
type BootClock struct{}

// Now returns the time since boot. It panics if the kernel does not provide CLOCK_BOOTTIME.
func (BootClock) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("lease: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
