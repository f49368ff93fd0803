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

type cliTest struct {
	*testing.T
	terminal *terminal
	in       *strings.Reader
	out, err bytes.Buffer
}

func newCLITest(t *testing.T) *cliTest {
	m := storer.NewMemory()
	b := &cliTest{T: t, in: strings.NewReader("open sesame\n")}
	b.terminal = &terminal{
		in: b.in, out: &b.out, err: &b.err, network: networker.TCP{},
		openStore: func(string) (storer.Store, func()) { return m, func() {} },
	}
	return b
}

// expect runs a command line and checks its exit code and its output.
func (b *cliTest) expect(code int, output string, arguments ...string) {
	b.Helper()
	b.out.Reset()
	b.err.Reset()
	got := run(context.Background(), b.terminal, arguments)
	all := b.out.String() + b.err.String()
	must.Eq(b.T, code, got, must.Sprint(all))
	must.StrContains(b.T, all, output)
}

func (b *cliTest) editedDocument(old, new string) string {
	b.Helper()
	text, err := os.ReadFile(sampleDocument)
	must.NoError(b.T, err)
	file := filepath.Join(b.TempDir(), "document.json")
	must.NoError(b.T, os.WriteFile(file, []byte(strings.Replace(string(text), old, new, 1)), 0o600))
	return file
}

func TestUsage(t *testing.T) {
	b := newCLITest(t)
	b.expect(exitUsage, "Commands:")
	b.expect(exitOK, "Commands:", "-help")
	b.expect(exitUsage, `unknown command "chek"`, "chek")
	b.expect(exitUsage, "flag provided but not defined: -sean", "publish", "-sean", "1")
	b.expect(exitUsage, "flag -platform is needed", "get")
	b.expect(exitUsage, "flag -seen is needed", "publish", "-platform", "x", sampleDocument)
	for _, c := range commands {
		b.expect(exitOK, "Usage: oriolegwctl "+c.name, c.name, "-help")
	}
}

func TestCheck(t *testing.T) {
	b := newCLITest(t)
	b.expect(exitOK, "no mistakes", "check", "-document", sampleDocument, "-settings", "../../samples/keyhold-settings.json")
	b.expect(exitFailed, "3 mistakes", "check", "-document", b.editedDocument(`"connections": 20`, `"connections": 0, "slats": 1, "slots": 3`))
	b.expect(exitFailed, "no such file", "check", "-document", "nowhere.json")
}

// Two operators build on version 1; the second is told what the first changed.
func TestPublish(t *testing.T) {
	b := newCLITest(t)
	b.expect(exitOK, "+ service lockers-south connections: 20", "diff", "-platform", "x", sampleDocument)
	b.expect(exitOK, "accepted as version 1", "publish", "-platform", "x", "-seen", "0", sampleDocument)
	b.expect(exitOK, "version 1", "get", "-platform", "x")
	ours := b.editedDocument(`"connections": 20`, `"connections": 21`)
	b.expect(exitOK, "~ service lockers-south connections: 20 -> 21", "diff", "-platform", "x", ours)
	b.expect(exitOK, "accepted as version 2", "publish", "-platform", "x", "-seen", "1", ours)
	b.expect(exitFailed, "~ service lockers-south connections: 20 -> 21", "publish", "-platform", "x", "-seen", "1", sampleDocument)
	b.expect(exitFailed, "version 2 is in force, not version 1", "publish", "-platform", "x", "-seen", "1", sampleDocument)
	b.expect(exitFailed, "connections: found 0", "publish", "-platform", "x", "-seen", "2", b.editedDocument("20", "0"))
}

func TestDrainTarget(t *testing.T) {
	b := newCLITest(t)
	b.expect(exitOK, "accepted", "publish", "-platform", "x", "-seen", "0", sampleDocument)
	b.expect(exitOK, "leaving true, version 2", "drain", "-platform", "x", "-service", "lockers-west", "-member", "lockers-west-2")
	b.expect(exitOK, "hobart, leaving", "diff", "-platform", "x", b.editedDocument(`"availability-zone": "hobart"`, `"availability-zone": "hobart", "leaving": true`))
	b.expect(exitOK, "leaving false, version 3", "drain", "-undo", "-platform", "x", "-service", "lockers-west", "-member", "lockers-west-2")
	b.expect(exitFailed, `no service "lockers-east"`, "drain", "-platform", "x", "-service", "lockers-east", "-member", "m")
}

func TestVerifier(t *testing.T) {
	b := newCLITest(t)
	b.expect(exitOK, "SCRAM-SHA-256$4096:", "verifier")
	b.expect(exitFailed, "no password", "verifier")
}

// Before settings files are changed on hundreds of machines, the operator sees whether the
// new one is good and that none of its changes touches a running instance.
func TestSettings(t *testing.T) {
	b := newCLITest(t)
	write := func(name, text string) string {
		file := filepath.Join(b.TempDir(), name)
		must.NoError(b.T, os.WriteFile(file, []byte(text), 0o600))
		return file
	}
	const good = `{"name": "a", "availability-zone": "z", "regions": {"z": "r"}, "callers-address": "10.0.0.1:1", "ready-address": "10.0.0.1:2", "store-address": "10.0.0.9:1", "shutdown-s": 6}`
	running := write("running.json", good)
	b.expect(exitOK, "good", "settings", running)
	b.expect(exitOK, "no change", "settings", "-running", running, running)
	b.expect(exitOK, "shutdown-s: 6s -> 9s, at the next start", "settings", "-running", running, write("next.json", strings.Replace(good, `"shutdown-s": 6`, `"shutdown-s": 9`, 1)))
	b.expect(exitFailed, "callers-address", "settings", write("bad.json", strings.Replace(good, "10.0.0.1:1", "nowhere", 1)))
	b.expect(exitUsage, "want one settings file", "settings")
}
