package relayer

import (
	"regexp"
	"strings"
)

type (
	kindOfStatement int

	// class is what a statement may do, as far as its words tell.
	class struct {
		kind kindOfStatement
		// pure reads call no function that might have an effect. A read that is
		// not pure may still go to a replica, which refuses every write.
		pure bool
		// mayCommit is set when running the statement may end a transaction.
		mayCommit bool
		// why says why a statement of kind statementRefused is refused.
		why string
	}
)

const (
	statementRead kindOfStatement = iota
	statementWrite
	statementBegin
	statementEnd
	// statementSet changes a setting of the session: tracked and replayed.
	statementSet
	// statementLocal is answered by the instance itself.
	statementLocal
	// statementRefused would leave something on a shared connection.
	statementRefused
)

var (
	firstWord = regexp.MustCompile(`^[A-Za-z]+`)
	kindNote  = regexp.MustCompile(`^\s*/\*\s*kind=([a-z0-9-]+)\s*\*/`)
	// effects are the signs of a SELECT that changes or locks something. A
	// replica that meets another one refuses it as a write, before it runs; the
	// request then goes to the primary.
	effects = regexp.MustCompile(`(?i)\b(FOR\s+(UPDATE|SHARE|NO\s+KEY|KEY)|INTO|nextval|setval|set_config|pg_advisory\w*|pg_notify|lo_\w+|txid_current|INSERT|UPDATE|DELETE|MERGE)\b`)
	// calls finds what stands before an opening bracket; harmless are the words
	// and functions that have no effect there.
	calls    = regexp.MustCompile(`([\w$".]+)\s*\(`)
	harmless = wordSet(`
		select from where and or not in exists any all some as on using over filter within group by having order limit offset
		values union intersect except case when then else end between like ilike is cast array row with recursive materialized
		distinct lateral join interval varchar char numeric decimal timestamp timestamptz time bit float
		count sum min max avg bool_and bool_or every array_agg string_agg json_agg jsonb_agg json_object_agg jsonb_object_agg
		coalesce nullif greatest least lower upper length char_length trim ltrim rtrim btrim substring substr left right replace
		position strpos concat concat_ws format to_char to_date to_timestamp to_number now date_trunc date_part extract age
		abs round ceil ceiling floor trunc mod power sqrt sign row_number rank dense_rank lag lead first_value last_value ntile
		generate_series unnest json_build_object jsonb_build_object json_build_array jsonb_build_array to_json to_jsonb
		row_to_json md5 encode decode array_length cardinality array_to_string string_to_array pg_sleep current_setting version`)
	commits = regexp.MustCompile(`(?i)\b(COMMIT|END|PREPARE|CALL|DO)\b`)
	// leaves are the signs of a statement that leaves something behind on the
	// connection when its transaction has ended.
	leaves = []struct {
		sign *regexp.Regexp
		why  string
	}{
		{regexp.MustCompile(`(?i)(^|;)\s*COPY\b`), "COPY"},
		{regexp.MustCompile(`(?i)\bpg_(try_)?advisory_(lock|unlock)\w*`), "session advisory lock; use pg_advisory_xact_lock"},
		{regexp.MustCompile(`(?i)\bCREATE\s+(OR\s+REPLACE\s+)?((LOCAL|GLOBAL)\s+)?TEMP(ORARY)?\b`), "temporary object"},
		{regexp.MustCompile(`(?i)\bINTO\s+((LOCAL|GLOBAL)\s+)?TEMP(ORARY)?\b`), "temporary object"},
		{regexp.MustCompile(`(?i)\bset_config\s*\(`), "set_config; use SET"},
		{regexp.MustCompile(`(?i)\bWITH\s+HOLD\b`), "cursor WITH HOLD"},
		{regexp.MustCompile(`(?i)(^|;)\s*(PREPARE|EXECUTE)\b`), "PREPARE in SQL; use the driver's prepared statements"},
		{regexp.MustCompile(`(?i)(^|;)\s*LISTEN\b`), "LISTEN"},
		{regexp.MustCompile(`(?i)(^|;)\s*LOAD\b`), "LOAD"},
		{regexp.MustCompile(`(?i)(^|;)\s*(SET|RESET)\s+(SESSION\s+)?(ROLE|AUTHORIZATION|CHARACTERISTICS)\b`), "change of role or of transaction defaults"},
	}
	dropsAtCommit = regexp.MustCompile(`(?i)\bON\s+COMMIT\s+DROP\b`)
	setAnywhere   = regexp.MustCompile(`(?i);\s*(SET|RESET|DISCARD|DEALLOCATE)\b`)
	setInBlock    = regexp.MustCompile(`(?i)^SET\s+(LOCAL|TRANSACTION|CONSTRAINTS)\b`)
	setOwn        = regexp.MustCompile(`(?i)^(SET|SHOW)\s+(SESSION\s+)?oriole\.`)
	resetsAll     = regexp.MustCompile(`(?i)^(DISCARD\s+\w+|RESET\s+ALL|DEALLOCATE\b.*|CLOSE\s+ALL|UNLISTEN\b.*)\s*;?$`)
	severalInOne  = regexp.MustCompile(`;\s*\S`)
)

func wordSet(text string) map[string]bool {
	set := map[string]bool{}
	for _, w := range strings.Fields(text) {
		set[w] = true
	}
	return set
}

// classify tells what a statement, or a simple query of several, may do. It
// looks at words only, without knowing where a literal begins: what it can't be
// sure of counts as a write that may commit, which is always right and costs a
// replica its chance, or the caller a sure answer after a failure.
func classify(sql string) class {
	sql = withoutNotes(sql)
	for _, l := range leaves {
		if l.sign.MatchString(sql) && !(l.why == "temporary object" && dropsAtCommit.MatchString(sql)) {
			return class{kind: statementRefused, why: l.why}
		}
	}
	word := strings.ToUpper(firstWord.FindString(sql))
	if severalInOne.MatchString(sql) {
		return classifySeveral(sql, word)
	}
	switch word {
	case "SELECT", "VALUES", "TABLE", "WITH":
		if effects.MatchString(sql) {
			return class{kind: statementWrite}
		}
		return class{kind: statementRead, pure: isPure(sql)}
	case "BEGIN", "START":
		return class{kind: statementBegin, pure: true}
	case "COMMIT", "END", "ROLLBACK", "ABORT":
		return class{kind: statementEnd, mayCommit: word == "COMMIT" || word == "END"}
	}
	return classifySetting(sql, word)
}

func classifySeveral(sql, word string) class {
	if setAnywhere.MatchString(sql) || (word == "SET" && !setInBlock.MatchString(sql)) || word == "RESET" || word == "DISCARD" {
		return class{kind: statementRefused, why: "SET or RESET together with other statements in one query"}
	}
	return class{kind: statementWrite, mayCommit: commits.MatchString(sql)}
}

func classifySetting(sql, word string) class {
	switch word {
	case "SHOW":
		if setOwn.MatchString(sql) {
			return class{kind: statementLocal, pure: true}
		}
		return class{kind: statementRead, pure: true}
	case "SET", "RESET", "DISCARD", "DEALLOCATE", "CLOSE", "UNLISTEN":
		switch {
		case setOwn.MatchString(sql), resetsAll.MatchString(sql):
			return class{kind: statementLocal, pure: true}
		case setInBlock.MatchString(sql), word == "CLOSE":
			return class{kind: statementWrite}
		}
		return class{kind: statementSet, pure: true}
	case "":
		if sql == "" || sql == ";" {
			return class{kind: statementRead, pure: true}
		}
	}
	return class{kind: statementWrite, mayCommit: commits.MatchString(word)}
}

// isPure reports whether every call in a read is known to have no effect.
func isPure(sql string) bool {
	for _, c := range calls.FindAllStringSubmatch(sql, -1) {
		if !harmless[strings.ToLower(c[1])] {
			return false
		}
	}
	return true
}

// withoutNotes cuts the comments before the first word. Comments nest.
func withoutNotes(sql string) string {
	for {
		sql = strings.TrimSpace(sql)
		switch {
		case strings.HasPrefix(sql, "--"):
			_, sql, _ = strings.Cut(sql, "\n")
		case strings.HasPrefix(sql, "/*"):
			sql = sql[endOfNote(sql):]
		default:
			return sql
		}
	}
}

func endOfNote(sql string) int {
	depth := 0
	for i := 0; i+1 < len(sql); i++ {
		switch sql[i : i+2] {
		case "/*":
			depth++
			i++
		case "*/":
			depth--
			i++
			if depth == 0 {
				return i + 1
			}
		}
	}
	return len(sql)
}

// kindOf returns the kind of request that a leading comment names.
func kindOf(sql string) string {
	if m := kindNote.FindStringSubmatch(sql); m != nil {
		return m[1]
	}
	return ""
}
