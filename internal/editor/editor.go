// Package editor serves HTML forms that edit the configuration document. Edits are
// JSON patches of the document's text, so that comments are preserved and the usual
// validation reports all mistakes, including invalid numbers. The working copy is a
// hidden form field; the server is stateless.
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
	// WorkingCopy is an operator's working copy of the document.
	WorkingCopy struct {
		// Version is the published version that the copy is based on, or 0.
		Version int64
		Text    string
	}

	// Field is one input of a form.
	Field struct {
		Key  string
		Kind FieldKind
		Help string
	}

	// FieldKind determines how an input is encoded as JSON.
	FieldKind string

	// Form describes the inputs for one kind of object.
	Form struct {
		// Name is the kind of object: service, member, rule, customer or user.
		Name   string
		Fields []Field
		// EmptyLists are the keys of the empty lists in a new object.
		EmptyLists []string
	}

	// patchOperation is one JSON Patch operation (RFC 6902).
	patchOperation struct {
		Op    string          `json:"op"`
		Path  string          `json:"path"`
		Value json.RawMessage `json:"value,omitempty"`
	}
)

// Kinds of inputs.
const (
	// Text is a string.
	Text FieldKind = "text"
	// Number is a number, or a string if the input is not a valid number.
	Number FieldKind = "number"
	// Checkbox is true or false.
	Checkbox FieldKind = "checkbox"
	// WordList is a list of strings, separated by spaces in the input.
	WordList FieldKind = "words"
)

const (
	fileName    = "the edited document"
	formService = "service"
)

// Forms has the forms by name.
var Forms = map[string]Form{
	formService: {
		Name: formService, EmptyLists: []string{"members", "reader-rules", "customers"},
		Fields: []Field{
			{"name", Text, "database name that callers connect to"},
			{"connections", Number, "maximum number of connections from all instances to the group"},
			{"slots", Number, "statements that a member runs concurrently"},
			{"hold-ms", Number, "how long a request that has not run waits for a primary; 0 selects the default"},
		},
	},
	"member": {Name: "member", Fields: []Field{
		{"name", Text, ""},
		{"address", Text, "IP number and port"},
		{"availability-zone", Text, ""},
		{"leaving", Checkbox, "receives no new requests"},
	}},
	"rule": {Name: "rule", Fields: []Field{
		{"kind", Text, "kind of request; \"default\" applies to requests without a kind"},
		{"max-age-ms", Number, "maximum staleness; 0 selects the primary only"},
	}},
	"customer": {Name: "customer", Fields: []Field{
		{"name", Text, ""},
		{"share", Number, "weight among the customers of the service"},
		{"users", WordList, "user names of callers, separated by spaces"},
	}},
	"user": {Name: "user", Fields: []Field{
		{"name", Text, ""},
		{"password-verifier", Text, "output of oriolegwctl verifier"},
	}},
}

// Check parses and validates the copy.
func (c WorkingCopy) Check() (*configurer.Document, inspector.Problems) {
	return configurer.Check(fileName, []byte(c.Text))
}

// SetObject sets the form's fields of the object at a path, keeping its other keys. A path
// that ends in "/-" appends a new object.
func (c WorkingCopy) SetObject(form Form, path string, value func(key string) string) (WorkingCopy, error) {
	parent, last := splitPath(path)
	if last != "-" {
		var edits []patchOperation
		for _, f := range form.Fields {
			edits = append(edits, patchOperation{Op: "add", Path: path + "/" + f.Key, Value: f.encode(value(f.Key))})
		}
		return c.apply(edits)
	}
	object := map[string]json.RawMessage{}
	for _, f := range form.Fields {
		object[f.Key] = f.encode(value(f.Key))
	}
	for _, l := range form.EmptyLists {
		object[l] = json.RawMessage("[]")
	}
	return c.ensureList(parent).apply([]patchOperation{{Op: "add", Path: path, Value: encodeOrdered(form, object)}})
}

// Remove deletes the object at a path.
func (c WorkingCopy) Remove(path string) (WorkingCopy, error) {
	return c.apply([]patchOperation{{Op: "remove", Path: path}})
}

func splitPath(path string) (parent, last string) {
	i := strings.LastIndexByte(path, '/')
	if i < 0 {
		return "", path
	}
	return path[:i], path[i+1:]
}

// ensureList adds an empty list at the path if the document has none.
func (c WorkingCopy) ensureList(path string) WorkingCopy {
	v, err := hujson.Parse([]byte(c.Text))
	if err != nil || v.Find(path) != nil {
		return c
	}
	if extended, err := c.apply([]patchOperation{{Op: "add", Path: path, Value: json.RawMessage("[]")}}); err == nil {
		return extended
	}
	return c
}

func (c WorkingCopy) apply(edits []patchOperation) (WorkingCopy, error) {
	text := c.Text
	if strings.TrimSpace(text) == "" {
		text = string(configurer.Encode(&configurer.Document{}))
	}
	v, err := hujson.Parse([]byte(text))
	if err != nil {
		return c, errors.Wrap(err, "parse working copy")
	}
	list, err := json.Marshal(edits)
	if err != nil {
		return c, errors.Wrap(err, "encode patch")
	}
	if err := v.Patch(list); err != nil {
		return c, errors.Wrap(err, "apply patch")
	}
	v.Format()
	return WorkingCopy{Version: c.Version, Text: string(v.Pack())}, nil
}

// encode encodes an input as JSON. An invalid number becomes a string, which the
// validation of the document reports.
func (f Field) encode(input string) json.RawMessage {
	input = strings.TrimSpace(input)
	switch f.Kind {
	case Number:
		if input != "" && json.Valid([]byte(input)) && strings.Trim(input, "0123456789.eE+-") == "" {
			return json.RawMessage(input)
		}
	case Checkbox:
		return encodeJSON(input != "")
	case WordList:
		return encodeJSON(append([]string{}, strings.Fields(input)...))
	case Text:
	}
	return encodeJSON(input)
}

func encodeJSON(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // marshaling strings and booleans can't fail
	}
	return b
}

// encodeOrdered encodes an object with its keys in the order of the form.
func encodeOrdered(form Form, object map[string]json.RawMessage) json.RawMessage {
	keys := make([]string, 0, len(object))
	for _, f := range form.Fields {
		keys = append(keys, f.Key)
	}
	keys = slices.Concat(keys, form.EmptyLists)
	var out bytes.Buffer
	out.WriteByte('{')
	for i, k := range keys {
		if i > 0 {
			out.WriteByte(',')
		}
		out.Write(encodeJSON(k))
		out.WriteByte(':')
		out.Write(object[k])
	}
	out.WriteByte('}')
	return out.Bytes()
}
