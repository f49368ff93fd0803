package replicator_test

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/standin/netsimulator"
	"github.com/oriolegw/oriolegw/internal/standin/replicator"
	"github.com/shoenig/test/must"
)

// testGroup is a group of three members, of which the first is the primary, and a client for control
// statements.
type testGroup struct {
	ctx     context.Context
	t       *testing.T
	net     *netsimulator.Net
	control *commander.Postgres
	members []*replicator.Member
}

func runWithGroup(t *testing.T, run func(g *testGroup)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		g := &testGroup{ctx: ctx, t: t, net: netsimulator.New(1)}
		g.control = &commander.Postgres{Network: g.net.Host("10.0.0.9", "a"), Application: "entry"}
		done := make(chan error)
		for i := range 3 {
			ip := "10.0.0." + strconv.Itoa(i+1)
			m := &replicator.Member{Name: "m" + strconv.Itoa(i+1), Address: ip + ":5432", Network: g.net.Host(ip, "a"), Log: log.NewNopLogger()}
			g.members = append(g.members, m)
			m.Bootstrap(g.members[0].Address)
			go func() { done <- m.Run(ctx) }()
		}
		time.Sleep(time.Second)
		defer func() {
			g.control.Close()
			cancel()
			for range g.members {
				<-done
			}
		}()
		run(g)
	})
}

func (g *testGroup) fence(i int, term uint64, owner string) (commander.Status, error) {
	return g.control.Fence(g.ctx, g.members[i].Address, term, owner)
}

// write commits a row on the primary and reports whether a majority acknowledged it.
func (g *testGroup) write(key string) (acked bool, err error) {
	c, err := commander.Dial(g.ctx, g.control.Network, g.members[0].Address, map[string]string{replicator.ParameterTerm: "1"})
	must.NoError(g.t, err)
	defer c.Close(g.ctx)
	if _, err := c.Exec(g.ctx, "INSERT INTO ledger VALUES ('"+key+"', '1')").ReadAll(); err != nil {
		return false, err
	}
	p := g.members[0].Status().Received
	rows, err := c.Exec(g.ctx, "SELECT oriole_await("+strconv.FormatUint(p.Term, 10)+", "+strconv.FormatUint(p.Offset, 10)+", 500)").ReadAll()
	if err != nil {
		return false, err
	}
	return string(rows[0].Rows[0][0]) == "t", nil
}

func (g *testGroup) mustRefuse(err error) { must.ErrorIs(g.t, err, commander.ErrRefused) }

// Control statements behave as specified in docs/TARGET.md.
func TestControlStatements(t *testing.T) {
	tests := []struct {
		name string
		run  func(g *testGroup)
	}{
		{"a term is granted to one owner", func(g *testGroup) {
			_, err := g.fence(1, 2, "a")
			must.NoError(g.t, err)
			_, err = g.fence(1, 2, "b")
			g.mustRefuse(err)
			_, err = g.fence(1, 1, "a")
			g.mustRefuse(err)
			s, err := g.fence(1, 2, "a")
			must.NoError(g.t, err)
			must.Eq(g.t, commander.RoleFenced, s.Role)
		}},
		{"only the owner of the term promotes, and only fenced members", func(g *testGroup) {
			_, err := g.fence(1, 2, "a")
			must.NoError(g.t, err)
			_, err = g.control.Promote(g.ctx, g.members[1].Address, 2, "b")
			g.mustRefuse(err)
			_, err = g.control.Promote(g.ctx, g.members[2].Address, 2, "a")
			g.mustRefuse(err)
			s, err := g.control.Promote(g.ctx, g.members[1].Address, 2, "a")
			must.NoError(g.t, err)
			must.Eq(g.t, commander.RolePrimary, s.Role)
			must.Eq(g.t, 2, s.Received.Term) // the first entry of the term
		}},
		{"a fenced primary rejects connections of its term", func(g *testGroup) {
			_, err := g.fence(0, 2, "a")
			must.NoError(g.t, err)
			_, err = commander.Dial(g.ctx, g.control.Network, g.members[0].Address, map[string]string{replicator.ParameterTerm: "1"})
			must.ErrorContains(g.t, err, replicator.CodeFenced)
		}},
		{"a write is confirmed by a majority, not by a minority", func(g *testGroup) {
			acked, err := g.write("a")
			must.NoError(g.t, err)
			must.True(g.t, acked)
			for _, i := range []int{1, 2} {
				_, err := g.fence(i, 2, "a")
				must.NoError(g.t, err)
			}
			acked, err = g.write("b")
			must.NoError(g.t, err)
			must.False(g.t, acked)
		}},
		{"a fenced replica discards entries in flight", func(g *testGroup) {
			g.members[1].Faults.SetStreamLag(200 * time.Millisecond)
			_, err := g.write("a")
			must.NoError(g.t, err)
			time.Sleep(50 * time.Millisecond)
			s, err := g.fence(1, 2, "a")
			must.NoError(g.t, err)
			time.Sleep(time.Second)
			must.Eq(g.t, s.Received, g.members[1].Status().Received)
		}},
		{"a fenced primary still streams and confirms its commits", func(g *testGroup) {
			g.members[1].Faults.SetStreamLag(200 * time.Millisecond)
			g.members[2].Faults.SetStreamLag(200 * time.Millisecond)
			done := make(chan bool)
			go func() {
				acked, err := g.write("a")
				done <- acked && err == nil
			}()
			time.Sleep(100 * time.Millisecond)
			s, err := g.fence(0, 2, "a")
			must.NoError(g.t, err)
			must.True(g.t, <-done)
			time.Sleep(time.Second)
			must.Eq(g.t, s.Received, g.members[1].Status().Received)
		}},
		{"replicas report the time since the last heartbeat", func(g *testGroup) {
			s, err := g.control.Status(g.ctx, g.members[1].Address)
			must.NoError(g.t, err)
			must.Between(g.t, 0, s.LastMessageAge, 250*time.Millisecond)
			g.members[0].Faults.Freeze()
			time.Sleep(time.Second)
			s, err = g.control.Status(g.ctx, g.members[1].Address)
			must.NoError(g.t, err)
			must.Greater(g.t, 700*time.Millisecond, s.LastMessageAge)
			g.members[0].Faults.Unfreeze()
		}},
		{"a control statement recovers from an unresponsive connection", func(g *testGroup) {
			_, err := g.control.Status(g.ctx, g.members[1].Address)
			must.NoError(g.t, err)
			g.members[1].BlackholeConnections()
			start := time.Now()
			_, err = g.control.Status(g.ctx, g.members[1].Address)
			must.NoError(g.t, err)
			must.Less(g.t, 300*time.Millisecond, time.Since(start))
		}},
		{"unreachable and unresponsive members are told apart", func(g *testGroup) {
			_, err := g.control.Status(g.ctx, "10.0.0.9:1")
			must.ErrorIs(g.t, err, commander.ErrUnreachable)
			g.members[1].Faults.Freeze()
			_, err = g.control.Status(g.ctx, g.members[1].Address)
			must.ErrorIs(g.t, err, commander.ErrTimeout)
			g.members[1].Faults.Unfreeze()
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { runWithGroup(t, test.run) })
	}
}
