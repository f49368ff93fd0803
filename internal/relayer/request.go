package relayer

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/internal/admitter"
	"github.com/oriolegw/oriolegw/pkg/refuser"
)

type (
	// request is what a caller sends up to one Query, Sync or Flush. Up to a
	// Query or a Sync it is routed, held, answered or refused as a whole; what
	// follows a Flush goes on over the same connection.
	request struct {
		steps []step
		bytes int
		// flush is set when a Flush ended the request: no ReadyForQuery yet.
		flush bool
		// read, pure and mayCommit are those of all its statements together.
		read, pure, mayCommit bool
		// begins: it begins a transaction; ended: some statement ends one; ends:
		// its last statement does, for good.
		begins, ended, ends bool
		// local is set when a statement is answered here, remote when one needs
		// a target.
		local, remote bool
		// sets are the statements that change a setting of the session;
		// expectedSets counts those that end with their transaction, too.
		sets         []string
		expectedSets int
		kind         string
		refusal      *refuser.Refusal
	}

	// step is one message of a request.
	step struct {
		kind byte // the message's type byte
		data []byte
		// name is the caller's name of the statement or portal.
		name string
		// statement is the one that the step defines, needs or runs.
		statement *statement
		bind      *pgproto3.Bind
	}

	// statement is a prepared statement of a caller. Targets know it by a name
	// made from its text, so that callers share it, and never meet in names.
	statement struct {
		name  string
		sql   string
		oids  []uint32
		class class
	}
)

// stepSize is what a step takes beside its data, in bytes.
const stepSize = 128

// missingPrefix goes before names that the caller never prepared, so that no
// such name is one that a target knows.
const missingPrefix = "missing_"

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

func (t *statement) parse() []byte {
	return encode(&pgproto3.Parse{Name: t.name, Query: t.sql, ParameterOIDs: t.oids})
}

// add takes a step, with what its statement may do, into the request.
func (r *request) add(t step) {
	r.steps = append(r.steps, t)
	r.bytes += len(t.data) + stepSize
	if t.statement == nil {
		return
	}
	r.note(t.statement.sql, t.statement.class)
	if t.kind == 'E' {
		r.runs(t.statement.sql, t.statement.class)
	}
}

// runs notes what a statement that is run leaves in the session.
func (r *request) runs(sql string, c class) {
	// What follows the end of a transaction commits on its own.
	r.mayCommit = r.mayCommit || r.ended
	r.ends, r.ended = c.ends, r.ended || c.kind == statementEnd
	switch {
	case c.kind == statementSet:
		r.sets = append(r.sets, withoutNotes(sql))
		r.expectedSets++
	case c.block:
		r.expectedSets++
	}
}

func (r *request) note(sql string, c class) {
	if n := kindOf(sql); n != "" {
		r.kind = n
	}
	r.pure = r.pure && c.pure
	r.mayCommit = r.mayCommit || c.mayCommit
	switch c.kind {
	case statementRefused:
		r.refuse(refuser.New(refuser.SessionState, "%s", c.why))
	case statementLocal:
		r.local = true
	case statementRead, statementSet:
		r.remote = true
	case statementBegin:
		r.remote, r.read, r.begins = true, r.read && c.readOnly, true
	default:
		r.remote, r.read = true, false
	}
	if r.local && r.remote {
		r.refuse(refuser.New(refuser.Unsupported, "a statement for the proxy together with others in one request"))
	}
}

// refuse keeps the first refusal.
func (r *request) refuse(f *refuser.Refusal) {
	if r.refusal == nil {
		r.refusal = f
	}
}

// unknownPortal notes that a portal of an earlier request runs, of which
// nothing is known any more.
func (r *request) unknownPortal() {
	r.remote, r.read, r.pure, r.mayCommit = true, false, false, true
}

// lendingClass is what the request does with a connection.
func (r *request) lendingClass() admitter.Class {
	switch {
	case r.begins && !r.ends:
		return admitter.ClassTransaction
	case r.read:
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
		panic(err) // it was decoded from a message of the same size
	}
	return b
}
