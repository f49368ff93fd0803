package replicator_test

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/standin/replicator"
	"github.com/oriolegw/oriolegw/internal/standin/wirer"
	"github.com/shoenig/test/must"
)

// bench is a group of three members, the first of them the primary, and what
// gives them orders.
type bench struct {
	ctx     context.Context
	t       *testing.T
	net     *wirer.Net
	orders  *commander.Postgres
	members []*replicator.Member
}

func onBench(t *testing.T, play func(b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := &bench{ctx: ctx, t: t, net: wirer.New(1)}
		b.orders = &commander.Postgres{Network: b.net.Host("10.0.0.9", "a"), Application: "entry"}
		ended := make(chan error)
		for i := range 3 {
			ip := "10.0.0." + strconv.Itoa(i+1)
			m := &replicator.Member{Name: "m" + strconv.Itoa(i+1), Address: ip + ":5432", Network: b.net.Host(ip, "a"), Log: log.NewNopLogger()}
			b.members = append(b.members, m)
			m.Bootstrap(b.members[0].Address)
			go func() { ended <- m.Run(ctx) }()
		}
		time.Sleep(time.Second)
		defer func() {
			b.orders.Close()
			cancel()
			for range b.members {
				<-ended
			}
		}()
		play(b)
	})
}

func (b *bench) fence(i int, term uint64, owner string) (commander.Status, error) {
	return b.orders.Fence(b.ctx, b.members[i].Address, term, owner)
}

// write commits one row on the primary and returns what a majority says of it.
func (b *bench) write(key string) (held bool, err error) {
	c, err := commander.Dial(b.ctx, b.orders.Network, b.members[0].Address, map[string]string{replicator.ParameterTerm: "1"})
	must.NoError(b.t, err)
	defer c.Close(b.ctx)
	if _, err := c.Exec(b.ctx, "INSERT INTO ledger VALUES ('"+key+"', '1')").ReadAll(); err != nil {
		return false, err
	}
	p := b.members[0].Status().Received
	rows, err := c.Exec(b.ctx, "SELECT oriole_await("+strconv.FormatUint(p.Term, 10)+", "+strconv.FormatUint(p.Offset, 10)+", 500)").ReadAll()
	if err != nil {
		return false, err
	}
	return string(rows[0].Rows[0][0]) == "t", nil
}

func (b *bench) refused(err error) { must.ErrorIs(b.t, err, commander.ErrRefused) }

// What a target must do with the control statements (docs/TARGET.md).
func TestControlStatements(t *testing.T) {
	tests := []struct {
		name string
		play func(b *bench)
	}{
		{"a term is granted to one owner", func(b *bench) {
			_, err := b.fence(1, 2, "a")
			must.NoError(b.t, err)
			_, err = b.fence(1, 2, "b")
			b.refused(err)
			_, err = b.fence(1, 1, "a")
			b.refused(err)
			s, err := b.fence(1, 2, "a")
			must.NoError(b.t, err)
			must.Eq(b.t, commander.RoleFenced, s.Role)
		}},
		{"only the owner of the term promotes, and only whom it fenced", func(b *bench) {
			_, err := b.fence(1, 2, "a")
			must.NoError(b.t, err)
			_, err = b.orders.Promote(b.ctx, b.members[1].Address, 2, "b")
			b.refused(err)
			_, err = b.orders.Promote(b.ctx, b.members[2].Address, 2, "a")
			b.refused(err)
			s, err := b.orders.Promote(b.ctx, b.members[1].Address, 2, "a")
			must.NoError(b.t, err)
			must.Eq(b.t, commander.RolePrimary, s.Role)
			must.Eq(b.t, 2, s.Received.Term) // the term opens with an entry of its own
		}},
		{"a fenced primary runs no work of its term", func(b *bench) {
			_, err := b.fence(0, 2, "a")
			must.NoError(b.t, err)
			_, err = commander.Dial(b.ctx, b.orders.Network, b.members[0].Address, map[string]string{replicator.ParameterTerm: "1"})
			must.ErrorContains(b.t, err, replicator.CodeFenced)
		}},
		{"a majority confirms, a minority does not", func(b *bench) {
			held, err := b.write("a")
			must.NoError(b.t, err)
			must.True(b.t, held)
			for _, i := range []int{1, 2} {
				_, err := b.fence(i, 2, "a")
				must.NoError(b.t, err)
			}
			held, err = b.write("b")
			must.NoError(b.t, err)
			must.False(b.t, held)
		}},
		{"a fenced replica stores nothing that was on its way", func(b *bench) {
			b.members[1].Faults.SetStreamLag(200 * time.Millisecond)
			_, err := b.write("a")
			must.NoError(b.t, err)
			time.Sleep(50 * time.Millisecond)
			s, err := b.fence(1, 2, "a")
			must.NoError(b.t, err)
			time.Sleep(time.Second)
			must.Eq(b.t, s.Received, b.members[1].Status().Received)
		}},
		{"a fenced primary still sends and confirms what it had committed", func(b *bench) {
			b.members[1].Faults.SetStreamLag(200 * time.Millisecond)
			b.members[2].Faults.SetStreamLag(200 * time.Millisecond)
			done := make(chan bool)
			go func() {
				held, err := b.write("a")
				done <- held && err == nil
			}()
			time.Sleep(100 * time.Millisecond)
			s, err := b.fence(0, 2, "a")
			must.NoError(b.t, err)
			must.True(b.t, <-done)
			time.Sleep(time.Second)
			must.Eq(b.t, s.Received, b.members[1].Status().Received)
		}},
		{"replicas tell how long ago they heard the primary", func(b *bench) {
			s, err := b.orders.Status(b.ctx, b.members[1].Address)
			must.NoError(b.t, err)
			must.Between(b.t, 0, s.LastMessageAge, 250*time.Millisecond)
			b.members[0].Faults.Freeze()
			time.Sleep(time.Second)
			s, err = b.orders.Status(b.ctx, b.members[1].Address)
			must.NoError(b.t, err)
			must.Greater(b.t, 700*time.Millisecond, s.LastMessageAge)
			b.members[0].Faults.Thaw()
		}},
		{"an order meets a silent connection", func(b *bench) {
			_, err := b.orders.Status(b.ctx, b.members[1].Address)
			must.NoError(b.t, err)
			b.members[1].SilenceOpen()
			began := time.Now()
			_, err = b.orders.Status(b.ctx, b.members[1].Address)
			must.NoError(b.t, err)
			must.Less(b.t, 300*time.Millisecond, time.Since(began))
		}},
		{"nothing serves, or nothing answers", func(b *bench) {
			_, err := b.orders.Status(b.ctx, "10.0.0.9:1")
			must.ErrorIs(b.t, err, commander.ErrUnreachable)
			b.members[1].Faults.Freeze()
			_, err = b.orders.Status(b.ctx, b.members[1].Address)
			must.ErrorIs(b.t, err, commander.ErrTimeout)
			b.members[1].Faults.Thaw()
		}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) { onBench(t, c.play) })
	}
}
