package configurer

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/lister"
	"github.com/oriolegw/oriolegw/internal/storer"
)

// Key is where the store holds the document. Its revision is the version: the
// store only raises it.
const Key = "oriolegw/configuration"

const (
	// watchers is how many instances of a zone watch the store's key. Two, so
	// that one may die or pause: 22 waiting calls in 11 zones. If all 1,800
	// watched, each change would wake as many readers as the store serves in a
	// second, and the waiting calls alone would fill its rate.
	watchers = 2
	watchKey = "configuration"
	// watchFor ends a watch that has gone silent for good; the next one gets
	// whatever it missed.
	watchFor = 10 * time.Second
	// maxPrevious is how many texts are kept to tell differences from: two
	// minutes' worth at 2,500 changes a day, 4 MB at the largest.
	maxPrevious = 4
	// The pauses after which a store that failed is called again.
	firstPause = 250 * time.Millisecond
	maxPause   = 4 * time.Second
)

type (
	// Slice decides which document is in force on this instance: the one with
	// the highest version that it was ever offered and could read. Versions are
	// the store's revisions of one key, so they only rise there; the slice lets
	// them only rise here; and an instance that starts with an empty memory
	// learns the newest from the store or from its peers, whichever answers.
	// Set the exported fields before use.
	Slice struct {
		Instance string
		Zone     string
		Random   *rand.Rand
		// Held is where the server of peers finds the document in force. It may
		// be nil.
		Held *atomic.Pointer[Held]

		inForce  int64
		rejected int64
		text     []byte

		// watcher is what the instances' view says; busy and next are of the
		// store, fetching and hint of the peers.
		watcher  bool
		busy     bool
		checked  bool
		next     time.Time
		pause    time.Duration
		fetching bool
		hint     HeardOf
	}

	// Held is a document in force with its version, and those in force before
	// it, the newest first.
	Held struct {
		Version  int64
		Text     []byte
		Previous []Held
	}

	// Read asks the store for the document.
	Read struct{}

	// Watch asks the store for the first change after a version.
	Watch struct{ Since int64 }

	// Fetch asks a peer for its document, if it is newer.
	Fetch struct {
		Address   string
		NewerThan int64
		// Base is the text in force: the peer may answer with what differs.
		Base []byte
	}

	// HeardOf says that a peer has a version in force.
	HeardOf struct {
		Version int64
		Address string
	}

	// Offered is a document that was read, from the store or from a peer, or
	// the failure to read one.
	Offered struct {
		Version  int64
		Document *Document
		// Text is the document as it was published.
		Text []byte
		Err  error
		// Source is where it came from.
		Source Source
	}

	// Source is where a document came from.
	Source string

	// InForce says that a newer document is now in force.
	InForce struct {
		Version  int64
		Document *Document
	}

	// Rejected says that a version could not be read, and why. What was in
	// force stays so.
	Rejected struct {
		Version int64
		Err     error
	}

	// Reader performs Read and Watch.
	Reader struct {
		Store storer.Store
	}
)

// The sources of documents.
const (
	SourceStore Source = "store"
	SourceWatch Source = "watch"
	SourcePeer  Source = "peer"
)

// ActionName implements controller.Action.
func (Read) ActionName() string { return "read-configuration" }

// ActionName implements controller.Action.
func (Watch) ActionName() string { return "watch-configuration" }

// ActionName implements controller.Action.
func (Fetch) ActionName() string { return "fetch-configuration" }

// EventName implements controller.Event.
func (HeardOf) EventName() string { return "configuration-heard-of" }

// EventName implements controller.Event.
func (Offered) EventName() string { return "configuration-offered" }

// EventName implements controller.Event.
func (InForce) EventName() string { return "configuration-in-force" }

// EventName implements controller.Event.
func (Rejected) EventName() string { return "configuration-rejected" }

// Step implements controller.Slice.
func (s *Slice) Step(now time.Time, e controller.Event) []controller.Action {
	switch e := e.(type) {
	case lister.Changed:
		s.watcher = lister.Holds(lister.Top(watchKey, s.Zone, watchers, e.Instances), s.Instance)
	case controller.Tick:
		return s.ask(now)
	case HeardOf:
		return s.heard(e)
	case Offered:
		return s.offered(now, e)
	}
	return nil
}

// ask decides on the next call to the store. An instance that is no watcher
// calls it only while nothing is in force: at 540 replacements a day that is a
// call every 160 s.
func (s *Slice) ask(now time.Time) []controller.Action {
	if s.busy || now.Before(s.next) || (!s.watcher && s.inForce > 0) {
		return nil
	}
	s.busy = true
	if max(s.inForce, s.rejected) == 0 || !s.checked {
		return []controller.Action{Read{}}
	}
	return []controller.Action{Watch{Since: max(s.inForce, s.rejected)}}
}

// heard fetches a newer version from the peer that has it, one at a time.
func (s *Slice) heard(e HeardOf) []controller.Action {
	if e.Version <= s.inForce || e.Version == s.rejected || e.Address == "" {
		return nil
	}
	if s.fetching {
		if e.Version > s.hint.Version {
			s.hint = e
		}
		return nil
	}
	s.fetching = true
	return []controller.Action{Fetch{Address: e.Address, NewerThan: s.inForce, Base: s.text}}
}

func (s *Slice) offered(now time.Time, e Offered) []controller.Action {
	out := s.apply(e)
	if e.Source == SourcePeer {
		s.fetching = false
		hint := s.hint
		s.hint = HeardOf{}
		return append(out, s.heard(hint)...)
	}
	s.busy = false
	if e.Err != nil && e.Version == 0 {
		// A watch that failed may have missed changes that the store no
		// longer tells of: read before the next.
		s.checked = false
		s.pause = min(max(2*s.pause, firstPause), maxPause)
		s.next = now.Add(s.pause/2 + time.Duration(s.Random.Int64N(int64(s.pause))))
		return out
	}
	s.checked, s.pause = true, 0
	return out
}

// apply puts a newer document in force. Versions only rise: an answer that was
// late, or a peer that was cut off for an hour, must not bring back what
// operators have replaced.
func (s *Slice) apply(e Offered) []controller.Action {
	if e.Version <= s.inForce || e.Version == s.rejected {
		return nil
	}
	if e.Document == nil {
		// It can't be read, here or anywhere: what is in force stays. The
		// version is remembered, so that it is fetched and told once. An older
		// one that peers hold is still taken by an instance that has none.
		s.rejected = e.Version
		return []controller.Action{controller.Emit{Event: Rejected{Version: e.Version, Err: e.Err}}}
	}
	s.hold(e.Version, e.Text)
	return []controller.Action{controller.Emit{Event: InForce{Version: e.Version, Document: e.Document}}}
}

// hold keeps the text for peers, and some before it, for those that have one of
// them and need only what differs.
func (s *Slice) hold(version int64, text []byte) {
	if s.Held != nil {
		next := &Held{Version: version, Text: text}
		if old := s.Held.Load(); old != nil {
			next.Previous = append([]Held{{Version: old.Version, Text: old.Text}}, old.Previous...)
			next.Previous = next.Previous[:min(maxPrevious, len(next.Previous))]
		}
		s.Held.Store(next)
	}
	s.inForce, s.text = version, text
}

// Difference returns what differs from an older version, if that is held and
// the difference is worth it.
func (h *Held) Difference(from int64) (Difference, bool) {
	for _, p := range h.Previous {
		if p.Version == from {
			d := Compare(p.Text, h.Text)
			return d, d.Size() < len(h.Text)/2
		}
	}
	return Difference{}, false
}

// Perform implements controller.Performer.
func (r *Reader) Perform(ctx context.Context, a controller.Action) (controller.Event, bool) {
	switch a := a.(type) {
	case Read:
		return r.read(ctx), true
	case Watch:
		return r.watch(ctx, a.Since), true
	}
	return nil, false
}

func (r *Reader) read(ctx context.Context) Offered {
	p, err := r.Store.Get(ctx, Key)
	if err != nil {
		return Offered{Err: err, Source: SourceStore}
	}
	if p.Revision == 0 {
		return Offered{Err: errors.New("no document is published"), Source: SourceStore}
	}
	return Offer(p.Revision, p.Value, SourceStore)
}

// watch returns the first change after a version; an empty offer when none came
// in watchFor.
func (r *Reader) watch(ctx context.Context, since int64) Offered {
	limit, cancel := context.WithTimeout(ctx, watchFor)
	defer cancel()
	out := Offered{Source: SourceWatch}
	err := r.Store.Watch(limit, Key, since, func(p storer.Pair) {
		if p.Key == Key && p.Revision > max(since, out.Version) {
			out = Offer(p.Revision, p.Value, SourceWatch)
			cancel()
		}
	})
	if out.Version == 0 && limit.Err() == nil {
		out.Err = err
	}
	return out
}

// Offer decodes a document.
func Offer(version int64, text []byte, source Source) Offered {
	d, err := Decode(text)
	if err != nil {
		return Offered{Version: version, Err: err, Source: source}
	}
	return Offered{Version: version, Document: d, Text: text, Source: source}
}
