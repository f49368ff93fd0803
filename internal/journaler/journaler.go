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
	// waitingLines is how many lines may wait to be written. A reader of standard
	// output that stops for a second leaves about 200 lines of a busy instance.
	waitingLines = 1024
	// bucketSize and LinesPerSecond bound the lines of one kind. An instance serves
	// about 100 statements a second at the users' busiest hours.
	bucketSize = 400
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
		// room is how many lines may be written now, in thousandths.
		room   atomic.Int64
		filled atomic.Int64
	}
)

// New returns a journal that writes to out once Run is called.
func New(out io.Writer) *Journal {
	return &Journal{Out: out, lines: make(chan []byte, waitingLines)}
}

// Kind returns the lines of one part of the program.
func (j *Journal) Kind(part string) *Kind {
	k := &Kind{journal: j, part: part}
	k.room.Store(bucketSize)
	k.filled.Store(time.Now().UnixMilli())
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
			j.tell()
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

// tell writes how many lines were dropped since it was last told.
func (j *Journal) tell() {
	n := j.dropped.Swap(0)
	if n == 0 {
		return
	}
	j.total.Add(n)
	j.put(j.encode("journal", []any{"event", "lines-dropped", "lines", n}))
}

// Dropped returns how many lines were dropped in all.
func (j *Journal) Dropped() int64 { return j.total.Load() + j.dropped.Load() }

// Log writes a line of pairs of names and values, or drops it when too many lines
// wait or this kind has used up its rate.
func (k *Kind) Log(fields ...any) {
	if !k.admit(time.Now().UnixMilli()) {
		k.journal.dropped.Add(1)
		return
	}
	k.journal.put(k.journal.encode(k.part, fields))
}

// admit takes room for one line, if there is any.
func (k *Kind) admit(now int64) bool {
	if old := k.filled.Load(); now-old >= 100 && k.filled.CompareAndSwap(old, now) {
		more := (now - old) * LinesPerSecond / 1000
		k.room.Store(min(bucketSize, k.room.Load()+more))
	}
	return k.room.Add(-1) >= 0
}

func (j *Journal) put(line []byte) {
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
