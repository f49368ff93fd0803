package launcher_test

import (
	"strings"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/dispatcher"
	"github.com/oriolegw/oriolegw/internal/explainer"
	"github.com/shoenig/test/must"
)

// mustExplain returns what the fleet's log tells of a request, whose lines must name a
// reason.
func (f *fleet) mustExplain(id string, reason dispatcher.Reason) *explainer.Explanation {
	time.Sleep(3 * time.Second)
	x, err := explainer.Explain(strings.NewReader(f.log.String()), id)
	must.NoError(f.t, err)
	must.SliceContainsFunc(f.t, x.Reasons, reason, func(r dispatcher.ReasonText, want dispatcher.Reason) bool { return r.Reason == want })
	return x
}

// tells reports whether a line around the request has these fields.
func tells(x *explainer.Explanation, fields ...string) bool {
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

// From the log alone it can be told why a request failed: the three kinds that
// docs/OPERATIONS.md shows.
func TestExplained(t *testing.T) {
	t.Run("refused while the primary is gone", func(t *testing.T) {
		play(t, func(f *fleet) {
			i := f.start("10.5.0.1", "a")
			time.Sleep(3 * time.Second)
			ask := f.call(i, "strict")
			must.Eq(t, "I", ask("PUT k v"))
			f.group.Crash("g-1")
			time.Sleep(100 * time.Millisecond)
			must.Eq(t, "BUSY I", ask("PUT k w"))
			x := f.mustExplain("c1-2", dispatcher.ReasonNoConnection)
			must.True(t, tells(x, "event", "connect-failed", "member", "g-1"))
			must.True(t, tells(x, "event", "move-begins", "group", "g", "primary", "g-1"))
		})
	})
	t.Run("outcome unknown, the answer was lost", func(t *testing.T) {
		play(t, func(f *fleet) {
			i := f.start("10.5.0.1", "a")
			time.Sleep(3 * time.Second)
			ask := f.call(i, "strict")
			f.group.LoseAnswers("g-1", 1)
			must.Eq(t, "INDOUBT I", ask("PUT k v"))
			x := f.mustExplain("c1-1", dispatcher.ReasonOutcomeUnknown)
			must.False(t, tells(x, "event", "move-begins"))
			must.True(t, tells(x, "event", "observed", "member", "g-1", "answered", "true", "primary", "true"))
		})
	})
	t.Run("tried again, the replicas are late", func(t *testing.T) {
		play(t, func(f *fleet) {
			f.group.Lag = 4 * time.Second
			i := f.start("10.5.0.1", "b")
			time.Sleep(3 * time.Second)
			w, r := f.call(i, "strict"), f.call(i, "own")
			must.Eq(t, "I", w("PUT k v"))
			time.Sleep(3 * time.Second)
			must.Eq(t, "v I", r("FETCH k"))
			x := f.mustExplain("c2-1", "behind")
			must.True(t, tells(x, "event", "observed", "primary", "false", "lag-ms", "4000"))
		})
	})
}
