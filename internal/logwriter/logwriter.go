// Package logwriter writes structured log lines (logfmt) without blocking its callers.
package logwriter

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
)

const (
	// queueCapacity is the number of lines that may wait to be written, for pauses of a few
	// seconds in the reader of standard output.
	queueCapacity = 1024
	// burstLines is the capacity of the token bucket that limits each kind of lines.
	burstLines = 400
	// LinesPerSecond is the refill rate of the token bucket of each kind.
	LinesPerSecond = 400
	// TimeFormat is the format of a line's ts, in UTC.
	TimeFormat = "2006-01-02T15:04:05.000Z"
	// droppedInterval is the interval of reports about dropped lines.
	droppedInterval = 5 * time.Second
)

type (
	// Writer is an asynchronous log writer, safe for concurrent use. Set Out before Run.
	Writer struct {
		Out io.Writer
		// Instance, when set, is added to each line as the instance field.
		Instance string

		lines   chan []byte
		dropped atomic.Int64
		total   atomic.Int64
	}

	// Logger is a logger for one kind of lines with its own rate limit, so that a burst of
	// one kind doesn't displace another.
	Logger struct {
		journal    *Writer
		part       string
		tokens     atomic.Int64 // lines that may be written now
		refilledAt atomic.Int64 // Unix time in milliseconds
	}
)

// New returns a journal that writes to out while Run runs.
func New(out io.Writer) *Writer {
	return &Writer{Out: out, lines: make(chan []byte, queueCapacity)}
}

// Logger returns a new logger for one part of the program.
func (j *Writer) Logger(part string) *Logger {
	k := &Logger{journal: j, part: part}
	k.tokens.Store(burstLines)
	k.refilledAt.Store(time.Now().UnixMilli())
	return k
}

// Run writes lines until the context is done, then the lines still queued.
func (j *Writer) Run(ctx context.Context) error {
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

// reportDropped logs the number of lines dropped since the last report.
func (j *Writer) reportDropped() {
	n := j.dropped.Swap(0)
	if n == 0 {
		return
	}
	j.total.Add(n)
	j.enqueue(j.encode("journal", []any{"event", "lines-dropped", "lines", n}))
}

// Dropped returns the total number of dropped lines.
func (j *Writer) Dropped() int64 { return j.total.Load() + j.dropped.Load() }

// Log queues a line of keys and values. It drops the line if the queue is full or the
// kind exceeds its rate limit.
func (k *Logger) Log(fields ...any) {
	if !k.takeToken(time.Now().UnixMilli()) {
		k.journal.dropped.Add(1)
		return
	}
	k.journal.enqueue(k.journal.encode(k.part, fields))
}

// takeToken refills the bucket and takes one token, if there is any.
func (k *Logger) takeToken(now int64) bool {
	if old := k.refilledAt.Load(); now-old >= 100 && k.refilledAt.CompareAndSwap(old, now) {
		refill := (now - old) * LinesPerSecond / 1000
		k.tokens.Store(min(burstLines, k.tokens.Load()+refill))
	}
	return k.tokens.Add(-1) >= 0
}

func (j *Writer) enqueue(line []byte) {
	select {
	case j.lines <- line:
	default:
		j.dropped.Add(1)
	}
}

func (j *Writer) encode(part string, fields []any) []byte {
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
