package journaler_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oriolegw/oriolegw/internal/journaler"
	"github.com/shoenig/test/must"
)

// reader is a reader of the log that can stop.
type reader struct {
	stopped chan struct{}
	text    strings.Builder
}

func (r *reader) Write(p []byte) (int, error) {
	if r.stopped != nil {
		<-r.stopped
	}
	return r.text.Write(p)
}

func TestLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &reader{}
		j := journaler.New(r)
		j.Kind("request").Log("id", "5c0e", "outcome", "two words")
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = j.Run(ctx)
		must.Eq(t, "ts=2000-01-01T00:00:00.000Z part=request id=5c0e outcome=\"two words\"\n", r.text.String())
	})
}

// Whoever reads the log stops. Those who write lines must not wait; the lines that find
// no room are counted, and told when the reader goes on. One kind's flood leaves room
// for the others.
func TestNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &reader{stopped: make(chan struct{})}
		j := journaler.New(r)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- j.Run(ctx) }()
		flood, other := j.Kind("flood"), j.Kind("other")
		begin := time.Now()
		for range 10000 {
			flood.Log("event", "again")
		}
		other.Log("event", "rare")
		must.Eq(t, 0, time.Since(begin))
		must.Greater(t, 9000, j.Dropped())
		close(r.stopped)
		time.Sleep(6 * time.Second)
		cancel()
		<-ended
		must.StrContains(t, r.text.String(), "part=other event=rare")
		must.StrContains(t, r.text.String(), "event=lines-dropped")
	})
}
