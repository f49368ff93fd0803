package replicator

import (
	"context"
	"encoding/binary"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
)

func (s *session) simple(ctx context.Context, sql string) {
	statements := split(sql)
	if len(statements) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for _, q := range statements {
		sh, args := match(q)
		r := s.run(ctx, q, sh, args, nil)
		if r.Err != nil {
			s.fail(r.Err)
			return
		}
		if r.Copy {
			s.backend.Send(&pgproto3.CopyInResponse{})
			_ = s.backend.Flush()
			return
		}
		if r.Columns != nil {
			s.backend.Send(describeRows(r.Columns))
		}
		s.rows(r, nil)
	}
	s.endImplicit()
}

func (s *session) rows(r result, formats []int16) {
	cut := s.member.Faults.takeCut(len(r.Rows))
	for i, row := range r.Rows {
		if cut > 0 && i == cut {
			_ = s.backend.Flush()
			_ = s.conn.Close()
			return
		}
		values := make([][]byte, len(row))
		for i, v := range row {
			values[i] = encode(v, r.Columns[i].OID, format(formats, i))
		}
		s.backend.Send(&pgproto3.DataRow{Values: values})
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.Tag)})
}

func format(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return 0
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return 0
}

func encode(v string, oid uint32, format int16) []byte {
	if format == 0 || oid == oidText {
		return []byte(v)
	}
	if oid == oidBool {
		if v == "t" {
			return []byte{1}
		}
		return []byte{0}
	}
	n, _ := strconv.ParseInt(v, 10, 64)
	return binary.BigEndian.AppendUint64(nil, uint64(n))
}

func describeRows(columns []column) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for _, c := range columns {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{Name: []byte(c.Name), DataTypeOID: c.OID, DataTypeSize: -1, TypeModifier: -1})
	}
	return d
}

func (s *session) parse(msg *pgproto3.Parse) {
	sh, args := match(msg.Query)
	if sh == nil && msg.Query != "" {
		s.fail(&refusal{Code: "42601", Message: "statement shape not known to the stand-in: " + msg.Query})
		return
	}
	s.statements[msg.Name] = &prepared{sql: msg.Query, shape: sh, args: args, params: countParams(msg.Query)}
	s.backend.Send(&pgproto3.ParseComplete{})
}

func (s *session) bind(msg *pgproto3.Bind) {
	st := s.statements[msg.PreparedStatement]
	if st == nil {
		s.fail(&refusal{Code: "26000", Message: "prepared statement does not exist: " + msg.PreparedStatement})
		return
	}
	p := &portal{statement: st, formats: append([]int16(nil), msg.ResultFormatCodes...)}
	for _, v := range msg.Parameters {
		p.params = append(p.params, string(v))
	}
	s.portals[msg.DestinationPortal] = p
	s.backend.Send(&pgproto3.BindComplete{})
}

func (s *session) describe(msg *pgproto3.Describe) {
	var st *prepared
	if msg.ObjectType == 'S' {
		if st = s.statements[msg.Name]; st != nil {
			oids := make([]uint32, st.params)
			for i := range oids {
				oids[i] = oidText
			}
			s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
		}
	} else if p := s.portals[msg.Name]; p != nil {
		st = p.statement
	}
	switch {
	case st == nil:
		s.fail(&refusal{Code: "26000", Message: "nothing to describe: " + msg.Name})
	case st.shape == nil || st.shape.Columns == nil:
		s.backend.Send(&pgproto3.NoData{})
	default:
		s.backend.Send(describeRows(st.shape.Columns))
	}
}

func (s *session) execute(ctx context.Context, msg *pgproto3.Execute) {
	p := s.portals[msg.Portal]
	if p == nil {
		s.fail(&refusal{Code: "34000", Message: "portal does not exist: " + msg.Portal})
		return
	}
	if p.statement.shape == nil {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	r := s.run(ctx, p.statement.sql, p.statement.shape, p.statement.args, p.params)
	if r.Err != nil {
		s.fail(r.Err)
		return
	}
	s.rows(r, p.formats)
}

func (s *session) fail(r *refusal) {
	severity := "ERROR"
	if r.Fatal {
		severity = "FATAL"
	}
	s.backend.Send(&pgproto3.ErrorResponse{Severity: severity, Code: r.Code, Message: r.Message})
	s.skip = true
	if s.open {
		s.failed = true
	} else {
		s.ops = nil
	}
}

// split cuts a simple query at semicolons outside quotes.
func split(sql string) []string {
	var out []string
	quoted, start := false, 0
	flush := func(end int) {
		if q := stripComment(sql[start:end]); q != "" {
			out = append(out, q)
		}
		start = end + 1
	}
	for i := range len(sql) {
		switch {
		case sql[i] == '\'':
			quoted = !quoted
		case sql[i] == ';' && !quoted:
			flush(i)
		}
	}
	if start < len(sql) {
		flush(len(sql))
	}
	return out
}
