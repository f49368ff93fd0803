package launcher_test

import (
	"strings"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/dispatcher"
	"github.com/oriolegw/oriolegw/internal/explainer"
	"github.com/shoenig/test/must"
)

// mustExplain returns the explanation of a request from the fleet's log, which must have the
// given reason.
func (f *fleet) mustExplain(id string, reason dispatcher.Reason) *explainer.Explanation {
	time.Sleep(3 * time.Second)
	x, err := explainer.Explain(strings.NewReader(f.log.String()), id)
	must.NoError(f.t, err)
	must.SliceContainsFunc(f.t, x.Reasons, reason, func(r dispatcher.ReasonText, want dispatcher.Reason) bool { return r.Reason == want })
	return x
}

// hasContextLine reports whether a log line in the context of the request has these fields.
func hasContextLine(x *explainer.Explanation, fields ...string) bool {
	for _, l := range x.Context {
		all := true
		for i := 0; i < len(fields); i += 2 {
			all = all && l.Fields[fields[i]] == fields[i+1]
		}
		if all {
			return true
		}
	}
	return false
}

// The log alone must explain the failures that docs/OPERATIONS.md shows.
func TestExplainFailures(t *testing.T) {
	t.Run("refused while the primary is down", func(t *testing.T) {
		runFleet(t, func(f *fleet) {
			i := f.start("10.5.0.1", "a")
			time.Sleep(3 * time.Second)
			query := f.openSession(i, "strict")
			must.Eq(t, "I", query("PUT k v"))
			f.group.Crash("g-1")
			time.Sleep(100 * time.Millisecond)
			must.Eq(t, "BUSY I", query("PUT k w"))
			x := f.mustExplain("c1-2", dispatcher.ReasonNoConnection)
			must.True(t, hasContextLine(x, "event", "connect-failed", "member", "g-1"))
			must.True(t, hasContextLine(x, "event", "move-begins", "group", "g", "primary", "g-1"))
		})
	})
	t.Run("outcome unknown after a lost response", func(t *testing.T) {
		runFleet(t, func(f *fleet) {
			i := f.start("10.5.0.1", "a")
			time.Sleep(3 * time.Second)
			query := f.openSession(i, "strict")
			f.group.DropWriteResponses("g-1", 1)
			must.Eq(t, "INDOUBT I", query("PUT k v"))
			x := f.mustExplain("c1-1", dispatcher.ReasonOutcomeUnknown)
			must.False(t, hasContextLine(x, "event", "move-begins"))
			must.True(t, hasContextLine(x, "event", "observed", "member", "g-1", "answered", "true", "primary", "true"))
		})
	})
	t.Run("retried while the replicas lag", func(t *testing.T) {
		runFleet(t, func(f *fleet) {
			f.group.ApplyLag = 4 * time.Second
			i := f.start("10.5.0.1", "b")
			time.Sleep(3 * time.Second)
			strict, own := f.openSession(i, "strict"), f.openSession(i, "own")
			must.Eq(t, "I", strict("PUT k v"))
			time.Sleep(3 * time.Second)
			must.Eq(t, "v I", own("FETCH k"))
			x := f.mustExplain("c2-1", "behind")
			must.True(t, hasContextLine(x, "event", "observed", "primary", "false", "lag-ms", "4000"))
		})
	})
}
