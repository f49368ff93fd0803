package elector

import (
	"encoding/json"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/storer"
)

// This file reads and writes what the store holds of a duty.

// errNoHolder rejects a record that names nobody.
var errNoHolder = errors.New("it names no holder")

// encode writes a record in this instance's name, under a lease.
func (e *Elector) encode(r record, lease storer.Lease) []byte {
	r.Holder, r.Lease = e.Name, int64(lease)
	text, err := json.Marshal(r)
	if err != nil {
		panic("elector: record: " + err.Error())
	}
	return text
}

// read reads a record.
func read(value []byte) (record, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return record{}, err
	}
	if r.Holder == "" {
		return record{}, errNoHolder
	}
	return r, nil
}

// decode reads a record that Saw or take has let in; without one it names nobody.
func decode(value []byte) record {
	r, err := read(value)
	if err != nil {
		return record{}
	}
	return r
}
