// Package inspector reads JSON with comments against what is allowed, and
// reports every mistake at once: its file, line and column, what was found and
// what is allowed. It is used for the settings of an instance and for the
// configuration document.
//
// The caller describes an object by its fields; each field reads its value into
// the caller's own type, so that no type needs tags:
//
//	inspector.Read("settings.json", text, func(n inspector.Node) {
//		n.Object(
//			inspector.Need("name", func(n inspector.Node) { s.Name = n.Text() }),
//			inspector.May("slots", func(n inspector.Node) { s.Slots = n.Int(1, 100) }),
//		)
//	})
package inspector

import (
	"bytes"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

type (
	// Problem is one mistake in a text.
	Problem struct {
		File string
		// Line and Column count from 1; Column counts characters.
		Line, Column int
		// Path leads to the value, "services[0].name"; empty for the whole.
		Path string
		// Found says what stands there, Allowed what may.
		Found, Allowed string
		// Unknown marks a key that is not known here, which may be one of a
		// newer version.
		Unknown bool
	}

	// Problems are all mistakes of one text, in the order of their places. It
	// is an error.
	Problems []Problem

	report struct {
		file     string
		text     []byte
		problems Problems
	}
)

const (
	// MaxBytes is the longest text that is read: the store holds no longer value.
	MaxBytes = 1 << 20
	// maxDepth bounds the brackets that are open at once. The parser recurses,
	// and a megabyte of brackets would end the process by exhausting its stack.
	maxDepth = 64
	quoted   = 40
)

// tokens are strings, comments and brackets.
var tokens = regexp.MustCompile(`(?s)"(?:[^"\\]|\\.)*"|//[^\n]*|/\*.*?\*/|[\[\]{}]`)

// String is "file:line:column: path: found …; allowed: …".
func (p Problem) String() string {
	out := fmt.Sprintf("%s:%d:%d: ", p.File, p.Line, p.Column)
	if p.Path != "" {
		out += p.Path + ": "
	}
	out += "found " + p.Found
	if p.Allowed != "" {
		out += "; allowed: " + p.Allowed
	}
	return out
}

// Error lists the problems, one a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, q := range p {
		lines[i] = q.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil when there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// Known leaves out the keys that are not known here.
func (p Problems) Known() Problems {
	return slices.DeleteFunc(slices.Clone(p), func(q Problem) bool { return q.Unknown })
}

// Read parses a text and gives its outermost value to read. What read took from
// the text is only good when no problems are returned.
func Read(file string, text []byte, read func(Node)) Problems {
	r := &report{file: file, text: text}
	if len(text) > MaxBytes {
		r.add(0, "", fmt.Sprintf("%d bytes", len(text)), fmt.Sprintf("at most %d", MaxBytes))
		return r.problems
	}
	if at, deep := tooDeep(text); deep {
		r.add(at, "", "brackets nested too deeply", fmt.Sprintf("at most %d levels", maxDepth))
		return r.problems
	}
	v, err := hujson.Parse(bytes.Clone(text))
	if err != nil {
		r.problems = append(r.problems, syntaxProblem(file, err))
		return r.problems
	}
	read(Node{report: r, value: &v})
	return r.problems
}

// syntaxProblem takes the place out of the parser's message.
func syntaxProblem(file string, err error) Problem {
	p := Problem{File: file, Line: 1, Column: 1, Found: err.Error(), Allowed: "JSON with comments"}
	var line, column int
	if _, scan := fmt.Sscanf(p.Found, "hujson: line %d, column %d:", &line, &column); scan == nil {
		p.Line, p.Column = line, column
		if _, rest, ok := strings.Cut(p.Found, fmt.Sprintf("column %d: ", column)); ok {
			p.Found = rest
		}
	}
	return p
}

// tooDeep finds the place where too many brackets are open. Brackets inside of
// strings and comments are skipped: counted, a closing one there would hide an
// open one from the bound.
func tooDeep(text []byte) (at int, deep bool) {
	depth := 0
	for _, place := range tokens.FindAllIndex(text, -1) {
		switch text[place[0]] {
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		}
		if depth > maxDepth {
			return place[0], true
		}
	}
	return 0, false
}

func (r *report) add(offset int, path, found, allowed string) {
	r.put(offset, Problem{Path: path, Found: found, Allowed: allowed})
}

func (r *report) put(offset int, p Problem) {
	p.File = r.file
	p.Line, p.Column = r.place(offset)
	r.problems = append(r.problems, p)
}

func (r *report) place(offset int) (line, column int) {
	before := r.text[:min(offset, len(r.text))]
	start := bytes.LastIndexByte(before, '\n') + 1
	return bytes.Count(before, []byte{'\n'}) + 1, utf8.RuneCount(before[start:]) + 1
}
