package inspector

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

type (
	// Node is one value of a text, with its place.
	Node struct {
		report *report
		path   string
		value  *hujson.Value
	}

	// Field is one key that an object may have.
	Field struct {
		Key      string
		Required bool
		Read     func(Node)
	}

	// Choice is a text that is one of a few.
	Choice interface{ ~string }
)

var name = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Need is a field that must be there.
func Need(key string, read func(Node)) Field { return Field{Key: key, Required: true, Read: read} }

// May is a field that may be absent.
func May(key string, read func(Node)) Field { return Field{Key: key, Read: read} }

// Problem reports a mistake at the value, for checks that only the caller can
// make.
func (n Node) Problem(found, allowed string) {
	n.report.add(n.value.StartOffset, n.path, found, allowed)
}

// Found describes the value for a message.
func (n Node) Found() string {
	switch v := n.value.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "a list"
	case hujson.Literal:
		if len(v) > quoted {
			return strings.ToValidUTF8(string(v[:quoted]), "?") + "…"
		}
		return string(v)
	}
	return "nothing"
}

// Object reads an object: unknown, duplicate and missing keys are problems.
func (n Node) Object(fields ...Field) {
	o, ok := n.value.Value.(*hujson.Object)
	if !ok {
		n.Problem(n.Found(), "an object with "+keys(fields))
		return
	}
	seen := map[string]int{}
	for i := range o.Members {
		n.member(&o.Members[i], fields, seen)
	}
	for _, f := range fields {
		if _, ok := seen[f.Key]; f.Required && !ok {
			n.Problem("no key "+strconv.Quote(f.Key), "the key is required")
		}
	}
}

func (n Node) member(m *hujson.ObjectMember, fields []Field, seen map[string]int) {
	key := m.Name.Value.(hujson.Literal).String()
	child := n.child(&m.Value, key)
	at := m.Name.StartOffset
	if offset, ok := seen[key]; ok {
		first, _ := n.report.place(offset)
		n.report.add(at, n.path, "key "+strconv.Quote(key)+" a second time", "each key once; the first stands in line "+strconv.Itoa(first))
		return
	}
	seen[key] = at // its line is counted only when it is needed: that reads the text from its start
	for _, f := range fields {
		if f.Key == key {
			f.Read(child)
			return
		}
	}
	n.report.put(at, Problem{Path: n.path, Found: "unknown key " + strconv.Quote(key), Allowed: keys(fields), Unknown: true})
}

func (n Node) child(v *hujson.Value, key string) Node {
	return Node{report: n.report, path: strings.TrimPrefix(n.path+"."+key, "."), value: v}
}

func keys(fields []Field) string {
	out := make([]string, len(fields))
	for i, f := range fields {
		out[i] = f.Key
	}
	return strings.Join(out, ", ")
}

// Each reads a list of at least least and at most most values.
func (n Node) Each(least, most int, read func(Node)) {
	a, ok := n.value.Value.(*hujson.Array)
	if !ok {
		n.Problem(n.Found(), "a list")
		return
	}
	if k := len(a.Elements); k < least || k > most {
		n.Problem(fmt.Sprintf("a list of %d", k), fmt.Sprintf("%d to %d values", least, most))
	}
	for i := range a.Elements {
		read(Node{report: n.report, path: fmt.Sprintf("%s[%d]", n.path, i), value: &a.Elements[i]})
	}
}

func (n Node) literal(kind hujson.Kind) (hujson.Literal, bool) {
	l, ok := n.value.Value.(hujson.Literal)
	return l, ok && l.Kind() == kind
}

// Text reads a string that is not empty.
func (n Node) Text() string {
	l, ok := n.literal('"')
	if !ok || l.String() == "" {
		n.Problem(n.Found(), "a string that is not empty")
		return ""
	}
	return l.String()
}

// Name reads a name: lower-case letters, digits and hyphens.
func (n Node) Name() string {
	l, ok := n.literal('"')
	if !ok || !name.MatchString(l.String()) {
		n.Problem(n.Found(), "1 to 63 lower-case letters, digits and inner hyphens")
		return ""
	}
	return l.String()
}

// Address reads "ip:port".
func (n Node) Address() string {
	l, ok := n.literal('"')
	if ok {
		if a, err := netip.ParseAddrPort(l.String()); err == nil && a.Port() != 0 {
			return l.String()
		}
	}
	n.Problem(n.Found(), `an IP number and a port, "192.0.2.1:5432"`)
	return ""
}

// Int reads a whole number between least and most.
func (n Node) Int(least, most int) int {
	l, ok := n.literal('0')
	if ok {
		if v, err := strconv.Atoi(string(l)); err == nil && v >= least && v <= most {
			return v
		}
	}
	n.Problem(n.Found(), fmt.Sprintf("a whole number from %d to %d", least, most))
	return least
}

// Milliseconds reads a time as a whole number of milliseconds.
func (n Node) Milliseconds(least, most time.Duration) time.Duration {
	return time.Duration(n.Int(int(least.Milliseconds()), int(most.Milliseconds()))) * time.Millisecond
}

// Bool reads true or false.
func (n Node) Bool() bool {
	if _, ok := n.literal('t'); ok {
		return true
	}
	if _, ok := n.literal('f'); !ok {
		n.Problem(n.Found(), "true or false")
	}
	return false
}

// OneOf reads a string that is one of the choices.
func OneOf[C Choice](n Node, choices ...C) C {
	l, ok := n.literal('"')
	names := make([]string, len(choices))
	for i, c := range choices {
		if ok && l.String() == string(c) {
			return c
		}
		names[i] = strconv.Quote(string(c))
	}
	n.Problem(n.Found(), strings.Join(names, ", "))
	return choices[0]
}

// Unique reports the values of a list that stand there twice; it returns a check
// for one value and its node.
func Unique(what string) func(Node, string) {
	seen := map[string]int{}
	return func(n Node, value string) {
		if value == "" { // already reported
			return
		}
		line, _ := n.report.place(n.value.StartOffset)
		if first, ok := seen[value]; ok {
			n.Problem(what+" "+strconv.Quote(value)+" a second time", fmt.Sprintf("each once; the first stands in line %d", first))
			return
		}
		seen[value] = line
	}
}

// Number reads a number between least and most, which may have a fraction.
func (n Node) Number(least, most float64) float64 { return n.number("a number", least, most) }

// Seconds reads a time as a number of seconds, which may have a fraction.
func (n Node) Seconds(least, most time.Duration) time.Duration {
	return time.Duration(n.number("a number of seconds", least.Seconds(), most.Seconds()) * float64(time.Second))
}

func (n Node) number(what string, least, most float64) float64 {
	if l, ok := n.literal('0'); ok {
		if v, err := strconv.ParseFloat(string(l), 64); err == nil && v >= least && v <= most {
			return v
		}
	}
	n.Problem(n.Found(), fmt.Sprintf("%s from %v to %v", what, least, most))
	return least
}

// Pairs reads an object whose keys are not known beforehand, at most so many.
func (n Node) Pairs(most int, read func(key string, value Node)) {
	o, ok := n.value.Value.(*hujson.Object)
	if !ok || len(o.Members) > most {
		n.Problem(n.Found(), fmt.Sprintf("an object with at most %d keys", most))
		return
	}
	for i := range o.Members {
		m := &o.Members[i]
		key := m.Name.Value.(hujson.Literal).String()
		read(key, n.child(&m.Value, key))
	}
}
