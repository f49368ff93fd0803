package launcher_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/platform"
	"github.com/shoenig/test/must"
)

// overwrite writes a value over a key of the store, as another writer.
func (f *fleet) overwrite(key, value string) {
	f.t.Helper()
	now, err := f.store.Get(f.ctx, key)
	must.NoError(f.t, err)
	now.Key, now.Value = key, []byte(value)
	_, ok, err := f.store.Swap(f.ctx, now, 0)
	must.NoError(f.t, err)
	must.True(f.t, ok)
}

// altered returns the entry of a member with fields replaced.
func (f *fleet) altered(id string, fields map[string]any) string {
	f.t.Helper()
	now, err := f.store.Get(f.ctx, platform.MemberPrefix+id)
	must.NoError(f.t, err)
	var entry map[string]any
	must.NoError(f.t, json.Unmarshal(now.Value, &entry))
	maps.Copy(entry, fields)
	text, err := json.Marshal(entry)
	must.NoError(f.t, err)
	return string(text)
}

// mustServe requires that both instances serve writes and reads for a time.
func (f *fleet) mustServe(instances []*instance, period time.Duration) {
	f.t.Helper()
	for n := range int(period / (500 * time.Millisecond)) {
		for _, i := range instances {
			must.Eq(f.t, "I", f.openSession(i, "strict")(fmt.Sprint("PUT k v", n)))
			must.Eq(f.t, fmt.Sprintf("v%d I", n), f.openSession(i, "strict")("FETCH k"))
			must.Eq(f.t, "I", f.openSession(i, "own")(fmt.Sprint("PUT own v", n)))
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// mustFailOverTo requires that writes are served by a member once the others are gone.
func (f *fleet) mustFailOverTo(id string, instances []*instance) {
	f.t.Helper()
	f.group.MarkLeaving("g-3")
	time.Sleep(time.Second)
	f.group.Terminate("g-3")
	time.Sleep(3 * time.Second)
	f.group.Crash("g-1")
	time.Sleep(6 * time.Second)
	for _, m := range f.group.Registrations() {
		must.Eq(f.t, m.ID == id, m.Primary, must.Sprint(m.ID))
	}
	for _, i := range instances {
		must.Eq(f.t, "v I", f.openSession(i, "own")("FETCH last"))
		must.Eq(f.t, 0, len(i.exited))
	}
}

// Guards against an entry of another writer that ends instances, stops them from following the store, or
// costs them a member for good: it must be used again after its own reports, and others throughout.
func TestEntriesOfAnotherWriter(t *testing.T) {
	for name, fields := range map[string]map[string]any{
		"start time far ahead": {"born": 9_000_000_000_000},
		"start time ahead":     {"born": time.Date(2000, 1, 1, 0, 1, 0, 0, time.UTC).UnixMilli()},
		"capacity":             {"capacity": 1 << 62},
		"port":                 {"address": "10.9.9.9:99999"},
		"all":                  {"address": "10.9.9.9:1", "born": 9_000_000_000_000, "phase": "draining", "service": "h", "db_role": "primary"},
		"unused numbers":       {"seq": 1 << 62, "cold_ms": 1e300},
		"nested":               {"other": json.RawMessage(strings.Repeat("[", 9000) + strings.Repeat("]", 9000))},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, func(f *fleet) {
				instances := []*instance{f.start("10.5.0.1", "a"), f.start("10.5.0.2", "b")}
				time.Sleep(4 * time.Second)
				f.overwrite(platform.MemberPrefix+"g-2", f.altered("g-2", fields))
				f.mustServe(instances, 14*time.Second)
				must.Eq(t, "I", f.openSession(instances[0], "strict")("PUT last v"))
				f.mustFailOverTo("g-2", instances)
			})
		})
	}
}

// Guards against the same by entries that name no member.
func TestInvalidEntriesOfAnotherWriter(t *testing.T) {
	for name, value := range map[string]string{
		"nested": strings.Repeat("[", 1<<20), "large": strings.Repeat("x", 1<<20), "number": `{"born": 1e999}`, "empty": "",
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, func(f *fleet) {
				instances := []*instance{f.start("10.5.0.1", "a"), f.start("10.5.0.2", "b")}
				time.Sleep(4 * time.Second)
				f.overwrite(platform.MemberPrefix+"x", value)
				f.overwrite(platform.MemberPrefix+"y", value)
				f.overwrite(platform.MemberPrefix+"g-2", value)
				f.mustServe(instances, 4*time.Second)
				f.configure(addedRoute)
				time.Sleep(time.Second)
				must.Eq(t, "I", f.openSession(instances[0], "added")("PUT last v"))
				f.mustFailOverTo("g-2", instances)
			})
		})
	}
}
