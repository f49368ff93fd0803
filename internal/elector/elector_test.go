package elector_test

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oriolegw/oriolegw/internal/elector"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/internal/watcher"
	"github.com/shoenig/test/must"
)

// holder is one instance that wants the duty.
type holder struct {
	elector *elector.Elector
	duty    atomic.Pointer[elector.Duty]
	cancel  context.CancelFunc
	ended   chan error
}

func startHolder(ctx context.Context, m *storer.Memory, name string, clock func() tracker.Stamp, turn func(group, last string) int) *holder {
	return startHolderInTouch(ctx, m, name, clock, turn, nil)
}

func startHolderInTouch(ctx context.Context, m *storer.Memory, name string, clock func() tracker.Stamp, turn func(group, last string) int, inTouch func() bool) *holder {
	ctx, cancel := context.WithCancel(ctx)
	h := &holder{cancel: cancel, ended: make(chan error, 2)}
	h.elector = &elector.Elector{
		Store: m, Clock: clock, Name: name, Groups: func() []string { return []string{"g"} }, Turn: turn, InTouch: inTouch,
		Keep: func(ctx context.Context, _ string, d *elector.Duty) error {
			h.duty.Store(d)
			<-ctx.Done()
			return ctx.Err()
		},
		Log: func(...any) {},
	}
	go func() { h.ended <- h.elector.Run(ctx) }()
	w := &watcher.Watcher{
		Source: m, InForce: 3 * time.Second, Clock: clock, DutyPrefix: elector.DutyPrefix, ConfigurationKey: "configuration", MemberPrefix: "member/",
		Members: func([]tracker.Member) {}, Duty: h.elector.Saw, Log: func(...any) {},
	}
	go func() { h.ended <- w.Run(ctx) }()
	return h
}

func (h *holder) holds() bool {
	d := h.duty.Load()
	return d != nil && d.Holds(0)
}

func playDuty(t *testing.T, happens func(t *testing.T, m *storer.Memory, a, b *holder)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		m, begin := storer.NewMemory(), time.Now()
		clock := func() tracker.Stamp { return time.Since(begin) + time.Hour }
		a, b := startHolder(ctx, m, "a", clock, nil), startHolder(ctx, m, "b", clock, nil)
		time.Sleep(3 * time.Second)
		defer func() {
			cancel()
			for _, h := range []*holder{a, b} {
				<-h.ended
				<-h.ended
			}
		}()
		happens(t, m, a, b)
	})
}

// Two instances see a duty that nobody has: one takes it and keeps it.
func TestOneHolder(t *testing.T) {
	playDuty(t, func(t *testing.T, m *storer.Memory, a, b *holder) {
		for range 100 {
			must.NotEq(t, a.holds(), b.holds())
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// The holder ends: the other one has the duty at once, under a higher fence.
func TestHolderEnds(t *testing.T) {
	playDuty(t, func(t *testing.T, m *storer.Memory, a, b *holder) {
		first, other := a, b
		if b.holds() {
			first, other = b, a
		}
		before, err := first.duty.Load().Fence(t.Context(), elector.Facts{})
		must.NoError(t, err)
		first.cancel()
		time.Sleep(500 * time.Millisecond)
		must.False(t, first.holds())
		must.True(t, other.holds())
		after, err := other.duty.Load().Fence(t.Context(), elector.Facts{})
		must.NoError(t, err)
		must.Greater(t, before, after)
	})
}

// The store is away for longer than the lease. The holder must stop to act before the
// lease can have run out there; when the store is back, one has the duty again.
func TestStoreAway(t *testing.T) {
	playDuty(t, func(t *testing.T, m *storer.Memory, a, b *holder) {
		m.SetFaults(func(f *storer.Faults) { f.Down = true })
		time.Sleep(2500 * time.Millisecond)
		must.False(t, a.holds())
		must.False(t, b.holds())
		m.SetFaults(func(f *storer.Faults) { f.Down = false })
		m.Lapse()
		time.Sleep(3 * time.Second)
		must.NotEq(t, a.holds(), b.holds())
	})
}

// While the store is away for a moment, the fence of the last record serves for one
// order; not for another when that got no answer.
func TestFenceWithoutStore(t *testing.T) {
	playDuty(t, func(t *testing.T, m *storer.Memory, a, b *holder) {
		d := a.duty.Load()
		if !a.holds() {
			d = b.duty.Load()
		}
		lead := elector.Lead{ID: "m", Born: 7, Term: 3}
		fence, err := d.Fence(t.Context(), elector.Facts{Members: map[string]string{"m": "10.0.0.1:1"}, Open: true, Lead: lead})
		must.NoError(t, err)
		m.SetFaults(func(f *storer.Faults) { f.Down = true })
		again, err := d.Fence(t.Context(), elector.Facts{Open: true})
		must.NoError(t, err)
		must.Eq(t, fence, again)
		d.Spend()
		_, err = d.Fence(t.Context(), elector.Facts{Open: true})
		must.Error(t, err)
		must.Eq(t, elector.Facts{Members: map[string]string{"m": "10.0.0.1:1"}, Open: true, Lead: lead}, d.Facts())
	})
}

// The call that takes a duty takes effect and its answer is lost. The instance finds
// its own record in the store; if it did not act on it, nobody ever would, as its lease
// is renewed: the group would have no keeper for good.
func TestTakingWithoutAnswer(t *testing.T) {
	playDuty(t, func(t *testing.T, m *storer.Memory, a, b *holder) {
		m.SetFaults(func(f *storer.Faults) { f.LoseAnswers = 2 })
		m.Lapse()
		time.Sleep(4 * time.Second)
		must.NotEq(t, a.holds(), b.holds())
	})
}

// counted counts the renewals that reach the store.
type counted struct {
	*storer.Memory
	renewals atomic.Int64
}

func (c *counted) KeepAlive(ctx context.Context, l storer.Lease) error {
	c.renewals.Add(1)
	return c.Memory.KeepAlive(ctx, l)
}

// Twenty instances want one duty. Those that came too late have a lease with nothing on
// it: renewed, it costs the store a call each 0.7 s from every instance for as long as
// the fleet runs. The one that has the duty renews, and keeps it.
func TestOnlyHoldersRenew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		store, begin := &counted{Memory: storer.NewMemory()}, time.Now()
		clock := func() tracker.Stamp { return time.Since(begin) + time.Hour }
		var held atomic.Int64
		ended := make(chan error, 20)
		for i := range 20 {
			e := &elector.Elector{
				Store: store, Clock: clock, Name: string(rune('a' + i)), Groups: func() []string { return []string{"g"} }, Log: func(...any) {},
				Keep: func(ctx context.Context, _ string, _ *elector.Duty) error {
					held.Add(1)
					defer held.Add(-1)
					<-ctx.Done()
					return ctx.Err()
				},
			}
			// None hears of the others: each finds out by its own try.
			go func() { ended <- e.Run(ctx) }()
		}
		time.Sleep(20 * time.Second)
		must.Eq(t, 1, held.Load())
		must.Less(t, 40, store.renewals.Load()) // 28 by the holder alone, 542 by all
		cancel()
		for range 20 {
			<-ended
		}
	})
}

// Somebody else has written into the duty's record, once what is no record and once one
// that names nobody. The holder goes on, with the roster that it had; when it dies, the
// duty is taken all the same, and the roster of members that may hold acknowledged
// commits is not forgotten.
func TestForeignDutyRecord(t *testing.T) {
	for _, value := range []string{"nonsense", "{}", `{"holder": 7}`} {
		t.Run(value, func(t *testing.T) {
			playDuty(t, func(t *testing.T, m *storer.Memory, a, b *holder) {
				h, other := a, b
				if b.holds() {
					h, other = b, a
				}
				_, err := h.duty.Load().Fence(t.Context(), elector.Facts{Members: map[string]string{"g-1": "10.0.0.1:1"}})
				must.NoError(t, err)
				now, err := m.Get(t.Context(), elector.DutyPrefix+"g")
				must.NoError(t, err)
				now.Value = []byte(value)
				_, ok, err := m.Swap(t.Context(), now, 0)
				must.NoError(t, err)
				must.True(t, ok)
				time.Sleep(time.Second)
				must.True(t, h.holds())
				must.Eq(t, []string{"g-1"}, other.elector.Roster("g"))
				h.cancel()
				time.Sleep(4 * time.Second)
				must.True(t, other.holds())
				must.Eq(t, map[string]string{"g-1": "10.0.0.1:1"}, other.duty.Load().Facts().Members)
			})
		})
	}
}

// Two hundred instances, of which the holder of a duty dies, and later the next one with
// those that come after it. Each time another has the duty soon; the store, which callers'
// configuration comes from as well, gets a few calls for it and not two from each instance.
func TestTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 200
		ctx, cancel := context.WithCancel(context.Background())
		m, begin := storer.NewMemory(), time.Now()
		clock := func() tracker.Stamp { return time.Since(begin) + time.Hour }
		var all []*holder
		for n := range instances {
			name := fmt.Sprint("h", n)
			all = append(all, startHolder(ctx, m, name, clock, func(_, last string) int {
				if last == name {
					return instances
				}
				return n
			}))
		}
		time.Sleep(3 * time.Second)
		holder := func() int { return slices.IndexFunc(all, (*holder).holds) }
		for _, others := range []int{0, 3} {
			dead := holder()
			before := m.Calls()
			for _, h := range all[dead : dead+1+others] {
				h.cancel()
			}
			time.Sleep(4 * time.Second)
			next := holder()
			must.Between(t, dead+others+1, next, dead+others+4)
			after := m.Calls()
			must.LessEq(t, 20, after["grant"]+after["swap"]-before["grant"]-before["swap"])
		}
		cancel()
		for _, h := range all {
			<-h.ended
			<-h.ended
		}
	})
}

// The store is away while a duty has no holder, for minutes. Nobody asks it for the duty
// in vain, and when it is back they take their turns: their waits had all passed.
func TestNobodyTriesWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		m, begin := storer.NewMemory(), time.Now()
		clock := func() tracker.Stamp { return time.Since(begin) + time.Hour }
		var away atomic.Bool
		away.Store(true)
		h := startHolderInTouch(ctx, m, "a", clock, func(string, string) int { return 2 }, func() bool { return !away.Load() })
		time.Sleep(time.Minute)
		must.Eq(t, 0, m.Calls()["grant"])
		away.Store(false)
		time.Sleep(400 * time.Millisecond)
		must.False(t, h.holds())
		time.Sleep(400 * time.Millisecond)
		must.True(t, h.holds())
		cancel()
		<-h.ended
		<-h.ended
	})
}
