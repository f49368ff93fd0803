package networker_test

import (
	"net"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/shoenig/test/must"
)

type wrapped struct{ net.Conn }

func (w wrapped) NetConn() net.Conn { return w.Conn }

// A request written to an idle connection that the target has closed, or on which it has sent
// unsolicited data, would be lost with an unknown outcome.
func TestNoPendingInput(t *testing.T) {
	cases := map[string]func(target net.Conn) error{
		"closed": func(c net.Conn) error { return c.Close() },
		"data":   func(c net.Conn) error { _, err := c.Write([]byte("x")); return err },
	}
	for name, act := range cases {
		t.Run(name, func(t *testing.T) {
			l, err := networker.TCP{}.Listen("127.0.0.1:0")
			must.NoError(t, err)
			defer l.Close()
			c, err := networker.TCP{}.Dial(t.Context(), l.Addr().String())
			must.NoError(t, err)
			defer c.Close()
			target, err := l.Accept()
			must.NoError(t, err)
			defer target.Close()

			must.True(t, networker.NoPendingInput(c))
			must.True(t, networker.NoPendingInput(wrapped{c}))
			must.NoError(t, act(target))
			for networker.NoPendingInput(wrapped{c}) && t.Context().Err() == nil {
				time.Sleep(time.Millisecond) // wait for loopback delivery
			}
			must.False(t, networker.NoPendingInput(c))
		})
	}
}
