// Package explainer collects the lines about a request from the logs of entry instances,
// with the related events around it.
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
	"github.com/oriolegw/oriolegw/internal/logwriter"
)

const (
	// contextBefore and contextAfter bound the context around a request. They cover the
	// detection of a failed primary and a promotion.
	contextBefore = 4 * time.Second
	contextAfter  = 3 * time.Second
	maxLineBytes  = 1 << 20
)

type (
	// Line is one parsed log line.
	Line struct {
		Time   time.Time
		Fields map[string]string
		// Text is the whole line, including a prefix before ts such as the instance's
		// name.
		Text string
	}

	// Explanation holds the log lines and reasons that concern a request.
	Explanation struct {
		// Request has the lines with the request's id, Context the lines about its group
		// and members around that time. Both are sorted by time.
		Request, Context []Line
		// Reasons has the reasons in the request's lines.
		Reasons []dispatcher.ReasonText
		// Limits explains each refusal by a customer's limit.
		Limits []string
	}
)

// ErrRequestNotFound is returned if no line has the request's id.
var ErrRequestNotFound = errors.New("no line has this id: the request was not served here, or its lines were dropped (see event=lines-dropped)")

// Explain reads a log and returns the explanation of a request.
func Explain(log io.Reader, id string) (*Explanation, error) {
	lines, err := ParseLog(log)
	if err != nil {
		return nil, err
	}
	x := &Explanation{}
	subjects, limited := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if l.Fields["id"] != id {
			continue
		}
		x.Request = append(x.Request, l)
		subjects[l.Fields["group"]], subjects[l.Fields["member"]], subjects[l.Fields["primary"]] = true, true, true
		if l.Fields["reason"] == string(dispatcher.ReasonOverLimit) {
			limited[l.Fields["customer"]] = true
		}
		for _, r := range dispatcher.Reasons {
			if string(r.Reason) == l.Fields["reason"] && !slices.Contains(x.Reasons, r) {
				x.Reasons = append(x.Reasons, r)
			}
		}
	}
	if len(x.Request) == 0 {
		return nil, ErrRequestNotFound
	}
	delete(subjects, "")
	from, to := x.Request[0].Time.Add(-contextBefore), x.Request[len(x.Request)-1].Time.Add(contextAfter)
	for _, l := range lines {
		if l.Time.After(from) && l.Time.Before(to) && (l.isContext(subjects) || l.isLimitContext(limited)) {
			x.Context = append(x.Context, l)
		}
	}
	for _, l := range x.Request {
		if l.Fields["reason"] == string(dispatcher.ReasonOverLimit) {
			x.Limits = append(x.Limits, explainLimit(l, decidingLine(l, x.Context)))
		}
	}
	return x, nil
}

// isContext reports whether a line concerns one of the groups or members, or the whole
// instance.
func (l Line) isContext(subjects map[string]bool) bool {
	switch l.Fields["part"] {
	case "duty", "belief":
		group, member := l.Fields["group"], l.Fields["member"]
		return group == "" && member == "" || subjects[group] || subjects[member]
	case "connection":
		return subjects[l.Fields["member"]]
	case "journal":
		return true
	}
	return false
}

// ParseLog parses a log and returns its lines sorted by time. It skips lines of other
// programs.
func ParseLog(log io.Reader) ([]Line, error) {
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
		at, err := time.Parse(logwriter.TimeFormat, l.Fields["ts"])
		if d.Err() != nil || err != nil {
			continue // line of another program
		}
		l.Time = at
		lines = append(lines, l)
	}
	if err := s.Err(); err != nil {
		return nil, errors.Wrap(err, "read log")
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines, nil
}

// Write prints the explanation.
func (e *Explanation) Write(w io.Writer) {
	fmt.Fprintln(w, "The request:")
	for _, l := range e.Request {
		fmt.Fprintln(w, "  "+l.Text)
	}
	if len(e.Reasons) > 0 {
		fmt.Fprintln(w, "Reasons:")
	}
	for _, r := range e.Reasons {
		fmt.Fprintf(w, "  %s: %s See: %s\n", r.Reason, r.Text, r.LogHint)
	}
	for _, text := range e.Limits {
		fmt.Fprintln(w, "  "+text)
	}
	fmt.Fprintln(w, "Related events of its group and members:")
	for _, l := range e.Context {
		fmt.Fprintln(w, "  "+l.Text)
	}
}

// InstanceName returns the name of the instance that wrote the line: its instance field, else
// the word before ts, else "".
func (l Line) InstanceName() string {
	if name := l.Fields["instance"]; name != "" {
		return name
	}
	prefix, _, _ := strings.Cut(l.Text, "ts=")
	words := strings.Fields(prefix)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}
