package reporter_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/reporter"
	"github.com/oriolegw/oriolegw/internal/router"
	"github.com/oriolegw/oriolegw/pkg/refuser"
	"github.com/shoenig/test/must"
)

var state = reporter.State{
	Instance: "entry-a", Zone: "a", Version: 7,
	Groups: []reporter.GroupState{{
		Service: "lockers", Term: 3, Primary: "m2", Connections: 2, MaxConnections: 4,
		Members: []reporter.MemberState{{Name: "m1", Address: "10.0.0.1:5432", Zone: "a", Role: "replica", Term: 3, Received: "3/9", Replayed: "3/8", SinceStatusQuery: 20 * time.Millisecond}},
	}},
}

func request(t *testing.T, p *reporter.Pages, method, path string) (int, string) {
	t.Helper()
	w := httptest.NewRecorder()
	p.Handler().ServeHTTP(w, httptest.NewRequest(method, path, nil))
	return w.Code, w.Body.String()
}

func TestStateRoundTrip(t *testing.T) {
	got, err := reporter.Decode(state.Encode())
	must.NoError(t, err)
	must.Eq(t, state, got)
	must.StrContains(t, state.Text(), "service lockers: term 3, primary m2, 2 of 4 connections")
}

// Load balancers route clients only to ready instances: those with a configuration
// and primaries that are not leaving.
func TestReady(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*reporter.State)
		code   int
		body   string
	}{
		"ready":            {func(*reporter.State) {}, http.StatusOK, "ready\n"},
		"no configuration": {func(s *reporter.State) { s.Version = 0 }, http.StatusServiceUnavailable, "no configuration yet\n"},
		"no primary":       {func(s *reporter.State) { s.Groups = []reporter.GroupState{{Service: "x"}} }, http.StatusServiceUnavailable, "no primary for x\n"},
		"leaving":          {func(s *reporter.State) { s.Leaving = true }, http.StatusServiceUnavailable, "leaving\n"},
	} {
		t.Run(name, func(t *testing.T) {
			s := state
			c.change(&s)
			code, body := request(t, &reporter.Pages{State: func() reporter.State { return s }}, http.MethodGet, reporter.PathReady)
			must.Eq(t, c.code, code)
			must.Eq(t, c.body, body)
		})
	}
}

// The decisions page lists the newest decision first, with target and reason.
func TestDecisions(t *testing.T) {
	var e router.DecisionLog
	e.Add(router.Decision{Service: "lockers", Kind: "drop-status", Read: true, Target: "m2", Replica: true, Reason: "replica has the required position"})
	e.Add(router.Decision{Service: "lockers", Member: -1, Reason: "no primary known", Code: "OR201", Waited: time.Second})
	_, body := request(t, &reporter.Pages{RecentDecisions: e.Recent}, http.MethodGet, reporter.PathDecisions)
	must.StrContains(t, body, `"why": "replica has the required position"`)
	must.Less(t, strings.Index(body, "m2"), strings.Index(body, "OR201"))
}

func TestDrain(t *testing.T) {
	drained := 0
	p := &reporter.Pages{Drain: func() { drained++ }}
	code, _ := request(t, p, http.MethodGet, reporter.PathDrain)
	must.Eq(t, http.StatusMethodNotAllowed, code)
	must.Eq(t, 0, drained)
	code, _ = request(t, p, http.MethodPost, reporter.PathDrain)
	must.Eq(t, http.StatusAccepted, code)
	must.Eq(t, 1, drained)
}

// Every refusal counter is exposed at 0 from the start. Counters and gauges show
// their values.
func TestMetrics(t *testing.T) {
	r := &reporter.Registry{}
	s, closer := r.NewScope(map[string]string{"instance": "entry-a"})
	reporter.DeclareCounters(s)
	for _, reason := range refuser.Reasons {
		must.StrContains(t, string(r.Render()), reporter.PrometheusName(reporter.RefusalMetric(reason))+`{instance="entry-a"} 0`+"\n")
	}
	s.Counter("retry.write").Inc(3)
	r.AddGaugeFunc("callers.open", map[string]string{"instance": "entry-a"}, func() float64 { return 2 })
	must.NoError(t, closer.Close())
	must.StrContains(t, string(r.Render()), `oriolegw_retry_write{instance="entry-a"} 3`+"\n")
	must.StrContains(t, string(r.Render()), `oriolegw_callers_open{instance="entry-a"} 2`+"\n")
}

// Metrics lists exactly the counters that the code uses: an unlisted one has no
// description, an unused one stays at 0. Composed names, such as "refused." and a
// reason, match by prefix.
func TestCountersAreListed(t *testing.T) {
	code := readSources(t)
	listed := map[string]bool{}
	for _, m := range reporter.Metrics {
		listed[m.Name] = true
		prefix := m.Name[:strings.LastIndexByte(m.Name, '.')+1]
		used := strings.Contains(code, `"`+m.Name+`"`) || (prefix != "" && strings.Contains(code, `"`+prefix+`"`))
		must.True(t, used || m.Kind == reporter.KindGauge, must.Sprintf("%q is listed but not used", m.Name))
	}
	used := regexp.MustCompile(`(?:Count|Counter)\("([a-z.-]+[a-z])"|"(retry\.[a-z-]+)"`)
	for _, m := range used.FindAllStringSubmatch(code, -1) {
		must.True(t, listed[m[1]+m[2]], must.Sprintf("%q is used but not listed in internal/reporter/metrics.go", m[1]+m[2]))
	}
}

// readSources returns the code of all other internal packages, without tests.
func readSources(t *testing.T) string {
	t.Helper()
	var out strings.Builder
	must.NoError(t, filepath.WalkDir("..", func(path string, _ os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.Contains(path, "reporter/") {
			return err
		}
		text, err := os.ReadFile(path)
		out.Write(text)
		return err
	}))
	return out.String()
}
