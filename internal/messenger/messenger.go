// Package messenger defines protocol-independent requests and replies. Codecs translate wire
// protocols to and from these types.
package messenger

import (
	"io"

	"github.com/oriolegw/oriolegw/internal/identifier"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

// Kind classifies a statement.
type Kind uint8

// Kinds from KindRead to KindExecute and the transaction kinds come from clients; those from
// KindReset on are sent to members by the proxy itself.
const (
	KindUnknown Kind = iota
	// KindBegin opens a transaction that may write.
	KindBegin
	// KindBeginReadOnly opens a transaction that only reads.
	KindBeginReadOnly
	KindCommit
	KindRollback
	KindRead
	KindWrite
	// KindSet sets a session variable.
	KindSet
	// KindPrepareRead and KindPrepareWrite define a prepared statement.
	KindPrepareRead
	KindPrepareWrite
	KindExecute
	// KindDeallocate drops a prepared statement.
	KindDeallocate

	// KindReset clears a connection's session variables and prepared statements.
	KindReset
	// KindStatus queries a member's role and log position.
	KindStatus
	// KindPause stops log replication to a replica.
	KindPause
	// KindResume resumes log replication to a paused replica.
	KindResume
	// KindStepDown demotes a primary of an older term to a replica.
	KindStepDown
)

// State is a connection's transaction state between statements.
type State uint8

const (
	// StateIdle means that no transaction is open.
	StateIdle State = iota
	// StateOpen is inside a transaction.
	StateOpen
	// StateFailed is inside a transaction that can only be rolled back.
	StateFailed
)

// Code is the failure code of a statement.
type Code uint8

// NotRun reports which codes guarantee that the statement was not executed.
const (
	CodeNone Code = iota
	// CodeBusy: no capacity for the statement.
	CodeBusy
	// CodeBehind: the member's log has not reached the required position.
	CodeBehind
	// CodeNotPrimary: the statement requires the primary.
	CodeNotPrimary
	// CodeWrongMember: the connection reached another member than intended.
	CodeWrongMember
	// CodeTooManyConnections: the member's connection limit is reached.
	CodeTooManyConnections
	// CodeUnknownStatement: no prepared statement has this name.
	CodeUnknownStatement
	// CodeAborted: the transaction was rolled back.
	CodeAborted
	// CodeFailed: the statement was executed and failed.
	CodeFailed
	// CodeTimeout: the statement was executed and exceeded its time limit.
	CodeTimeout
	// CodeOutcomeUnknown: the statement may or may not have taken effect.
	CodeOutcomeUnknown
	// CodeUnknownDatabase: no route exists for the database name.
	CodeUnknownDatabase
	// CodeMalformed: the message is invalid, or invalid in the current state.
	CodeMalformed
	// CodeDenied: the client's credentials are unknown.
	CodeDenied
	// CodeTooLarge: the message exceeds the size limit.
	CodeTooLarge
	// CodeUnknown: the codec does not recognize the code.
	CodeUnknown
)

var codeNames = [...]string{
	CodeNone: "done", CodeBusy: "busy", CodeBehind: "behind", CodeNotPrimary: "not-primary",
	CodeWrongMember: "wrong-member", CodeTooManyConnections: "too-many-connections",
	CodeUnknownStatement: "unknown-statement", CodeAborted: "aborted", CodeFailed: "failed",
	CodeTimeout: "timeout", CodeOutcomeUnknown: "outcome-unknown",
	CodeUnknownDatabase: "unknown-database", CodeMalformed: "malformed",
	CodeDenied:   "denied",
	CodeTooLarge: "too-large", CodeUnknown: "unknown",
}

// String returns the name used in logs and metrics.
func (c Code) String() string { return codeNames[c] }

// NotRun reports whether a reply with code c guarantees that the statement was not executed.
func (c Code) NotRun() bool {
	switch c {
	case CodeBusy, CodeBehind, CodeNotPrimary, CodeWrongMember, CodeTooManyConnections, CodeUnknownStatement:
		return true
	default:
		return false
	}
}

type (
	// Start opens a client's session.
	Start struct {
		Database string
		// Key is the digest of the client's credential; HasKey is false if there is none.
		Key    identifier.Key
		HasKey bool
	}

	// Statement is a client's request.
	Statement struct {
		// ID is the client's request ID, forwarded to members unchanged.
		ID   string
		Kind Kind
		// Text is the original statement text.
		Text string
		// Name is the session variable or prepared statement.
		Name string
		// Rest holds the variable's value, the prepared statement's definition or the
		// execution's arguments.
		Rest string
	}

	// Command is a statement sent to a member.
	Command struct {
		// ID is the client's request ID, empty for the proxy's own commands.
		ID   string
		Kind Kind
		// After, if set, is the log position that the member must have reached.
		After orderer.Position
		// Text is sent unchanged if set; otherwise the command is built from Name, Rest and
		// Term.
		Text       string
		Name, Rest string
		Term       uint64
	}

	// Reply is the response to one statement.
	Reply struct {
		Rows []string
		// Signature is the member's proof that it executed the statement.
		Signature string
		// Code is CodeNone on success.
		Code   Code
		Detail string
		State  State
		// Position is the end of the member's log, zero if not reported.
		Position orderer.Position
	}

	// Status is a member's state report.
	Status struct {
		Primary  bool
		Term     uint64
		Received orderer.Position
		// PausedFor is the term for which replication to the replica is paused; 0 if it is
		// running.
		PausedFor   uint64
		LagMillis   int64
		Busy        int
		Connections int
	}
)

type (
	// ReplyReader reads a member's responses in order.
	ReplyReader interface {
		// Started reads the response to the connection request.
		Started() (Reply, error)
		// Reply reads the response to one command. After a timeout, calling it again resumes
		// the read.
		Reply() (Reply, error)
		// Buffered reports whether unread bytes have been received.
		Buffered() bool
	}

	// MemberCodec implements the protocol spoken with members.
	MemberCodec interface {
		// AppendStart appends the connection request: the group, the user (a customer or
		// this instance) and the expected member ID.
		AppendStart(b []byte, group, user, id string) []byte
		AppendTerminate(b []byte) []byte
		AppendCommand(b []byte, c Command) []byte
		Replies(from io.Reader) ReplyReader
		// Status decodes the reply to KindStatus, KindPause, KindResume and KindStepDown.
		Status(r Reply) (Status, error)
		// NewInFlightCounter returns a counter of the commands in flight on a connection whose
		// data is forwarded without decoding.
		NewInFlightCounter() InFlightCounter
	}

	// InFlightCounter counts commands and replies. Sent may be called concurrently with Received and
	// AllAnswered.
	InFlightCounter interface {
		Sent(text []byte)
		Received(text []byte)
		// AllAnswered reports whether every command has received its complete reply.
		AllAnswered() bool
	}

	// StatementReader reads a client's messages.
	StatementReader interface {
		Start() (Start, error)
		// Statement returns io.EOF when the client ends the session.
		Statement() (Statement, error)
		Buffered() bool
	}

	// CallerCodec implements the protocol spoken with clients.
	CallerCodec interface {
		Statements(from io.Reader) StatementReader
		AppendStarted(b []byte, r Reply) []byte
		AppendReply(b []byte, r Reply) []byte
	}
)
