package lease

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock reads CLOCK_BOOTTIME, which goes on while the machine is suspended.
type BootClock struct{}

// Now implements Clock.
func (BootClock) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("lease: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
