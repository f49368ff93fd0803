// Package inspector decodes and validates JSON with comments, and reports all
// mistakes at once, each with file, line and column, the value found and the values
// allowed. The settings of an instance and the configuration document use it.
//
// The caller describes an object by its fields. Each field decodes its value
// with a function, so that types need no tags:
//
//	inspector.Read("settings.json", text, func(n inspector.Node) {
//		n.Object(
//			inspector.Required("name", func(n inspector.Node) { s.Name = n.Text() }),
//			inspector.Optional("slots", func(n inspector.Node) { s.Slots = n.Int(1, 100) }),
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
	// Problem is one mistake in a file.
	Problem struct {
		File string
		// Line and Column start at 1. Column counts characters.
		Line, Column int
		// Path is the path of the value, "services[0].name"; empty for the root.
		Path string
		// Found describes the value found, Allowed the values allowed.
		Found, Allowed string
		// Unknown marks an unknown key, which a newer version may support.
		Unknown bool
	}

	// Problems lists all mistakes of a file in the order found. It implements
	// error.
	Problems []Problem

	// document is a text under validation with the problems found so far.
	document struct {
		file     string
		text     []byte
		problems Problems
	}
)

const (
	// MaxBytes is the maximum length of a text: the store accepts no longer value.
	MaxBytes = 1 << 20
	// maxDepth bounds the nesting, since the parser recurses and deep nesting
	// would exhaust the stack.
	maxDepth       = 64
	maxQuotedBytes = 40
)

// tokenPattern matches strings, comments and brackets.
var tokenPattern = regexp.MustCompile(`(?s)"(?:[^"\\]|\\.)*"|//[^\n]*|/\*.*?\*/|[\[\]{}]`)

// String formats the problem as "file:line:column: path: found …; allowed: …".
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

// Error lists the problems, one per line.
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

// WithoutUnknownKeys returns the problems without unknown keys.
func (p Problems) WithoutUnknownKeys() Problems {
	return slices.DeleteFunc(slices.Clone(p), func(q Problem) bool { return q.Unknown })
}

// Read parses a text and calls read with its root value. The values that read
// decodes are valid only if no problems are returned.
func Read(file string, text []byte, read func(Node)) Problems {
	r := &document{file: file, text: text}
	if len(text) > MaxBytes {
		r.add(0, "", fmt.Sprintf("%d bytes", len(text)), fmt.Sprintf("at most %d", MaxBytes))
		return r.problems
	}
	if offset, found := findExcessNesting(text); found {
		r.add(offset, "", "brackets nested too deeply", fmt.Sprintf("at most %d levels", maxDepth))
		return r.problems
	}
	v, err := hujson.Parse(bytes.Clone(text))
	if err != nil {
		r.problems = append(r.problems, syntaxProblem(file, err))
		return r.problems
	}
	read(Node{document: r, value: &v})
	return r.problems
}

// syntaxProblem extracts line and column from the parser's message.
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

// findExcessNesting returns the offset of the first bracket nested deeper than maxDepth.
// It skips strings and comments, where closing brackets would lower the count.
func findExcessNesting(text []byte) (offset int, found bool) {
	depth := 0
	for _, span := range tokenPattern.FindAllIndex(text, -1) {
		switch text[span[0]] {
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		}
		if depth > maxDepth {
			return span[0], true
		}
	}
	return 0, false
}

func (d *document) add(offset int, path, found, allowed string) {
	d.addProblem(offset, Problem{Path: path, Found: found, Allowed: allowed})
}

func (d *document) addProblem(offset int, p Problem) {
	p.File = d.file
	p.Line, p.Column = d.position(offset)
	d.problems = append(d.problems, p)
}

func (d *document) position(offset int) (line, column int) {
	before := d.text[:min(offset, len(d.text))]
	start := bytes.LastIndexByte(before, '\n') + 1
	return bytes.Count(before, []byte{'\n'}) + 1, utf8.RuneCount(before[start:]) + 1
}
