package relayer

import (
	"maps"
	"regexp"
	"slices"
	"strings"
)

type (
	// settings are the client's session settings in the order of their changes. They are
	// applied to each connection that last served different settings.
	settings []setting

	setting struct {
		name string
		sql  string
	}
)

var settingName = regexp.MustCompile(`(?i)^(SET|RESET)\s+(?:SESSION\s+)?(TIME\s+ZONE|[\w.]+)`)

// ignoredParameters are startup parameters that are not session settings or are reserved for
// the proxy's connections.
var ignoredParameters = map[string]bool{"user": true, "database": true, "replication": true, "options": true, "application_name": true}

var plainName = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]*(\.[A-Za-z_][A-Za-z0-9_]*)?$`)

// ApplyStartupParameters applies a client's startup parameters, such as search_path or TimeZone,
// as session settings.
func (s *Session) ApplyStartupParameters(parameters map[string]string) {
	for _, name := range slices.Sorted(maps.Keys(parameters)) {
		value := parameters[name]
		switch {
		case ignoredParameters[name], strings.HasPrefix(name, "oriole."), strings.HasPrefix(name, "_pq_."), !plainName.MatchString(name):
		case strings.EqualFold(name, "client_encoding") && strings.EqualFold(strings.ReplaceAll(value, "-", ""), "utf8"):
		default:
			// SET would treat a list, as in search_path, as one name.
			sql := "SELECT set_config(" + quoteLiteral(name) + ", " + quoteLiteral(value) + ", false)"
			s.settings = s.settings.with(strings.ToLower(name), sql)
		}
	}
}

// apply returns the settings after a SET or RESET.
func (s settings) apply(sql string) settings {
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

// with returns the settings with one added or replaced.
func (s settings) with(name, sql string) settings {
	out := slices.DeleteFunc(slices.Clone(s), func(e setting) bool { return e.name == name })
	return append(out, setting{name: name, sql: sql})
}

func quoteLiteral(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// without returns the settings except those that the statements change, so that a client can
// correct a setting that targets reject.
func (s settings) without(statements []string) settings {
	for _, sql := range statements {
		if m := settingName.FindStringSubmatch(sql); m != nil {
			s = s.apply("RESET " + m[2])
		}
	}
	return s
}

// script returns the SQL that applies the settings, empty for none.
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

// statefulTags are the command tags of statements that leave session state. They reveal
// statements that classify missed: a connection with an unexpected tag is destroyed after the
// transaction.
var statefulTags = []string{"SET", "RESET", "PREPARE", "LISTEN", "LOAD", "DISCARD", "DEALLOCATE", "DECLARE", "CREATE TABLE", "CREATE VIEW", "CREATE SEQUENCE"}

func leavesSessionState(tag []byte) bool {
	for _, l := range statefulTags {
		if strings.HasPrefix(string(tag), l) {
			return true
		}
	}
	return false
}
