package concentrator_test

import (
	"math"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/concentrator"
	"github.com/shoenig/test/must"
)

// moverFleet replays an instance of 134 millicores that holds the connections to two members, and one
// of 800. own, large and work are the loads in millicores of the small one's callers, of the large one,
// and of the connections, which moves with them.
type moverFleet struct {
	mover                        concentrator.Mover
	now, peersUnchanged, loadAge time.Duration
	own, large, load             float64
	gone                         bool
	last                         concentrator.Move
	moves                        int
}

// run decides every 0.5 s and returns the number of moves so far.
func (f *moverFleet) run(duration time.Duration) int {
	for until := f.now + duration; f.now < until; f.now += 500 * time.Millisecond {
		s := concentrator.Situation{PeersUnchanged: f.peersUnchanged, Available: func(string) bool { return !f.gone }}
		small, large := f.own, f.large
		for member, work := range map[string]float64{"g-1": 40, "g-2": 20} {
			if f.mover.HandedOver(member) {
				large += work
				continue
			}
			small += work
			s.Holdings = append(s.Holdings, concentrator.Holding{Member: member, Work: work / 100})
		}
		for i := range s.Holdings {
			s.Holdings[i].Next = concentrator.Instance{Name: "large", Millicores: 800, Load: large / 800, LoadAge: f.loadAge}
		}
		f.load = small / 134
		s.Self = concentrator.Instance{Name: "small", Millicores: 134, Load: f.load}
		if m, ok := f.mover.Decide(f.now, s); ok {
			f.last = m
			f.moves++
		}
	}
	return f.moves
}

func newMoverFleet() *moverFleet {
	return &moverFleet{now: time.Hour, own: 30, large: 100, peersUnchanged: time.Minute}
}

// Guards against a small instance that uses most of its processor for connections that it holds,
// several moves at once, and connections without a holder when the new one dies.
func TestSmallInstanceHandsOver(t *testing.T) {
	f := newMoverFleet()
	must.Eq(t, 1, f.run(time.Minute))
	must.Eq(t, "g-1", f.last.Member)
	must.Less(t, 0.5, f.load)
	f.gone = true
	must.Eq(t, 2, f.run(500*time.Millisecond))
	must.True(t, f.last.TakeBack)
	f = newMoverFleet()
	f.own = 80
	must.Eq(t, 1, f.run(2*time.Second))
	must.Eq(t, 2, f.run(2*time.Second))
}

// Guards against moves that alternate while the load swings around the threshold for 20 minutes.
func TestMovesAreBounded(t *testing.T) {
	f := newMoverFleet()
	for n := range 80 {
		f.own = 60 * float64(n%2)
		f.run(15 * time.Second)
	}
	must.Between(t, 2, f.moves, 24)
}

// While peers come and go, without a peer that has spare capacity, or with unknown, old or invalid
// loads, nothing moves.
func TestNoMove(t *testing.T) {
	for name, prepare := range map[string]func(f *moverFleet){
		"peers change":          func(f *moverFleet) { f.peersUnchanged = time.Second },
		"peer is loaded":        func(f *moverFleet) { f.large = 330 },
		"load is unknown":       func(f *moverFleet) { f.large = 0 },
		"load is old":           func(f *moverFleet) { f.loadAge = 6 * time.Second },
		"load is future":        func(f *moverFleet) { f.loadAge = -time.Second },
		"load is no number":     func(f *moverFleet) { f.large = math.NaN() },
		"load is negative":      func(f *moverFleet) { f.large = -100 },
		"own load is no number": func(f *moverFleet) { f.own = math.NaN() },
	} {
		f := newMoverFleet()
		prepare(f)
		must.Eq(t, 0, f.run(time.Minute), must.Sprint(name))
	}
}
