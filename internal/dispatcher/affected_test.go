package dispatcher_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/tabulator"
	"github.com/shoenig/test/must"
)

// Guards against refused and late statements that operators can't see by class and cause.
func TestAffectedStatementsAreCounted(t *testing.T) {
	runHarness(t, 0, func(t *testing.T, h *harness) {
		var mutex sync.Mutex
		var got []tabulator.Key
		h.server.RecordAffected = func(k tabulator.Key) {
			mutex.Lock()
			defer mutex.Unlock()
			got = append(got, k)
		}
		last := func() tabulator.Key {
			mutex.Lock()
			defer mutex.Unlock()
			must.Positive(t, len(got))
			return got[len(got)-1]
		}
		c := h.connect(t, "strict")
		must.Eq(t, "I", c.query("PUT k v"))
		must.SliceEmpty(t, got)
		h.group.StatementTime = 450 * time.Millisecond
		must.Eq(t, "I", c.query("PUT k late"))
		must.Eq(t, tabulator.Key{Kind: tabulator.Late, Cause: "member"}, last())
		h.group.Crash("g-1")
		time.Sleep(100 * time.Millisecond)
		must.Eq(t, "BUSY I", c.query("PUT k refused"))
		must.Eq(t, tabulator.Refused, last().Kind)
		must.True(t, strings.HasPrefix(last().Cause, "no-connection/"), must.Sprint(last()))
		must.Eq(t, "MALFORMED I", c.query("COMMIT"))
		must.Eq(t, tabulator.Key{Class: tabulator.ClassUnknown, Cause: "malformed"}, last())
	})
}
