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
		writer     *Writer
		part       string
		tokens     atomic.Int64 // lines that may be written now
		refilledAt atomic.Int64 // Unix time in milliseconds
	}
)

// New returns a writer that writes to out while Run runs.
func New(out io.Writer) *Writer {
	return &Writer{Out: out, lines: make(chan []byte, queueCapacity)}
}

// Logger returns a new logger for one part of the program.
func (w *Writer) Logger(part string) *Logger {
	l := &Logger{writer: w, part: part}
	l.tokens.Store(burstLines)
	l.refilledAt.Store(time.Now().UnixMilli())
	return l
}

// Run writes lines until the context is done, then the lines still queued.
func (w *Writer) Run(ctx context.Context) error {
	t := time.NewTicker(droppedInterval)
	defer t.Stop()
	for {
		select {
		case line := <-w.lines:
			if _, err := w.Out.Write(line); err != nil {
				w.dropped.Add(1)
			}
		case <-t.C:
			w.reportDropped()
		case <-ctx.Done():
			for {
				select {
				case line := <-w.lines:
					_, _ = w.Out.Write(line)
				default:
					return ctx.Err()
				}
			}
		}
	}
}

// reportDropped logs the number of lines dropped since the last report.
func (w *Writer) reportDropped() {
	n := w.dropped.Swap(0)
	if n == 0 {
		return
	}
	w.total.Add(n)
	w.enqueue(w.encode("journal", []any{"event", "lines-dropped", "lines", n}))
}

// Dropped returns the total number of dropped lines.
func (w *Writer) Dropped() int64 { return w.total.Load() + w.dropped.Load() }

// Log queues a line of keys and values. It drops the line if the queue is full or the
// kind exceeds its rate limit.
func (l *Logger) Log(fields ...any) {
	if !l.takeToken(time.Now().UnixMilli()) {
		l.writer.dropped.Add(1)
		return
	}
	l.writer.enqueue(l.writer.encode(l.part, fields))
}

// takeToken refills the bucket and takes one token, if there is any.
func (l *Logger) takeToken(now int64) bool {
	if old := l.refilledAt.Load(); now-old >= 100 && l.refilledAt.CompareAndSwap(old, now) {
		refill := (now - old) * LinesPerSecond / 1000
		l.tokens.Store(min(burstLines, l.tokens.Load()+refill))
	}
	return l.tokens.Add(-1) >= 0
}

func (w *Writer) enqueue(line []byte) {
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
}

func (w *Writer) encode(part string, fields []any) []byte {
	var b bytes.Buffer
	all := []any{"ts", time.Now().UTC().Format(TimeFormat)}
	if w.Instance != "" {
		all = append(all, "instance", w.Instance)
	}
	all = append(append(all, "part", part), fields...)
	if err := log.NewLogfmtLogger(&b).Log(all...); err != nil {
		return []byte("part=journal event=line-not-encoded of=" + part + "\n")
	}
	return b.Bytes()
}
