package exchanger_test

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/oriolegw/oriolegw/internal/exchanger"
	"github.com/oriolegw/oriolegw/internal/linker"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
	"github.com/oriolegw/oriolegw/internal/standin/netsimulator"
	"github.com/shoenig/test/must"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
)

const ownerAddress = "10.0.0.1:1"

type (
	registerFunc func(*drpcmux.Mux, *linker.Session) error

	// earlierNeighbours is the service of instances without RenewLeases, its last call.
	earlierNeighbours struct {
		wire.DRPCNeighboursDescription
	}

	// replyingServer sends a given reply for leases.
	replyingServer struct {
		wire.DRPCNeighboursUnimplementedServer
		reply *wire.LeaseReply
	}

	// asker is an instance that can request leases from the owner.
	asker struct {
		*exchanger.Exchanger
		net  *netsimulator.Net
		host *netsimulator.Host
	}
)

func (d earlierNeighbours) NumMethods() int { return d.DRPCNeighboursDescription.NumMethods() - 1 }

func (s *replyingServer) RenewLeases(context.Context, *wire.LeaseRequest) (*wire.LeaseReply, error) {
	return s.reply, nil
}

// withOwner runs f with an instance and an owner with the given services.
func withOwner(t *testing.T, register registerFunc, f func(*testing.T, asker)) {
	synctest.Test(t, func(t *testing.T) {
		n := netsimulator.New(1)
		ctx, cancel := context.WithCancel(context.Background())
		s := &linker.Server{
			Address: ownerAddress, Network: n.Host("10.0.0.1", "a"), Secrets: scaleKey, Versions: linker.CurrentVersions,
			Log: log.NewNopLogger(), Count: func(string) {}, Register: register,
		}
		ended := make(chan error, 1)
		go func() { ended <- s.Run(ctx) }()
		synctest.Wait()
		y := asker{newExchanger("y", nil), n, n.Host("10.0.0.9", "a")}
		y.Links = &linker.Client{Network: y.host, Secrets: scaleKey, Versions: linker.CurrentVersions}
		f(t, y)
		y.Links.Close()
		cancel()
		<-ended
	})
}

// granter returns the services of an owner that grants the given leases.
func granter(leases ...exchanger.GroupLease) registerFunc {
	x := newExchanger("x", nil)
	x.GrantLeases = func([]string) []exchanger.GroupLease { return leases }
	return x.Register
}

// replier returns the services of a peer that sends a given reply for leases.
func replier(reply *wire.LeaseReply) registerFunc {
	return neighbours(wire.DRPCNeighboursDescription{}, &replyingServer{reply: reply})
}

// neighbours returns the handshake and a service of a peer.
func neighbours(d drpc.Description, server wire.DRPCNeighboursServer) registerFunc {
	return func(m *drpcmux.Mux, s *linker.Session) error {
		if err := wire.DRPCRegisterPeers(m, &linker.Handshake{Session: s}); err != nil {
			return err
		}
		return m.Register(server, d)
	}
}

// mustReceive requests leases of the groups g and h and compares them with those expected.
func mustReceive(t *testing.T, register registerFunc, want ...exchanger.GroupLease) {
	withOwner(t, register, func(t *testing.T, y asker) {
		received, err := y.RequestLeases(t.Context(), ownerAddress, []string{"g", "h"})
		must.NoError(t, err)
		must.Eq(t, want, received)
	})
}

// mustFail requests leases of groups, which must fail, at once and without leases.
func mustFail(t *testing.T, y asker, address string, groups []string) error {
	start := time.Now()
	received, err := y.RequestLeases(t.Context(), address, groups)
	must.Error(t, err)
	must.SliceEmpty(t, received)
	must.Eq(t, 0, time.Since(start))
	return err
}

// Grants and refusals must arrive as the owner gave them. A lease that lasts longer for its holder
// than for the owner would let commits be acknowledged after the primary is replaced.
func TestLeasesArriveUnchanged(t *testing.T) {
	for _, l := range []exchanger.GroupLease{
		{Group: "g", Valid: 1500 * time.Millisecond, Term: 7, Owner: "x-1"},
		{Group: "g", Term: 7},
		{Group: "g", Refusal: exchanger.LeaseNotOwner},
		{Group: "g", Term: 1 << 63, Refusal: exchanger.LeaseUncertain, Owner: "x-1"},
		{Group: "g", Term: 7, Refusal: exchanger.LeasePrimarySuspected},
	} {
		t.Run(fmt.Sprint(l.Refusal, " ", l.Valid), func(t *testing.T) { mustReceive(t, granter(l), l) })
	}
	t.Run("several", func(t *testing.T) {
		g, h := exchanger.GroupLease{Group: "g", Valid: time.Second, Term: 7}, exchanger.GroupLease{Group: "h", Term: 2, Refusal: exchanger.LeaseNotOwner}
		mustReceive(t, granter(g, h), g, h)
	})
}

// The validity must never be more than the owner granted, nothing for a refusal, and bounded
// whatever the peer sends.
func TestLeaseValidity(t *testing.T) {
	for name, c := range map[string]struct {
		refusal        exchanger.LeaseRefusal
		granted, valid time.Duration
	}{
		"rounded down":        {exchanger.LeaseGranted, 1999999 * time.Nanosecond, time.Millisecond},
		"under a millisecond": {exchanger.LeaseGranted, time.Millisecond - 1, 0},
		"negative":            {exchanger.LeaseGranted, -time.Second, 0},
		"at the bound":        {exchanger.LeaseGranted, 10 * time.Second, 10 * time.Second},
		"too large":           {exchanger.LeaseGranted, 10*time.Second + time.Millisecond, 10 * time.Second},
		"over the wire's":     {exchanger.LeaseGranted, (1<<32 + 5) * time.Millisecond, 10 * time.Second},
		"refused":             {exchanger.LeaseNotOwner, time.Second, 0},
		"uncertain":           {exchanger.LeaseUncertain, time.Second, 0},
		"unnamed refusal":     {exchanger.LeaseRefusal(99), time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			want := exchanger.GroupLease{Group: "g", Valid: c.valid, Refusal: min(c.refusal, exchanger.LeaseUncertain)}
			mustReceive(t, granter(exchanger.GroupLease{Group: "g", Valid: c.granted, Refusal: c.refusal}), want)
		})
	}
}

// A faulty or newer peer must not hand out leases that were not asked for, or that it refuses for a
// reason that this instance doesn't know.
func TestDoubtfulLeases(t *testing.T) {
	for name, c := range map[string]struct {
		lease *wire.CommitLease
		want  []exchanger.GroupLease
	}{
		"not asked for":      {&wire.CommitLease{Group: "other", ValidMs: 5}, nil},
		"unknown refusal":    {&wire.CommitLease{Group: "g", ValidMs: 5, Term: 3, Refusal: 99}, []exchanger.GroupLease{{Group: "g", Term: 3, Refusal: exchanger.LeaseUncertain}}},
		"negative refusal":   {&wire.CommitLease{Group: "g", ValidMs: 5, Refusal: -1}, []exchanger.GroupLease{{Group: "g", Refusal: exchanger.LeaseUncertain}}},
		"valid but refused":  {&wire.CommitLease{Group: "g", ValidMs: 5, Refusal: wire.LeaseRefusal_NOT_OWNER}, []exchanger.GroupLease{{Group: "g", Refusal: exchanger.LeaseNotOwner}}},
		"valid, suspected":   {&wire.CommitLease{Group: "g", ValidMs: 5, Refusal: wire.LeaseRefusal_PRIMARY_SUSPECTED}, []exchanger.GroupLease{{Group: "g", Refusal: exchanger.LeasePrimarySuspected}}},
		"oversized validity": {&wire.CommitLease{Group: "g", ValidMs: 1<<32 - 1}, []exchanger.GroupLease{{Group: "g", Valid: 10 * time.Second}}},
	} {
		t.Run(name, func(t *testing.T) {
			mustReceive(t, replier(&wire.LeaseReply{Leases: []*wire.CommitLease{c.lease}}), c.want...)
		})
	}
}

// The owner must be asked for exactly the groups of the request, and for none if there are none:
// an empty list could stand for all.
func TestLeaseRequest(t *testing.T) {
	var many []string
	for i := range exchanger.MaxLeaseGroups {
		many = append(many, fmt.Sprint("g", i))
	}
	for name, groups := range map[string][]string{"one group": {"g"}, "no group": nil, "most groups": many} {
		t.Run(name, func(t *testing.T) {
			x := newExchanger("x", nil)
			var asked []string
			calls := 0
			x.GrantLeases = func(groups []string) []exchanger.GroupLease {
				asked = groups
				calls++
				return nil
			}
			withOwner(t, x.Register, func(t *testing.T, y asker) {
				received, err := y.RequestLeases(t.Context(), ownerAddress, groups)
				must.NoError(t, err)
				must.SliceEmpty(t, received)
				must.Eq(t, groups, asked)
				must.Eq(t, min(1, len(groups)), calls)
			})
		})
	}
	t.Run("too many groups", func(t *testing.T) {
		withOwner(t, granter(), func(t *testing.T, y asker) {
			mustFail(t, y, ownerAddress, append(many, "one more"))
		})
	})
}

// A peer that can't grant leases must fail the request at once instead of holding it until its
// timeout, and must not look like one where nothing listens.
func TestPeerWithoutLeases(t *testing.T) {
	for name, register := range map[string]registerFunc{
		"earlier version": neighbours(earlierNeighbours{}, &wire.DRPCNeighboursUnimplementedServer{}),
		"no GrantLeases":  newExchanger("x", nil).Register,
	} {
		t.Run(name, func(t *testing.T) {
			withOwner(t, register, func(t *testing.T, y asker) {
				err := mustFail(t, y, ownerAddress, []string{"g"})
				must.False(t, errors.Is(err, syscall.ECONNREFUSED), must.Sprint(err))
			})
		})
	}
}

// A caller must be able to tell a peer whose process has ended from one that is cut off: only the
// former can't own a group any more.
func TestUnreachedLeaseOwner(t *testing.T) {
	t.Run("nothing listens", func(t *testing.T) {
		withOwner(t, granter(), func(t *testing.T, y asker) {
			must.ErrorIs(t, mustFail(t, y, "10.0.0.1:2", []string{"g"}), syscall.ECONNREFUSED)
		})
	})
	t.Run("ended", func(t *testing.T) {
		withOwner(t, granter(), func(t *testing.T, y asker) {
			_, err := y.RequestLeases(t.Context(), ownerAddress, []string{"g"})
			must.NoError(t, err)
			y.net.Kill("10.0.0.1")
			synctest.Wait()
			must.ErrorIs(t, mustFail(t, y, ownerAddress, []string{"g"}), syscall.ECONNREFUSED)
		})
	})
	for name, connected := range map[string]bool{"cut off": false, "cut off while connected": true} {
		t.Run(name, func(t *testing.T) {
			withOwner(t, granter(), func(t *testing.T, y asker) {
				if connected {
					_, err := y.RequestLeases(t.Context(), ownerAddress, []string{"g"})
					must.NoError(t, err)
				}
				y.net.Partition("10.0.0.1", "10.0.0.9")
				start := time.Now()
				_, err := y.RequestLeases(t.Context(), ownerAddress, []string{"g"})
				must.Error(t, err)
				must.False(t, errors.Is(err, syscall.ECONNREFUSED), must.Sprint(err))
				must.LessEq(t, 300*time.Millisecond, time.Since(start))
			})
		})
	}
}

// Leases must be given only to authenticated peers.
func TestLeasesNeedAuthentication(t *testing.T) {
	withOwner(t, granter(exchanger.GroupLease{Group: "g", Valid: time.Second}), func(t *testing.T, y asker) {
		raw, err := y.host.Dial(t.Context(), ownerAddress)
		must.NoError(t, err)
		conn := drpcconn.New(raw)
		defer conn.Close()
		_, err = wire.NewDRPCNeighboursClient(conn).RenewLeases(t.Context(), &wire.LeaseRequest{Groups: []string{"g"}})
		must.ErrorContains(t, err, "not authenticated")
	})
}

// The names are log keys.
func TestLeaseRefusalNames(t *testing.T) {
	for refusal, name := range map[exchanger.LeaseRefusal]string{
		exchanger.LeaseGranted: "granted", exchanger.LeaseNotOwner: "not-owner",
		exchanger.LeaseUncertain: "ownership-uncertain", exchanger.LeasePrimarySuspected: "primary-suspected",
	} {
		must.Eq(t, name, refusal.String())
	}
}
