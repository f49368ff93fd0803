package relayer

import (
	"regexp"
	"strings"
)

type (
	statementKind int

	// statementClass describes what a statement may do, judged by its tokens.
	statementClass struct {
		kind statementKind
		// pure is set when the statement calls no function that may have side effects. A read
		// that is not pure may still go to a replica, which rejects writes.
		pure bool
		// mayCommit is set when the statement may commit a transaction.
		mayCommit bool
		// endsTransaction is set when the last statement ends the transaction, without ROLLBACK
		// TO SAVEPOINT or AND CHAIN.
		endsTransaction bool
		// transactionScoped is set for a SET whose effect ends with the transaction.
		transactionScoped bool
		// readOnly is set for a BEGIN of a read-only transaction.
		readOnly bool
		// refusalReason explains why a statement of kind statementRefused is refused.
		refusalReason string
	}
)

const (
	statementRead statementKind = iota
	statementWrite
	statementBegin
	statementEnd
	// statementSet changes a session setting, which is tracked and replayed.
	statementSet
	// statementLocal is answered by the instance.
	statementLocal
	// statementRefused would leave session state on a shared connection.
	statementRefused
)

var (
	kindComment = regexp.MustCompile(`^\s*/\*\s*kind=([a-z0-9-]+)\s*\*/`)

	readKeywords             = wordSet("SELECT VALUES TABLE WITH")
	transactionEndKeywords   = wordSet("COMMIT END ROLLBACK ABORT")
	committingKeywords       = wordSet("COMMIT END ROLLBACK ABORT CALL DO")
	settingKeywords          = wordSet("SET RESET DISCARD DEALLOCATE")
	transactionScopeKeywords = wordSet("LOCAL TRANSACTION CONSTRAINTS")
	temporaryKeywords        = wordSet("TEMP TEMPORARY")
	// writeWords mark a SELECT as a write. Writes that they miss are rejected by the replica
	// and retried on the primary.
	writeWords      = wordSet("INTO INSERT UPDATE DELETE MERGE NEXTVAL SETVAL PG_NOTIFY TXID_CURRENT")
	rowLockKeywords = wordSet("UPDATE SHARE NO KEY")
	// sessionLockFunction matches functions whose lock outlives the transaction.
	sessionLockFunction = regexp.MustCompile(`^PG_(TRY_)?ADVISORY_(LOCK|UNLOCK)`)
	// sideEffectFreeWords are keywords and functions without side effects that may precede an
	// opening parenthesis.
	sideEffectFreeWords = wordSet(strings.ToUpper(`
		select from where and or not in exists any all some as on using over filter within group by having order limit offset
		values union intersect except case when then else end between like ilike is cast array row with recursive materialized
		distinct lateral join interval varchar char numeric decimal timestamp timestamptz time bit float
		count sum min max avg bool_and bool_or every array_agg string_agg json_agg jsonb_agg json_object_agg jsonb_object_agg
		coalesce nullif greatest least lower upper length char_length trim ltrim rtrim btrim substring substr left right replace
		position strpos concat concat_ws format to_char to_date to_timestamp to_number now date_trunc date_part extract age
		abs round ceil ceiling floor trunc mod power sqrt sign row_number rank dense_rank lag lead first_value last_value ntile
		generate_series unnest json_build_object jsonb_build_object json_build_array jsonb_build_array to_json to_jsonb
		row_to_json md5 encode decode array_length cardinality array_to_string string_to_array pg_sleep current_setting version`))
	// unsupportedStatements maps the first word of statements that leave session state to the
	// reason shown to the client.
	unsupportedStatements = map[string]string{
		"COPY":    "COPY",
		"LISTEN":  "LISTEN",
		"LOAD":    "LOAD",
		"PREPARE": "PREPARE in SQL; use the driver's prepared statements",
		"EXECUTE": "EXECUTE in SQL; use the driver's prepared statements",
	}
	// protectedSettings are settings that the proxy depends on or that would change the
	// client's privileges.
	protectedSettings = wordSet("ROLE AUTHORIZATION CHARACTERISTICS STANDARD_CONFORMING_STRINGS")
)

func wordSet(text string) map[string]bool {
	set := map[string]bool{}
	for _, w := range strings.Fields(text) {
		set[w] = true
	}
	return set
}

// classify determines what a query of one or more statements may do, by its tokens only.
// Anything ambiguous counts as a write that may commit, which is always safe.
func classify(sql string) statementClass {
	statements := splitStatements(sql)
	if len(statements) == 0 {
		return statementClass{kind: statementRead, pure: true}
	}
	for _, w := range statements {
		if why := w.sessionStateReason(); why != "" {
			return statementClass{kind: statementRefused, refusalReason: why}
		}
	}
	if len(statements) > 1 {
		return classifySeveral(statements)
	}
	return statements[0].classify()
}

func classifySeveral(statements []tokens) statementClass {
	c := statementClass{kind: statementWrite, endsTransaction: statements[len(statements)-1].endsTransaction()}
	for _, w := range statements {
		if settingKeywords[w[0]] && !transactionScopeKeywords[w.at(1)] {
			return statementClass{kind: statementRefused, refusalReason: "SET or RESET combined with other statements in one query"}
		}
		c.mayCommit = c.mayCommit || committingKeywords[w[0]]
	}
	return c
}

func (t tokens) classify() statementClass {
	switch first := t[0]; {
	case readKeywords[first]:
		if t.writesOrLocks() {
			return statementClass{kind: statementWrite}
		}
		return statementClass{kind: statementRead, pure: t.pure()}
	case first == "BEGIN" || first == "START":
		return statementClass{kind: statementBegin, pure: true, readOnly: t.containsSequence("READ", "ONLY")}
	case transactionEndKeywords[first]:
		return statementClass{kind: statementEnd, mayCommit: first == "COMMIT" || first == "END", endsTransaction: t.endsTransaction()}
	case first == "SHOW":
		if t.isProxySetting() {
			return statementClass{kind: statementLocal, pure: true}
		}
		return statementClass{kind: statementRead, pure: true}
	case settingKeywords[first], first == "CLOSE", first == "UNLISTEN":
		return t.classifySetting()
	}
	return statementClass{kind: statementWrite, mayCommit: committingKeywords[t[0]]}
}

func (t tokens) classifySetting() statementClass {
	switch {
	case t.isProxySetting(), t[0] == "DISCARD", t[0] == "DEALLOCATE", t[0] == "UNLISTEN", t.at(1) == "ALL":
		return statementClass{kind: statementLocal, pure: true}
	case t[0] == "SET" && transactionScopeKeywords[t.at(1)]:
		return statementClass{kind: statementWrite, transactionScoped: true}
	case t[0] == "CLOSE":
		return statementClass{kind: statementWrite}
	}
	return statementClass{kind: statementSet, pure: true}
}

// isProxySetting reports whether the statement concerns one of the proxy's settings.
func (t tokens) isProxySetting() bool {
	i := 1
	if t.at(1) == "SESSION" {
		i = 2
	}
	return t.hasSequenceAt(i, "ORIOLE", ".")
}

// endsTransaction reports whether the statement ends its transaction and begins no other.
func (t tokens) endsTransaction() bool {
	return transactionEndKeywords[t[0]] && (len(t) == 1 || (len(t) == 2 && (t[1] == "WORK" || t[1] == "TRANSACTION")))
}

// sessionStateReason returns which session state the statement would leave on its connection,
// empty for none.
func (t tokens) sessionStateReason() string {
	if why := unsupportedStatements[t[0]]; why != "" {
		return why
	}
	switch {
	case (t[0] == "SET" || t[0] == "RESET") && t.changesProtectedSetting():
		return "change of the role, the transaction defaults or the literal syntax"
	case t[0] == "CREATE" && t[:min(5, len(t))].containsAny(temporaryKeywords) && !t.containsSequence("ON", "COMMIT", "DROP"):
		return "temporary object"
	case t.containsSequence("WITH", "HOLD"):
		return "cursor WITH HOLD"
	}
	for i, s := range t {
		switch {
		case t.at(i+1) == "(" && sessionLockFunction.MatchString(s):
			return "session advisory lock; use pg_advisory_xact_lock"
		case t.at(i+1) == "(" && s == "SET_CONFIG":
			return "set_config; use SET"
		case s == "INTO" && (temporaryKeywords[t.at(i+1)] || temporaryKeywords[t.at(i+2)]):
			return "temporary object"
		}
	}
	return ""
}

func (t tokens) changesProtectedSetting() bool {
	i := 1
	if t.at(1) == "SESSION" || t.at(1) == "LOCAL" {
		i = 2
	}
	return protectedSettings[strings.ToUpper(strings.Trim(t.at(i), `"`))]
}

// writesOrLocks reports whether a SELECT writes data or takes locks.
func (t tokens) writesOrLocks() bool {
	for i, s := range t {
		if writeWords[s] || (s == "FOR" && rowLockKeywords[t.at(i+1)]) || strings.HasPrefix(s, "PG_ADVISORY") || strings.HasPrefix(s, "LO_") {
			return true
		}
	}
	return false
}

// pure reports whether all functions called are known to have no side effects.
func (t tokens) pure() bool {
	for i, s := range t {
		call := t.at(i+1) == "(" && (isWordByte(s[0]) || s[0] == '"')
		if call && (!sideEffectFreeWords[s] || t.at(i-1) == ".") {
			return false
		}
	}
	return true
}

// trimLeadingComments removes leading white space and comments.
func trimLeadingComments(sql string) string {
	for len(sql) > 0 {
		word, size := nextToken(sql)
		if word != "" {
			break
		}
		sql = sql[size:]
	}
	return strings.TrimSpace(sql)
}

// requestKind returns the request kind named in a leading comment.
func requestKind(sql string) string {
	if !strings.Contains(sql, "kind=") {
		return ""
	}
	if m := kindComment.FindStringSubmatch(sql); m != nil {
		return m[1]
	}
	return ""
}
