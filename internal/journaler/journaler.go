// Package journaler writes structured lines without ever making its callers wait.
package journaler

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
)

const (
	// queueCapacity is how many lines may wait to be written. A reader of standard
	// output that stops for a second leaves about 200 lines of a busy instance.
	queueCapacity = 1024
	// burstLines and LinesPerSecond bound the lines of one kind. An instance serves
	// about 100 statements a second at the users' busiest hours.
	burstLines = 400
	// LinesPerSecond is how many lines of one kind are written a second.
	LinesPerSecond = 400
	// TimeFormat is that of a line's ts, in UTC.
	TimeFormat = "2006-01-02T15:04:05.000Z"
	// droppedInterval is how often lines that were dropped are told.
	droppedInterval = 5 * time.Second
)

type (
	// Journal takes lines from any goroutine. Set Out before Run.
	Journal struct {
		Out io.Writer
		// Instance, when set, stands in each line, so that the lines of many can be merged.
		Instance string

		lines   chan []byte
		dropped atomic.Int64
		total   atomic.Int64
	}

	// Kind is one kind of lines with its own bound, so that a flood of one kind
	// doesn't push out another.
	Kind struct {
		journal *Journal
		part    string
		// tokens is how many lines may be written now, in thousandths.
		tokens   atomic.Int64
		refilledAt atomic.Int64
	}
)

// New returns a journal that writes to out once Run is called.
func New(out io.Writer) *Journal {
	return &Journal{Out: out, lines: make(chan []byte, queueCapacity)}
}

// Kind returns the lines of one part of the program.
func (j *Journal) Kind(part string) *Kind {
	k := &Kind{journal: j, part: part}
	k.tokens.Store(burstLines)
	k.refilledAt.Store(time.Now().UnixMilli())
	return k
}

// Run writes lines until the context ends, then those that wait.
func (j *Journal) Run(ctx context.Context) error {
	t := time.NewTicker(droppedInterval)
	defer t.Stop()
	for {
		select {
		case line := <-j.lines:
			if _, err := j.Out.Write(line); err != nil {
				j.dropped.Add(1)
			}
		case <-t.C:
			j.reportDropped()
		case <-ctx.Done():
			for {
				select {
				case line := <-j.lines:
					_, _ = j.Out.Write(line)
				default:
					return ctx.Err()
				}
			}
		}
	}
}

// reportDropped writes how many lines were dropped since it was last told.
func (j *Journal) reportDropped() {
	n := j.dropped.Swap(0)
	if n == 0 {
		return
	}
	j.total.Add(n)
	j.enqueue(j.encode("journal", []any{"event", "lines-dropped", "lines", n}))
}

// Dropped returns how many lines were dropped in all.
func (j *Journal) Dropped() int64 { return j.total.Load() + j.dropped.Load() }

// Log writes a line of pairs of names and values, or drops it when too many lines
// wait or this kind has used up its rate.
func (k *Kind) Log(fields ...any) {
	if !k.takeToken(time.Now().UnixMilli()) {
		k.journal.dropped.Add(1)
		return
	}
	k.journal.enqueue(k.journal.encode(k.part, fields))
}

// takeToken takes room for one line, if there is any.
func (k *Kind) takeToken(now int64) bool {
	if old := k.refilledAt.Load(); now-old >= 100 && k.refilledAt.CompareAndSwap(old, now) {
		more := (now - old) * LinesPerSecond / 1000
		k.tokens.Store(min(burstLines, k.tokens.Load()+more))
	}
	return k.tokens.Add(-1) >= 0
}

func (j *Journal) enqueue(line []byte) {
	select {
	case j.lines <- line:
	default:
		j.dropped.Add(1)
	}
}

func (j *Journal) encode(part string, fields []any) []byte {
	var b bytes.Buffer
	all := []any{"ts", time.Now().UTC().Format(TimeFormat)}
	if j.Instance != "" {
		all = append(all, "instance", j.Instance)
	}
	all = append(append(all, "part", part), fields...)
	if err := log.NewLogfmtLogger(&b).Log(all...); err != nil {
		return []byte("part=journal event=line-not-encoded of=" + part + "\n")
	}
	return b.Bytes()
}
