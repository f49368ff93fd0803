package checker_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/oriolegw/oriolegw/internal/standin/checker"
	"github.com/shoenig/test/must"
)

// step is one request and its outcome.
type step struct {
	session int
	write   string // the value to write; "" means a read
	strong  bool
	outcome checker.Outcome
	read    string // the value returned by a read
}

func recordSteps(h *checker.History, steps []step) {
	for _, s := range steps {
		var o *checker.Operation
		switch {
		case s.write != "":
			o = h.Write(s.session, "k", s.write)
		case s.strong:
			o = h.StrongRead(s.session, "k")
		default:
			o = h.Read(s.session, "k")
		}
		time.Sleep(time.Millisecond)
		if s.write != "" {
			o.Return(s.outcome)
		} else {
			o.ReturnValue(s.read)
		}
		time.Sleep(time.Millisecond)
	}
}

func TestCheck(t *testing.T) {
	tests := []struct {
		name      string
		steps     []step
		final     string
		guarantee string // the violated guarantee, or ""
	}{
		{"acknowledged write kept", []step{{write: "1", outcome: checker.Acknowledged}}, "1", ""},
		{"acknowledged write lost", []step{{write: "1", outcome: checker.Acknowledged}}, "", checker.GuaranteeDurability},
		{"unknown write kept", []step{{write: "1", outcome: checker.Acknowledged}, {write: "2"}}, "2", ""},
		{"unknown write lost", []step{{write: "1", outcome: checker.Acknowledged}, {write: "2"}}, "1", ""},
		{"write refused as not run is present", []step{{write: "1", outcome: checker.NotRun}}, "1", checker.GuaranteeNotRun},
		{"value never written", nil, "9", checker.GuaranteeDurability},
		{"stale read of another session", []step{{session: 1, write: "1", outcome: checker.Acknowledged}, {session: 2, read: ""}}, "1", ""},
		{"stale read of the same session", []step{{session: 1, write: "1", outcome: checker.Acknowledged}, {session: 1, read: ""}}, "1", checker.GuaranteeReadYourWrites},
		{"unknown write read, then absent", []step{{write: "1"}, {strong: true, read: "1"}, {strong: true, read: ""}}, "1", checker.GuaranteeLinearizability},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := &checker.History{}
				recordSteps(h, append([]step{{read: ""}}, c.steps...))
				found := h.Check(func(string) string { return c.final })
				if c.guarantee == "" {
					must.SliceEmpty(t, found)
					return
				}
				must.SliceNotEmpty(t, found)
				must.Eq(t, c.guarantee, found[0].Guarantee)
			})
		})
	}
}
