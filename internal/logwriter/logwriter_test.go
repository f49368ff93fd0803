package logwriter_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oriolegw/oriolegw/internal/logwriter"
	"github.com/shoenig/test/must"
)

// blockingWriter is a log output that blocks until resumed is closed, if set.
type blockingWriter struct {
	resumed chan struct{}
	text    strings.Builder
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	if w.resumed != nil {
		<-w.resumed
	}
	return w.text.Write(p)
}

func TestLineFormat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &blockingWriter{}
		j := logwriter.New(w)
		j.Logger("request").Log("id", "5c0e", "outcome", "two words")
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = j.Run(ctx)
		must.Eq(t, "ts=2000-01-01T00:00:00.000Z part=request id=5c0e outcome=\"two words\"\n", w.text.String())
	})
}

// Loggers don't block when the output blocks: excess lines are dropped, counted and
// reported later. A burst of one kind doesn't displace another kind.
func TestNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &blockingWriter{resumed: make(chan struct{})}
		j := logwriter.New(w)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- j.Run(ctx) }()
		flood, other := j.Logger("flood"), j.Logger("other")
		started := time.Now()
		for range 10000 {
			flood.Log("event", "again")
		}
		other.Log("event", "rare")
		must.Eq(t, 0, time.Since(started))
		must.Greater(t, 9000, j.Dropped())
		close(w.resumed)
		time.Sleep(6 * time.Second)
		cancel()
		<-ended
		must.StrContains(t, w.text.String(), "part=other event=rare")
		must.StrContains(t, w.text.String(), "event=lines-dropped")
	})
}
