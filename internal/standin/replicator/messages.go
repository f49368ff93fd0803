package replicator

import (
	"context"
	"encoding/binary"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
)

func (s *session) handleQuery(ctx context.Context, sql string) {
	statements := splitStatements(sql)
	if len(statements) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for _, q := range statements {
		kind, args := matchStatement(q)
		r := s.runStatement(ctx, q, kind, args, nil)
		if r.Err != nil {
			s.sendError(r.Err)
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
		s.sendRows(r, nil)
	}
	s.endImplicit()
}

func (s *session) sendRows(r result, formats []int16) {
	limit := s.member.Faults.takeTruncation(len(r.Rows))
	for i, row := range r.Rows {
		if limit > 0 && i == limit {
			_ = s.backend.Flush()
			_ = s.conn.Close()
			return
		}
		values := make([][]byte, len(row))
		for i, v := range row {
			values[i] = encodeValue(v, r.Columns[i].OID, formatCode(formats, i))
		}
		s.backend.Send(&pgproto3.DataRow{Values: values})
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.Tag)})
}

func formatCode(formats []int16, i int) int16 {
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

func encodeValue(v string, oid uint32, format int16) []byte {
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

func (s *session) handleParse(msg *pgproto3.Parse) {
	kind, args := matchStatement(msg.Query)
	if kind == nil && msg.Query != "" {
		s.sendError(&sqlError{Code: "42601", Message: "statement not supported by the stand-in: " + msg.Query})
		return
	}
	s.statements[msg.Name] = &prepared{sql: msg.Query, statementKind: kind, args: args, paramCount: maxPlaceholder(msg.Query)}
	s.backend.Send(&pgproto3.ParseComplete{})
}

func (s *session) handleBind(msg *pgproto3.Bind) {
	st := s.statements[msg.PreparedStatement]
	if st == nil {
		s.sendError(&sqlError{Code: "26000", Message: "prepared statement does not exist: " + msg.PreparedStatement})
		return
	}
	p := &portal{statement: st, formats: append([]int16(nil), msg.ResultFormatCodes...)}
	for _, v := range msg.Parameters {
		p.params = append(p.params, string(v))
	}
	s.portals[msg.DestinationPortal] = p
	s.backend.Send(&pgproto3.BindComplete{})
}

func (s *session) handleDescribe(msg *pgproto3.Describe) {
	var st *prepared
	if msg.ObjectType == 'S' {
		if st = s.statements[msg.Name]; st != nil {
			oids := make([]uint32, st.paramCount)
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
		s.sendError(&sqlError{Code: "26000", Message: "prepared statement or portal does not exist: " + msg.Name})
	case st.statementKind == nil || st.statementKind.Columns == nil:
		s.backend.Send(&pgproto3.NoData{})
	default:
		s.backend.Send(describeRows(st.statementKind.Columns))
	}
}

func (s *session) handleExecute(ctx context.Context, msg *pgproto3.Execute) {
	p := s.portals[msg.Portal]
	if p == nil {
		s.sendError(&sqlError{Code: "34000", Message: "portal does not exist: " + msg.Portal})
		return
	}
	if p.statement.statementKind == nil {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	r := s.runStatement(ctx, p.statement.sql, p.statement.statementKind, p.statement.args, p.params)
	if r.Err != nil {
		s.sendError(r.Err)
		return
	}
	s.sendRows(r, p.formats)
}

func (s *session) sendError(r *sqlError) {
	severity := "ERROR"
	if r.Fatal {
		severity = "FATAL"
	}
	s.backend.Send(&pgproto3.ErrorResponse{Severity: severity, Code: r.Code, Message: r.Message})
	s.skipUntilSync = true
	if s.inTransaction {
		s.failed = true
	} else {
		s.stagedOps = nil
	}
}

// splitStatements splits a simple query at semicolons outside quotes.
func splitStatements(sql string) []string {
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
