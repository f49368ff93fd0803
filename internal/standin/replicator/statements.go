package replicator

import (
	"context"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

const (
	oidText = 25
	oidInt8 = 20
	oidBool = 16
)

type (
	column struct {
		Name string
		OID  uint32
	}

	// result is the result of a statement, or an error.
	result struct {
		Columns []column
		Rows    [][]string
		Tag     string
		Err     *sqlError
		// Copy is set if the statement continues in copy-in mode.
		Copy bool
	}

	// sqlError is an error response, of severity FATAL or ERROR.
	sqlError struct {
		Code    string
		Message string
		Fatal   bool
	}

	// statementKind is a supported form of statement.
	statementKind struct {
		Name    string
		Pattern *regexp.Regexp
		// Write marks statements that only a primary executes.
		Write   bool
		Columns []column
		Run     func(ctx context.Context, s *session, a []string) result
	}
)

// valuePattern matches a placeholder such as $1, or a string or number literal.
const valuePattern = `(\$\d+(?:::\w+)?|'(?:[^']|'')*'|-?\d+(?:\.\d+)?)`

func compilePattern(s string) *regexp.Regexp {
	s = strings.ReplaceAll(s, "{v}", valuePattern)
	s = strings.ReplaceAll(s, " ", `\s+`)
	return regexp.MustCompile(`(?is)^\s*` + s + `\s*;?\s*$`)
}

var (
	valueColumn     = []column{{"value", oidText}}
	keyValueColumns = []column{{"key", oidText}, {"value", oidText}}
	countColumn     = []column{{"count", oidInt8}}

	// statementKinds lists the supported statements; the first match is used.
	statementKinds = []statementKind{
		{Name: "insert", Write: true, Pattern: compilePattern(`INSERT INTO (\w+)(?: \(\w+,\s*\w+\))? VALUES\s*\(\s*{v}\s*,\s*{v}\s*\)`), Run: runInsert},
		{Name: "add", Write: true, Pattern: compilePattern(`UPDATE (\w+) SET \w+\s*=\s*\w+\s*\+\s*{v} WHERE \w+\s*=\s*{v}`), Run: runAdd},
		{Name: "update", Write: true, Pattern: compilePattern(`UPDATE (\w+) SET \w+\s*=\s*{v} WHERE \w+\s*=\s*{v}`), Run: runUpdate},
		{Name: "delete", Write: true, Pattern: compilePattern(`DELETE FROM (\w+) WHERE \w+\s*=\s*{v}`), Run: runDelete},
		{Name: "get", Columns: valueColumn, Pattern: compilePattern(`SELECT value FROM (\w+) WHERE key\s*=\s*{v}(?: FOR UPDATE)?`), Run: runGet},
		{Name: "count", Columns: countColumn, Pattern: compilePattern(`SELECT count\(\*\) FROM (\w+)`), Run: runCount},
		{Name: "scan", Columns: keyValueColumns, Pattern: compilePattern(`SELECT (?:\*|key,\s*value) FROM (\w+)(?: ORDER BY key)?(?: LIMIT (\d+))?`), Run: runScan},
		{Name: "series", Columns: []column{{"generate_series", oidInt8}}, Pattern: compilePattern(`SELECT (?:\* FROM )?generate_series\(\s*{v}\s*,\s*{v}\s*\)`), Run: runSeries},
		{Name: "sleep", Columns: []column{{"pg_sleep", oidText}}, Pattern: compilePattern(`SELECT pg_sleep\(\s*{v}\s*\)`), Run: runSleep},
		{Name: "constant", Columns: []column{{"?column?", oidText}}, Pattern: compilePattern(`SELECT {v}`), Run: runConstant},
		{Name: "begin", Pattern: compilePattern(`(?:BEGIN|START TRANSACTION)(?: [\w\s,]+)?`), Run: runBegin},
		{Name: "commit", Pattern: compilePattern(`(?:COMMIT|END)(?: TRANSACTION| WORK)?`), Run: runCommit},
		{Name: "rollback", Pattern: compilePattern(`(?:ROLLBACK|ABORT)(?: TRANSACTION| WORK)?`), Run: runRollback},
		{Name: "set", Pattern: compilePattern(`SET(?: SESSION)? ([\w.]+)(?:\s*=\s*| TO )(.+?)`), Run: runSet},
		{Name: "set_config", Columns: []column{{"set_config", oidText}}, Pattern: compilePattern(`SELECT set_config\(\s*{v}\s*,\s*{v}\s*,\s*false\s*\)`), Run: runSetConfig},
		{Name: "show", Columns: []column{{"setting", oidText}}, Pattern: compilePattern(`SHOW ([\w.]+)`), Run: runShow},
		{Name: "discard", Pattern: compilePattern(`(?:DISCARD ALL|DEALLOCATE ALL|UNLISTEN \*|CLOSE ALL)`), Run: runDiscard},
		{Name: "reset", Pattern: compilePattern(`RESET (?:ALL|\w+)`), Run: runReset},
		{Name: "deallocate", Pattern: compilePattern(`DEALLOCATE (\S+?)`), Run: runDeallocate},
		{Name: "status", Columns: statusColumns, Pattern: compilePattern(`SELECT \* FROM oriole_status\(\)`), Run: runStatus},
		{Name: "await", Columns: []column{{"oriole_await", oidBool}}, Pattern: compilePattern(`SELECT oriole_await\(\s*{v}\s*,\s*{v}\s*,\s*{v}\s*\)`), Run: runAwait},
		{Name: "replayed", Columns: []column{{"oriole_replayed", oidBool}}, Pattern: compilePattern(`SELECT oriole_replayed\(\s*{v}\s*,\s*{v}\s*,\s*{v}\s*\)`), Run: runReplayed},
		{Name: "activity", Columns: []column{{"state", oidText}}, Pattern: compilePattern(`SELECT state FROM pg_stat_activity WHERE pid\s*=\s*{v}`), Run: runActivity},
		{Name: "advisory lock", Columns: []column{{"pg_advisory_lock", oidText}}, Pattern: compilePattern(`SELECT pg_advisory_lock\(\s*{v}\s*\)`), Run: runAdvisoryLock},
		{Name: "set in function", Columns: []column{{"value", oidText}}, Pattern: compilePattern(`SELECT \* FROM remember\(\s*{v}\s*\)`), Run: runRemember},
		{Name: "release", Columns: []column{{"value", oidText}}, Write: true, Pattern: compilePattern(`SELECT release_locker\(\s*{v}\s*\)`), Run: runRelease},
		{Name: "copy", Write: true, Pattern: compilePattern(`(?:WITH x AS \(SELECT 1\) )?COPY (\w+) FROM STDIN`), Run: runCopy},
		{Name: "fence", Columns: statusColumns, Pattern: compilePattern(`SELECT \* FROM oriole_fence\(\s*{v}\s*,\s*{v}\s*\)`), Run: runFence},
		{Name: "drain", Columns: statusColumns, Pattern: compilePattern(`SELECT \* FROM oriole_drain\(\s*{v}\s*,\s*{v}\s*,\s*{v}\s*\)`), Run: runDrain},
		{Name: "promote", Columns: statusColumns, Pattern: compilePattern(`SELECT \* FROM oriole_promote\(\s*{v}\s*,\s*{v}\s*\)`), Run: runPromote},
		{Name: "follow", Columns: statusColumns, Pattern: compilePattern(`SELECT \* FROM oriole_follow\(\s*{v}\s*,\s*{v}\s*\)`), Run: runFollow},
	}
)

// reportedSettings maps the lower-case names of settings whose changes are reported to the
// parameter names.
var reportedSettings = map[string]string{"timezone": "TimeZone", "datestyle": "DateStyle", "application_name": "application_name"}

// matchStatement returns the kind of a statement and its raw arguments, or nil.
func matchStatement(sql string) (*statementKind, []string) {
	sql = stripComment(sql)
	for i := range statementKinds {
		if a := statementKinds[i].Pattern.FindStringSubmatch(sql); a != nil {
			return &statementKinds[i], a[1:]
		}
	}
	return nil, nil
}

func stripComment(sql string) string {
	sql = strings.TrimSpace(sql)
	for strings.HasPrefix(sql, "/*") {
		end := strings.Index(sql, "*/")
		if end < 0 {
			return sql
		}
		sql = strings.TrimSpace(sql[end+2:])
	}
	return sql
}

// bindArguments replaces placeholders by parameters and unquotes literals.
func bindArguments(args, params []string) []string {
	out := make([]string, len(args))
	for i, a := range args {
		switch {
		case strings.HasPrefix(a, "$"):
			n, _ := strconv.Atoi(strings.TrimPrefix(strings.SplitN(a, "::", 2)[0], "$"))
			if n >= 1 && n <= len(params) {
				out[i] = params[n-1]
			}
		case len(a) >= 2 && a[0] == '\'' && a[len(a)-1] == '\'':
			out[i] = strings.ReplaceAll(a[1:len(a)-1], "''", "'")
		default:
			out[i] = a
		}
	}
	return out
}

var placeholders = regexp.MustCompile(`\$(\d+)`)

// maxPlaceholder returns the highest placeholder number in a statement.
func maxPlaceholder(sql string) int {
	n := 0
	for _, a := range placeholders.FindAllStringSubmatch(sql, -1) {
		if k, err := strconv.Atoi(a[1]); err == nil {
			n = max(n, k)
		}
	}
	return n
}

func runInsert(_ context.Context, s *session, a []string) result {
	if _, ok := s.lookup(a[0], a[1]); ok {
		return result{Err: &sqlError{Code: "23505", Message: "duplicate key value violates unique constraint"}}
	}
	s.stage(Op{Table: a[0], Key: a[1], Value: a[2]})
	return result{Tag: "INSERT 0 1"}
}

func runUpdate(_ context.Context, s *session, a []string) result {
	return s.stageExisting(Op{Table: a[0], Key: a[2], Value: a[1]}, "UPDATE")
}

func runAdd(_ context.Context, s *session, a []string) result {
	return s.stageExisting(Op{Table: a[0], Key: a[2], Value: a[1], Add: true}, "UPDATE")
}

func runDelete(_ context.Context, s *session, a []string) result {
	return s.stageExisting(Op{Table: a[0], Key: a[1], Delete: true}, "DELETE")
}

func runGet(_ context.Context, s *session, a []string) result {
	r := result{Columns: valueColumn}
	if v, ok := s.lookup(a[0], a[1]); ok {
		r.Rows = [][]string{{v}}
	}
	r.Tag = "SELECT " + strconv.Itoa(len(r.Rows))
	return r
}

func runCount(_ context.Context, s *session, a []string) result {
	return result{Columns: countColumn, Rows: [][]string{{strconv.Itoa(len(s.tableView(a[0])))}}, Tag: "SELECT 1"}
}

func runScan(_ context.Context, s *session, a []string) result {
	t := s.tableView(a[0])
	keys := make([]string, 0, len(t))
	for k := range t {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	if n, err := strconv.Atoi(a[1]); err == nil && n < len(keys) {
		keys = keys[:n]
	}
	r := result{Columns: keyValueColumns, Tag: "SELECT " + strconv.Itoa(len(keys))}
	for _, k := range keys {
		r.Rows = append(r.Rows, []string{k, t[k]})
	}
	return r
}

func runSeries(_ context.Context, _ *session, a []string) result {
	from, _ := strconv.Atoi(a[0])
	to, _ := strconv.Atoi(a[1])
	r := result{Columns: []column{{"generate_series", oidInt8}}}
	for i := from; i <= to; i++ {
		r.Rows = append(r.Rows, []string{strconv.Itoa(i)})
	}
	r.Tag = "SELECT " + strconv.Itoa(len(r.Rows))
	return r
}

func runSleep(ctx context.Context, _ *session, a []string) result {
	seconds, _ := strconv.ParseFloat(a[0], 64)
	sleep(ctx, time.Duration(seconds*float64(time.Second)))
	if ctx.Err() != nil {
		return result{Err: &sqlError{Code: "57014", Message: "canceling statement due to user request"}}
	}
	return result{Columns: []column{{"pg_sleep", oidText}}, Rows: [][]string{{""}}, Tag: "SELECT 1"}
}

func runConstant(_ context.Context, _ *session, a []string) result {
	return result{Columns: []column{{"?column?", oidText}}, Rows: [][]string{{a[0]}}, Tag: "SELECT 1"}
}

func runBegin(_ context.Context, s *session, _ []string) result {
	s.inTransaction = true
	return result{Tag: "BEGIN"}
}

func runCommit(_ context.Context, s *session, _ []string) result {
	if s.failed {
		s.rollback()
		return result{Tag: "ROLLBACK"}
	}
	if r := s.commit(); r != nil {
		return result{Err: r}
	}
	return result{Tag: "COMMIT"}
}

func runRollback(_ context.Context, s *session, _ []string) result {
	s.rollback()
	return result{Tag: "ROLLBACK"}
}

func runSet(_ context.Context, s *session, a []string) result {
	if strings.ToLower(a[0]) == "no_such_setting" {
		return result{Err: &sqlError{Code: "42704", Message: "unrecognized configuration parameter"}}
	}
	s.settings[strings.ToLower(a[0])] = strings.Trim(a[1], `'"`)
	if name := reportedSettings[strings.ToLower(a[0])]; name != "" {
		s.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: strings.Trim(a[1], `'"`)})
	}
	return result{Tag: "SET"}
}

func runSetConfig(ctx context.Context, s *session, a []string) result {
	r := runSet(ctx, s, a)
	if r.Err != nil {
		return r
	}
	return result{Columns: []column{{"set_config", oidText}}, Rows: [][]string{{a[1]}}, Tag: "SELECT 1"}
}

func runShow(_ context.Context, s *session, a []string) result {
	v := s.settings[strings.ToLower(a[0])]
	return result{Columns: []column{{"setting", oidText}}, Rows: [][]string{{v}}, Tag: "SHOW"}
}

func runDiscard(_ context.Context, s *session, _ []string) result {
	s.settings = map[string]string{}
	s.statements = map[string]*prepared{}
	return result{Tag: "DISCARD ALL"}
}

func runReset(_ context.Context, s *session, _ []string) result {
	s.settings = map[string]string{}
	return result{Tag: "RESET"}
}

// runActivity returns whether a session is active or idle, or no row.
func runActivity(_ context.Context, s *session, a []string) result {
	m := s.member
	m.mutex.Lock()
	defer m.mutex.Unlock()
	r := result{Columns: []column{{"state", oidText}}, Tag: "SELECT 0"}
	for o := range m.sessions {
		if strconv.FormatUint(uint64(o.pid), 10) != a[0] {
			continue
		}
		state := "idle"
		if o.cancelRunning.Load() != nil {
			state = "active"
		}
		r.Rows, r.Tag = [][]string{{state}}, "SELECT 1"
	}
	return r
}

// runAdvisoryLock records a session-level lock, which blocks no other session.
func runAdvisoryLock(_ context.Context, s *session, a []string) result {
	s.settings["lock"] = a[0]
	return result{Columns: []column{{"pg_advisory_lock", oidText}}, Rows: [][]string{{""}}, Tag: "SELECT 1"}
}

// runRemember simulates a function that changes a setting; only its command tag, SET, shows this.
func runRemember(_ context.Context, s *session, a []string) result {
	s.settings["remembered"] = a[0]
	return result{Columns: []column{{"value", oidText}}, Rows: [][]string{{a[0]}}, Tag: "SET"}
}

// runRelease simulates a function that writes a row, called by SELECT.
func runRelease(_ context.Context, s *session, a []string) result {
	s.stage(Op{Table: "ledger", Key: a[0], Value: "1", Add: true})
	return result{Columns: []column{{"value", oidText}}, Rows: [][]string{{a[0]}}, Tag: "SELECT 1"}
}

func runCopy(_ context.Context, _ *session, _ []string) result {
	return result{Copy: true}
}

func runDeallocate(_ context.Context, s *session, a []string) result {
	delete(s.statements, strings.Trim(a[0], `"`))
	return result{Tag: "DEALLOCATE"}
}

func parsePosition(term, offset string) orderer.Position {
	t, _ := strconv.ParseUint(term, 10, 64)
	o, _ := strconv.ParseUint(offset, 10, 64)
	return orderer.Position{Term: t, Offset: o}
}
