package relayer

import (
	"maps"
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

// unsettled are start-up parameters that are not settings of the session, or
// that belong to the instance's own connections.
var unsettled = map[string]bool{"user": true, "database": true, "replication": true, "options": true, "application_name": true}

var plainName = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]*(\.[A-Za-z_][A-Za-z0-9_]*)?$`)

// Settle takes the settings among a caller's start-up parameters, such as
// search_path or TimeZone: they hold for its session as if it had SET them.
func (s *Session) Settle(parameters map[string]string) {
	for _, name := range slices.Sorted(maps.Keys(parameters)) {
		value := parameters[name]
		switch {
		case unsettled[name], strings.HasPrefix(name, "oriole."), strings.HasPrefix(name, "_pq_."), !plainName.MatchString(name):
		case strings.EqualFold(name, "client_encoding") && strings.EqualFold(strings.ReplaceAll(value, "-", ""), "utf8"):
		default:
			// Not SET: it would take a list, as in search_path, for one name.
			sql := "SELECT set_config(" + literal(name) + ", " + literal(value) + ", false)"
			s.settings = s.settings.with(strings.ToLower(name), sql)
		}
	}
}

// change returns the settings after a SET or RESET.
func (s settings) change(sql string) settings {
	m := settingName.FindStringSubmatch(sql)
	if m == nil {
		return s
	}
	name := strings.ToLower(m[2])
	if strings.EqualFold(m[1], "SET") {
		return s.with(name, strings.TrimRight(sql, "; \n\t"))
	}
	return slices.DeleteFunc(slices.Clone(s), func(e setting) bool { return e.name == name })
}

// with returns the settings with one more, or one changed.
func (s settings) with(name, sql string) settings {
	out := slices.DeleteFunc(slices.Clone(s), func(e setting) bool { return e.name == name })
	return append(out, setting{name: name, sql: sql})
}

func literal(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// without returns the settings that the statements don't change anyway. A caller
// can so mend or reset one that targets refuse.
func (s settings) without(statements []string) settings {
	for _, sql := range statements {
		if m := settingName.FindStringSubmatch(sql); m != nil {
			s = s.change("RESET " + m[2])
		}
	}
	return s
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
