package forwarder

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/discoverer"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/messenger"
)

// maxPeersAsked is how many peers a command is sent through at once.
const maxPeersAsked = 12

// errNoReply means that a command got no reply through any peer.
var errNoReply = errors.New("no reply through any peer")

// SendThroughPeers sends a command to a member through several peers at once and returns the first
// reply. The command must be idempotent: the member may run it once for each peer. A peer may take a
// broken path for a working one, so none is waited for while others can reply.
func (fw *Forwarder) SendThroughPeers(ctx context.Context, group, member string, c messenger.Command) (messenger.Reply, error) {
	until, ok := ctx.Deadline()
	if !ok {
		return messenger.Reply{}, errors.New("command without a deadline")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peers := spreadOverZones(fw.Discoverer.Peers(fw.Clock()), maxPeersAsked)
	type result struct {
		reply messenger.Reply
		err   error
	}
	results := make(chan result, len(peers))
	for _, p := range peers {
		go func() {
			r, err := fw.sendThrough(ctx, p.Address, group, member, c, until)
			results <- result{r, err}
		}()
	}
	for range peers {
		if r := <-results; r.err == nil {
			return r.reply, nil
		}
	}
	return messenger.Reply{}, errNoReply
}

// sendThrough sends a command to a member through one peer.
func (fw *Forwarder) sendThrough(ctx context.Context, to, group, member string, c messenger.Command, until time.Time) (messenger.Reply, error) {
	p := fw.Pool(group)
	if p == nil {
		return messenger.Reply{}, errUnreachable
	}
	conn, err := fw.borrow(ctx, to, group, []string{member}, lender.Request{StatusQuery: true, Deadline: until})
	if err != nil {
		return messenger.Reply{}, err
	}
	defer p.Return(conn)
	replies, _, err := conn.Exchange([]messenger.Command{c}, until)
	if err != nil {
		conn.Close()
		return messenger.Reply{}, err
	}
	return replies[0], nil
}

// spreadOverZones returns up to a number of peers, taken from each availability zone in turn.
func spreadOverZones(peers []discoverer.Peer, most int) []discoverer.Peer {
	var zones []string
	byZone := map[string][]discoverer.Peer{}
	for _, p := range peers {
		if len(byZone[p.Zone]) == 0 {
			zones = append(zones, p.Zone)
		}
		byZone[p.Zone] = append(byZone[p.Zone], p)
	}
	var chosen []discoverer.Peer
	for n := 0; len(chosen) < min(most, len(peers)); n++ {
		for _, z := range zones {
			if n < len(byZone[z]) && len(chosen) < most {
				chosen = append(chosen, byZone[z][n])
			}
		}
	}
	return chosen
}
