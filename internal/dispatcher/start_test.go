package dispatcher_test

import (
	"bufio"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// startUnconfigured opens a session while no configuration is known and sends its start message.
// configure lets the configuration come into force.
func (h *harness) startUnconfigured(t *testing.T) (c *client, configure func()) {
	t.Helper()
	known := make(chan struct{})
	h.unconfigured.Store(true)
	h.server.ConfigurationKnown = known
	conn, err := h.net.Host("10.7.2.1", "b").Dial(t.Context(), address)
	must.NoError(t, err)
	fmt.Fprint(conn, "STARTUP strict me\r\n")
	return &client{t: t, conn: conn, reader: bufio.NewReader(conn), name: "c"}, func() {
		h.unconfigured.Store(false)
		close(known)
	}
}

// After a restart of all instances, callers connect before the configuration is known.
func TestStartWaitsForConfiguration(t *testing.T) {
	runHarness(t, 0, func(t *testing.T, h *harness) {
		c, configure := h.startUnconfigured(t)
		time.Sleep(700 * time.Millisecond)
		configure()
		must.Eq(t, "READY I -", c.readLine())
		must.Eq(t, "I", c.query("PUT k v"))
		must.SliceEmpty(t, h.refusals)
	})
}

// Neither the store nor a peer answers: the session is refused before the caller gives up.
func TestStartWithoutConfigurationIsRefused(t *testing.T) {
	runHarness(t, 0, func(t *testing.T, h *harness) {
		begin := time.Now()
		c, _ := h.startUnconfigured(t)
		must.StrHasPrefix(t, "ERROR BUSY no-configuration, not run, retry in ", c.readLine())
		must.Between(t, time.Second, time.Since(begin), 1050*time.Millisecond)
	})
}

// The caller disconnects while its session waits: nothing is run for it.
func TestCallerLeavesWhileStartWaits(t *testing.T) {
	runHarness(t, 0, func(t *testing.T, h *harness) {
		c, configure := h.startUnconfigured(t)
		time.Sleep(100 * time.Millisecond)
		must.NoError(t, c.conn.Close())
		time.Sleep(100 * time.Millisecond)
		configure()
		time.Sleep(100 * time.Millisecond)
		must.Eq(t, 0, h.server.SessionCount())
	})
}

// The instance shuts down before it knows a configuration: new sessions don't wait.
func TestStartDuringShutdown(t *testing.T) {
	runHarness(t, 0, func(t *testing.T, h *harness) {
		h.server.CloseSessions(false)
		begin := time.Now()
		c, _ := h.startUnconfigured(t)
		must.StrHasPrefix(t, "ERROR BUSY no-configuration", c.readLine())
		must.Less(t, 50*time.Millisecond, time.Since(begin))
	})
}
