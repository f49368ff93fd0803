package configurer

import (
	"context"
	"time"

	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/storer"
)

// Key is where the store holds the document. Its revision is the version: the
// store only raises it.
const Key = "oriolegw/configuration"

const readEvery = 2 * time.Second

type (
	// Slice decides which document is in force on this instance.
	Slice struct {
		inForce  int64
		reading  bool
		nextRead time.Time
	}

	// Read asks the store for the document.
	Read struct{}

	// Offered is a document that was read, from the store or from a peer.
	Offered struct {
		Version  int64
		Document *Document
		Err      error
	}

	// InForce says that a newer document is now in force.
	InForce struct {
		Version  int64
		Document *Document
	}

	// Reader performs Read.
	Reader struct {
		Store storer.Store
	}
)

// ActionName implements controller.Action.
func (Read) ActionName() string { return "read-configuration" }

// EventName implements controller.Event.
func (Offered) EventName() string { return "configuration-offered" }

// EventName implements controller.Event.
func (InForce) EventName() string { return "configuration-in-force" }

// Step implements controller.Slice.
func (s *Slice) Step(now time.Time, e controller.Event) []controller.Action {
	switch e := e.(type) {
	case controller.Tick:
		if s.reading || now.Before(s.nextRead) {
			return nil
		}
		s.reading, s.nextRead = true, now.Add(readEvery)
		return []controller.Action{Read{}}
	case Offered:
		s.reading = false
		// Versions only rise: an answer that was late, or an old peer, must
		// not bring back what operators have replaced.
		if e.Err != nil || e.Document == nil || e.Version <= s.inForce {
			return nil
		}
		s.inForce = e.Version
		return []controller.Action{controller.Emit{Event: InForce{Version: e.Version, Document: e.Document}}}
	}
	return nil
}

// Perform implements controller.Performer.
func (r *Reader) Perform(ctx context.Context, a controller.Action) (controller.Event, bool) {
	if _, ok := a.(Read); !ok {
		return nil, false
	}
	p, err := r.Store.Get(ctx, Key)
	if err != nil || p.Revision == 0 {
		return Offered{Err: err}, true
	}
	d, err := Decode(p.Value)
	return Offered{Version: p.Revision, Document: d, Err: err}, true
}
