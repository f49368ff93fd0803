package relayer

import (
	"regexp"
	"strings"
)

// tokens are the words and symbols of a statement, in upper case. String literals become "'";
// quoted identifiers keep their opening quote to distinguish them from keywords.
type tokens []string

var dollarQuote = regexp.MustCompile(`^\$([A-Za-z_]\w*)?\$`)

// splitStatements splits a query into statements. It recognizes string literals, quoted
// identifiers and comments only.
func splitStatements(sql string) (statements []tokens) {
	var current tokens
	for len(sql) > 0 {
		word, size := nextToken(sql)
		sql = sql[size:]
		switch word {
		case "":
		case ";":
			if len(current) > 0 {
				statements = append(statements, current)
			}
			current = nil
		default:
			current = append(current, word)
		}
	}
	if len(current) > 0 {
		statements = append(statements, current)
	}
	return statements
}

// nextToken returns the first token and its length; the token is empty for white space and
// comments.
func nextToken(sql string) (word string, size int) {
	c := sql[0]
	switch {
	case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v':
		return "", 1
	case strings.HasPrefix(sql, "--"):
		return "", endAfter(sql, 2, "\n")
	case strings.HasPrefix(sql, "/*"):
		return "", endOfComment(sql)
	case c == '\'':
		return "'", endAfter(sql, 1, "'")
	case (c == 'E' || c == 'e') && len(sql) > 1 && sql[1] == '\'':
		return "'", endOfEscaped(sql)
	case c == '"':
		n := endAfter(sql, 1, `"`)
		return sql[:n], n
	case c == '$':
		if tag := dollarQuote.FindString(sql); tag != "" {
			return "'", endAfter(sql, len(tag), tag)
		}
		return "$", 1
	case isWordByte(c):
		n := 1
		for n < len(sql) && (isWordByte(sql[n]) || sql[n] == '$') {
			n++
		}
		return strings.ToUpper(sql[:n]), n
	}
	return sql[:1], 1
}

func isWordByte(c byte) bool {
	return c == '_' || c >= 0x80 || (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
}

// endAfter returns the offset just after the first terminator from start on, or the length if
// there is none.
func endAfter(sql string, start int, end string) int {
	if i := strings.Index(sql[start:], end); i >= 0 {
		return start + i + len(end)
	}
	return len(sql)
}

// endOfEscaped returns the length of an E'…' literal with backslash escapes.
func endOfEscaped(sql string) int {
	for i := 2; i < len(sql); i++ {
		switch sql[i] {
		case '\\':
			i++
		case '\'':
			return i + 1
		}
	}
	return len(sql)
}

// endOfComment returns the length of a comment; comments nest.
func endOfComment(sql string) int {
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

// at returns token i, empty if out of range.
func (t tokens) at(i int) string {
	if i < 0 || i >= len(t) {
		return ""
	}
	return t[i]
}

// containsSequence reports whether the tokens occur in w consecutively.
func (t tokens) containsSequence(want ...string) bool {
	for i := range t {
		if t.hasSequenceAt(i, want...) {
			return true
		}
	}
	return false
}

func (t tokens) hasSequenceAt(i int, want ...string) bool {
	for k, s := range want {
		if t.at(i+k) != s {
			return false
		}
	}
	return true
}

// containsAny reports whether w contains a token of the set.
func (t tokens) containsAny(set map[string]bool) bool {
	for _, s := range t {
		if set[s] {
			return true
		}
	}
	return false
}
