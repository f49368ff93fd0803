package exchanger

import (
	"context"
	"math"
	"time"

	"github.com/oriolegw/oriolegw/internal/linker"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

// RequestLoads requests the proofs and the loads of groups from the instance that supervises them.
// A failure doesn't count against the peer: others are asked for the store's state in its place, but
// nobody else knows the loads, so that it is asked more often than other peers. The request and the reply
// don't name the instances, which would be a third of their bytes.
func (e *Exchanger) RequestLoads(ctx context.Context, address string, groups []string) error {
	r := &wire.TellRequest{PeersOnly: true, OmitPeers: true, Proofs: true, Selective: true}
	for _, g := range groups {
		r.Reads = append(r.Reads, &wire.GroupReads{Group: g})
	}
	var reply *wire.TellReply
	requestedAt := e.Clock()
	err := e.Links.Call(ctx, callTimeout, address, func(ctx context.Context, l *linker.Link) (err error) {
		reply, err = wire.NewDRPCNeighboursClient(l.Conn()).Tell(ctx, r)
		return err
	})
	if err != nil {
		return err
	}
	e.receiveProofs(requestedAt, reply)
	return nil
}

// receiveProofs passes on the proofs and loads of a reply. Their ages are relative to the time before
// the request, so that delays can only make them appear older.
func (e *Exchanger) receiveProofs(requestedAt tracker.Timestamp, reply *wire.TellReply) {
	for _, p := range reply.Proofs {
		e.AddProof(GroupProof{Group: p.Group, FreshnessProof: tracker.FreshnessProof{
			At: requestedAt - time.Duration(p.AgeUs)*time.Microsecond, Position: orderer.Position{Term: p.Term, Offset: p.Offset},
		}})
	}
	if e.AddLoad == nil {
		return
	}
	for _, l := range reply.Loads {
		e.AddLoad(GroupLoad{Group: l.Group, MemberLoad: tracker.MemberLoad{
			Member: l.Member, Busy: float64(l.BusyMilli) / 1000, Slots: int(l.Slots), Service: time.Duration(l.ServiceUs) * time.Microsecond,
			At: requestedAt - time.Duration(l.AgeMs)*time.Millisecond,
		}})
	}
}

// encodeLoads returns the recent loads of the members of groups. Ages are rounded up.
func (e *Exchanger) encodeLoads(groups []string) []*wire.MemberLoad {
	now := e.Clock()
	var list []*wire.MemberLoad
	for _, l := range e.Loads(groups) {
		age := max(0, now-l.At) + time.Millisecond - 1
		list = append(list, &wire.MemberLoad{
			Group: l.Group, Member: l.Member, BusyMilli: uint32(math.Round(l.Busy * 1000)), Slots: uint32(l.Slots), AgeMs: uint32(age.Milliseconds()), ServiceUs: uint32(l.Service.Microseconds()),
		})
	}
	return list
}
