package relayer

import (
	"regexp"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/pkg/orderer"
	"github.com/oriolegw/oriolegw/pkg/refuser"
)

type (
	// reply is the instance's answer to a statement.
	reply struct {
		column string // name of the single column, empty for none
		value  string
		tag    string
	}
)

const oidText = 25

var proxySetting = regexp.MustCompile(`(?i)^(SET|SHOW)\s+(?:SESSION\s+)?(oriole\.\w+)\s*(?:=|TO)?\s*(.*?)\s*;?$`)

// serveLocal answers a request that requires no target.
func (s *Session) serveLocal(r *request) {
	for _, t := range r.steps {
		var f *refuser.Refusal
		if t.kind == 'Q' {
			f = s.runLocal(t.name, true)
		} else {
			f = s.localStep(t)
		}
		if f != nil {
			s.refuse(r, f)
			return
		}
	}
	if r.flush {
		return
	}
	if s.status == 'I' {
		clear(s.portals)
	}
	s.emit(&pgproto3.ReadyForQuery{TxStatus: s.status})
}

// localStep answers one extended-protocol message.
func (s *Session) localStep(t step) *refuser.Refusal {
	switch t.kind {
	case 'P':
		s.emit(&pgproto3.ParseComplete{})
	case 'B':
		s.emit(&pgproto3.BindComplete{})
	case 'c', 'C':
		s.emit(&pgproto3.CloseComplete{})
	case 'd', 'D':
		if t.kind == 'd' {
			s.emit(&pgproto3.ParameterDescription{})
		}
		s.describeLocal(t)
	case 'E':
		if t.statement != nil {
			return s.runLocal(t.statement.sql, false)
		}
	}
	return nil
}

func (s *Session) describeLocal(t step) {
	if m := proxySetting.FindStringSubmatch(statementText(t.statement)); m != nil && strings.EqualFold(m[1], "SHOW") {
		s.emit(describeText(m[2]))
		return
	}
	s.emit(&pgproto3.NoData{})
}

func statementText(t *statement) string {
	if t == nil {
		return ""
	}
	return trimLeadingComments(t.sql)
}

// runLocal runs one statement; describe is set for the simple protocol.
func (s *Session) runLocal(sql string, describe bool) *refuser.Refusal {
	sql = trimLeadingComments(sql)
	if sql == "" || sql == ";" {
		s.emit(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	a, f := s.localReply(sql)
	if f != nil {
		return f
	}
	if a.column != "" {
		if describe {
			s.emit(describeText(a.column))
		}
		s.emit(&pgproto3.DataRow{Values: [][]byte{[]byte(a.value)}})
	}
	s.emit(&pgproto3.CommandComplete{CommandTag: []byte(a.tag)})
	return nil
}

func describeText(name string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{
		{Name: []byte(name), DataTypeOID: oidText, DataTypeSize: -1, TypeModifier: -1},
	}}
}

func (s *Session) localReply(sql string) (reply, *refuser.Refusal) {
	if m := proxySetting.FindStringSubmatch(sql); m != nil {
		if strings.EqualFold(m[1], "SHOW") {
			return s.showProxySetting(strings.ToLower(m[2]))
		}
		return reply{tag: "SET"}, s.setProxySetting(strings.ToLower(m[2]), strings.Trim(m[3], `'"`))
	}
	words := strings.Fields(strings.ToUpper(strings.TrimRight(sql, "; \n\t")))
	switch words[0] {
	case "DISCARD":
		s.settings = nil
		clear(s.statements)
		return reply{tag: strings.Join(words, " ")}, nil
	case "RESET":
		s.settings = nil
		return reply{tag: "RESET"}, nil
	case "DEALLOCATE":
		s.deallocate(strings.Fields(strings.TrimRight(sql, "; \n\t")))
		return reply{tag: "DEALLOCATE"}, nil
	case "CLOSE":
		return reply{tag: "CLOSE CURSOR ALL"}, nil
	}
	return reply{tag: words[0]}, nil // UNLISTEN: LISTEN is never accepted
}

func (s *Session) deallocate(words []string) {
	name := words[len(words)-1]
	if strings.EqualFold(name, "ALL") {
		clear(s.statements)
		return
	}
	delete(s.statements, strings.Trim(name, `"`))
}

func (s *Session) showProxySetting(name string) (reply, *refuser.Refusal) {
	switch name {
	case ParameterToken:
		return reply{column: name, value: s.Sealer.Seal(s.Service, s.Floor), tag: "SHOW"}, nil
	case ParameterKind:
		return reply{column: name, value: s.Kind, tag: "SHOW"}, nil
	}
	return reply{}, refuser.New(refuser.Unsupported, "parameter %q", name)
}

func (s *Session) setProxySetting(name, value string) *refuser.Refusal {
	switch name {
	case ParameterToken:
		p, err := s.Sealer.Open(s.Service, value)
		if err != nil {
			return refuser.New(refuser.BadToken, "%v", err)
		}
		s.Floor, s.floorKnown = orderer.Max(s.Floor, p), true
		return nil
	case ParameterKind:
		s.Kind = value
		return nil
	}
	return refuser.New(refuser.Unsupported, "parameter %q", name)
}

// serveAborted answers requests in a lost transaction as PostgreSQL does in a failed one:
// everything but its end is refused, and COMMIT answers ROLLBACK.
func (s *Session) serveAborted(r *request) {
	for _, t := range r.steps {
		sql := t.name
		if t.kind != 'Q' {
			sql = statementText(t.statement)
		}
		ends := classify(sql).endsTransaction && len(splitStatements(sql)) == 1
		switch {
		case t.kind == 'S' || t.kind == 'H':
		case t.kind == 'c' || t.kind == 'C':
			s.emit(&pgproto3.CloseComplete{})
		case !ends:
			s.refuse(r, refuser.New(refuser.TransactionAborted, "service %q", s.Service))
			return
		case t.kind == 'E' || t.kind == 'Q':
			s.status = 'I'
			s.emit(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
		default:
			_ = s.localStep(t)
		}
	}
	if !r.flush {
		s.emit(&pgproto3.ReadyForQuery{TxStatus: s.status})
	}
}
