package forwarder_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/discoverer"
	"github.com/oriolegw/oriolegw/internal/forwarder"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/platform"
	"github.com/shoenig/test/must"
)

// Guards against taking a member for unreachable while one peer of several reaches it, and against a
// wait for peers that don't respond.
func TestSendThroughPeers(t *testing.T) {
	for name, test := range map[string]struct {
		silentPeers int
		cut         bool
		replies     bool
	}{
		"one peer":                     {replies: true},
		"most peers silent":            {silentPeers: 8, replies: true},
		"member out of reach of peers": {silentPeers: 1, cut: true},
	} {
		t.Run(name, func(t *testing.T) {
			withLender(t, func(t *testing.T, f *fixture) {
				d := &discoverer.Discoverer{Self: discoverer.Peer{Name: "sender", Address: "10.8.0.2:7100", Zone: "a"}, SameRegion: func(string) bool { return false }}
				for n := range test.silentPeers {
					address := fmt.Sprintf("10.8.1.%d:7100", n+1)
					d.RecordListed(f.pool.Clock(), discoverer.Peer{Name: fmt.Sprint("silent", n), Address: address, Zone: "b"})
					f.net.Partition("10.8.0.2", address[:len(address)-len(":7100")])
				}
				d.RecordListed(f.pool.Clock(), discoverer.Peer{Name: "lender", Address: lenderAddress, Zone: "c"})
				sender := &forwarder.Forwarder{
					Discoverer: d, Links: f.links, Codec: platform.LineCodec{}, Clock: f.pool.Clock, Connections: func(string) int { return 1 }, Zones: 3,
					Pool: func(string) *lender.Pool { return f.pool }, Log: func(...any) {}, Count: func(string) {},
				}
				defer sender.Close()
				if test.cut {
					f.net.Partition("10.8.0.1", "10.9.1.1")
				}
				ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
				defer cancel()
				began := time.Now()
				r, err := sender.SendThroughPeers(ctx, "g", "g-1", messenger.Command{Kind: messenger.KindStatus})
				must.LessEq(t, 400*time.Millisecond, time.Since(began))
				if !test.replies {
					must.Error(t, err)
					return
				}
				must.NoError(t, err)
				must.Less(t, 100*time.Millisecond, time.Since(began))
				s, err := platform.LineCodec{}.Status(r)
				must.NoError(t, err)
				must.True(t, s.Primary)
				f.mustExchange(t)
			})
		})
	}
}
