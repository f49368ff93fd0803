package exchanger

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/oriolegw/oriolegw/internal/discoverer"
	"github.com/oriolegw/oriolegw/internal/storer"
)

// record is the value that an instance registers in the store. It outlives its instance, so
// that instances that start together discover each other from their first snapshot.
type record struct {
	Address    string `json:"address"`
	Zone       string `json:"availability-zone"`
	Millicores int    `json:"millicores,omitempty"`
}

// RecordPrefix returns the key prefix of the instance records of an availability zone.
func RecordPrefix(zone string) string { return InstancePrefix + zone + "/" }

// SetListed records that the records of other instances were read from the store, after which
// this instance may write its own.
func (e *Exchanger) SetListed() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.listed = true
}

// HandleRecord handles a changed instance record of the store.
func (e *Exchanger) HandleRecord(p storer.Pair) {
	// Earlier versions wrote records without the zone in the key.
	name := p.Key[strings.LastIndexByte(p.Key, '/')+1:]
	if name == e.Discoverer.Self.Name {
		if p.Key != RecordPrefix(e.Discoverer.Self.Zone)+name {
			return
		}
		e.mutex.Lock()
		e.ownRecord = p
		e.mutex.Unlock()
		return
	}
	e.Discoverer.SetRemoved(name, p.Revision == 0)
	if p.Revision == 0 {
		return
	}
	var r record
	if err := json.Unmarshal(p.Value, &r); err != nil || r.Address == "" {
		e.Log("event", "instance-record-rejected", "key", p.Key, "revision", p.Revision, "cause", err)
		return
	}
	e.Discoverer.RecordListed(e.Clock(), discoverer.Peer{Name: name, Address: r.Address, Zone: r.Zone, Millicores: max(0, r.Millicores)})
}

// register writes the record of this instance unless the store already holds it.
func (e *Exchanger) register(ctx context.Context) {
	if e.Store == nil {
		return
	}
	known := e.StoreState() != nil
	self := e.Discoverer.Self
	value, err := json.Marshal(record{Address: self.Address, Zone: self.Zone, Millicores: self.Millicores})
	if err != nil {
		panic("exchanger: encode record: " + err.Error())
	}
	e.mutex.Lock()
	ownRecord := e.ownRecord
	needsWrite := (known || e.listed) && string(ownRecord.Value) != string(value) && (e.registerTriedAt == 0 || e.Clock()-e.registerTriedAt >= registerRetryDelay)
	if needsWrite {
		e.registerTriedAt = e.Clock()
	}
	e.mutex.Unlock()
	if !needsWrite {
		return
	}
	now, ok, err := e.Store.Swap(ctx, storer.Pair{Key: RecordPrefix(self.Zone) + self.Name, Value: value, Revision: ownRecord.Revision}, 0)
	if err != nil {
		e.Log("event", "instance-not-registered", "cause", err)
		return
	}
	e.Log("event", "instance-registered", "revision", now.Revision, "written", ok)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if now.Revision > e.ownRecord.Revision {
		e.ownRecord = now
	}
}
