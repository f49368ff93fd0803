package launcher

import (
	"syscall"
	"time"
	"unsafe"

	"github.com/oriolegw/oriolegw/internal/tracker"
)

// clockBoottime is CLOCK_BOOTTIME of Linux, which advances while the machine is suspended.
const clockBoottime = 7

// Boottime returns the time since the machine booted, suspensions included. Leases and
// freshness proofs must age during a suspension, in which the monotonic clock of package
// time stops.
func Boottime() tracker.Timestamp {
	var t syscall.Timespec
	if _, _, e := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockBoottime, uintptr(unsafe.Pointer(&t)), 0); e != 0 {
		panic("launcher: read CLOCK_BOOTTIME: " + e.Error())
	}
	return time.Duration(t.Nano())
}
