package networker

import (
	"net"
	"syscall"
)

// pender is a connection that can tell by itself whether something waits.
type pender interface {
	// Pending reports that data, or the end of the stream, can be read now.
	Pending() bool
}

// wrapper is a connection around another one.
type wrapper interface{ NetConn() net.Conn }

// Quiet reports that nothing can be read from an idle connection: neither data,
// nor its end. A request must not go out on a connection that isn't quiet. One
// that has ended loses the request with an unknown outcome, though the target
// never saw it; one that holds an answer too many would give it to the next
// caller. The look costs one system call and takes nothing from the stream.
func Quiet(c net.Conn) bool {
	for w, ok := c.(wrapper); ok; w, ok = c.(wrapper) {
		c = w.NetConn()
	}
	if p, ok := c.(pender); ok {
		return !p.Pending()
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var b [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
	})
	return err == nil && quiet
}
