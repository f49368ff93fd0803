package gossiper_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/gossiper"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
	"github.com/oriolegw/oriolegw/internal/lister"
	"github.com/oriolegw/oriolegw/internal/observer"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
)

var (
	peerInstance     = lister.Instance{Name: "peer", Address: "10.0.0.9:7100", Zone: "b", State: lister.StateLive}
	ownInstance      = lister.Instance{Name: "own", Address: "10.0.0.8:7100", Zone: "a", State: lister.StateLive}
	oneGroupDocument = &configurer.Document{Services: []configurer.Service{{
		Name:    "lockers",
		Members: []configurer.Member{{Name: "m1", Zone: "a"}, {Name: "m2", Zone: "b"}, {Name: "m3", Zone: "c"}},
	}}}
)

// FuzzPeerMessages processes arbitrary messages from an authenticated peer. They must not cause
// a panic, put a version in force, or produce observations of unknown members.
func FuzzPeerMessages(f *testing.F) {
	full, err := proto.Marshal(&wire.Report{Instance: "peer", Version: 1, Run: 7, Sequence: 9, Groups: []*wire.Group{{
		Service: 0, Offset: 100, Members: []*wire.Member{
			{Member: 1, AgeMs: 5, Change: wire.Change_EVERYTHING, Status: &wire.Status{Role: 2, Term: 3, Received: &wire.Position{Offset: 9}}},
			{Member: 0, AgeMs: 5, Change: wire.Change_POSITION, ReceivedBehind: 1 << 60},
		},
	}}, Signs: []*wire.Leaving{{Service: "lockers", Member: "m1", Leaving: true, Origin: "x", Number: 1}}})
	must.NoError(f, err)
	f.Add(full)
	f.Add([]byte{0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		now := time.Unix(1_000_000, 0)
		s := &gossiper.Slice{Self: ownInstance, Incarnation: 1, Random: rand.New(rand.NewPCG(1, 1))}
		step := func(e controller.Event) {
			for _, a := range s.Step(now, e) {
				mustBeValidAction(t, a)
			}
			now = now.Add(time.Second)
		}
		step(configurer.Activated{Version: 1, Document: oneGroupDocument})
		step(lister.ViewChanged{Instances: []lister.Instance{ownInstance, peerInstance}})
		var r wire.Report
		if proto.Unmarshal(data, &r) == nil {
			for range 2 {
				step(gossiper.Exchanged{Peer: peerInstance, Report: &r, RequestedAt: now})
			}
		}
		var n wire.Announcement
		if proto.Unmarshal(data, &n) == nil {
			step(gossiper.AnnouncementFromWire(&n))
		}
		var q wire.ExchangeRequest
		if proto.Unmarshal(data, &q) == nil {
			step(gossiper.ExchangeRequestFromWire(&q))
			(&gossiper.Snapshot{}).Report(now, &q)
		}
		var d wire.FetchReply
		if proto.Unmarshal(data, &d) == nil {
			gossiper.DecodeFetchReply(&d, []byte("base"))
		}
		step(controller.Tick{})
	})
}

func mustBeValidAction(t *testing.T, a controller.Action) {
	e, ok := a.(controller.Emit)
	if !ok {
		return
	}
	switch e := e.Event.(type) {
	case configurer.Activated:
		t.Fatal("a report put a version in force")
	case observer.Observed:
		must.True(t, e.Service == "lockers" && oneGroupDocument.Services[0].HasMember(e.Member))
	}
}
