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

	// result is the outcome of one statement.
	result struct {
		Columns []column
		Rows    [][]string
		Tag     string
		Err     *refusal
		// Copy is set when the statement goes on to take rows from the caller.
		Copy bool
	}

	// refusal is an error that the member reports.
	refusal struct {
		Code    string
		Message string
		Fatal   bool
	}

	// shape is one form of statement that the member understands. Placeholders
	// ($1) and literals ('x' or 12) both match (value).
	shape struct {
		Name    string
		Pattern *regexp.Regexp
		// Write marks shapes that only a primary runs.
		Write   bool
		Columns []column
		Run     func(ctx context.Context, s *session, a []string) result
	}
)

const value = `(\$\d+(?:::\w+)?|'(?:[^']|'')*'|-?\d+(?:\.\d+)?)`

func pattern(s string) *regexp.Regexp {
	s = strings.ReplaceAll(s, "{v}", value)
	s = strings.ReplaceAll(s, " ", `\s+`)
	return regexp.MustCompile(`(?is)^\s*` + s + `\s*;?\s*$`)
}

var (
	valueColumn = []column{{"value", oidText}}
	pairColumns = []column{{"key", oidText}, {"value", oidText}}
	countColumn = []column{{"count", oidInt8}}

	// shapes is the table of statements; the first match wins.
	shapes = []shape{
		{Name: "insert", Write: true, Pattern: pattern(`INSERT INTO (\w+)(?: \(\w+,\s*\w+\))? VALUES\s*\(\s*{v}\s*,\s*{v}\s*\)`), Run: runInsert},
		{Name: "add", Write: true, Pattern: pattern(`UPDATE (\w+) SET \w+\s*=\s*\w+\s*\+\s*{v} WHERE \w+\s*=\s*{v}`), Run: runAdd},
		{Name: "update", Write: true, Pattern: pattern(`UPDATE (\w+) SET \w+\s*=\s*{v} WHERE \w+\s*=\s*{v}`), Run: runUpdate},
		{Name: "delete", Write: true, Pattern: pattern(`DELETE FROM (\w+) WHERE \w+\s*=\s*{v}`), Run: runDelete},
		{Name: "get", Columns: valueColumn, Pattern: pattern(`SELECT value FROM (\w+) WHERE key\s*=\s*{v}(?: FOR UPDATE)?`), Run: runGet},
		{Name: "count", Columns: countColumn, Pattern: pattern(`SELECT count\(\*\) FROM (\w+)`), Run: runCount},
		{Name: "scan", Columns: pairColumns, Pattern: pattern(`SELECT (?:\*|key,\s*value) FROM (\w+)(?: ORDER BY key)?(?: LIMIT (\d+))?`), Run: runScan},
		{Name: "series", Columns: []column{{"generate_series", oidInt8}}, Pattern: pattern(`SELECT (?:\* FROM )?generate_series\(\s*{v}\s*,\s*{v}\s*\)`), Run: runSeries},
		{Name: "sleep", Columns: []column{{"pg_sleep", oidText}}, Pattern: pattern(`SELECT pg_sleep\(\s*{v}\s*\)`), Run: runSleep},
		{Name: "constant", Columns: []column{{"?column?", oidText}}, Pattern: pattern(`SELECT {v}`), Run: runConstant},
		{Name: "begin", Pattern: pattern(`(?:BEGIN|START TRANSACTION)(?: [\w\s,]+)?`), Run: runBegin},
		{Name: "commit", Pattern: pattern(`(?:COMMIT|END)(?: TRANSACTION| WORK)?`), Run: runCommit},
		{Name: "rollback", Pattern: pattern(`(?:ROLLBACK|ABORT)(?: TRANSACTION| WORK)?`), Run: runRollback},
		{Name: "set", Pattern: pattern(`SET(?: SESSION)? ([\w.]+)(?:\s*=\s*| TO )(.+?)`), Run: runSet},
		{Name: "set_config", Columns: []column{{"set_config", oidText}}, Pattern: pattern(`SELECT set_config\(\s*{v}\s*,\s*{v}\s*,\s*false\s*\)`), Run: runSetConfig},
		{Name: "show", Columns: []column{{"setting", oidText}}, Pattern: pattern(`SHOW ([\w.]+)`), Run: runShow},
		{Name: "discard", Pattern: pattern(`(?:DISCARD ALL|DEALLOCATE ALL|UNLISTEN \*|CLOSE ALL)`), Run: runDiscard},
		{Name: "reset", Pattern: pattern(`RESET (?:ALL|\w+)`), Run: runReset},
		{Name: "deallocate", Pattern: pattern(`DEALLOCATE (\S+?)`), Run: runDeallocate},
		{Name: "status", Columns: statusColumns, Pattern: pattern(`SELECT \* FROM oriole_status\(\)`), Run: runStatus},
		{Name: "await", Columns: []column{{"oriole_await", oidBool}}, Pattern: pattern(`SELECT oriole_await\(\s*{v}\s*,\s*{v}\s*,\s*{v}\s*\)`), Run: runAwait},
		{Name: "replayed", Columns: []column{{"oriole_replayed", oidBool}}, Pattern: pattern(`SELECT oriole_replayed\(\s*{v}\s*,\s*{v}\s*,\s*{v}\s*\)`), Run: runReplayed},
		{Name: "activity", Columns: []column{{"state", oidText}}, Pattern: pattern(`SELECT state FROM pg_stat_activity WHERE pid\s*=\s*{v}`), Run: runActivity},
		{Name: "advisory lock", Columns: []column{{"pg_advisory_lock", oidText}}, Pattern: pattern(`SELECT pg_advisory_lock\(\s*{v}\s*\)`), Run: runAdvisoryLock},
		{Name: "hidden set", Columns: []column{{"value", oidText}}, Pattern: pattern(`SELECT \* FROM remember\(\s*{v}\s*\)`), Run: runRemember},
		{Name: "release", Columns: []column{{"value", oidText}}, Write: true, Pattern: pattern(`SELECT release_locker\(\s*{v}\s*\)`), Run: runRelease},
		{Name: "copy", Write: true, Pattern: pattern(`(?:WITH x AS \(SELECT 1\) )?COPY (\w+) FROM STDIN`), Run: runCopy},
		{Name: "fence", Columns: statusColumns, Pattern: pattern(`SELECT \* FROM oriole_fence\(\s*{v}\s*,\s*{v}\s*\)`), Run: runFence},
		{Name: "drain", Columns: statusColumns, Pattern: pattern(`SELECT \* FROM oriole_drain\(\s*{v}\s*,\s*{v}\s*,\s*{v}\s*\)`), Run: runDrain},
		{Name: "promote", Columns: statusColumns, Pattern: pattern(`SELECT \* FROM oriole_promote\(\s*{v}\s*,\s*{v}\s*\)`), Run: runPromote},
		{Name: "follow", Columns: statusColumns, Pattern: pattern(`SELECT \* FROM oriole_follow\(\s*{v}\s*,\s*{v}\s*\)`), Run: runFollow},
	}
)

// reportedSettings are those whose changes a member reports, by their small name.
var reportedSettings = map[string]string{"timezone": "TimeZone", "datestyle": "DateStyle", "application_name": "application_name"}

// match finds the shape of a statement and its raw arguments.
func match(sql string) (*shape, []string) {
	sql = stripComment(sql)
	for i := range shapes {
		if a := shapes[i].Pattern.FindStringSubmatch(sql); a != nil {
			return &shapes[i], a[1:]
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

// bind replaces placeholders and unquotes literals.
func bind(args, params []string) []string {
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

// countParams returns the highest placeholder of a statement.
func countParams(sql string) int {
	n := 0
	for _, a := range placeholders.FindAllStringSubmatch(sql, -1) {
		if k, err := strconv.Atoi(a[1]); err == nil {
			n = max(n, k)
		}
	}
	return n
}

func runInsert(_ context.Context, s *session, a []string) result {
	if _, ok := s.get(a[0], a[1]); ok {
		return result{Err: &refusal{Code: "23505", Message: "duplicate key value violates unique constraint"}}
	}
	s.stage(Op{Table: a[0], Key: a[1], Value: a[2]})
	return result{Tag: "INSERT 0 1"}
}

func runUpdate(_ context.Context, s *session, a []string) result {
	return s.change(Op{Table: a[0], Key: a[2], Value: a[1]}, "UPDATE")
}

func runAdd(_ context.Context, s *session, a []string) result {
	return s.change(Op{Table: a[0], Key: a[2], Value: a[1], Add: true}, "UPDATE")
}

func runDelete(_ context.Context, s *session, a []string) result {
	return s.change(Op{Table: a[0], Key: a[1], Delete: true}, "DELETE")
}

func runGet(_ context.Context, s *session, a []string) result {
	r := result{Columns: valueColumn}
	if v, ok := s.get(a[0], a[1]); ok {
		r.Rows = [][]string{{v}}
	}
	r.Tag = "SELECT " + strconv.Itoa(len(r.Rows))
	return r
}

func runCount(_ context.Context, s *session, a []string) result {
	return result{Columns: countColumn, Rows: [][]string{{strconv.Itoa(len(s.view(a[0])))}}, Tag: "SELECT 1"}
}

func runScan(_ context.Context, s *session, a []string) result {
	t := s.view(a[0])
	keys := make([]string, 0, len(t))
	for k := range t {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	if n, err := strconv.Atoi(a[1]); err == nil && n < len(keys) {
		keys = keys[:n]
	}
	r := result{Columns: pairColumns, Tag: "SELECT " + strconv.Itoa(len(keys))}
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
		return result{Err: &refusal{Code: "57014", Message: "canceling statement due to user request"}}
	}
	return result{Columns: []column{{"pg_sleep", oidText}}, Rows: [][]string{{""}}, Tag: "SELECT 1"}
}

func runConstant(_ context.Context, _ *session, a []string) result {
	return result{Columns: []column{{"?column?", oidText}}, Rows: [][]string{{a[0]}}, Tag: "SELECT 1"}
}

func runBegin(_ context.Context, s *session, _ []string) result {
	s.open = true
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
		return result{Err: &refusal{Code: "42704", Message: "unrecognized configuration parameter"}}
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

// runActivity tells what a session of this member does.
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
		if o.running.Load() != nil {
			state = "active"
		}
		r.Rows, r.Tag = [][]string{{state}}, "SELECT 1"
	}
	return r
}

// runAdvisoryLock takes a lock that lasts as long as the session.
func runAdvisoryLock(_ context.Context, s *session, a []string) result {
	s.settings["lock"] = a[0]
	return result{Columns: []column{{"pg_advisory_lock", oidText}}, Rows: [][]string{{""}}, Tag: "SELECT 1"}
}

// runRemember is a set-returning function that hides a SET from a reader of the
// statement; the tag still tells.
func runRemember(_ context.Context, s *session, a []string) result {
	s.settings["remembered"] = a[0]
	return result{Columns: []column{{"value", oidText}}, Rows: [][]string{{a[0]}}, Tag: "SET"}
}

// runRelease is a function with an effect, called in a SELECT.
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
