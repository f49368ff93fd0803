package nominator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/nominator"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/shoenig/test/must"
)

const (
	step        = 20 * time.Millisecond
	callTime    = 20 * time.Millisecond
	callTimeout = 300 * time.Millisecond
	tick        = 100 * time.Millisecond
	reportEvery = 500 * time.Millisecond
)

type (
	// fleet simulates instances that select an accountant. Instance 0 has the highest rank.
	fleet struct {
		now   tracker.Timestamp
		nodes []*node
		// link returns whether one instance reaches another now, and whether its address refuses the
		// connection otherwise.
		link func(from, to int) (reached, refused bool)
	}

	node struct {
		n          int
		choice     nominator.Nominator
		accountant string
		// changes are the changes since the last call of takeChanges, the first choice excluded.
		changes []nominator.Choice
		// known are the instances that it knows.
		known []int
		// skew is the offset of its clock.
		skew             time.Duration
		paused           bool
		reportAt, tickAt tracker.Timestamp
		reporting        bool
		calls            []call
	}

	call struct {
		to, endsAt       tracker.Timestamp
		reached, refused bool
		report           bool
	}
)

func newFleet(instances int) *fleet {
	f := &fleet{now: time.Hour, link: func(_, _ int) (bool, bool) { return true, false }}
	for n := range instances {
		f.nodes = append(f.nodes, newNode(n, instances, f.now+time.Duration(n%7)*step))
	}
	return f
}

func newNode(n, instances int, tickAt tracker.Timestamp) *node {
	x := &node{n: n, tickAt: tickAt}
	for k := range instances {
		x.known = append(x.known, k)
	}
	return x
}

func address(n int) string { return fmt.Sprint("i", n) }

// ranked returns the candidates as an instance names them.
func (x *node) ranked() (list []string) {
	for _, k := range slices.Sorted(slices.Values(x.known)) {
		if k == x.n {
			list = append(list, "")
		} else {
			list = append(list, address(k))
		}
	}
	return list
}

func (f *fleet) run(duration time.Duration) {
	for end := f.now + duration; f.now < end; f.now += step {
		for _, x := range f.nodes {
			if !x.paused {
				f.step(x)
			}
		}
	}
}

func (f *fleet) step(x *node) {
	now := f.now + x.skew
	x.calls = slices.DeleteFunc(x.calls, func(c call) bool {
		if c.endsAt > f.now {
			return false
		}
		x.reporting = x.reporting && !c.report
		if c.reached {
			x.choice.RecordAnswer(now, address(int(c.to)))
		} else {
			x.choice.RecordFailure(now, address(int(c.to)), c.refused)
		}
		return true
	})
	if f.now < x.tickAt || x.reporting {
		return
	}
	x.tickAt = f.now + tick
	ranked := x.ranked()
	c := x.choice.Choose(now, ranked)
	if c.Changed && c.Reason != nominator.ReasonStart {
		x.changes = append(x.changes, c)
	}
	x.accountant = c.Address
	if x.accountant == "" {
		x.accountant = address(x.n)
	}
	for _, a := range x.choice.Probes(now, ranked) {
		f.call(x, a, false)
	}
	if c.Address != "" && (f.now >= x.reportAt || x.choice.Failing()) {
		x.reportAt, x.reporting = f.now+reportEvery, true
		f.call(x, c.Address, true)
	}
}

func (f *fleet) call(x *node, to string, report bool) {
	var n int
	_, _ = fmt.Sscanf(to, "i%d", &n)
	reached, refused := f.link(x.n, n)
	reached = reached && !f.nodes[n].paused
	c := call{to: tracker.Timestamp(n), endsAt: f.now + callTime, reached: reached, refused: refused, report: report}
	if !reached && !refused {
		c.endsAt = f.now + callTimeout
	}
	x.calls = append(x.calls, c)
}

// mustChange checks that each of the instances has changed its accountant as often as given since the
// last check, and has the given one now.
func (f *fleet) mustChange(t *testing.T, times int, accountant int, instances ...int) {
	t.Helper()
	for _, n := range instances {
		x := f.nodes[n]
		must.Len(t, times, x.changes, must.Sprintf("instance %d at %s", n, f.now))
		must.Eq(t, address(accountant), x.accountant, must.Sprintf("instance %d", n))
		x.changes = nil
	}
}

func (f *fleet) all() (list []int) {
	for n := range f.nodes {
		list = append(list, n)
	}
	return list
}

// cut separates the instances for which left returns true from the others.
func (f *fleet) cut(left func(n int) bool) (lost, kept []int) {
	f.link = func(from, to int) (bool, bool) { return left(from) == left(to), false }
	for n := range f.nodes {
		if left(n) == left(0) {
			kept = append(kept, n)
		} else {
			lost = append(lost, n)
		}
	}
	return lost, kept
}

func (f *fleet) heal() { f.link = func(_, _ int) (bool, bool) { return true, false } }

// Guards against several accountants in turn on the side of a partition that lost the accountant, and
// any change on the other side; the same when the partition ends.
func TestPartitionCausesOneChange(t *testing.T) {
	for name, left := range map[string]func(n int) bool{
		"half":              func(n int) bool { return n < 36 },
		"alternating":       func(n int) bool { return n%2 == 0 },
		"first twelve away": func(n int) bool { return n < 12 },
		"one alone":         func(n int) bool { return n == 0 },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(71)
			f.run(5 * time.Second)
			f.mustChange(t, 0, 0, f.all()...)
			lost, kept := f.cut(left)
			f.run(2 * time.Second)
			f.mustChange(t, 1, lost[0], lost...)
			f.run(5 * time.Second)
			f.mustChange(t, 0, lost[0], lost...)
			f.mustChange(t, 0, 0, kept...)
			f.heal()
			f.run(5 * time.Second)
			f.mustChange(t, 1, 0, lost...)
			f.mustChange(t, 0, 0, kept...)
		})
	}
}

// Guards against more than one change when the accountant dies, with its machine or alone, and when
// it is back.
func TestAccountantDies(t *testing.T) {
	for _, refused := range []bool{false, true} {
		t.Run(fmt.Sprint("refused ", refused), func(t *testing.T) {
			f := newFleet(24)
			f.run(5 * time.Second)
			f.link = func(from, to int) (bool, bool) { return to != 0, to == 0 && refused }
			f.nodes[0].paused = true
			f.run(1500 * time.Millisecond)
			f.mustChange(t, 1, 1, f.all()[1:]...)
			f.run(30 * time.Second)
			f.mustChange(t, 0, 1, f.all()[1:]...)
			f.heal()
			f.nodes[0] = newNode(0, 24, f.now)
			f.run(6 * time.Second)
			f.mustChange(t, 1, 0, f.all()[1:]...)
		})
	}
}

// Guards against a frozen instance that, when it resumes, takes the calls that failed meanwhile for
// failures of others, and against more than one change in each direction by the others.
func TestAccountantFreezesAndResumes(t *testing.T) {
	for _, noticed := range []bool{true, false} {
		t.Run(fmt.Sprint("its clock went on ", noticed), func(t *testing.T) {
			f := newFleet(24)
			f.run(5 * time.Second)
			f.nodes[0].paused, f.nodes[5].paused = true, true
			f.run(4 * time.Second)
			f.nodes[0].paused, f.nodes[5].paused = false, false
			if !noticed {
				f.nodes[0].skew, f.nodes[5].skew = -4*time.Second, -4*time.Second
			}
			f.run(4 * time.Second)
			f.mustChange(t, 0, 0, 0, 5)
			others := slices.DeleteFunc(f.all(), func(n int) bool { return n == 0 || n == 5 })
			f.mustChange(t, 2, 0, others...)
		})
	}
}

// Guards against a change at each interruption if the accountant is reachable and unreachable in
// turn.
func TestAccountantAlternatelyReachable(t *testing.T) {
	for _, period := range []time.Duration{400 * time.Millisecond, time.Second, 1800 * time.Millisecond} {
		t.Run(period.String(), func(t *testing.T) {
			f := newFleet(24)
			f.run(5 * time.Second)
			start := f.now
			f.link = func(from, to int) (bool, bool) {
				return from != 0 && to != 0 || (f.now-start)/period%2 == 1, false
			}
			f.run(time.Minute)
			for _, x := range f.nodes[1:] {
				must.LessEq(t, 1, len(x.changes))
			}
			must.SliceEmpty(t, f.nodes[0].changes)
		})
	}
}

// Guards against accountants in turn after a restart of all instances, which know few others at
// first.
func TestAllInstancesRestart(t *testing.T) {
	f := newFleet(71)
	for n, x := range f.nodes {
		x.known = []int{n, (n + 1) % 71, (n + 20) % 71, (n + 40) % 71}
	}
	f.run(300 * time.Millisecond)
	for _, x := range f.nodes {
		x.known = f.all()
	}
	f.run(time.Second)
	for _, x := range f.nodes {
		must.Eq(t, address(0), x.accountant)
		must.LessEq(t, 1, len(x.changes))
	}
	f.run(time.Minute)
	for _, x := range f.nodes {
		must.Eq(t, address(0), x.accountant)
		must.LessEq(t, 1, len(x.changes))
	}
}

// Guards against decisions that compare the clocks of two instances.
func TestClockSkew(t *testing.T) {
	f := newFleet(24)
	for n, x := range f.nodes {
		x.skew = time.Duration(n-12) * 3 * time.Minute
	}
	f.run(5 * time.Second)
	f.mustChange(t, 0, 0, f.all()...)
	lost, kept := f.cut(func(n int) bool { return n < 12 })
	f.run(2 * time.Second)
	f.mustChange(t, 1, 12, lost...)
	f.mustChange(t, 0, 0, kept...)
}

// Guards against a change to a lower candidate just before a higher one may take over.
func TestTakeoverWaitsForHighest(t *testing.T) {
	f := newFleet(24)
	f.run(3 * time.Second)
	f.cut(func(n int) bool { return n < 2 })
	f.run(5 * time.Second)
	f.link = func(from, to int) (bool, bool) { return from != 0 && to != 0 || from == to, false }
	f.run(1500 * time.Millisecond)
	f.heal()
	f.run(5 * time.Second)
	f.mustChange(t, 2, 0, f.all()[2:]...)
}

// Guards against keeping an accountant that is no candidate any more, such as this instance while it
// is draining, and against choosing one without an answer.
func TestLeavesFormerCandidate(t *testing.T) {
	var n nominator.Nominator
	now := tracker.Timestamp(time.Hour)
	must.Eq(t, "", n.Choose(now, []string{"", "i1", "i2"}).Address)
	must.Eq(t, "", n.Choose(now, []string{"i1", "i2"}).Address)
	must.Eq(t, []string{"i1", "i2"}, n.Probes(now, []string{"i1", "i2"}))
	n.RecordFailure(now, "i1", false)
	n.RecordAnswer(now, "i2")
	c := n.Choose(now+100*time.Millisecond, []string{"i1", "i2"})
	must.Eq(t, nominator.Choice{Address: "i2", Changed: true, Reason: nominator.ReasonNotCandidate, ReachableFor: 1}, c)
}
