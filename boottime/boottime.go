// Package boottime reads a clock that continues while the VM is suspended.
//
// The monotonic clock of package time stops during a suspension, so information that was
// known to be current before a suspension would look fresh after the suspension. Therefore
// the age of such information is measured with this clock.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM was booted, including suspensions. The values of two
// processes on one VM can be compared, those of two VMs cannot.
func Now() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		// The clock exists on every supported kernel. If it didn't, the time since the
		// start of the process would still order events.
		return time.Since(processStart)
	}
	return time.Duration(at.Nano())
}

var processStart = time.Now()
