package player_test

import (
	"context"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/oriolegw/oriolegw/internal/standin/player"
	"github.com/rogpeppe/go-internal/testscript"
)

var verbose = flag.Bool("logs", false, "print the logs of the staged processes")

type (
	line struct {
		words []string
		reply chan reply
	}

	reply struct {
		text string
		err  error
	}

	// script is the T that testscript wants, over one that runs in the bubble's
	// parent.
	script struct{ *testing.T }
)

func (s script) Run(_ string, f func(testscript.T)) { f(s) }
func (s script) Parallel()                          {}
func (s script) Verbose() bool                      { return testing.Verbose() }

// TestScenarios plays each script of testdata. testscript reads the scripts on a
// goroutine outside the bubble; the bubble takes one line after the other from a
// channel. While it waits for the next line its clock stands still, so that the
// time that passes in a scenario is what its lines say, in every run.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatal("no scenarios")
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txtar"), func(t *testing.T) { play(t, f) })
	}
}

func play(t *testing.T, file string) {
	lines, ended := make(chan line), make(chan struct{})
	go func() {
		defer close(ended)
		defer close(lines)
		testscript.RunT(script{t}, testscript.Params{Files: []string{file}, Cmds: commands(lines)})
	}()
	synctest.Test(t, func(*testing.T) { bubble(lines) })
	<-ended
}

func bubble(lines chan line) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	logger := log.NewNopLogger()
	if *verbose {
		logger = log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	}
	p := player.New(ctx, logger)
	defer p.Close()
	for l := range lines {
		text, err := p.Do(l.words)
		l.reply <- reply{text: text, err: err}
	}
}

// commands makes a testscript command of each command of the player. A failure
// of the command itself fails the script, and "!" expects one.
func commands(lines chan line) map[string]func(*testscript.TestScript, bool, []string) {
	out := map[string]func(*testscript.TestScript, bool, []string){}
	for _, c := range player.Commands() {
		out[c.Name] = func(ts *testscript.TestScript, neg bool, a []string) {
			l := line{words: append([]string{c.Name}, a...), reply: make(chan reply, 1)}
			lines <- l
			r := <-l.reply
			_, _ = ts.Stdout().Write([]byte(r.text))
			if (r.err != nil) != neg {
				ts.Fatalf("%s: error %v", c.Name, r.err)
			}
		}
	}
	return out
}
