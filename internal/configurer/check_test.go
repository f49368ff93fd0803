package configurer_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/shoenig/test/must"
)

const minimalDocument = `{"services": [{
  "name": "lockers", "connections": 20, "slots": 3,
  "members": [{"name": "m1", "address": "10.0.0.1:5432", "availability-zone": "hobart"}],
}]}`

func sample(t testing.TB, name string) []byte {
	t.Helper()
	text, err := os.ReadFile("../../samples/" + name)
	must.NoError(t, err)
	return text
}

// The sample documents are valid and survive a round trip through Encode and Decode.
func TestSamples(t *testing.T) {
	for name, connections := range map[string]int{"keyhold-document.json": 20, "kellerman-document.json": 60} {
		t.Run(name, func(t *testing.T) {
			d, problems := configurer.Check(name, sample(t, name))
			must.NoError(t, problems.Err())
			must.Len(t, 3, d.Services)
			must.Eq(t, connections, d.Services[0].Connections)
			must.Len(t, 3, d.Services[0].Members)
			decoded, err := configurer.Decode(configurer.Encode(d))
			must.NoError(t, err)
			must.Eq(t, d, decoded)
		})
	}
}

// Each invalid change to a valid document is reported with its position.
func TestInvalidDocuments(t *testing.T) {
	for name, c := range map[string]struct{ old, new, want string }{
		"unknown key":      {`"slots"`, `"slot"`, `d.json:2:41: services[0]: found unknown key "slot"`},
		"duplicate key":    {`"slots": 3`, `"slots": 3, "slots": 4`, `d.json:2:53: services[0]: found key "slots" repeated; allowed: each key once; first used in line 2`},
		"missing key":      {`"connections": 20, `, ``, `d.json:1:15: services[0]: found no key "connections"`},
		"wrong kind":       {`20`, `"20"`, `d.json:2:37: services[0].connections: found "20"; allowed: a whole number from 1 to 10000`},
		"fraction":         {`20`, `2.5`, `d.json:2:37: services[0].connections: found 2.5`},
		"out of range":     {`20`, `0`, `d.json:2:37: services[0].connections: found 0`},
		"host name":        {`10.0.0.1:5432`, `db1:5432`, `d.json:3:41: services[0].members[0].address: found "db1:5432"; allowed: an IP number and a port`},
		"upper case":       {`hobart`, `Hobart`, `d.json:3:79: services[0].members[0].availability-zone: found "Hobart"`},
		"all leaving":      {`"hobart"`, `"hobart", "leaving": true`, `d.json:3:14: services[0].members: found all 1 members leaving`},
		"duplicate kind":   {`3,`, `3, "reader-rules": [{"kind": "a", "max-age-ms": 1}, {"kind": "a", "max-age-ms": 2}],`, `found kind "a" repeated`},
		"invalid verifier": {`}]}`, `}], "users": [{"name": "crew", "password-verifier": "secret"}]}`, `users[0].password-verifier: found not a SCRAM-SHA-256 verifier`},
		"list for object":  {`{"services"`, `[{"services"`, `d.json:`},
	} {
		t.Run(name, func(t *testing.T) {
			_, problems := configurer.Check("d.json", []byte(strings.Replace(minimalDocument, c.old, c.new, 1)))
			must.Positive(t, len(problems))
			must.StrContains(t, problems.Error(), c.want)
		})
	}
}

func TestAllProblemsAreReported(t *testing.T) {
	text := strings.NewReplacer("20", "0", `"slots": 3`, `"slots": -1`, "10.0.0.1", "here").Replace(minimalDocument)
	_, problems := configurer.Check("d.json", []byte(text))
	must.Len(t, 3, problems)
}

// A key added by a newer version must not prevent an instance from applying the rest of the
// document, but publishing it with this version is refused.
func TestUnknownKeyOfNewerVersion(t *testing.T) {
	text := []byte(strings.Replace(minimalDocument, `"slots"`, `"burst": {"size": 9}, "slots"`, 1))
	_, problems := configurer.Check("d.json", text)
	must.Len(t, 1, problems)
	d, err := configurer.Decode(text)
	must.NoError(t, err)
	must.Eq(t, 3, d.Services[0].Slots)
	_, err = configurer.Decode([]byte(strings.Replace(minimalDocument, "20", "0", 1)))
	must.Error(t, err)
}

func TestMinimalDocument(t *testing.T) {
	d, problems := configurer.Check("d.json", []byte(minimalDocument))
	must.NoError(t, problems.Err())
	must.Eq(t, time.Duration(0), d.Services[0].FailoverWait)
}

// FuzzCheck checks that any input yields either problems or a document that survives a round trip.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(minimalDocument))
	f.Add(sample(f, "keyhold-document.json"))
	f.Add([]byte(`{"services": [{"members": {}, "members": []}], "services": null}`))
	f.Add([]byte(`{"services": [null, 1, "a", [], {}], "users": [{"name": 1}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, problems := configurer.Check("d.json", text)
		if problems.Err() != nil {
			must.NotEq(t, "", problems.Error())
			return
		}
		decoded, err := configurer.Decode(configurer.Encode(d))
		must.NoError(t, err)
		must.Eq(t, configurer.Encode(d), configurer.Encode(decoded))
	})
}
