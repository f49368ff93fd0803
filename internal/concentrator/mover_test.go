package concentrator_test

import (
	"math"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/concentrator"
	"github.com/shoenig/test/must"
)

// moverFleet replays a small and a large instance. The work that connections cause moves with them.
type moverFleet struct {
	mover concentrator.Mover
	now   time.Duration
	// own and work are the load in millicores of the small instance's own callers, and of the
	// connections by member; large is that of the large instance.
	own, large float64
	work       map[string]float64
	// peersUnchanged, loadAge and available are the other inputs.
	peersUnchanged, loadAge time.Duration
	gone                    bool
	moves                   []concentrator.Move
}

const smallMillicores, largeMillicores = 134, 800

func newMoverFleet() *moverFleet {
	return &moverFleet{now: time.Hour, own: 30, large: 100, work: map[string]float64{"g-1": 40, "g-2": 20}, peersUnchanged: time.Minute}
}

// load returns the loads of both instances.
func (f *moverFleet) load() (small, large float64) {
	small, large = f.own, f.large
	for member, w := range f.work {
		if f.mover.HandedOver(member) {
			large += w
		} else {
			small += w
		}
	}
	return small / smallMillicores, large / largeMillicores
}

// run decides every 0.5 s.
func (f *moverFleet) run(duration time.Duration) {
	for until := f.now + duration; f.now < until; f.now += 500 * time.Millisecond {
		small, large := f.load()
		s := concentrator.Situation{
			Self: concentrator.Instance{Name: "small", Millicores: smallMillicores, Load: small}, PeersUnchanged: f.peersUnchanged,
			Available: func(string) bool { return !f.gone },
		}
		for member, w := range f.work {
			if !f.mover.HandedOver(member) {
				s.Holdings = append(s.Holdings, concentrator.Holding{
					Member: member, Work: w / (small * smallMillicores),
					Next: concentrator.Instance{Name: "large", Millicores: largeMillicores, Load: large, LoadAge: f.loadAge},
				})
			}
		}
		if m, ok := f.mover.Decide(f.now, s); ok {
			f.moves = append(f.moves, m)
		}
	}
}

// Guards against a small instance that uses most of its processor for connections that it holds.
func TestSmallInstanceHandsOver(t *testing.T) {
	f := newMoverFleet()
	f.run(2 * time.Second)
	small, _ := f.load()
	must.Less(t, 0.5, small)
	must.SliceLen(t, 1, f.moves)
	must.Eq(t, "g-1", f.moves[0].Member)
	f.run(time.Minute)
	must.SliceLen(t, 1, f.moves) // taking it back would exceed the target
}

// Guards against moves that alternate while the load swings around the threshold.
func TestMovesAreBounded(t *testing.T) {
	f := newMoverFleet()
	for range 40 {
		f.own = 60
		f.run(15 * time.Second)
		f.own = 0
		f.run(15 * time.Second)
	}
	must.Between(t, 2, len(f.moves), 24)
}

// A burst of work must not move several members' connections at once.
func TestOneMoveIn2s(t *testing.T) {
	f := newMoverFleet()
	f.own = 80
	f.run(2 * time.Second)
	must.SliceLen(t, 1, f.moves)
	f.run(2 * time.Second)
	must.SliceLen(t, 2, f.moves)
}

// While peers come and go, for example after a restart of all instances, nothing moves.
func TestNoMoveWhilePeersChange(t *testing.T) {
	f := newMoverFleet()
	f.peersUnchanged = time.Second
	f.run(time.Minute)
	must.SliceEmpty(t, f.moves)
}

// The new holder dies: this instance takes the connections back at once.
func TestNewHolderDies(t *testing.T) {
	f := newMoverFleet()
	f.run(time.Second)
	must.SliceLen(t, 1, f.moves)
	f.gone = true
	f.run(500 * time.Millisecond)
	must.SliceLen(t, 2, f.moves)
	must.True(t, f.moves[1].TakeBack)
}

// Without a peer that has spare capacity, or with unknown, old or invalid loads, nothing moves.
func TestNoMoveWithoutKnownSpareCapacity(t *testing.T) {
	cases := map[string]func(f *moverFleet){
		"peer is loaded": func(f *moverFleet) { f.large = 330 },
		"peer's load is unknown": func(f *moverFleet) {
			f.large = 0
		},
		"peer's load is old":        func(f *moverFleet) { f.loadAge = 6 * time.Second },
		"peer's load is future":     func(f *moverFleet) { f.loadAge = -time.Second },
		"peer's load is no number":  func(f *moverFleet) { f.large = math.NaN() },
		"peer's load is negative":   func(f *moverFleet) { f.large = -100 },
		"own load is not a number":  func(f *moverFleet) { f.own = math.NaN() },
		"own load is below the bar": func(f *moverFleet) { f.own = 0 },
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			f := newMoverFleet()
			prepare(f)
			f.run(time.Minute)
			must.SliceEmpty(t, f.moves)
		})
	}
}
