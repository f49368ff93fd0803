package elector

import (
	"encoding/json"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/storer"
)

// This file encodes and decodes the stored record of a group.

// errNoOwner rejects a record without an owner.
var errNoOwner = errors.New("record names no owner")

// encode encodes a record with this instance as the owner, under a lease.
func (e *Elector) encode(r record, lease storer.Lease) []byte {
	r.Owner, r.Lease = e.Name, int64(lease)
	text, err := json.Marshal(r)
	if err != nil {
		panic("elector: record: " + err.Error())
	}
	return text
}

// parseRecord decodes a stored record.
func parseRecord(value []byte) (record, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return record{}, err
	}
	if r.Owner == "" {
		return record{}, errNoOwner
	}
	return r, nil
}

// decodeOrEmpty decodes a record that is known to be valid, or returns an empty one.
func decodeOrEmpty(value []byte) record {
	r, err := parseRecord(value)
	if err != nil {
		return record{}
	}
	return r
}
