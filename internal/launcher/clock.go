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

// ProcessorTime returns the processor time that this process has used, 0 if it is unknown.
func ProcessorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
