package main

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/oriolegw/oriolegw/internal/publisher"
	"github.com/oriolegw/oriolegw/internal/reporter"
	"github.com/shoenig/test/must"
)

const sampleService = "lockers-west"

// serveInstance serves the pages of an instance with the state that the test supplies.
func serveInstance(t *testing.T, state func() reporter.State, drain func()) (address string) {
	s := httptest.NewServer((&reporter.Pages{State: state, Drain: drain}).Handler())
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func stateWithPrimary(name string) reporter.State {
	return reporter.State{
		Instance: "entry-burnie", Zone: "burnie", Version: 4,
		Groups: []reporter.GroupState{{Service: sampleService, Term: 2, Primary: name}},
	}
}

func TestStatus(t *testing.T) {
	ct := newCLITest(t)
	a := serveInstance(t, func() reporter.State { return stateWithPrimary("lockers-west-1") }, nil)
	ct.expect(exitOK, "instance entry-burnie in burnie, ready, configuration version 4", "status", "-instances", a)
	ct.expect(exitOK, "service lockers-west: term 2, primary lockers-west-1", "status", "-whole", "-instances", a)
	ct.expect(exitFailed, "1 instances did not respond", "status", "-instances", a+",127.0.0.1:1")
}

func TestDrainInstance(t *testing.T) {
	ct := newCLITest(t)
	drained := 0
	a := serveInstance(t, func() reporter.State { return stateWithPrimary("") }, func() { drained++ })
	ct.expect(exitOK, "leaving", "drain", "-instance", a)
	must.Eq(t, 1, drained)
	ct.expect(exitFailed, "can't be drained", "drain", "-instance", serveInstance(t, func() reporter.State { return stateWithPrimary("") }, nil))
}

// The primary is marked as leaving until a new primary is observed. The mark is
// removed afterwards, also if the switchover fails.
func TestSwitch(t *testing.T) {
	for name, c := range map[string]struct {
		switches bool
		timeout  string
		code     int
		output   string
	}{
		"new primary": {true, "30s", exitOK, "primary lockers-west-2, was lockers-west-1"},
		"timeout":     {false, "300ms", exitFailed, "member lockers-west-1 is still the primary"},
	} {
		t.Run(name, func(t *testing.T) {
			ct := newCLITest(t)
			ct.expect(exitOK, "accepted", "publish", "-platform", "x", "-seen", "0", sampleDocument)
			leaving := func() bool { return ct.isLeaving("lockers-west-1") }
			a := serveInstance(t, func() reporter.State {
				if c.switches && leaving() {
					return stateWithPrimary("lockers-west-2")
				}
				return stateWithPrimary("lockers-west-1")
			}, nil)
			ct.expect(c.code, c.output, "switch", "-timeout", c.timeout, "-platform", "x", "-service", sampleService, "-instance", a)
			must.False(t, leaving())
		})
	}
}

func (ct *cliTest) isLeaving(member string) bool {
	store, _ := ct.terminal.openStore("x")
	now, err := (&publisher.Publisher{Store: store}).Current(context.Background())
	if err != nil || now.Document == nil {
		return false
	}
	for _, m := range now.Document.Service(sampleService).Members {
		if m.Name == member {
			return m.Leaving
		}
	}
	return false
}
