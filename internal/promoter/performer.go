package promoter

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/storer"
)

const (
	// recordIntentTimeout bounds the wait for the store. Safety does not depend on it, so an
	// unavailable store must not delay the promotion.
	recordIntentTimeout = 150 * time.Millisecond
	publishTimeout      = 2 * time.Second
	maxSwapAttempts     = 3
	keyPrefix           = "oriolegw/groups/"
)

type (
	// Performer executes the actions of a Slice.
	Performer struct {
		Commander commander.Commander
		Store     storer.Store
	}

	// wireRecord is the stored form of Record.
	wireRecord struct {
		Term    uint64 `json:"term"`
		Owner   string `json:"owner"`
		Primary string `json:"primary,omitempty"`
	}
)

// RecordKey returns the store key of a group's record.
func RecordKey(service string) string { return keyPrefix + service }

// Perform implements controller.Performer.
func (p *Performer) Perform(ctx context.Context, a controller.Action) (controller.Event, bool) {
	switch a := a.(type) {
	case Order:
		return p.sendOrder(ctx, a), true
	case RecordIntent:
		return p.recordIntent(ctx, a), true
	case Publish:
		return p.publishRecord(ctx, a), true
	}
	return nil, false
}

func (p *Performer) sendOrder(ctx context.Context, a Order) OrderResult {
	if a.Delay > 0 {
		t := time.NewTimer(a.Delay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
	o := OrderResult{Order: a, Started: time.Now()}
	switch a.Kind {
	case OrderStatus:
		ctx = commander.WithFailover(ctx)
		o.Status, o.Err = p.Commander.Status(ctx, a.Address)
	case OrderFence:
		o.Status, o.Err = p.Commander.Fence(ctx, a.Address, a.Term, a.Owner)
	case OrderDrain:
		o.Status, o.Err = p.Commander.Drain(ctx, a.Address, a.Term, a.Owner, a.DrainTimeout)
	case OrderPromote:
		o.Status, o.Err = p.Commander.Promote(ctx, a.Address, a.Term, a.Owner)
	case OrderFollow:
		o.Status, o.Err = p.Commander.Follow(ctx, a.Address, a.Term, a.Primary)
	}
	return o
}

// recordIntent records an intent by compare-and-swap. Each attempt reads first, so a write
// whose response was lost is recognized by its owner.
func (p *Performer) recordIntent(ctx context.Context, a RecordIntent) IntentRecorded {
	ctx, cancel := context.WithTimeout(ctx, recordIntentTimeout)
	defer cancel()
	out := IntentRecorded{Service: a.Service, Attempt: a.Attempt}
	for range maxSwapAttempts {
		now, err := p.Store.Get(ctx, RecordKey(a.Service))
		if err != nil {
			continue
		}
		found, err := decode(now.Value)
		switch {
		case err == nil && found.Owner == a.Record.Owner && found.Term == a.Record.Term:
			out.Outcome = IntentHeld
			return out
		case err == nil && found.Term >= a.Record.Term:
			out.Outcome, out.Found = IntentTaken, found
			return out
		}
		_, ok, err := p.Store.Swap(ctx, storer.Pair{Key: now.Key, Value: encode(a.Record), Revision: now.Revision}, 0)
		if err == nil && ok {
			out.Outcome = IntentHeld
			return out
		}
	}
	return out
}

// publishRecord records a completed promotion unless the store holds a newer one.
func (p *Performer) publishRecord(ctx context.Context, a Publish) Published {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	out := Published{Service: a.Service, Record: a.Record}
	now, err := p.Store.Get(ctx, RecordKey(a.Service))
	if err != nil {
		return out
	}
	found, err := decode(now.Value)
	if err == nil && (found.Term > a.Record.Term || found == a.Record) {
		out.Done = true
		return out
	}
	_, out.Done, _ = p.Store.Swap(ctx, storer.Pair{Key: now.Key, Value: encode(a.Record), Revision: now.Revision}, 0)
	return out
}

func encode(r Record) []byte {
	text, err := json.Marshal(wireRecord{Term: r.Term, Owner: r.Owner, Primary: r.Primary})
	if err != nil {
		panic(err) // unreachable: strings and integers always encode
	}
	return text
}

// decode decodes a record; empty input is the zero Record.
func decode(text []byte) (Record, error) {
	if len(text) == 0 {
		return Record{}, nil
	}
	var w wireRecord
	if err := json.Unmarshal(text, &w); err != nil {
		return Record{}, errors.Wrap(err, "promotion record")
	}
	return Record{Term: w.Term, Owner: w.Owner, Primary: w.Primary}, nil
}
