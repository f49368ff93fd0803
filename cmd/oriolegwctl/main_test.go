package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/shoenig/test/must"
)

const sampleDocument = "../../samples/keyhold-document.json"

// cliTest runs command lines with an in-memory store and captures their output.
type cliTest struct {
	*testing.T
	terminal *terminal
	in       *strings.Reader
	out, err bytes.Buffer
}

func newCLITest(t *testing.T) *cliTest {
	m := storer.NewMemory()
	ct := &cliTest{T: t, in: strings.NewReader("open sesame\n")}
	ct.terminal = &terminal{
		in: ct.in, out: &ct.out, err: &ct.err, network: networker.TCP{},
		openStore: func(string) (storer.Store, func()) { return m, func() {} },
	}
	return ct
}

// expect runs a command line and checks its exit code and its output.
func (ct *cliTest) expect(code int, output string, arguments ...string) {
	ct.Helper()
	ct.out.Reset()
	ct.err.Reset()
	got := run(context.Background(), ct.terminal, arguments)
	all := ct.out.String() + ct.err.String()
	must.Eq(ct.T, code, got, must.Sprint(all))
	must.StrContains(ct.T, all, output)
}

func (ct *cliTest) editedDocument(old, new string) string {
	ct.Helper()
	text, err := os.ReadFile(sampleDocument)
	must.NoError(ct.T, err)
	file := filepath.Join(ct.TempDir(), "document.json")
	must.NoError(ct.T, os.WriteFile(file, []byte(strings.Replace(string(text), old, new, 1)), 0o600))
	return file
}

func TestUsage(t *testing.T) {
	ct := newCLITest(t)
	ct.expect(exitUsage, "Commands:")
	ct.expect(exitOK, "Commands:", "-help")
	ct.expect(exitUsage, `unknown command "chek"`, "chek")
	ct.expect(exitUsage, "flag provided but not defined: -sean", "publish", "-sean", "1")
	ct.expect(exitUsage, "flag -platform is required", "get")
	ct.expect(exitUsage, "flag -seen is required", "publish", "-platform", "x", sampleDocument)
	for _, c := range commands {
		ct.expect(exitOK, "Usage: oriolegwctl "+c.name, c.name, "-help")
	}
}

func TestCheck(t *testing.T) {
	ct := newCLITest(t)
	ct.expect(exitOK, "no mistakes", "check", "-document", sampleDocument, "-settings", "../../samples/keyhold-settings.json")
	ct.expect(exitFailed, "3 mistakes", "check", "-document", ct.editedDocument(`"connections": 20`, `"connections": 0, "slats": 1, "slots": 3`))
	ct.expect(exitFailed, "no such file", "check", "-document", "nowhere.json")
}

// Of two operators who change version 1, the second to publish sees the changes of
// the first.
func TestPublish(t *testing.T) {
	ct := newCLITest(t)
	ct.expect(exitOK, "+ service lockers-south connections: 20", "diff", "-platform", "x", sampleDocument)
	ct.expect(exitOK, "accepted as version 1", "publish", "-platform", "x", "-seen", "0", sampleDocument)
	ct.expect(exitOK, "version 1", "get", "-platform", "x")
	edited := ct.editedDocument(`"connections": 20`, `"connections": 21`)
	ct.expect(exitOK, "~ service lockers-south connections: 20 -> 21", "diff", "-platform", "x", edited)
	ct.expect(exitOK, "accepted as version 2", "publish", "-platform", "x", "-seen", "1", edited)
	ct.expect(exitFailed, "~ service lockers-south connections: 20 -> 21", "publish", "-platform", "x", "-seen", "1", sampleDocument)
	ct.expect(exitFailed, "version 2 is in force, not version 1", "publish", "-platform", "x", "-seen", "1", sampleDocument)
	ct.expect(exitFailed, "connections: found 0", "publish", "-platform", "x", "-seen", "2", ct.editedDocument("20", "0"))
}

func TestDrainTarget(t *testing.T) {
	ct := newCLITest(t)
	ct.expect(exitOK, "accepted", "publish", "-platform", "x", "-seen", "0", sampleDocument)
	ct.expect(exitOK, "leaving true, version 2", "drain", "-platform", "x", "-service", "lockers-west", "-member", "lockers-west-2")
	ct.expect(exitOK, "hobart, leaving", "diff", "-platform", "x", ct.editedDocument(`"availability-zone": "hobart"`, `"availability-zone": "hobart", "leaving": true`))
	ct.expect(exitOK, "leaving false, version 3", "drain", "-undo", "-platform", "x", "-service", "lockers-west", "-member", "lockers-west-2")
	ct.expect(exitFailed, `no service "lockers-east"`, "drain", "-platform", "x", "-service", "lockers-east", "-member", "m")
}

func TestVerifier(t *testing.T) {
	ct := newCLITest(t)
	ct.expect(exitOK, "SCRAM-SHA-256$4096:", "verifier")
	ct.expect(exitFailed, "no password", "verifier")
}

// The settings command validates a settings file and lists its changes, which take effect
// at the next start.
func TestSettings(t *testing.T) {
	ct := newCLITest(t)
	write := func(name, text string) string {
		file := filepath.Join(ct.TempDir(), name)
		must.NoError(ct.T, os.WriteFile(file, []byte(text), 0o600))
		return file
	}
	const valid = `{"name": "a", "availability-zone": "z", "regions": {"z": "r"}, "callers-address": "10.0.0.1:1", "ready-address": "10.0.0.1:2", "store-address": "10.0.0.9:1", "shutdown-s": 6}`
	running := write("running.json", valid)
	ct.expect(exitOK, "valid", "settings", running)
	ct.expect(exitOK, "no change", "settings", "-running", running, running)
	ct.expect(exitOK, "shutdown-s: 6s -> 9s, at the next start", "settings", "-running", running, write("next.json", strings.Replace(valid, `"shutdown-s": 6`, `"shutdown-s": 9`, 1)))
	ct.expect(exitFailed, "callers-address", "settings", write("bad.json", strings.Replace(valid, "10.0.0.1:1", "nowhere", 1)))
	ct.expect(exitUsage, "expected one settings file", "settings")
}
