// Package boottime reads a clock that continues to advance while the machine is suspended.
//
// Go's monotonic clock stops while the machine is suspended. An expired lease or an outdated proof
// of freshness would still appear valid after a suspension of several minutes, and a resumed
// instance would act on outdated state. The wall clock advances during a suspension but jumps when
// it is adjusted.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since boot.
type Clock func() time.Duration

// Now returns the time since the machine booted, including time in suspension. It never decreases.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only for a clock that the kernel does not support. CLOCK_BOOTTIME is
		// supported since Linux 2.6.39.
		panic("boottime: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
