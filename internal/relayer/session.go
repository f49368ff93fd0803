// Package relayer serves one caller: it collects a request, has it routed,
// borrows a connection, forwards, and answers. It holds back the answer to a
// write until a majority of the group has confirmed it.
package relayer

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/internal/admitter"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/internal/pooler"
	"github.com/oriolegw/oriolegw/internal/prober"
	"github.com/oriolegw/oriolegw/internal/retrier"
	"github.com/oriolegw/oriolegw/internal/router"
	"github.com/oriolegw/oriolegw/pkg/orderer"
	"github.com/oriolegw/oriolegw/pkg/refuser"
	"github.com/oriolegw/oriolegw/pkg/sealer"
)

// The parameters that callers and instances exchange.
const (
	// ParameterToken carries the session token.
	ParameterToken = "oriole.token"
	// ParameterKind names the kind of the session's requests.
	ParameterKind = "oriole.kind"
)

type (
	// Lender lends connections to targets; admitter.Gate is one.
	Lender interface {
		// Borrow waits for the request's turn; the error is a *refuser.Refusal
		// when it was turned away.
		Borrow(ctx context.Context, o admitter.ConnectionRequest) (*pooler.Conn, error)
		Return(c *pooler.Conn)
		// DropIdle closes the connections that are not lent. It is for the
		// moment when one was found silent: whatever has lost track of it has
		// probably lost the others too, and each would cost a request the time
		// to find out.
		DropIdle()
	}

	// Session is one caller. Set the exported fields, then call Run.
	Session struct {
		Conn    net.Conn
		Backend *pgproto3.Backend
		Service string
		User    string
		Zone    string
		// Kind is the kind of requests that name none.
		Kind string
		// Floor is the session's newest acknowledged write.
		Floor orderer.Position
		// Connected is when the caller came. A session without a token takes
		// its floor from a watermark taken after it; see floor.
		Connected time.Time
		// Home is the instance's order among equal replicas; see router.Request.
		Home uint64
		// HasToken is set when Floor came with the caller.
		HasToken bool
		Table    func() *router.Table
		// Want asks control for a fresh watermark of the service; nil: none.
		Want func(service string)
		Pool Lender
		// Retries bounds the tries after a first one; nil: nothing does.
		Retries *retrier.Budget
		Sealer  *sealer.Sealer
		// Network reaches targets with cancels.
		Network networker.Network
		// PID and Secret are the key with which the caller cancels.
		PID, Secret uint32
		// Ended is called when the session ends; nil: nothing is.
		Ended func()
		// Prober finds silent connections; nil: they are waited for.
		Prober *prober.Prober
		// Leaver ends the session when the instance leaves; nil: nobody does.
		Leaver *Leaver
		// Explainer is told where each request went; nil: nobody.
		Explainer *router.DecisionLog
		Log       log.Logger
		// Count counts an event by name, for the metrics.
		Count func(name string)

		cancels    cancels
		statements map[string]*statement
		portals    map[string]*statement
		settings   settings
		pending    []string     // settings changed in the open transaction
		pinned     *pooler.Conn // the connection of an open transaction
		open       *exchange    // an exchange that a Flush has left open
		status     byte         // of the caller's transaction: I, T or E
		skip       bool         // the caller's messages are passed over up to a Sync
		floorKnown bool
		// uncertain: the caller was told of an unknown outcome. Its reads go to
		// the primary, since it looks for what became of its write.
		uncertain bool
		turn      uint64           // counts requests; slow start goes by it
		seen      orderer.Position // the newest position that reads have shown
		out       []byte           // answer not yet sent to the caller
		sent      bool             // part of the answer has been sent
		ended     bool             // the service is gone, and the session with it
	}
)

const (
	// flushSize is how much of an answer is gathered before it is sent on.
	flushSize = 32 << 10
	// maxHeld bounds what is held back behind a write or a strict read.
	maxHeld = 1 << 20
)

// Run serves the caller until it leaves or the context ends.
func (s *Session) Run(ctx context.Context) error {
	s.begin()
	stop := context.AfterFunc(ctx, func() { _ = s.Conn.Close() })
	defer stop()
	if s.Ended != nil {
		defer s.Ended()
	}
	defer s.drop()
	defer s.Leaver.end(s)
	return s.loop(ctx)
}

func (s *Session) begin() {
	s.statements, s.portals, s.status = map[string]*statement{}, map[string]*statement{}, 'I'
	s.floorKnown = s.HasToken
	s.Backend.SetMaxBodyLen(maxRequest)
}

func (s *Session) loop(ctx context.Context) error {
	for {
		s.Leaver.rest(s)
		r, err := s.collect()
		if s.Leaver.wake(s, err) {
			return s.farewell()
		}
		if err != nil || r == nil {
			return err
		}
		if err := s.serve(ctx, r); err != nil || s.ended {
			return err
		}
	}
}

// drop destroys the connection of a transaction or an exchange that its caller
// left open: the target rolls it back, and no other caller can meet its remains.
func (s *Session) drop() {
	if s.open != nil {
		s.giveBack(s.open.conn, true)
		s.open = nil
	}
	if s.pinned != nil {
		s.giveBack(s.pinned, true)
		s.pinned = nil
	}
}

func (s *Session) giveBack(c *pooler.Conn, broken bool) {
	c.Broken = c.Broken || broken
	s.Pool.Return(c)
}

// serve answers one request.
func (s *Session) serve(ctx context.Context, r *request) error {
	s.out, s.sent = s.out[:0], false
	switch {
	case s.skip: // an error went out after a Flush; only the Sync counts
		s.skip = false
		s.emit(&pgproto3.ReadyForQuery{TxStatus: s.status})
		return s.flush()
	case r.refusal != nil:
		s.abandon()
		s.refuse(r, r.refusal)
		return s.flush()
	case s.aborted():
		s.serveAborted(r)
		return s.flush()
	case !r.remote && s.open == nil:
		s.serveLocal(r)
		return s.flush()
	}
	if refusal := s.attempt(ctx, r); refusal != nil {
		s.refuse(r, refusal)
	}
	return s.flush()
}

// aborted reports whether the caller's transaction has been lost.
func (s *Session) aborted() bool { return s.status != 'I' && s.pinned == nil && s.open == nil }

// abandon gives up an open transaction because a request in it is refused.
func (s *Session) abandon() {
	if s.pinned == nil && s.open == nil {
		return
	}
	s.lose(s.pinned != nil || s.open.facts.inTransaction)
}

// lose destroys the session's connections. A lost transaction stays aborted
// until the caller ends it, as in PostgreSQL: a caller that has sent more of it
// ahead, or doesn't look at errors, must not have the rest run on its own.
func (s *Session) lose(transaction bool) {
	s.drop()
	s.pending = nil
	s.status = 'I'
	if transaction {
		s.status = 'E'
	}
}

// refuse ends the request with an error.
func (s *Session) refuse(r *request, f *refuser.Refusal) {
	s.Count("refused." + f.Reason.Name)
	s.out = s.out[:0]
	if f.Reason.Outcome == refuser.Unknown {
		s.uncertain = true
	}
	severity := "ERROR"
	if s.ended = f.Reason == refuser.NoService; s.ended {
		severity = "FATAL"
	}
	s.emit(&pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: f.Reason.SQLState,
		Message: f.Reason.Code + " " + f.Reason.Title, Detail: f.Detail, Hint: f.Hint(),
	})
	if r.flush {
		s.skip = true
		return
	}
	s.emit(&pgproto3.ReadyForQuery{TxStatus: s.status})
}

func (s *Session) emit(m pgproto3.BackendMessage) {
	var err error
	if s.out, err = m.Encode(s.out); err != nil {
		panic(err) // messages of ours, or decoded from the same size
	}
}

func (s *Session) flush() error {
	if len(s.out) == 0 {
		return nil
	}
	_, err := s.Conn.Write(s.out)
	s.out, s.sent = s.out[:0], true
	if err != nil {
		return errors.Wrap(err, "answer caller")
	}
	return nil
}

// hold is how long a request that was not run waits for a way to run it.
func hold(g *router.Group) time.Duration {
	if g.Service.FailoverWait > 0 {
		return g.Service.FailoverWait
	}
	return defaultHold
}

const defaultHold = 10 * time.Second
