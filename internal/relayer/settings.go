package relayer

import (
	"regexp"
	"slices"
	"strings"
)

type (
	// settings are what a caller has SET, by name. They belong to the caller,
	// not to a connection: before a connection is lent to a caller with other
	// settings than the last one's, it is reset and set up anew.
	settings []setting

	setting struct {
		name string
		sql  string
	}
)

var settingName = regexp.MustCompile(`(?i)^(SET|RESET)\s+(?:SESSION\s+)?(TIME\s+ZONE|[\w.]+)`)

// change returns the settings after a SET or RESET.
func (s settings) change(sql string) settings {
	m := settingName.FindStringSubmatch(sql)
	if m == nil {
		return s
	}
	name := strings.ToLower(m[2])
	out := slices.DeleteFunc(slices.Clone(s), func(e setting) bool { return e.name == name })
	if strings.EqualFold(m[1], "SET") {
		out = append(out, setting{name: name, sql: strings.TrimRight(sql, "; \n\t")})
	}
	return out
}

// script returns the statements that set up a connection, empty for none.
func (s settings) script() string {
	var b strings.Builder
	for i, e := range s {
		if i > 0 {
			b.WriteString("; ")
		}
		b.WriteString(e.sql)
	}
	return b.String()
}

// leaving are the command tags of statements that leave something behind on a
// connection. Words may hide a statement from classify; its tag can't be hidden:
// a connection on which an unexpected one was seen is destroyed when its
// transaction is over, so no other caller meets what it left.
var leaving = []string{"SET", "RESET", "PREPARE", "LISTEN", "LOAD", "DISCARD", "DEALLOCATE", "DECLARE", "CREATE TABLE", "CREATE VIEW", "CREATE SEQUENCE"}

func leavesState(tag []byte) bool {
	for _, l := range leaving {
		if strings.HasPrefix(string(tag), l) {
			return true
		}
	}
	return false
}
