package loader_test

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/limiter"
	"github.com/oriolegw/oriolegw/internal/loader"
	"github.com/shoenig/test/must"
)

const entrySettings = `{
	"name": "edge-1", "availability-zone": "a", "regions": {"a": "x", "b": "y"},
	"callers-address": "10.0.0.1:5000", "ready-address": "10.0.0.1:5001",
	"store-address": "10.0.0.2:7000", "promotions-address": "10.0.0.3:7000",
	"in-force-ms": 5000, "first-start": true, "shutdown-s": 6.5, // trailing comma
}`

func TestCheckEdgeSettings(t *testing.T) {
	s, problems := loader.CheckEdgeSettings("f", []byte(entrySettings))
	must.NoError(t, problems.Err())
	must.Eq(t, map[string]string{"a": "x", "b": "y"}, s.Regions)
	must.Eq(t, 6500*time.Millisecond, s.ShutdownTimeout)
	must.Eq(t, 5*time.Second, s.MaxApplyDelay)
	must.True(t, s.ColdStart)
	must.Eq(t, "", s.MetricsAddress)

	s, problems = loader.CheckEdgeSettings("f", []byte(`{"name": "n", "availability-zone": "a", "regions": {}, "callers-address": "10.0.0.1:1", "ready-address": "10.0.0.1:2", "store-address": "10.0.0.1:3"}`))
	must.NoError(t, problems.Err())
	must.Eq(t, loader.DefaultShutdownTimeout, s.ShutdownTimeout)
	must.Eq(t, loader.DefaultMaxApplyDelay, s.MaxApplyDelay)
}

func TestCheckEdgeSettingsRejectsInvalidValues(t *testing.T) {
	for _, c := range []struct{ old, invalid string }{
		{`"10.0.0.1:5000"`, `"host:5000"`},
		{`{"a": "x", "b": "y"}`, `["a"]`},
		{`6.5`, `-1`},
		{`5000`, `"soon"`},
		{`"name": "edge-1", `, ``},
	} {
		_, problems := loader.CheckEdgeSettings("f", []byte(strings.Replace(entrySettings, c.old, c.invalid, 1)))
		must.Error(t, problems.WithoutUnknownKeys().Err(), must.Sprint(c.invalid))
	}
	// Unknown keys, as of a newer version, don't prevent a start.
	_, problems := loader.CheckEdgeSettings("f", []byte(strings.Replace(entrySettings, `"name"`, `"new-key": 1, "name"`, 1)))
	must.NoError(t, problems.WithoutUnknownKeys().Err())
}

// CompareEdgeSettings reports a change of every field of EdgeSettings.
func TestCompareEdgeSettings(t *testing.T) {
	same := &loader.EdgeSettings{Name: "a", Regions: map[string]string{"z": "r"}, Seeds: []string{"s:1"}}
	must.SliceEmpty(t, loader.CompareEdgeSettings(same, same))
	next := reflect.ValueOf(loader.EdgeSettings{
		Name: "b", Zone: "b", Regions: map[string]string{"b": "b"}, Callers: "b", ReadinessAddress: "b", MetricsAddress: "b", PeerAddress: "b",
		Seeds: []string{"b"}, StoreAddress: "b", PromotionAddress: "b", Cores: 1, MaxApplyDelay: 1, ShutdownTimeout: 1, ColdStart: true,
		LimitTolerance: limiter.Tolerance{Slack: 1},
	})
	for i := range next.NumField() {
		one := loader.EdgeSettings{}
		reflect.ValueOf(&one).Elem().Field(i).Set(next.Field(i))
		must.Len(t, 1, loader.CompareEdgeSettings(&loader.EdgeSettings{}, &one), must.Sprint(next.Type().Field(i).Name))
	}
	for _, l := range []limiter.Tolerance{{Window: 1}, {Overage: 1}} {
		must.Len(t, 1, loader.CompareEdgeSettings(&loader.EdgeSettings{}, &loader.EdgeSettings{LimitTolerance: l}))
	}
}
