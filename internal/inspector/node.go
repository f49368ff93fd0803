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
	// Node is one JSON value with its position in the text.
	Node struct {
		document *document
		path     string
		value    *hujson.Value
	}

	// Field is a key of an object, with the function that decodes its value.
	Field struct {
		Key      string
		Required bool
		Read     func(Node)
	}

	// Choice is a string type with a fixed set of values.
	Choice interface{ ~string }
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Required returns a required field.
func Required(key string, read func(Node)) Field { return Field{Key: key, Required: true, Read: read} }

// Optional returns an optional field.
func Optional(key string, read func(Node)) Field { return Field{Key: key, Read: read} }

// Problem reports a problem at the value's position. Callers use it for their own checks.
func (n Node) Problem(found, allowed string) {
	n.document.add(n.value.StartOffset, n.path, found, allowed)
}

// Describe describes the value for messages.
func (n Node) Describe() string {
	switch v := n.value.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "a list"
	case hujson.Literal:
		if len(v) > maxQuotedBytes {
			return strings.ToValidUTF8(string(v[:maxQuotedBytes]), "?") + "…"
		}
		return string(v)
	}
	return "nothing"
}

// Object decodes an object. Unknown, duplicate and missing keys are problems.
func (n Node) Object(fields ...Field) {
	o, ok := n.value.Value.(*hujson.Object)
	if !ok {
		n.Problem(n.Describe(), "an object with "+joinKeys(fields))
		return
	}
	seen := map[string]int{}
	for i := range o.Members {
		n.readMember(&o.Members[i], fields, seen)
	}
	for _, f := range fields {
		if _, ok := seen[f.Key]; f.Required && !ok {
			n.Problem("no key "+strconv.Quote(f.Key), "the key is required")
		}
	}
}

func (n Node) readMember(m *hujson.ObjectMember, fields []Field, seen map[string]int) {
	key := m.Name.Value.(hujson.Literal).String()
	child := n.child(&m.Value, key)
	offset := m.Name.StartOffset
	if firstOffset, ok := seen[key]; ok {
		first, _ := n.document.position(firstOffset)
		n.document.add(offset, n.path, "key "+strconv.Quote(key)+" repeated", "each key once; first used in line "+strconv.Itoa(first))
		return
	}
	seen[key] = offset // not the line, which takes time linear in the length of the text
	for _, f := range fields {
		if f.Key == key {
			f.Read(child)
			return
		}
	}
	n.document.addProblem(offset, Problem{Path: n.path, Found: "unknown key " + strconv.Quote(key), Allowed: joinKeys(fields), Unknown: true})
}

func (n Node) child(v *hujson.Value, key string) Node {
	return Node{document: n.document, path: strings.TrimPrefix(n.path+"."+key, "."), value: v}
}

func joinKeys(fields []Field) string {
	out := make([]string, len(fields))
	for i, f := range fields {
		out[i] = f.Key
	}
	return strings.Join(out, ", ")
}

// Elements calls read for every element of a list with least to most elements.
func (n Node) Elements(least, most int, read func(Node)) {
	a, ok := n.value.Value.(*hujson.Array)
	if !ok {
		n.Problem(n.Describe(), "a list")
		return
	}
	if k := len(a.Elements); k < least || k > most {
		n.Problem(fmt.Sprintf("a list of %d", k), fmt.Sprintf("%d to %d values", least, most))
	}
	for i := range a.Elements {
		read(Node{document: n.document, path: fmt.Sprintf("%s[%d]", n.path, i), value: &a.Elements[i]})
	}
}

func (n Node) literal(kind hujson.Kind) (hujson.Literal, bool) {
	l, ok := n.value.Value.(hujson.Literal)
	return l, ok && l.Kind() == kind
}

// Text decodes a non-empty string.
func (n Node) Text() string {
	l, ok := n.literal('"')
	if !ok || l.String() == "" {
		n.Problem(n.Describe(), "a non-empty string")
		return ""
	}
	return l.String()
}

// Name decodes a name: lower-case letters, digits and inner hyphens.
func (n Node) Name() string {
	l, ok := n.literal('"')
	if !ok || !namePattern.MatchString(l.String()) {
		n.Problem(n.Describe(), "1 to 63 lower-case letters, digits and inner hyphens")
		return ""
	}
	return l.String()
}

// Address decodes an address, "ip:port".
func (n Node) Address() string {
	l, ok := n.literal('"')
	if ok {
		if a, err := netip.ParseAddrPort(l.String()); err == nil && a.Port() != 0 {
			return l.String()
		}
	}
	n.Problem(n.Describe(), `an IP number and a port, "192.0.2.1:5432"`)
	return ""
}

// Int decodes an integer from least to most.
func (n Node) Int(least, most int) int {
	l, ok := n.literal('0')
	if ok {
		if v, err := strconv.Atoi(string(l)); err == nil && v >= least && v <= most {
			return v
		}
	}
	n.Problem(n.Describe(), fmt.Sprintf("a whole number from %d to %d", least, most))
	return least
}

// Milliseconds decodes a duration given as an integer number of milliseconds.
func (n Node) Milliseconds(least, most time.Duration) time.Duration {
	return time.Duration(n.Int(int(least.Milliseconds()), int(most.Milliseconds()))) * time.Millisecond
}

// Bool decodes true or false.
func (n Node) Bool() bool {
	if _, ok := n.literal('t'); ok {
		return true
	}
	if _, ok := n.literal('f'); !ok {
		n.Problem(n.Describe(), "true or false")
	}
	return false
}

// OneOf decodes a string that is one of the choices.
func OneOf[C Choice](n Node, choices ...C) C {
	l, ok := n.literal('"')
	names := make([]string, len(choices))
	for i, c := range choices {
		if ok && l.String() == string(c) {
			return c
		}
		names[i] = strconv.Quote(string(c))
	}
	n.Problem(n.Describe(), strings.Join(names, ", "))
	return choices[0]
}

// Unique returns a function that reports a problem for each value it has already
// been called with. The description names the kind of value in messages.
func Unique(description string) func(Node, string) {
	seen := map[string]int{}
	return func(n Node, value string) {
		if value == "" { // already reported
			return
		}
		line, _ := n.document.position(n.value.StartOffset)
		if first, ok := seen[value]; ok {
			n.Problem(description+" "+strconv.Quote(value)+" repeated", fmt.Sprintf("each once; first used in line %d", first))
			return
		}
		seen[value] = line
	}
}

// Number decodes a number from least to most, which may have a fraction.
func (n Node) Number(least, most float64) float64 { return n.float("a number", least, most) }

// Seconds decodes a duration given in seconds, which may have a fraction.
func (n Node) Seconds(least, most time.Duration) time.Duration {
	return time.Duration(n.float("a number of seconds", least.Seconds(), most.Seconds()) * float64(time.Second))
}

func (n Node) float(description string, least, most float64) float64 {
	if l, ok := n.literal('0'); ok {
		if v, err := strconv.ParseFloat(string(l), 64); err == nil && v >= least && v <= most {
			return v
		}
	}
	n.Problem(n.Describe(), fmt.Sprintf("%s from %v to %v", description, least, most))
	return least
}

// Members calls read for every member of an object with arbitrary keys, at most most of them.
func (n Node) Members(most int, read func(key string, value Node)) {
	o, ok := n.value.Value.(*hujson.Object)
	if !ok || len(o.Members) > most {
		n.Problem(n.Describe(), fmt.Sprintf("an object with at most %d keys", most))
		return
	}
	for i := range o.Members {
		m := &o.Members[i]
		key := m.Name.Value.(hujson.Literal).String()
		read(key, n.child(&m.Value, key))
	}
}
