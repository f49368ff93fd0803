package forwarder

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
)

const (
	// maxPeerWait bounds how long a peer's request may wait for a connection.
	maxPeerWait = 5 * time.Second
	// writeTimeout bounds a write to a target.
	writeTimeout = time.Second
	// chunkBytes is the size of the buffer for target responses.
	chunkBytes = 4096
)

// errProtocol means that the peer sent an unexpected message.
var errProtocol = errors.New("unexpected message")

// ServeLoans serves the loans of one stream, one after another.
func (fw *Forwarder) ServeLoans(stream wire.DRPCNeighbours_LendStream) error {
	for {
		r, err := stream.Recv()
		if err != nil {
			return nil // the peer closed the stream
		}
		if r.Ask == nil {
			return errProtocol
		}
		conn, p, err := fw.borrowForPeer(stream.Context(), r.Ask)
		if err != nil {
			fw.logLimitRefusal(r.Ask, err)
			refusal := refusalReply(err)
			fw.encodePressure(r.Ask, refusal)
			if err := stream.Send(refusal); err != nil {
				return err
			}
			continue
		}
		if err := fw.forward(stream, r.Ask, p, conn); err != nil {
			return err
		}
	}
}

// logLimitRefusal logs why a peer's operation is over the customer's limit: the peer is only told
// when to retry.
func (fw *Forwarder) logLimitRefusal(a *wire.LendAsk, err error) {
	var limit *lender.LimitError
	if errors.As(err, &limit) && fw.Log != nil {
		fw.Log(append([]any{"event", "over-limit", "customer", a.Customer, "group", a.Group, "class", a.Priority, "again-ms", limit.RetryAfter.Milliseconds()}, limit.LogFields()...)...)
	}
}

// borrowForPeer borrows one of this instance's own connections for a peer. The request queues
// with local ones.
func (fw *Forwarder) borrowForPeer(ctx context.Context, a *wire.LendAsk) (*lender.Conn, *lender.Pool, error) {
	p := fw.Pool(a.Group)
	if p == nil || fw.Draining() {
		return nil, nil, errUnreachable
	}
	members := fw.lendable(a.Members)
	wait := min(time.Duration(a.WaitMs)*time.Millisecond, maxPeerWait)
	if len(p.Reachable(members)) == 0 {
		return nil, nil, errUnreachable
	}
	conn, err := p.Borrow(ctx, lender.Request{
		EligibleMembers: func() []string { return members },
		Priority:        int(a.Priority), Deadline: time.Now().Add(wait), StatusQuery: a.Question, Customer: a.Customer, RateLimited: a.Counts, Transaction: a.Long, LocalOnly: true,
		LatestStart: decodeLatestStart(time.Now(), a.LatestStartMs),
	})
	if err == nil {
		fw.countRequest(conn.Member)
		if !a.Question {
			fw.checkActingIfDue(ctx, a.Group, conn.Member)
		}
	}
	return conn, p, err
}

// encodeLatestStart returns the time left until a request's latest start in milliseconds plus 1,
// or 0 without one.
func encodeLatestStart(now, latest time.Time) uint32 {
	if latest.IsZero() {
		return 0
	}
	return uint32(min(max(0, latest.Sub(now)), maxPeerWait).Milliseconds()) + 1
}

// decodeLatestStart reverses encodeLatestStart. The clocks of both instances don't matter.
func decodeLatestStart(now time.Time, encoded uint32) time.Time {
	if encoded == 0 {
		return time.Time{}
	}
	return now.Add(min(time.Duration(encoded-1)*time.Millisecond, maxPeerWait))
}

// forward copies data between a peer and a connection until the peer returns it.
func (fw *Forwarder) forward(stream wire.DRPCNeighbours_LendStream, a *wire.LendAsk, p *lender.Pool, conn *lender.Conn) error {
	fw.lent.Add(1)
	defer fw.lent.Add(-1)
	reply := &wire.LendReply{Member: conn.Member, Born: conn.MemberStartTime, State: encodeState(conn.State())}
	fw.encodePressure(a, reply)
	if err := stream.Send(reply); err != nil {
		conn.Close()
		p.Return(conn)
		return err
	}
	var ending atomic.Bool
	// Clears the previous user's deadlines, which may have passed. With them, the first write of a
	// loan would fail.
	_ = conn.NetConn().SetDeadline(time.Time{})
	balance := fw.Codec.NewInFlightCounter()
	copied := make(chan error, 1)
	received := func(b []byte) {
		balance.Received(b)
		if balance.AllAnswered() {
			conn.EndWork()
		}
	}
	sent := func(b []byte) {
		balance.Sent(b)
		conn.BeginWork()
	}
	go func() { copied <- copyToPeer(stream, conn, &ending, received) }()
	end, err := copyToTarget(stream, conn, sent)
	ending.Store(true)
	_ = conn.NetConn().SetReadDeadline(time.Now())
	// A connection with an outstanding reply must not be reused: its next borrower would read
	// that reply.
	if extra := <-copied; extra != nil || err != nil || end.Broken || !balance.AllAnswered() {
		conn.Close()
	} else {
		conn.SetState(decodeState(end.State))
	}
	switch {
	case end.GetNoRoom():
		p.NoteOverloaded(conn.Member)
	case end.GetRan():
		p.NoteServed(conn.Member)
	}
	p.Return(conn)
	return err
}

// copyToTarget sends a peer's data to the target until the peer ends the loan.
func copyToTarget(stream wire.DRPCNeighbours_LendStream, conn *lender.Conn, sent func([]byte)) (*wire.LendEnd, error) {
	for {
		r, err := stream.Recv()
		switch {
		case err != nil:
			return nil, errors.Wrap(err, "loan")
		case r.End != nil:
			return r.End, nil
		case r.Ask != nil:
			return nil, errProtocol
		}
		sent(r.Data)
		_ = conn.NetConn().SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := conn.NetConn().Write(r.Data); err != nil {
			return nil, errors.Wrap(err, "write to target")
		}
	}
}

// copyToPeer sends the target's data to the peer until the loan ends. It returns nil if no data
// arrived after the end.
func copyToPeer(stream wire.DRPCNeighbours_LendStream, conn *lender.Conn, ending *atomic.Bool, received func([]byte)) error {
	b := make([]byte, chunkBytes)
	for {
		n, err := conn.NetConn().Read(b)
		if n > 0 {
			if ending.Load() {
				return errProtocol
			}
			received(b[:n])
			if err := stream.Send(&wire.LendReply{Data: b[:n]}); err != nil {
				return err
			}
		}
		if err != nil {
			if ending.Load() && lender.IsTimeout(err) {
				return nil
			}
			// Signals the peer that no more data follows.
			_ = stream.Close()
			return err
		}
	}
}

func refusalReply(err error) *wire.LendReply {
	var limit *lender.LimitError
	var wait *lender.WaitError
	switch {
	case errors.As(err, &limit):
		return &wire.LendReply{Refusal: wire.LendRefusal_LIMITED, AgainMs: uint32(limit.RetryAfter.Milliseconds())}
	case errors.As(err, &wait) && errors.Is(err, lender.ErrNoConnection):
		return &wire.LendReply{Refusal: wire.LendRefusal_FULL, AgainMs: uint32(wait.RetryAfter.Milliseconds())}
	case errors.Is(err, lender.ErrNoConnection):
		return &wire.LendReply{Refusal: wire.LendRefusal_FULL}
	default:
		return &wire.LendReply{Refusal: wire.LendRefusal_UNREACHED}
	}
}

func encodeState(s lender.SessionState) *wire.SessionState {
	w := &wire.SessionState{Values: s.Values}
	for p, name := range s.Prepared {
		w.Prepared = append(w.Prepared, &wire.Prepared{Name: name, Writes: p.Writes, Shape: p.Shape})
	}
	return w
}

func decodeState(w *wire.SessionState) lender.SessionState {
	s := lender.SessionState{Values: w.GetValues(), Prepared: map[lender.Prepared]string{}}
	for _, p := range w.GetPrepared() {
		s.Prepared[lender.Prepared{Writes: p.Writes, Shape: p.Shape}] = p.Name
	}
	return s
}
