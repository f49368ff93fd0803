package relayer

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/internal/admitter"
	"github.com/oriolegw/oriolegw/pkg/refuser"
)

type (
	// request holds a client's messages up to a Query, Sync or Flush. A request ended by Query
	// or Sync is routed, answered or refused as a whole; what follows a Flush uses the same
	// connection.
	request struct {
		steps []step
		size  int
		// flush is set when the request ended with Flush: no ReadyForQuery follows.
		flush bool
		// readOnly, pure and mayCommit combine those of all statements.
		readOnly, pure, mayCommit bool
		// beginsTransaction: a statement begins a transaction; endsTransaction: some statement
		// ends one; lastEndsTransaction: the last statement executed does.
		beginsTransaction, endsTransaction, lastEndsTransaction bool
		// local is set when a statement is answered by the instance, remote when one requires a
		// target.
		local, remote bool
		// settingStatements change session settings; expectedSetTags also counts
		// transaction-scoped ones.
		settingStatements []string
		expectedSetTags   int
		kind              string
		refusal           *refuser.Refusal
	}

	// step is one protocol message of a request.
	step struct {
		kind byte // message type byte; 'd' and 'c' for Describe and Close of a statement
		data []byte
		// name is the client's name of the statement or portal, or the text of a Query.
		name string
		// statement is the one that the step defines, references or executes.
		statement *statement
		bind      *pgproto3.Bind
	}

	// statement is a client's prepared statement. Its name at the target is derived from the
	// text, so that clients share it without collisions.
	statement struct {
		name  string
		sql   string
		oids  []uint32
		class statementClass
	}
)

// stepOverhead is the estimated memory of a step beside its data, in bytes.
const stepOverhead = 128

// unknownStatementPrefix is prepended to names that the client never prepared, so that they
// match no statement at the target.
const unknownStatementPrefix = "missing_"

func newStatement(m *pgproto3.Parse) *statement {
	h := sha256.New()
	h.Write([]byte(m.Query))
	for _, o := range m.ParameterOIDs {
		h.Write([]byte{0, byte(o >> 24), byte(o >> 16), byte(o >> 8), byte(o)})
	}
	return &statement{
		name: "ogw_" + hex.EncodeToString(h.Sum(nil)[:12]), sql: m.Query,
		oids: append([]uint32(nil), m.ParameterOIDs...), class: classify(m.Query),
	}
}

func (s *statement) encodeParse() []byte {
	return encode(&pgproto3.Parse{Name: s.name, Query: s.sql, ParameterOIDs: s.oids})
}

// addStep appends a step and records what its statement may do.
func (r *request) addStep(t step) {
	r.steps = append(r.steps, t)
	r.size += len(t.data) + stepOverhead
	if t.statement == nil {
		return
	}
	r.recordStatement(t.statement.sql, t.statement.class)
	if t.kind == 'E' {
		r.recordExecution(t.statement.sql, t.statement.class)
	}
}

// recordExecution records the transaction and session effects of an executed statement.
func (r *request) recordExecution(sql string, c statementClass) {
	// Statements after the end of a transaction commit on their own.
	r.mayCommit = r.mayCommit || r.endsTransaction
	r.lastEndsTransaction, r.endsTransaction = c.endsTransaction, r.endsTransaction || c.kind == statementEnd
	switch {
	case c.kind == statementSet:
		r.settingStatements = append(r.settingStatements, trimLeadingComments(sql))
		r.expectedSetTags++
	case c.transactionScoped:
		r.expectedSetTags++
	}
}

func (r *request) recordStatement(sql string, c statementClass) {
	if n := requestKind(sql); n != "" {
		r.kind = n
	}
	r.pure = r.pure && c.pure
	r.mayCommit = r.mayCommit || c.mayCommit
	switch c.kind {
	case statementRefused:
		r.refuse(refuser.New(refuser.SessionState, "%s", c.refusalReason))
	case statementLocal:
		r.local = true
	case statementRead, statementSet:
		r.remote = true
	case statementBegin:
		r.remote, r.readOnly, r.beginsTransaction = true, r.readOnly && c.readOnly, true
	default:
		r.remote, r.readOnly = true, false
	}
	if r.local && r.remote {
		r.refuse(refuser.New(refuser.Unsupported, "proxy statement combined with others in one request"))
	}
}

// refuse records a refusal; the first one wins.
func (r *request) refuse(f *refuser.Refusal) {
	if r.refusal == nil {
		r.refusal = f
	}
}

// markUnknownPortal records that an unknown portal of an earlier request is executed.
func (r *request) markUnknownPortal() {
	r.remote, r.readOnly, r.pure, r.mayCommit = true, false, false, true
}

// admissionClass returns the class for admission control.
func (r *request) admissionClass() admitter.Class {
	switch {
	case r.beginsTransaction && !r.lastEndsTransaction:
		return admitter.ClassTransaction
	case r.readOnly:
		return admitter.ClassRead
	}
	return admitter.ClassWrite
}

func copyBind(m *pgproto3.Bind) *pgproto3.Bind {
	c := &pgproto3.Bind{
		DestinationPortal:    m.DestinationPortal,
		PreparedStatement:    m.PreparedStatement,
		ParameterFormatCodes: append([]int16(nil), m.ParameterFormatCodes...),
		ResultFormatCodes:    append([]int16(nil), m.ResultFormatCodes...),
	}
	for _, p := range m.Parameters {
		if p == nil {
			c.Parameters = append(c.Parameters, nil)
			continue
		}
		c.Parameters = append(c.Parameters, append([]byte{}, p...))
	}
	return c
}

func encode(m pgproto3.FrontendMessage) []byte {
	b, err := m.Encode(nil)
	if err != nil {
		panic(err) // decoded messages can always be encoded
	}
	return b
}
