package checker_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/oriolegw/oriolegw/internal/standin/checker"
	"github.com/shoenig/test/must"
)

// step is one request from its sending to its answer, which takes 1 ms.
type step struct {
	session int
	write   string // the value written; "" is a read
	strong  bool
	outcome checker.Outcome
	read    string
}

func play(h *checker.History, steps []step) {
	for _, s := range steps {
		var o *checker.Op
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
		name    string
		steps   []step
		final   string
		promise string // "" when all holds
	}{
		{"acknowledged write stays", []step{{write: "1", outcome: checker.Done}}, "1", ""},
		{"acknowledged write lost", []step{{write: "1", outcome: checker.Done}}, "", checker.PromiseAcknowledged},
		{"unknown write kept", []step{{write: "1", outcome: checker.Done}, {write: "2"}}, "2", ""},
		{"unknown write lost", []step{{write: "1", outcome: checker.Done}, {write: "2"}}, "1", ""},
		{"not run, yet there", []step{{write: "1", outcome: checker.NotRun}}, "1", checker.PromiseNotRun},
		{"never written", nil, "9", checker.PromiseAcknowledged},
		{"stale read of another session", []step{{session: 1, write: "1", outcome: checker.Done}, {session: 2, read: ""}}, "1", ""},
		{"stale read of its own session", []step{{session: 1, write: "1", outcome: checker.Done}, {session: 1, read: ""}}, "1", checker.PromiseOwnWork},
		{"unknown write seen, then not", []step{{write: "1"}, {strong: true, read: "1"}, {strong: true, read: ""}}, "1", checker.PromiseRegister},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := &checker.History{}
				play(h, append([]step{{read: ""}}, c.steps...))
				found := h.Check(func(string) string { return c.final })
				if c.promise == "" {
					must.SliceEmpty(t, found)
					return
				}
				must.SliceNotEmpty(t, found)
				must.Eq(t, c.promise, found[0].Promise)
			})
		})
	}
}
