package relayer

import (
	"regexp"
	"strings"
)

type kindOfStatement int

const (
	statementRead kindOfStatement = iota
	statementWrite
	statementBegin
	statementEnd
	statementSession
)

var (
	firstWord = regexp.MustCompile(`^[A-Za-z]+`)
	kindNote  = regexp.MustCompile(`^\s*/\*\s*kind=([a-z0-9-]+)\s*\*/`)
	// effects are the signs of a SELECT that changes or locks something. A
	// replica that meets another one refuses it as a write, before it runs; the
	// request then goes to the primary.
	effects = regexp.MustCompile(`(?i)\b(FOR\s+(UPDATE|SHARE|NO\s+KEY|KEY)|INTO|nextval|setval|set_config|pg_advisory\w*|pg_notify|lo_\w+|txid_current|INSERT|UPDATE|DELETE|MERGE)\b`)
)

// classify tells what a statement may do. It looks at words only: what it can't
// be sure of counts as a write, which is always right and only costs a replica
// its chance.
func classify(sql string) kindOfStatement {
	sql = strings.TrimSpace(withoutNotes(sql))
	switch strings.ToUpper(firstWord.FindString(sql)) {
	case "SELECT", "VALUES", "TABLE", "WITH":
		if effects.MatchString(sql) {
			return statementWrite
		}
		return statementRead
	case "BEGIN", "START":
		return statementBegin
	case "COMMIT", "END", "ROLLBACK", "ABORT":
		return statementEnd
	case "SET", "RESET", "DISCARD", "LISTEN", "UNLISTEN", "PREPARE", "DEALLOCATE", "SHOW":
		return statementSession
	case "":
		return statementRead
	}
	return statementWrite
}

func withoutNotes(sql string) string {
	for {
		sql = strings.TrimSpace(sql)
		if !strings.HasPrefix(sql, "/*") {
			return sql
		}
		_, rest, ok := strings.Cut(sql, "*/")
		if !ok {
			return ""
		}
		sql = rest
	}
}

// kindOf returns the kind of request that a leading comment names.
func kindOf(sql string) string {
	if m := kindNote.FindStringSubmatch(sql); m != nil {
		return m[1]
	}
	return ""
}
