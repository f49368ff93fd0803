package networker

import (
	"net"
	"syscall"
)

// pendingChecker is implemented by connections that can report pending input themselves.
type pendingChecker interface {
	// Pending reports whether data or EOF can be read without blocking.
	Pending() bool
}

// wrapper is implemented by connections that wrap another one.
type wrapper interface{ NetConn() net.Conn }

// NoPendingInput reports whether an idle connection has neither unread data nor EOF. Sending a
// request on any other connection would either lose it with an unknown outcome or deliver a stale
// reply to the next client. It peeks at the socket without consuming input.
func NoPendingInput(c net.Conn) bool {
	for w, ok := c.(wrapper); ok; w, ok = c.(wrapper) {
		c = w.NetConn()
	}
	if p, ok := c.(pendingChecker); ok {
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
	empty := false
	var b [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
	})
	return err == nil && empty
}
