// Package explainer finds, in the log of entry instances, what led to the fate of one
// request.
package explainer

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logfmt/logfmt"
	"github.com/oriolegw/oriolegw/internal/dispatcher"
	"github.com/oriolegw/oriolegw/internal/journaler"
)

const (
	// contextBefore and after bound the lines that may tell the cause: a primary is given up
	// after about a second, and a promotion takes as long.
	contextBefore = 4 * time.Second
	contextAfter  = 3 * time.Second
	// maxLineBytes bounds a line, in bytes.
	maxLineBytes = 1 << 20
)

type (
	// Line is one line of a log.
	Line struct {
		At     time.Time
		Fields map[string]string
		// Text is the line from its ts on, with what stood before it, such as the
		// instance's name.
		Text string
	}

	// Explanation is what the log tells of a request.
	Explanation struct {
		// Request are the lines with its id, Context those about its group and members
		// around them, both in order of time.
		Request, Context []Line
		// Reasons are those that the request's lines name.
		Reasons []dispatcher.ReasonText
	}
)

// ErrUnknown means that no line has the request's id.
var ErrUnknown = errors.New("no line has this id: it was not served here, or its lines were dropped (look for event=lines-dropped)")

// Explain reads a log and returns what it tells of a request.
func Explain(log io.Reader, id string) (*Explanation, error) {
	lines, err := Read(log)
	if err != nil {
		return nil, err
	}
	x := &Explanation{}
	about := map[string]bool{}
	for _, l := range lines {
		if l.Fields["id"] != id {
			continue
		}
		x.Request = append(x.Request, l)
		about[l.Fields["group"]], about[l.Fields["member"]], about[l.Fields["primary"]] = true, true, true
		for _, r := range dispatcher.Reasons {
			if string(r.Reason) == l.Fields["reason"] && !slices.Contains(x.Reasons, r) {
				x.Reasons = append(x.Reasons, r)
			}
		}
	}
	if len(x.Request) == 0 {
		return nil, ErrUnknown
	}
	delete(about, "")
	from, to := x.Request[0].At.Add(-contextBefore), x.Request[len(x.Request)-1].At.Add(contextAfter)
	for _, l := range lines {
		if l.At.After(from) && l.At.Before(to) && l.isContext(about) {
			x.Context = append(x.Context, l)
		}
	}
	return x, nil
}

// isContext reports whether a line tells of the state of one of the groups or members,
// or of the whole instance.
func (l Line) isContext(about map[string]bool) bool {
	switch l.Fields["part"] {
	case "duty", "belief":
		group, member := l.Fields["group"], l.Fields["member"]
		return group == "" && member == "" || about[group] || about[member]
	case "connection":
		return about[l.Fields["member"]]
	case "journal":
		return true
	}
	return false
}

// Read parses the lines that have a ts, in order of time; lines of other programs are left
// out.
func Read(log io.Reader) ([]Line, error) {
	var lines []Line
	s := bufio.NewScanner(log)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		text := s.Text()
		i := strings.Index(text, "ts=")
		if i < 0 {
			continue
		}
		d := logfmt.NewDecoder(strings.NewReader(text[i:]))
		l := Line{Fields: map[string]string{}, Text: text}
		for d.ScanRecord() {
			for d.ScanKeyval() {
				l.Fields[string(d.Key())] = string(d.Value())
			}
		}
		at, err := time.Parse(journaler.TimeFormat, l.Fields["ts"])
		if d.Err() != nil || err != nil {
			continue // another program's line
		}
		l.At = at
		lines = append(lines, l)
	}
	if err := s.Err(); err != nil {
		return nil, errors.Wrap(err, "read log")
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return lines, nil
}

// Write prints an explanation.
func (x *Explanation) Write(w io.Writer) {
	fmt.Fprintln(w, "The request:")
	for _, l := range x.Request {
		fmt.Fprintln(w, "  "+l.Text)
	}
	if len(x.Reasons) > 0 {
		fmt.Fprintln(w, "Its reasons:")
	}
	for _, r := range x.Reasons {
		fmt.Fprintf(w, "  %s: %s Look at: %s\n", r.Reason, r.Text, r.Look)
	}
	fmt.Fprintln(w, "What was known of its group and members around it:")
	for _, l := range x.Context {
		fmt.Fprintln(w, "  "+l.Text)
	}
}

// Source is the instance that wrote the line; where it doesn't say, the word before the
// line's ts; "" if there is none.
func (l Line) Source() string {
	if name := l.Fields["instance"]; name != "" {
		return name
	}
	before, _, _ := strings.Cut(l.Text, "ts=")
	words := strings.Fields(before)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}
