package lender_test

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/platform"
	"github.com/shoenig/test/must"
)

// startEchoMember starts a member on a TCP socket that completes every command. Each accepted
// connection is sent to taken.
func startEchoMember(t *testing.T) (address string, taken chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	taken = make(chan struct{}, 16)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			taken <- struct{}{}
			go func() {
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				for reply := "READY I 1.1\r\n"; ; reply = "COMPLETE -\r\nREADY I 1.1\r\n" {
					if _, err := in.ReadString('\n'); err != nil {
						return
					}
					if _, err := c.Write([]byte(reply)); err != nil {
						return
					}
				}
			}()
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-ended
	})
	return l.Addr().String(), taken
}

// Guards against taking an idle connection for a closed one because the deadline of its last
// exchange has passed, which would open a connection for each caller.
func TestExpiredDeadlineKeepsIdleConnection(t *testing.T) {
	address, taken := startEchoMember(t)
	g := &tracker.Group{Name: "g", Zone: "a", SameRegion: func(string) bool { return true }}
	g.SetMembers([]tracker.Member{{ID: "g-1", Group: "g", Address: address, Zone: "a", Slots: 3}})
	p := &lender.Pool{
		Group: g, Network: networker.TCP{}, Codec: platform.LineCodec{}, ClientName: "test",
		Clock: func() tracker.Timestamp { return time.Hour },
	}
	// Run is not called: it would close connections that idle for too long.
	c, err := lender.Connect(t.Context(), networker.TCP{}, platform.LineCodec{}, tracker.Member{ID: "g-1", Group: "g", Address: address}, "test")
	must.NoError(t, err)
	<-taken
	deadline := time.Now().Add(50 * time.Millisecond)
	_, _, err = c.Exchange([]messenger.Command{{Kind: messenger.KindStatus}}, deadline)
	must.NoError(t, err)
	p.Return(c)
	time.Sleep(time.Until(deadline) + time.Millisecond)

	again, err := p.Borrow(t.Context(), lender.Request{EligibleMembers: primary, Deadline: time.Now().Add(time.Second)})
	must.NoError(t, err)
	must.Eq(t, c, again)
	must.Eq(t, 0, len(taken))
	again.Close()
}
