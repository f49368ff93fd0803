// Package editor edits the configuration document by forms. An edit is a patch
// of the document's text, so that comments stay and the one check of documents
// tells about every mistake, also about a word where a number should be. The
// working copy travels with the forms: the server keeps nothing.
package editor

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/inspector"
	"github.com/tailscale/hujson"
)

type (
	// Copy is an operator's working copy of the document.
	Copy struct {
		// Version is the published one that the copy builds on; 0 is none.
		Version int64
		Text    string
	}

	// Field is one input of a form.
	Field struct {
		Key  string
		Kind FieldKind
		Help string
	}

	// FieldKind says how an input becomes JSON.
	FieldKind string

	// Form is the inputs for one kind of thing.
	Form struct {
		// Name is what the thing is called: service, member, rule, …
		Name   string
		Fields []Field
		// Lists are the lists that a new thing begins with, empty.
		Lists []string
	}

	// patch is one operation of RFC 6902.
	patch struct {
		Op    string          `json:"op"`
		Path  string          `json:"path"`
		Value json.RawMessage `json:"value,omitempty"`
	}
)

// The kinds of inputs.
const (
	// Text is a string.
	Text FieldKind = "text"
	// Number is written as it was typed, if it is a number.
	Number FieldKind = "number"
	// Switch is true or absent.
	Switch FieldKind = "checkbox"
	// Words are a list of strings, separated by spaces.
	Words FieldKind = "words"
)

const (
	fileName    = "the edited document"
	formService = "service"
)

// Forms are the forms, by name.
var Forms = map[string]Form{
	formService: {
		Name: formService, Lists: []string{"members", "reader-rules", "customers"},
		Fields: []Field{
			{"name", Text, "what callers name as their database"},
			{"connections", Number, "how many connections all instances together hold to the group"},
			{"slots", Number, "statements that one member runs at once"},
			{"hold-ms", Number, "how long a request that was not run waits for a primary; 0 is the default"},
		},
	},
	"member": {Name: "member", Fields: []Field{
		{"name", Text, ""},
		{"address", Text, "IP number and port"},
		{"availability-zone", Text, ""},
		{"leaving", Switch, "gets no new work"},
	}},
	"rule": {Name: "rule", Fields: []Field{
		{"kind", Text, "kind of request; default is for those that name none"},
		{"max-age-ms", Number, "how old an answer may be; 0 is for the primary only"},
	}},
	"customer": {Name: "customer", Fields: []Field{
		{"name", Text, ""},
		{"share", Number, "weight among the customers of the service"},
		{"users", Words, "caller users, separated by spaces"},
	}},
	"user": {Name: "user", Fields: []Field{
		{"name", Text, ""},
		{"password-verifier", Text, "as oriolegwctl verifier prints it"},
	}},
}

// Check returns what the copy says and its mistakes.
func (c Copy) Check() (*configurer.Document, inspector.Problems) {
	return configurer.Check(fileName, []byte(c.Text))
}

// Put writes a thing: at a path that ends in /- a new one, else the one that is
// there, whose other keys stay.
func (c Copy) Put(form Form, path string, value func(key string) string) (Copy, error) {
	parent, last := cut(path)
	if last != "-" {
		var edits []patch
		for _, f := range form.Fields {
			edits = append(edits, patch{Op: "add", Path: path + "/" + f.Key, Value: f.encode(value(f.Key))})
		}
		return c.apply(edits)
	}
	object := map[string]json.RawMessage{}
	for _, f := range form.Fields {
		object[f.Key] = f.encode(value(f.Key))
	}
	for _, l := range form.Lists {
		object[l] = json.RawMessage("[]")
	}
	return c.withList(parent).apply([]patch{{Op: "add", Path: path, Value: ordered(form, object)}})
}

// Remove takes the thing at a path away.
func (c Copy) Remove(path string) (Copy, error) {
	return c.apply([]patch{{Op: "remove", Path: path}})
}

func cut(path string) (parent, last string) {
	i := strings.LastIndexByte(path, '/')
	if i < 0 {
		return "", path
	}
	return path[:i], path[i+1:]
}

// withList adds a list that the document lacks, since those that may be absent
// often are.
func (c Copy) withList(path string) Copy {
	v, err := hujson.Parse([]byte(c.Text))
	if err != nil || v.Find(path) != nil {
		return c
	}
	if with, err := c.apply([]patch{{Op: "add", Path: path, Value: json.RawMessage("[]")}}); err == nil {
		return with
	}
	return c
}

func (c Copy) apply(edits []patch) (Copy, error) {
	text := c.Text
	if strings.TrimSpace(text) == "" {
		text = string(configurer.Encode(&configurer.Document{}))
	}
	v, err := hujson.Parse([]byte(text))
	if err != nil {
		return c, errors.Wrap(err, "the working copy")
	}
	list, err := json.Marshal(edits)
	if err != nil {
		return c, errors.Wrap(err, "encode edit")
	}
	if err := v.Patch(list); err != nil {
		return c, errors.Wrap(err, "edit")
	}
	v.Format()
	return Copy{Version: c.Version, Text: string(v.Pack())}, nil
}

// encode turns an input into JSON. What is no number stays a string, and the
// check of the document says so.
func (f Field) encode(input string) json.RawMessage {
	input = strings.TrimSpace(input)
	switch f.Kind {
	case Number:
		if input != "" && json.Valid([]byte(input)) && strings.Trim(input, "0123456789.eE+-") == "" {
			return json.RawMessage(input)
		}
	case Switch:
		return quote(input != "")
	case Words:
		return quote(append([]string{}, strings.Fields(input)...))
	case Text:
	}
	return quote(input)
}

func quote(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // strings and booleans always encode
	}
	return b
}

// ordered writes an object with its keys in the order of the form.
func ordered(form Form, object map[string]json.RawMessage) json.RawMessage {
	keys := make([]string, 0, len(object))
	for _, f := range form.Fields {
		keys = append(keys, f.Key)
	}
	keys = slices.Concat(keys, form.Lists)
	var out bytes.Buffer
	out.WriteByte('{')
	for i, k := range keys {
		if i > 0 {
			out.WriteByte(',')
		}
		out.Write(quote(k))
		out.WriteByte(':')
		out.Write(object[k])
	}
	out.WriteByte('}')
	return out.Bytes()
}
