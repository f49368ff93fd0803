package teller

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/oriolegw/oriolegw/internal/introducer"
	"github.com/oriolegw/oriolegw/internal/storer"
)

// record is the value that an instance registers in the store. It outlives its instance, so
// that instances that start together discover each other from their first snapshot.
type record struct {
	Address    string `json:"address"`
	Zone       string `json:"availability-zone"`
	Millicores int    `json:"millicores,omitempty"`
}

// Saw handles a changed instance record of the store.
func (t *Teller) Saw(p storer.Pair) {
	name := strings.TrimPrefix(p.Key, InstancePrefix)
	if name == t.Introducer.Self.Name {
		t.mutex.Lock()
		t.ownRecord = p
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

// register writes the record of this instance unless the store already holds it.
func (t *Teller) register(ctx context.Context) {
	if t.Known() == nil || t.Store == nil {
		return
	}
	self := t.Introducer.Self
	value, err := json.Marshal(record{Address: self.Address, Zone: self.Zone, Millicores: self.Millicores})
	if err != nil {
		panic("teller: encode record: " + err.Error())
	}
	t.mutex.Lock()
	ownRecord := t.ownRecord
	needsWrite := string(ownRecord.Value) != string(value) && (t.registerTriedAt == 0 || t.Clock()-t.registerTriedAt >= registerRetryDelay)
	if needsWrite {
		t.registerTriedAt = t.Clock()
	}
	t.mutex.Unlock()
	if !needsWrite {
		return
	}
	now, ok, err := t.Store.Swap(ctx, storer.Pair{Key: InstancePrefix + self.Name, Value: value, Revision: ownRecord.Revision}, 0)
	if err != nil {
		t.Log("event", "instance-not-registered", "cause", err)
		return
	}
	t.Log("event", "instance-registered", "revision", now.Revision, "written", ok)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if now.Revision > t.ownRecord.Revision {
		t.ownRecord = now
	}
}
