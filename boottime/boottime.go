// Package boottime reads a clock that keeps counting while the machine is
// suspended.
//
// Go's monotonic clock stops while a machine is suspended. A lease or a proof of
// freshness judged by it looks young after minutes of suspension, and the first
// thing an instance would do on waking is to act on what it knew before. The time
// of day counts through a suspension but jumps when it is corrected.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since boot.
type Clock func() time.Duration

// Now returns the time since the machine was booted, suspensions included. It
// never goes back.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call only fails for a clock that the kernel does not know; every
		// kernel since 2.6.39 knows this one.
		panic("boottime: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
