package elector

import (
	"context"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

// errBusy means that a member had no slot for a question.
var errBusy = errors.New("no slot free")

// link is a member as its keeper knows it, and the connection to it.
type link struct {
	conn *lender.Conn
	// askedAt is when it was last asked; said is what it had received then, and
	// before it what the last but one question showed.
	askedAt tracker.Stamp
	said    [2]tracker.Proof
	// covered is a moment at which the member's log held all that the primary's did;
	// goneAt when a member that has left was first seen to be gone.
	covered, goneAt tracker.Stamp
	// places is how many connections the member takes, 0 when that isn't known.
	places int
	// gone is set when another member answers at the address, or the member has started
	// again.
	gone bool
	Observation
}

// ask asks a member for its status, on the open connection first and then on a
// fresh one: a connection can go silent while the member lives.
func (k *Keeper) ask(ctx context.Context, l *link) {
	asked := k.Clock()
	l.askedAt = asked
	s, err := k.command(ctx, l, messenger.Command{Kind: messenger.KindStatus})
	var refused *lender.RefusedError
	l.Full = errors.As(err, &refused) && refused.Code == messenger.CodeTooManyConnections
	// When another member has the address, this one is gone.
	l.gone = l.gone || refused != nil && refused.Code == messenger.CodeWrongMember
	if errors.Is(err, errBusy) && l.Status.Term > 0 {
		l.busy(k.Clock())
		return
	}
	if err != nil {
		if l.Answered || l.FailedSince == 0 {
			l.FailedSince = asked
		}
		l.Answered, l.Refused = false, errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
		return
	}
	l.noted(k.Clock(), s)
	if s.Primary {
		l.said = [2]tracker.Proof{{At: asked, Position: s.Received}, l.said[0]}
	}
	if k.Group.Saw(asked, l.ID, s) {
		k.Changed()
	}
}

// busy takes in that the member has no slot for a question. It lives; what it said
// before is no news of its log: taken for new, it made a proof that lacked commits
// acknowledged since, and reads of old data.
func (l *link) busy(now tracker.Stamp) {
	l.Answered, l.Refused, l.Full, l.FailedSince = true, false, false, 0
	if l.OverloadedSince == 0 {
		l.OverloadedSince = now
	}
}

// noted takes in a member's status.
func (l *link) noted(now tracker.Stamp, s messenger.Status) {
	switch {
	case l.places == 0 || float64(s.Connections) < crowdedPart*float64(l.places):
		l.CrowdedSince = 0
	case l.CrowdedSince == 0:
		l.CrowdedSince = now
	}
	if s.Received != l.Status.Received {
		l.BehindSince = 0
	}
	switch {
	case s.PausedFor <= s.Term:
		l.PausedSince = 0
	case l.PausedSince == 0:
		l.PausedSince = now
	}
	switch long := queueFactor * max(1, l.Slots); {
	case s.Busy < long:
		l.OverloadedSince = 0
	case l.OverloadedSince == 0:
		l.OverloadedSince = now
	}
	l.Answered, l.Refused, l.Full, l.gone, l.FailedSince, l.Status, l.Known = true, false, false, false, 0, s, now
}

// cover notes that the member's log reaches what the primary said before.
func (l *link) cover(p *link) {
	if !l.Answered || l.ID == p.ID {
		return
	}
	for _, s := range p.said {
		if s.At != 0 && l.Status.Received.AtLeast(s.Position) {
			l.covered = max(l.covered, s.At)
		}
	}
}

// compare notes since which answer the member stands still behind the primary.
func (l *link) compare(primary orderer.Position) {
	switch {
	case l.Status.Received.AtLeast(primary):
		l.BehindSince = 0
	case l.BehindSince == 0:
		l.BehindSince = l.Known
	}
}

// command sends a command of the keeper's own and decodes the status that answers
// it. Without an answer it is sent once more on a fresh connection.
func (k *Keeper) command(ctx context.Context, l *link, c messenger.Command) (messenger.Status, error) {
	if l.conn != nil {
		s, err := k.send(l, c)
		if err == nil || errors.Is(err, errBusy) {
			return s, err
		}
		l.close()
	}
	return k.commandOnce(ctx, l, c)
}

// commandOnce sends a command on a fresh connection, which stays open.
func (k *Keeper) commandOnce(ctx context.Context, l *link, c messenger.Command) (messenger.Status, error) {
	l.close()
	dial, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	conn, err := k.Connect(dial, l.Member)
	if err != nil {
		return messenger.Status{}, err
	}
	l.conn = conn
	s, err := k.send(l, c)
	if err != nil && !errors.Is(err, errBusy) {
		l.close()
	}
	return s, err
}

func (k *Keeper) send(l *link, c messenger.Command) (messenger.Status, error) {
	replies, _, err := l.conn.Exchange([]messenger.Command{c}, time.Now().Add(askTimeout))
	if err != nil {
		return messenger.Status{}, err
	}
	if replies[0].Code == messenger.CodeBusy {
		return messenger.Status{}, errBusy
	}
	return k.Codec.Status(replies[0])
}

func (l *link) close() {
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}

func (k *Keeper) closeLinks() {
	for _, l := range k.links {
		l.close()
	}
}
