package relayer

import (
	"regexp"
	"strings"
)

// words are the words and signs of a statement, in upper case. Literals are "'";
// quoted names keep their opening quote, so that none passes for a keyword.
type words []string

var dollarQuote = regexp.MustCompile(`^\$([A-Za-z_]\w*)?\$`)

// read returns the statements of a query, one or several. It knows where
// literals, quoted names and comments end, and nothing else of the language.
func read(sql string) (statements []words) {
	var now words
	for len(sql) > 0 {
		word, size := next(sql)
		sql = sql[size:]
		switch word {
		case "":
		case ";":
			if len(now) > 0 {
				statements = append(statements, now)
			}
			now = nil
		default:
			now = append(now, word)
		}
	}
	if len(now) > 0 {
		statements = append(statements, now)
	}
	return statements
}

// next returns the first word and its size; the word is empty for a blank or a
// comment.
func next(sql string) (word string, size int) {
	c := sql[0]
	switch {
	case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v':
		return "", 1
	case strings.HasPrefix(sql, "--"):
		return "", until(sql, 2, "\n")
	case strings.HasPrefix(sql, "/*"):
		return "", endOfNote(sql)
	case c == '\'':
		return "'", until(sql, 1, "'")
	case (c == 'E' || c == 'e') && len(sql) > 1 && sql[1] == '\'':
		return "'", endOfEscaped(sql)
	case c == '"':
		n := until(sql, 1, `"`)
		return sql[:n], n
	case c == '$':
		if tag := dollarQuote.FindString(sql); tag != "" {
			return "'", until(sql, len(tag), tag)
		}
		return "$", 1
	case isWord(c):
		n := 1
		for n < len(sql) && (isWord(sql[n]) || sql[n] == '$') {
			n++
		}
		return strings.ToUpper(sql[:n]), n
	}
	return sql[:1], 1
}

func isWord(c byte) bool {
	return c == '_' || c >= 0x80 || (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
}

// until returns where the first end after a start is over, or the whole size.
func until(sql string, start int, end string) int {
	if i := strings.Index(sql[start:], end); i >= 0 {
		return start + i + len(end)
	}
	return len(sql)
}

// endOfEscaped returns the size of a literal E'…', in which a backslash escapes.
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

// endOfNote returns the size of a comment. Comments nest.
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

// at returns word i, empty when there is none.
func (w words) at(i int) string {
	if i < 0 || i >= len(w) {
		return ""
	}
	return w[i]
}

// follows reports whether the words stand in w, one after another.
func (w words) follows(want ...string) bool {
	for i := range w {
		if w.followsAt(i, want...) {
			return true
		}
	}
	return false
}

func (w words) followsAt(i int, want ...string) bool {
	for k, s := range want {
		if w.at(i+k) != s {
			return false
		}
	}
	return true
}

// has reports whether one of the words stands in w.
func (w words) has(set map[string]bool) bool {
	for _, s := range w {
		if set[s] {
			return true
		}
	}
	return false
}
