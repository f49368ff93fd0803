package launcher

import (
	"syscall"
	"time"
	"unsafe"

	"github.com/oriolegw/oriolegw/internal/tracker"
)

// clockBoottime is Linux's clock that goes on while the machine is suspended.
const clockBoottime = 7

// Boottime is the time since the machine's start, suspensions included. A lease or
// a proof of leadership that was taken before a suspension must look its true age
// after it; the monotonic clock of package time stands still meanwhile.
func Boottime() tracker.Timestamp {
	var t syscall.Timespec
	if _, _, e := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockBoottime, uintptr(unsafe.Pointer(&t)), 0); e != 0 {
		panic("launcher: no clock that counts suspensions: " + e.Error())
	}
	return time.Duration(t.Nano())
}
