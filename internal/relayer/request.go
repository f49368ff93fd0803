package relayer

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/jackc/pgx/v5/pgproto3"
)

type (
	// request is what a caller sends up to one Query or Sync: the unit that is
	// routed, held, answered or refused as a whole.
	request struct {
		steps []step
		// simple is set for a Query message, which has no Sync of its own.
		simple bool
		read   bool
		begins bool
		ends   bool
		kind   string
	}

	// step is one message of a request.
	step struct {
		kind byte // the message's type byte
		data []byte
		// statement is the one that a Parse defines, or that a Bind or a
		// Describe needs.
		statement *statement
		bind      *pgproto3.Bind
	}

	// statement is a prepared statement of a caller. Targets know it by a name
	// made from its text, so that callers share it, and never meet in names.
	statement struct {
		name string
		sql  string
		oids []uint32
		kind kindOfStatement
	}
)

func newStatement(m *pgproto3.Parse) *statement {
	h := sha256.New()
	h.Write([]byte(m.Query))
	for _, o := range m.ParameterOIDs {
		h.Write([]byte{0, byte(o >> 24), byte(o >> 16), byte(o >> 8), byte(o)})
	}
	return &statement{
		name: "ogw_" + hex.EncodeToString(h.Sum(nil)[:12]), sql: m.Query,
		oids: append([]uint32(nil), m.ParameterOIDs...), kind: classify(m.Query),
	}
}

func (t *statement) parse() []byte {
	b, err := (&pgproto3.Parse{Name: t.name, Query: t.sql, ParameterOIDs: t.oids}).Encode(nil)
	if err != nil {
		panic(err) // it was decoded from a message of the same size
	}
	return b
}

// note takes a statement's kind into the request's.
func (r *request) note(sql string, k kindOfStatement) {
	if n := kindOf(sql); n != "" {
		r.kind = n
	}
	switch k {
	case statementRead:
	case statementBegin:
		r.begins, r.read = true, false
	case statementEnd:
		r.ends, r.read = true, false
	default:
		r.read = false
	}
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
