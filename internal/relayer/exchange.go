package relayer

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/internal/pooler"
	"github.com/oriolegw/oriolegw/pkg/orderer"
	"github.com/oriolegw/oriolegw/pkg/refuser"
)

type (
	// result is the result of an exchange, or of its part up to a Flush.
	result int

	// exchange runs one request on one connection.
	exchange struct {
		session *Session
		conn    *pooler.Conn
		request *request
		state   requestState

		// minPosition is the position that a replica must have replayed within replayTimeout.
		// If needsTermCheck is set, the answer is held until a majority, queried no earlier
		// than termCheckFrom, has reported no newer term.
		minPosition    orderer.Position
		replayTimeout  time.Duration
		needsTermCheck bool
		termCheckFrom  time.Time
		started        time.Time

		silence silenceWatch
		// suspectSilent is set after another connection was found silent, since such failures
		// often affect several connections.
		suspectSilent bool

		expected            []byte   // kinds of the outstanding answers, see the constants
		unconfirmedParses   []string // target's names of Parse messages not yet answered
		unconfirmedNames    []string // client's names of Parse messages not yet answered
		answered            bool     // a statement has completed
		failed              bool     // after an error; the target skips messages up to the Sync
		applyingSettings    bool     // the client's settings are being applied
		awaitingInitialSync bool     // the leading Sync is unanswered
		awaitingReplayCheck bool     // the replay check is unanswered
		behind              bool     // the replay check failed; discard what follows
		writeOnReplica      bool
		tainted             bool
		setTagCount         int
		status              byte
		commitPosition      orderer.Position
		holdAnswer          bool // buffer the answer until confirmed
		err                 error
		refusal             *refuser.Refusal
		reusable            bool // the connection can be reused after a refusal
	}
)

const (
	// resultComplete: the answer is complete, either buffered or sent.
	resultComplete result = iota
	// resultFlushed: answered up to a Flush; the request continues.
	resultFlushed
	// resultBehind: the replica has not replayed the required position. The connection is
	// reusable.
	resultBehind
	// resultLost: the answer is incomplete; the request state determines the outcome.
	resultLost
	// resultRefused: the answer must not be sent to the client.
	resultRefused
)

// Answers expected besides those that use PostgreSQL's message types.
const (
	answerInternalParse = 'i' // Parse issued by the proxy
	answerInternalClose = 'x' // Close issued by the proxy
	answerSkippedParse  = 'p' // Parse not sent: already prepared
	answerSkippedClose  = 'c' // Close not sent: the statement is shared
)

const (
	// maxConnStatements limits the prepared statements per connection, since each takes
	// memory at the target. Clients share statements of equal text.
	maxConnStatements = 500
	// writeTimeout bounds sending a request to a target that does not read.
	writeTimeout = 10 * time.Second
	// confirmTimeout bounds the wait for a majority to confirm a commit.
	confirmTimeout = 3 * time.Second
)

var syncMessage = encode(&pgproto3.Sync{})

func newExchange(s *Session, c *pooler.Conn, r *request, inTransaction bool) *exchange {
	return &exchange{
		session: s, conn: c, request: r, started: time.Now(), status: s.status,
		state: requestState{replica: c.Endpoint.Term == 0, pure: r.pure, mayCommit: r.mayCommit, inTransaction: inTransaction},
	}
}

// continueAfterFlush runs the part of the request that follows a Flush.
func (x *exchange) continueAfterFlush(ctx context.Context, r *request) result {
	x.request = r
	x.state.pure = x.state.pure && r.pure
	x.state.mayCommit = x.state.mayCommit || r.mayCommit
	return x.run(ctx, r)
}

// run sends a request and processes its answer.
func (x *exchange) run(ctx context.Context, r *request) result {
	defer func() { _ = x.conn.SetReadDeadline(time.Time{}) }()
	stop := context.AfterFunc(ctx, func() { _ = x.conn.SetDeadline(time.Now()) })
	defer stop()
	x.startSilenceWatch(time.Now())
	x.session.cancel.setConn(x.conn)
	defer func() { x.conn.Tainted = x.session.cancel.clearConn() || x.conn.Tainted }()
	if !x.state.inTransaction && !x.state.written && !networker.NoPendingInput(x.conn.Conn) {
		return x.connectionLost(errStaleConnection)
	}
	if err := x.applySettings(ctx); err != nil {
		return x.setupFailed(err)
	}
	if err := x.send(x.encodeRequest(r)); err != nil {
		return x.connectionLost(err)
	}
	x.emitSkippedAnswers()
	for !x.flushAnswered() {
		m, err := x.receive(ctx)
		if err != nil {
			return x.connectionLost(err)
		}
		if e, done := x.handleMessage(ctx, m); done {
			return e
		}
		if x.behind && r.flush { // without a Sync, nothing ends the answer to discard
			return x.connectionLost(errReplicaBehind)
		}
	}
	return resultFlushed
}

// flushAnswered reports whether all answers up to the Flush have arrived.
func (x *exchange) flushAnswered() bool {
	return x.request.flush && !x.awaitingInitialSync && !x.awaitingReplayCheck && (x.failed || len(x.expected) == 0)
}

func (x *exchange) connectionLost(err error) result {
	x.err = err
	return resultLost
}

// send writes to the target. If no byte was written, the request certainly did not run.
func (x *exchange) send(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	_ = x.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := x.conn.Write(data)
	x.state.written = x.state.written || n > 0
	if err != nil {
		return errors.Wrap(err, "send")
	}
	return nil
}

// applySettings applies the client's settings unless the connection already has them.
func (x *exchange) applySettings(ctx context.Context) error {
	all := x.session.settings
	if x.state.inTransaction || x.state.written || x.conn.Settings == all.script() {
		return nil
	}
	script := all.without(x.request.settingStatements).script()
	q := "RESET ALL"
	if script != "" {
		q += "; " + script
	}
	x.applyingSettings = true
	err := x.runInternalQuery(ctx, q, func(pgproto3.BackendMessage) {})
	x.applyingSettings = false
	if err == nil {
		x.conn.Settings = script
	}
	return err
}

// setupFailed ends an exchange whose settings could not be applied. A rejected setting is
// reported to the client, since a retry would fail, too. Its transaction is rolled back, so the
// connection remains reusable.
func (x *exchange) setupFailed(err error) result {
	if !errors.Is(err, errInternalQueryRejected) {
		return x.connectionLost(err)
	}
	x.reusable, x.refusal = true, refuser.New(refuser.BadSetting, "%v", err)
	return resultRefused
}

// runInternalQuery runs a query that is invisible to the client and passes its rows to the
// callback. Like every exchange, it starts with a Sync.
func (x *exchange) runInternalQuery(ctx context.Context, q string, row func(pgproto3.BackendMessage)) error {
	if _, err := x.conn.Write(append(slices.Clone(syncMessage), encode(&pgproto3.Query{String: q})...)); err != nil {
		return errors.Wrap(err, "send internal query")
	}
	var failure error
	for opened := false; ; {
		m, err := x.receive(ctx)
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case *pgproto3.ParameterStatus:
			x.handleParameterStatus(m)
		case *pgproto3.NoticeResponse:
		case *pgproto3.ErrorResponse:
			failure = errors.Wrap(errInternalQueryRejected, m.Code+" "+m.Message)
		case *pgproto3.ReadyForQuery:
			if opened {
				return failure
			}
			opened = true
		default:
			if !opened {
				return errUnexpectedMessage
			}
			row(m)
		}
	}
}

// appliedSettings returns the SET statements that the target has executed.
func (x *exchange) appliedSettings() []string {
	if x.failed {
		return nil
	}
	return x.request.settingStatements
}

// encodeRequest encodes the request with the target's statement names and prepares statements
// missing on the connection.
func (x *exchange) encodeRequest(r *request) []byte {
	if x.failed { // the target skips all messages up to the Sync
		return x.onlySync(r)
	}
	var out []byte
	if !x.state.written {
		// The ReadyForQuery of the leading Sync must arrive first: this detects stray answers
		// to an earlier request without an extra round trip.
		x.awaitingInitialSync = true
		out = append(out, syncMessage...)
		out = x.appendReplayCheck(out)
		out = x.appendCloseUnused(out, r)
	}
	for _, t := range r.steps {
		switch t.kind {
		case 'P':
			x.unconfirmedNames = append(x.unconfirmedNames, t.name)
			if x.conn.Statements[t.statement.name] {
				x.expected = append(x.expected, answerSkippedParse)
				continue
			}
			x.markPrepared(t.statement)
			x.expected = append(x.expected, 'P')
			out = append(out, t.statement.encodeParse()...)
		case 'B':
			out = x.appendParse(out, t.statement)
			b := *t.bind
			b.PreparedStatement = unknownStatementPrefix + b.PreparedStatement
			if t.statement != nil {
				b.PreparedStatement = t.statement.name
			}
			x.expected = append(x.expected, 'B')
			out = append(out, encode(&b)...)
		case 'd':
			out = x.appendParse(out, t.statement)
			x.expected = append(x.expected, 'D')
			out = append(out, t.data...)
		case 'c':
			x.expected = append(x.expected, answerSkippedClose)
		case 'H':
			out = append(out, t.data...)
		default:
			x.expected = append(x.expected, t.kind)
			out = append(out, t.data...)
		}
	}
	return out
}

func (x *exchange) onlySync(r *request) []byte {
	if r.flush {
		return nil
	}
	x.expected = []byte{'S'}
	return syncMessage
}

// appendReplayCheck prepends a query whether the replica has replayed minPosition; if not, the
// read's answer is discarded. A position reported after the read would prove nothing, as replay
// may have passed it after the read's snapshot.
func (x *exchange) appendReplayCheck(out []byte) []byte {
	if !x.state.replica || x.conn.Position.AtLeast(x.minPosition) {
		return out
	}
	x.awaitingReplayCheck = true
	q := fmt.Sprintf("SELECT oriole_replayed(%d, %d, %d)", x.minPosition.Term, x.minPosition.Offset, x.replayTimeout.Milliseconds())
	return append(out, encode(&pgproto3.Query{String: q})...)
}

// appendCloseUnused closes prepared statements that this request doesn't need once the
// connection has reached its limit.
func (x *exchange) appendCloseUnused(out []byte, r *request) []byte {
	if len(x.conn.Statements)+len(r.steps) <= maxConnStatements {
		return out
	}
	needed := map[string]bool{}
	for _, t := range r.steps {
		if t.statement != nil {
			needed[t.statement.name] = true
		}
	}
	var names []string
	for n := range x.conn.Statements {
		if !needed[n] {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	for _, n := range names {
		delete(x.conn.Statements, n)
		x.expected = append(x.expected, answerInternalClose)
		out = append(out, encode(&pgproto3.Close{ObjectType: 'S', Name: n})...)
	}
	return out
}

// appendParse prepares a statement on the connection if it isn't yet, invisibly to the client.
func (x *exchange) appendParse(out []byte, t *statement) []byte {
	if t == nil || x.conn.Statements[t.name] {
		return out
	}
	x.markPrepared(t)
	x.expected = append(x.expected, answerInternalParse)
	return append(out, t.encodeParse()...)
}

func (x *exchange) markPrepared(t *statement) {
	x.conn.Statements[t.name] = true
	x.unconfirmedParses = append(x.unconfirmedParses, t.name)
}
