package teller

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/oriolegw/oriolegw/internal/introducer"
	"github.com/oriolegw/oriolegw/internal/storer"
)

// This file keeps the instances' records in the store: where each is reached. A record is
// written once and outlives its instance, so that those that start together with nothing
// know of each other from their first reading. An instance that is gone fails to answer
// and is not asked; its record costs 150 bytes.

// record is an instance's value in the store.
type record struct {
	Address    string `json:"address"`
	Zone       string `json:"availability-zone"`
	Millicores int    `json:"millicores,omitempty"`
}

// Saw takes in an instance's record as the store has it.
func (t *Teller) Saw(p storer.Pair) {
	name := strings.TrimPrefix(p.Key, InstancePrefix)
	if name == t.Introducer.Self.Name {
		t.mutex.Lock()
		t.own = p
		t.mutex.Unlock()
		return
	}
	if p.Revision == 0 {
		return
	}
	var r record
	if err := json.Unmarshal(p.Value, &r); err != nil || r.Address == "" {
		t.Log("event", "instance-record-rejected", "key", p.Key, "revision", p.Revision, "cause", err)
		return
	}
	t.Introducer.HeardOf(t.Clock(), introducer.Peer{Name: name, Address: r.Address, Zone: r.Zone, Millicores: max(0, r.Millicores)})
}

// register writes the own record, unless the store has it as it should be.
func (t *Teller) register(ctx context.Context) {
	if t.Known() == nil || t.Store == nil {
		return
	}
	self := t.Introducer.Self
	value, err := json.Marshal(record{Address: self.Address, Zone: self.Zone, Millicores: self.Millicores})
	if err != nil {
		panic("teller: record: " + err.Error())
	}
	t.mutex.Lock()
	own := t.own
	due := string(own.Value) != string(value) && (t.tried == 0 || t.Clock()-t.tried >= registerPause)
	if due {
		t.tried = t.Clock()
	}
	t.mutex.Unlock()
	if !due {
		return
	}
	now, ok, err := t.Store.Swap(ctx, storer.Pair{Key: InstancePrefix + self.Name, Value: value, Revision: own.Revision}, 0)
	if err != nil {
		t.Log("event", "instance-not-registered", "cause", err)
		return
	}
	t.Log("event", "instance-registered", "revision", now.Revision, "written", ok)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if now.Revision > t.own.Revision {
		t.own = now
	}
}
