// Package relayer serves client sessions: it reads requests, routes them, checks out
// connections, forwards requests and returns the answers. Acknowledgements of writes are held
// until a majority of the group has confirmed them.
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

// Session parameters exchanged with clients.
const (
	// ParameterToken is the session token.
	ParameterToken = "oriole.token"
	// ParameterKind is the default kind of the session's requests.
	ParameterKind = "oriole.kind"
)

type (
	// ConnPool checks out connections to targets; admitter.Gate implements it.
	ConnPool interface {
		// Borrow waits until the request is admitted; the error is a *refuser.Refusal if it was
		// rejected.
		Borrow(ctx context.Context, o admitter.ConnectionRequest) (*pooler.Conn, error)
		Return(c *pooler.Conn)
		// DropIdle closes all idle connections. It is called after a connection was found
		// silent, since the others have probably failed, too.
		DropIdle()
	}

	// Session serves one client connection. The exported fields must be set before Run.
	Session struct {
		Conn    net.Conn
		Backend *pgproto3.Backend
		Service string
		User    string
		Zone    string
		// Kind is the default kind of requests.
		Kind string
		// Floor is the position of the session's newest acknowledged write.
		Floor orderer.Position
		// Connected is when the session began. Without a token, Floor is a watermark taken
		// after it.
		Connected time.Time
		// PreferenceSeed selects the replica preferred among equal ones; see router.Request.
		PreferenceSeed uint64
		// HasToken is set when Floor comes from the client's token.
		HasToken bool
		Table    func() *router.Table
		// RequestWatermark requests a fresh watermark of the service; may be nil.
		RequestWatermark func(service string)
		Pool             ConnPool
		// Retries is the retry budget; nil means unlimited.
		Retries *retrier.Budget
		Sealer  *sealer.Sealer
		// Network is used to send cancel requests to targets.
		Network networker.Network
		// PID and Secret are the client's cancel key.
		PID, Secret uint32
		// OnEnd is called when the session ends; may be nil.
		OnEnd func()
		// Prober checks silent connections; nil disables probing.
		Prober *prober.Prober
		// Drainer closes the session when the instance shuts down; may be nil.
		Drainer *Drainer
		// DecisionLog records routing decisions; may be nil.
		DecisionLog *router.DecisionLog
		Log         log.Logger
		// Count increments the named metric.
		Count func(name string)

		cancel          cancelState
		statements      map[string]*statement
		portals         map[string]*statement
		settings        settings
		pendingSettings []string     // SET statements of the open transaction
		pinned          *pooler.Conn // connection of an open transaction
		suspended       *exchange    // exchange that continues after a Flush
		status          byte         // transaction status reported to the client: I, T or E
		skipToSync      bool         // discard messages up to the next Sync
		floorKnown      bool
		// outcomeUnknown is set after a refusal with an unknown outcome. Reads then go to the
		// primary, so that the client can check for its write.
		outcomeUnknown bool
		requestCount   uint64           // used for slow start
		seenPosition   orderer.Position // newest position observed by reads
		out            []byte           // buffered answer
		partlySent     bool             // part of the answer was sent
		serviceRemoved bool             // the service was removed; end the session
	}
)

const (
	// flushSize is the size at which a buffered answer is sent.
	flushSize = 32 << 10
	// maxHeldBytes limits the answer buffered while a write or strict read is unconfirmed.
	maxHeldBytes = 1 << 20
)

// Run serves the client until it disconnects or ctx is done.
func (s *Session) Run(ctx context.Context) error {
	s.begin()
	stop := context.AfterFunc(ctx, func() { _ = s.Conn.Close() })
	defer stop()
	if s.OnEnd != nil {
		defer s.OnEnd()
	}
	defer s.destroyConns()
	defer s.Drainer.remove(s)
	return s.loop(ctx)
}

func (s *Session) begin() {
	s.statements, s.portals, s.status = map[string]*statement{}, map[string]*statement{}, 'I'
	s.floorKnown = s.HasToken
	s.Backend.SetMaxBodyLen(maxRequestBytes)
}

func (s *Session) loop(ctx context.Context) error {
	for {
		s.Drainer.markWaiting(s)
		r, err := s.collect()
		if s.Drainer.markBusy(s, err) {
			return s.sendShutdownError()
		}
		if err != nil || r == nil {
			return err
		}
		if err := s.serve(ctx, r); err != nil || s.serviceRemoved {
			return err
		}
	}
}

// destroyConns destroys the connection of an open transaction or exchange, so that the target
// rolls it back.
func (s *Session) destroyConns() {
	if s.suspended != nil {
		s.release(s.suspended.conn, true)
		s.suspended = nil
	}
	if s.pinned != nil {
		s.release(s.pinned, true)
		s.pinned = nil
	}
}

func (s *Session) release(c *pooler.Conn, broken bool) {
	c.Broken = c.Broken || broken
	s.Pool.Return(c)
}

// serve answers one request.
func (s *Session) serve(ctx context.Context, r *request) error {
	s.out, s.partlySent = s.out[:0], false
	switch {
	case s.skipToSync: // after an error at a Flush, only the Sync is answered
		s.skipToSync = false
		s.emit(&pgproto3.ReadyForQuery{TxStatus: s.status})
		return s.flush()
	case r.refusal != nil:
		s.abandonTransaction()
		s.refuse(r, r.refusal)
		return s.flush()
	case s.aborted():
		s.serveAborted(r)
		return s.flush()
	case !r.remote && s.suspended == nil:
		s.serveLocal(r)
		return s.flush()
	}
	if refusal := s.execute(ctx, r); refusal != nil {
		s.refuse(r, refusal)
	}
	return s.flush()
}

// aborted reports whether the client's transaction has been lost.
func (s *Session) aborted() bool { return s.status != 'I' && s.pinned == nil && s.suspended == nil }

// abandonTransaction ends an open transaction after a refusal.
func (s *Session) abandonTransaction() {
	if s.pinned == nil && s.suspended == nil {
		return
	}
	s.failTransaction(s.pinned != nil || s.suspended.state.inTransaction)
}

// failTransaction destroys the session's connections. As in PostgreSQL, a lost transaction
// stays aborted until the client ends it, so that pipelined statements don't run outside it.
func (s *Session) failTransaction(inTransaction bool) {
	s.destroyConns()
	s.pendingSettings = nil
	s.status = 'I'
	if inTransaction {
		s.status = 'E'
	}
}

// refuse answers the request with an error.
func (s *Session) refuse(r *request, f *refuser.Refusal) {
	s.Count("refused." + f.Reason.Name)
	s.out = s.out[:0]
	if f.Reason.Outcome == refuser.Unknown {
		s.outcomeUnknown = true
	}
	severity := "ERROR"
	if s.serviceRemoved = f.Reason == refuser.NoService; s.serviceRemoved {
		severity = "FATAL"
	}
	s.emit(&pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: f.Reason.SQLState,
		Message: f.Reason.Code + " " + f.Reason.Title, Detail: f.Detail, Hint: f.Hint(),
	})
	if r.flush {
		s.skipToSync = true
		return
	}
	s.emit(&pgproto3.ReadyForQuery{TxStatus: s.status})
}

func (s *Session) emit(m pgproto3.BackendMessage) {
	var err error
	if s.out, err = m.Encode(s.out); err != nil {
		panic(err) // decoded and internal messages can always be encoded
	}
}

func (s *Session) flush() error {
	if len(s.out) == 0 {
		return nil
	}
	_, err := s.Conn.Write(s.out)
	s.out, s.partlySent = s.out[:0], true
	if err != nil {
		return errors.Wrap(err, "send answer to client")
	}
	return nil
}

// holdTimeout is how long a request that was not run waits for a target.
func holdTimeout(g *router.Group) time.Duration {
	if g.Service.FailoverWait > 0 {
		return g.Service.FailoverWait
	}
	return defaultHoldTimeout
}

const defaultHoldTimeout = 10 * time.Second
