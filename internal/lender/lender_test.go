package lender_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/standin/liner"
	"github.com/oriolegw/oriolegw/internal/standin/wirer"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/platform"
	"github.com/shoenig/test/must"
)

// stage is a group and the pools of some instances before it.
type stage struct {
	net   *wirer.Net
	group *liner.Group
	pools []*lender.Pool
}

// play runs a group whose members take few connections, and pools of n instances.
func play(t *testing.T, connections, n int, happens func(t *testing.T, s *stage)) {
	t.Helper()
	playGroup(t, &liner.Group{Connections: connections}, n, happens)
}

// playGroup is play with members as given.
func playGroup(t *testing.T, group *liner.Group, n int, happens func(t *testing.T, s *stage)) {
	t.Helper()
	playShared(t, group, n, 0, happens)
}

// playShared is playGroup with a number of instances that share a member's connections; 0 is
// not known.
func playShared(t *testing.T, group *liner.Group, n, sharers int, happens func(t *testing.T, s *stage)) {
	t.Helper()
	connections := group.Connections
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := &stage{net: wirer.New(1)}
		s.net.Latency = func(_, _ *wirer.Host) time.Duration { return time.Millisecond }
		s.group = group
		s.group.Name, s.group.Net, s.group.Travel, s.group.Promotion, s.group.Work = "g", s.net, time.Millisecond, time.Second, 20*time.Millisecond
		s.group.Start(ctx, "a", "b", "c")
		var running sync.WaitGroup
		begin := time.Now()
		for i := range n {
			g := &tracker.Group{Name: "g", Zone: "a", Near: func(zone string) bool { return zone == "a" }}
			g.Members(s.group.Registered())
			p := &lender.Pool{
				Group: g, Network: s.net.Host(fmt.Sprintf("10.8.0.%d", i+1), "a"), Codec: platform.Lines{},
				Who: "test", Clock: func() tracker.Stamp { return time.Since(begin) + time.Hour },
			}
			if sharers > 0 {
				p.Sharers = func(string, string) int { return sharers }
			}
			p.Configure(connections, nil)
			s.pools = append(s.pools, p)
			running.Go(func() { _ = p.Run(ctx) })
		}
		defer func() {
			cancel()
			running.Wait()
			s.group.Wait()
		}()
		time.Sleep(time.Second)
		happens(t, s)
	})
}

var errNoRoom = errors.New("no room")

func primary() []string { return []string{"g-1"} }

// use borrows a connection to the primary, runs a statement on it and gives it back.
func use(ctx context.Context, p *lender.Pool, priority int, within time.Duration) error {
	c, err := p.Borrow(ctx, lender.Request{Choose: primary, Priority: priority, Until: time.Now().Add(within)})
	if err != nil {
		return err
	}
	p.Group.Sent(c.Member)
	sent := time.Now()
	replies, _, err := c.Exchange([]messenger.Command{{ID: "x", Kind: messenger.KindRead, Text: "FETCH k"}}, sent.Add(time.Second))
	if err == nil {
		p.Group.Answered(p.Clock(), c.Member, time.Since(sent), replies[0].Position)
		if replies[0].Code == messenger.CodeBusy {
			p.NoRoom(c.Member)
			err = errNoRoom
		} else {
			p.Room(c.Member)
		}
	}
	p.Return(c)
	return err
}

// load runs callers of one pool, one statement after the other, and counts.
func load(t *testing.T, p *lender.Pool, callers int, within, lasts time.Duration) (served, refused int) {
	t.Helper()
	var mutex sync.Mutex
	var running sync.WaitGroup
	until := time.Now().Add(lasts)
	for range callers {
		running.Go(func() {
			for time.Now().Before(until) {
				err := use(t.Context(), p, 1, within)
				mutex.Lock()
				if err == nil {
					served++
				} else {
					refused++
				}
				mutex.Unlock()
				if err != nil {
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	running.Wait()
	return served, refused
}

// Saturation: forty callers at one instance before a member that takes six
// connections, of which it may have three. Callers that can't be served in their time
// are told at once rather than held, and the connections are never idle meanwhile.
func TestSaturation(t *testing.T) {
	play(t, 6, 1, func(t *testing.T, s *stage) {
		served, refused := load(t, s.pools[0], 40, 100*time.Millisecond, 5*time.Second)
		must.Greater(t, 600, served) // 3 connections, 22 ms a loan: 680 at most
		must.Greater(t, 0, refused)
		begin := time.Now()
		var waiting sync.WaitGroup
		for range 60 {
			waiting.Go(func() { _ = use(t.Context(), s.pools[0], 1, time.Second) })
		}
		synctest.Wait()
		must.ErrorIs(t, use(t.Context(), s.pools[0], 1, 50*time.Millisecond), lender.ErrFull)
		must.Eq(t, 0, time.Since(begin))
		waiting.Wait()
	})
}

// Uneven callers: one of three instances gets nearly all. It must get more than an
// equal share of the nine connections, within a second, and the others keep theirs.
func TestSharesFollowDemand(t *testing.T) {
	play(t, 12, 3, func(t *testing.T, s *stage) {
		var busy sync.WaitGroup
		busy.Go(func() { load(t, s.pools[0], 20, time.Second, 3*time.Second) })
		time.Sleep(time.Second)
		open, _, _, _ := s.pools[0].Load()
		must.Greater(t, 4, open) // an equal share of the primary
		must.NoError(t, use(t.Context(), s.pools[1], 1, 100*time.Millisecond))
		must.NoError(t, use(t.Context(), s.pools[2], 1, 100*time.Millisecond))
		busy.Wait()
		time.Sleep(time.Second)
		for _, p := range s.pools {
			open, idle, _, _ := p.Load()
			must.LessEq(t, 3, open)
			must.Eq(t, open, idle)
		}
	})
}

// A burst of short work must not open a connection for each request: the one that is
// lent comes back within the time that a new one takes.
func TestShortWorkOpensFew(t *testing.T) {
	play(t, 20, 1, func(t *testing.T, s *stage) {
		must.NoError(t, use(t.Context(), s.pools[0], 1, time.Second))
		_, _, _, before := s.pools[0].Load()
		load(t, s.pools[0], 2, time.Second, 2*time.Second)
		_, _, _, after := s.pools[0].Load()
		must.Eq(t, before, after)
	})
}

// Saturation: thirty instances, each with four callers, before a member with three
// slots. Each loan lasts long because statements wait at the member, so that callers
// wait for connections too; another one for each would be served no sooner, and its
// opening holds a slot longer than a statement does. A third of the work would be lost.
func TestNoConnectionsAddedWhereStatementsWait(t *testing.T) {
	playGroup(t, &liner.Group{Connections: 200, Slots: 3, Queue: 48, Handshake: 27 * time.Millisecond}, 30, func(t *testing.T, s *stage) {
		for _, p := range s.pools {
			must.NoError(t, use(t.Context(), p, 1, time.Second))
		}
		before := s.group.Opened("g-1")
		var mutex sync.Mutex
		var running sync.WaitGroup
		served := 0
		for _, p := range s.pools {
			running.Go(func() {
				n, _ := load(t, p, 4, 300*time.Millisecond, 5*time.Second)
				mutex.Lock()
				defer mutex.Unlock()
				served += n
			})
		}
		running.Wait()
		t.Logf("served %d, opened %d", served, s.group.Opened("g-1")-before)
		must.Less(t, 150, s.group.Opened("g-1")-before)
		must.Greater(t, 600, served) // 750 at most
	})
}

// An instance comes back with callers waiting while openings take long, since all
// instances come back together. Its first connection is the one that serves them; another
// one beside it only takes a slot from somebody's first.
func TestFirstConnectionIsOpenedAlone(t *testing.T) {
	playGroup(t, &liner.Group{Connections: 20, Slots: 3, Queue: 48, Handshake: 300 * time.Millisecond}, 1, func(t *testing.T, s *stage) {
		p := s.pools[0]
		time.Sleep(time.Second)
		s.group.Crash("g-1")
		must.Error(t, use(t.Context(), p, 1, 50*time.Millisecond))
		time.Sleep(time.Second)
		s.group.Return("g-1")
		before := s.group.Opened("g-1")
		var waiting sync.WaitGroup
		for range 5 {
			waiting.Go(func() { _ = use(t.Context(), p, 1, 2*time.Second) })
		}
		time.Sleep(250 * time.Millisecond)
		must.LessEq(t, before+1, s.group.Opened("g-1"))
		waiting.Wait()
	})
}

// Urgent work and other work wait for the same connections: the urgent goes first.
func TestPriority(t *testing.T) {
	play(t, 2, 1, func(t *testing.T, s *stage) {
		must.NoError(t, use(t.Context(), s.pools[0], 1, time.Second))
		var order []int
		var mutex sync.Mutex
		var running sync.WaitGroup
		for _, priority := range []int{2, 2, 2, 0} {
			running.Go(func() {
				must.NoError(t, use(t.Context(), s.pools[0], priority, 5*time.Second))
				mutex.Lock()
				defer mutex.Unlock()
				order = append(order, priority)
			})
			time.Sleep(time.Millisecond)
		}
		running.Wait()
		must.Eq(t, []int{2, 0, 2, 2}, order)
	})
}

// A member that is full refuses connections. Each refusal costs it work, so an
// instance asks again only after a pause that grows.
func TestFullMemberIsNotHammered(t *testing.T) {
	play(t, 2, 3, func(t *testing.T, s *stage) {
		_, _, _, before := s.pools[0].Load()
		load(t, s.pools[0], 20, 200*time.Millisecond, 5*time.Second)
		_, _, _, after := s.pools[0].Load()
		must.Less(t, 40, after-before)
	})
}

// More instances than a member has places: none keeps an idle connection there, so
// that each gets a place when it needs one. Were one kept by each that came first, the
// others would never be served.
func TestMoreInstancesThanPlaces(t *testing.T) {
	play(t, 4, 8, func(t *testing.T, s *stage) {
		time.Sleep(4 * time.Second)
		for range 3 {
			for i, p := range s.pools {
				must.NoError(t, use(t.Context(), p, 1, time.Second), must.Sprint(i))
				time.Sleep(100 * time.Millisecond)
			}
		}
	})
}

// Few callers: an instance uses a member once in several seconds. The member has places
// left, so the connection stays open and no caller pays for a new one, which takes a
// slot for as long as a statement does.
func TestIdleConnectionStaysWhereThereIsRoom(t *testing.T) {
	play(t, 20, 3, func(t *testing.T, s *stage) {
		_, _, _, before := s.pools[0].Load()
		for range 4 {
			time.Sleep(5 * time.Second)
			must.NoError(t, use(t.Context(), s.pools[0], 1, time.Second))
		}
		_, _, _, after := s.pools[0].Load()
		must.Eq(t, before, after)
	})
}

// As above, but other instances hold most of the member's places. The connection is
// given up, so that whoever has work finds a place.
func TestIdleConnectionGoesWherePlacesAreShort(t *testing.T) {
	play(t, 4, 3, func(t *testing.T, s *stage) {
		time.Sleep(2 * time.Second)
		for _, p := range s.pools {
			open, _, _, _ := p.Load()
			must.Less(t, 3, open) // one to each of three members where there is room
		}
	})
}

// A member closes an idle connection. A write on it would have an unknown outcome
// although it never ran: the pool must notice before it lends the connection. The
// network in memory can't be asked whether bytes wait, so here the exchange fails and
// says that it may have been sent.
func TestClosedConnection(t *testing.T) {
	play(t, 20, 1, func(t *testing.T, s *stage) {
		s.group.Crash("g-1")
		err := use(t.Context(), s.pools[0], 1, 100*time.Millisecond)
		must.Error(t, err)
	})
}

// A member crashes behind a cut and starts again under its ID. The connections to its
// earlier life are just silent: a caller's write on one would have an unknown outcome,
// though it never ran. What the member's entry says ends them, and the next statement has
// a connection to the new life.
func TestMemberStartsAgain(t *testing.T) {
	play(t, 20, 1, func(t *testing.T, s *stage) {
		p := s.pools[0]
		for range 5 {
			must.NoError(t, use(t.Context(), p, 1, time.Second))
		}
		borrow := func() *lender.Conn {
			c, err := p.Borrow(t.Context(), lender.Request{Choose: primary, Until: time.Now().Add(time.Second)})
			must.NoError(t, err)
			return c
		}
		lent, spare := borrow(), borrow()
		p.Return(spare)
		s.net.Cut("10.8.0.1", "10.9.1.1")
		s.group.Restart("g-1")
		s.net.HealAll()
		p.Group.Members(s.group.Registered())
		p.Changed()
		p.Return(lent)
		open, idle, _, _ := p.Load()
		must.Eq(t, 2, idle) // to the replicas
		must.Eq(t, 2, open)
		must.NoError(t, use(t.Context(), p, 1, time.Second))
	})
}

// An instance that holds a zone's connections has 23 places at each member. Now and then
// three statements overlap there. The second and third connection wait for the next time;
// closed after each, they are opened again twice a second, and each opening holds one of
// the member's slots. Where an instance's share is two, none waits: others need the places.
func TestOverlappingStatements(t *testing.T) {
	overlap := func(t *testing.T, connections, sharers int) (opened, idle int) {
		playShared(t, &liner.Group{Connections: connections}, 1, sharers, func(t *testing.T, s *stage) {
			p := s.pools[0]
			time.Sleep(time.Second)
			_, _, _, before := p.Load()
			for range 20 {
				var lent []*lender.Conn
				for range 3 {
					c, err := p.Borrow(t.Context(), lender.Request{Choose: primary, Until: time.Now().Add(time.Second)})
					must.NoError(t, err)
					lent = append(lent, c)
				}
				for _, c := range lent {
					p.Return(c)
				}
				time.Sleep(500 * time.Millisecond)
			}
			_, _, _, after := p.Load()
			opened = after - before
			time.Sleep(200 * time.Millisecond)
			_, idle, _, _ = p.Load()
		})
		return opened, idle
	}
	opened, _ := overlap(t, 140, 6)
	must.LessEq(t, 3, opened)
	_, idle := overlap(t, 22, 9)
	must.LessEq(t, 3, idle) // one to each of three members
}

// A caller comes each second, and the member has places left. It is asked for that once in
// a while; asked after each caller has gone, its slots serve as many questions as callers.
func TestRoomIsAskedForSeldom(t *testing.T) {
	play(t, 140, 1, func(t *testing.T, s *stage) {
		p := s.pools[0]
		time.Sleep(time.Second)
		before := len(s.group.Ran("g-1"))
		for range 20 {
			c, err := p.Borrow(t.Context(), lender.Request{Choose: primary, Until: time.Now().Add(time.Second)})
			must.NoError(t, err)
			p.Return(c)
			time.Sleep(time.Second)
		}
		must.LessEq(t, 5, len(s.group.Ran("g-1"))-before) // nothing but questions ran
	})
}
