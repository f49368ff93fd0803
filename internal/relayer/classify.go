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
		// mayCommit is set when running the statement may end a transaction and
		// keep what it did.
		mayCommit bool
		// ends is set when the last statement ends a transaction for good:
		// neither back to a savepoint nor into another transaction.
		ends bool
		// block is set for a SET that ends with its transaction.
		block bool
		// readOnly is set for a BEGIN of a transaction that can't write.
		readOnly bool
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
	kindNote = regexp.MustCompile(`^\s*/\*\s*kind=([a-z0-9-]+)\s*\*/`)

	reads     = wordSet("SELECT VALUES TABLE WITH")
	ends      = wordSet("COMMIT END ROLLBACK ABORT")
	mayCommit = wordSet("COMMIT END ROLLBACK ABORT CALL DO")
	sets      = wordSet("SET RESET DISCARD DEALLOCATE")
	block     = wordSet("LOCAL TRANSACTION CONSTRAINTS")
	temporary = wordSet("TEMP TEMPORARY")
	// effects are the signs of a SELECT that changes something. A replica that
	// meets another one refuses it as a write, before it runs; the request then
	// goes to the primary.
	effects = wordSet("INTO INSERT UPDATE DELETE MERGE NEXTVAL SETVAL PG_NOTIFY TXID_CURRENT")
	locks   = wordSet("UPDATE SHARE NO KEY")
	// sessionLock are the functions whose lock outlives the transaction.
	sessionLock = regexp.MustCompile(`^PG_(TRY_)?ADVISORY_(LOCK|UNLOCK)`)
	// harmless are the words and functions that have no effect where they stand
	// before an opening bracket.
	harmless = wordSet(strings.ToUpper(`
		select from where and or not in exists any all some as on using over filter within group by having order limit offset
		values union intersect except case when then else end between like ilike is cast array row with recursive materialized
		distinct lateral join interval varchar char numeric decimal timestamp timestamptz time bit float
		count sum min max avg bool_and bool_or every array_agg string_agg json_agg jsonb_agg json_object_agg jsonb_object_agg
		coalesce nullif greatest least lower upper length char_length trim ltrim rtrim btrim substring substr left right replace
		position strpos concat concat_ws format to_char to_date to_timestamp to_number now date_trunc date_part extract age
		abs round ceil ceiling floor trunc mod power sqrt sign row_number rank dense_rank lag lead first_value last_value ntile
		generate_series unnest json_build_object jsonb_build_object json_build_array jsonb_build_array to_json to_jsonb
		row_to_json md5 encode decode array_length cardinality array_to_string string_to_array pg_sleep current_setting version`))
	// leaves are the first words of statements that leave something behind.
	leaves = map[string]string{
		"COPY":    "COPY",
		"LISTEN":  "LISTEN",
		"LOAD":    "LOAD",
		"PREPARE": "PREPARE in SQL; use the driver's prepared statements",
		"EXECUTE": "EXECUTE in SQL; use the driver's prepared statements",
	}
	// fixed are the settings that the instance itself relies on, or that would
	// give a caller another's rights.
	fixed = wordSet("ROLE AUTHORIZATION CHARACTERISTICS STANDARD_CONFORMING_STRINGS")
)

func wordSet(text string) map[string]bool {
	set := map[string]bool{}
	for _, w := range strings.Fields(text) {
		set[w] = true
	}
	return set
}

// classify tells what a statement, or a simple query of several, may do. It looks
// at words only: what it can't be sure of counts as a write that may commit,
// which is always right and costs a replica its chance, or the caller a sure
// answer after a failure.
func classify(sql string) class {
	statements := read(sql)
	if len(statements) == 0 {
		return class{kind: statementRead, pure: true}
	}
	for _, w := range statements {
		if why := w.leave(); why != "" {
			return class{kind: statementRefused, why: why}
		}
	}
	if len(statements) > 1 {
		return classifySeveral(statements)
	}
	return statements[0].class()
}

func classifySeveral(statements []words) class {
	c := class{kind: statementWrite, ends: statements[len(statements)-1].ends()}
	for _, w := range statements {
		if sets[w[0]] && !block[w.at(1)] {
			return class{kind: statementRefused, why: "SET or RESET together with other statements in one query"}
		}
		c.mayCommit = c.mayCommit || mayCommit[w[0]]
	}
	return c
}

func (w words) class() class {
	switch first := w[0]; {
	case reads[first]:
		if w.changes() {
			return class{kind: statementWrite}
		}
		return class{kind: statementRead, pure: w.pure()}
	case first == "BEGIN" || first == "START":
		return class{kind: statementBegin, pure: true, readOnly: w.follows("READ", "ONLY")}
	case ends[first]:
		return class{kind: statementEnd, mayCommit: first == "COMMIT" || first == "END", ends: w.ends()}
	case first == "SHOW":
		if w.own() {
			return class{kind: statementLocal, pure: true}
		}
		return class{kind: statementRead, pure: true}
	case sets[first], first == "CLOSE", first == "UNLISTEN":
		return w.setting()
	}
	return class{kind: statementWrite, mayCommit: mayCommit[w[0]]}
}

func (w words) setting() class {
	switch {
	case w.own(), w[0] == "DISCARD", w[0] == "DEALLOCATE", w[0] == "UNLISTEN", w.at(1) == "ALL":
		return class{kind: statementLocal, pure: true}
	case w[0] == "SET" && block[w.at(1)]:
		return class{kind: statementWrite, block: true}
	case w[0] == "CLOSE":
		return class{kind: statementWrite}
	}
	return class{kind: statementSet, pure: true}
}

// own reports whether the statement is about a setting of the proxy's own.
func (w words) own() bool {
	i := 1
	if w.at(1) == "SESSION" {
		i = 2
	}
	return w.followsAt(i, "ORIOLE", ".")
}

// ends reports whether the statement ends its transaction, and begins no other.
func (w words) ends() bool {
	return ends[w[0]] && (len(w) == 1 || (len(w) == 2 && (w[1] == "WORK" || w[1] == "TRANSACTION")))
}

// leave says what the statement would leave on its connection, empty for nothing.
func (w words) leave() string {
	if why := leaves[w[0]]; why != "" {
		return why
	}
	switch {
	case (w[0] == "SET" || w[0] == "RESET") && w.changesFixed():
		return "change of role, of transaction defaults or of the form of literals"
	case w[0] == "CREATE" && w[:min(5, len(w))].has(temporary) && !w.follows("ON", "COMMIT", "DROP"):
		return "temporary object"
	case w.follows("WITH", "HOLD"):
		return "cursor WITH HOLD"
	}
	for i, s := range w {
		switch {
		case w.at(i+1) == "(" && sessionLock.MatchString(s):
			return "session advisory lock; use pg_advisory_xact_lock"
		case w.at(i+1) == "(" && s == "SET_CONFIG":
			return "set_config; use SET"
		case s == "INTO" && (temporary[w.at(i+1)] || temporary[w.at(i+2)]):
			return "temporary object"
		}
	}
	return ""
}

func (w words) changesFixed() bool {
	i := 1
	if w.at(1) == "SESSION" || w.at(1) == "LOCAL" {
		i = 2
	}
	return fixed[strings.ToUpper(strings.Trim(w.at(i), `"`))]
}

// changes reports whether a SELECT changes or locks something.
func (w words) changes() bool {
	for i, s := range w {
		if effects[s] || (s == "FOR" && locks[w.at(i+1)]) || strings.HasPrefix(s, "PG_ADVISORY") || strings.HasPrefix(s, "LO_") {
			return true
		}
	}
	return false
}

// pure reports whether every call in a read is known to have no effect.
func (w words) pure() bool {
	for i, s := range w {
		call := w.at(i+1) == "(" && (isWord(s[0]) || s[0] == '"')
		if call && (!harmless[s] || w.at(i-1) == ".") {
			return false
		}
	}
	return true
}

// withoutNotes cuts the blanks and comments before the first word.
func withoutNotes(sql string) string {
	for len(sql) > 0 {
		word, size := next(sql)
		if word != "" {
			break
		}
		sql = sql[size:]
	}
	return strings.TrimSpace(sql)
}

// kindOf returns the kind of request that a leading comment names.
func kindOf(sql string) string {
	if !strings.Contains(sql, "kind=") {
		return ""
	}
	if m := kindNote.FindStringSubmatch(sql); m != nil {
		return m[1]
	}
	return ""
}
