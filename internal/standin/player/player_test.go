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

var verbose = flag.Bool("logs", false, "print the logs of the fleet's processes")

type (
	request struct {
		words    []string
		response chan response
	}

	response struct {
		text string
		err  error
	}

	// testscriptT implements testscript.T with the test outside the bubble.
	testscriptT struct{ *testing.T }
)

func (s testscriptT) Run(_ string, f func(testscript.T)) { f(s) }
func (s testscriptT) Parallel()                          {}
func (s testscriptT) Verbose() bool                      { return testing.Verbose() }

// TestScenarios runs each script of testdata. testscript runs outside the bubble and sends
// it one line at a time; while the bubble waits on that channel, its clock doesn't advance,
// so scenarios are deterministic.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatal("no scenarios")
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txtar"), func(t *testing.T) { runScenario(t, f) })
	}
}

func runScenario(t *testing.T, file string) {
	requests, ended := make(chan request), make(chan struct{})
	go func() {
		defer close(ended)
		defer close(requests)
		testscript.RunT(testscriptT{t}, testscript.Params{Files: []string{file}, Cmds: commands(requests)})
	}()
	synctest.Test(t, func(*testing.T) { runPlayer(requests) })
	<-ended
}

func runPlayer(requests chan request) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	logger := log.NewNopLogger()
	if *verbose {
		logger = log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	}
	p := player.New(ctx, logger)
	defer p.Close()
	for l := range requests {
		text, err := p.Do(l.words)
		l.response <- response{text: text, err: err}
	}
}

// commands returns a testscript command for each command of the player. An error fails
// the script, unless the line is negated with "!".
func commands(requests chan request) map[string]func(*testscript.TestScript, bool, []string) {
	out := map[string]func(*testscript.TestScript, bool, []string){}
	for _, c := range player.Commands() {
		out[c.Name] = func(ts *testscript.TestScript, neg bool, a []string) {
			l := request{words: append([]string{c.Name}, a...), response: make(chan response, 1)}
			requests <- l
			r := <-l.response
			_, _ = ts.Stdout().Write([]byte(r.text))
			if (r.err != nil) != neg {
				ts.Fatalf("%s: error %v", c.Name, r.err)
			}
		}
	}
	return out
}
