// Package boottime reads a clock that goes on while the VM is suspended.
//
// The steady clock of package time stands still during a suspension, so a belief
// that was confirmed before one would look fresh after it. Ages of beliefs are
// therefore measured on this clock.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM has booted, suspensions included.
func Now() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		// The clock exists on every supported kernel. The steady clock still
		// orders events where it does not.
		return time.Since(start)
	}
	return time.Duration(at.Nano())
}

var start = time.Now()
