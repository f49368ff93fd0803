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

// Key is the document's key in the store. Its revision, which only increases, is the document's
// version.
const Key = "oriolegw/configuration"

const (
	// watchersPerZone is how many instances of a zone watch the key: two for redundancy. If all
	// did, each change would trigger a read per instance, beyond the store's request rate.
	watchersPerZone = 2
	watchKey        = "configuration"
	// watchTimeout ends a watch whose connection may be silently lost; the next watch returns
	// missed changes.
	watchTimeout = 10 * time.Second
	// maxPrevious is how many earlier texts are kept as bases for patches.
	maxPrevious = 4
	// minBackoff and maxBackoff bound the pause between store calls after failures.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
)

type (
	// Slice determines the document in force on this instance: the valid one with the highest
	// version received from the store or a peer. The version never decreases while the instance
	// runs. Set the exported fields before use.
	Slice struct {
		Instance string
		Zone     string
		Random   *rand.Rand
		// Active publishes the document in force to the peer server. It may be nil.
		Active *atomic.Pointer[ActiveDocument]

		inForce  int64
		rejected int64
		text     []byte

		// isWatcher follows from the list of instances. storeCallInFlight to backoff concern calls
		// to the store, fetching and pending those to peers.
		isWatcher         bool
		storeCallInFlight bool
		hasReadStore      bool
		nextStoreCall     time.Time
		backoff           time.Duration
		fetching          bool
		pending           PeerVersion
	}

	// ActiveDocument is the document in force and its predecessors, newest first.
	ActiveDocument struct {
		Version  int64
		Text     []byte
		Previous []ActiveDocument
	}

	// Read reads the document from the store.
	Read struct{}

	// Watch waits for the first change in the store after a version.
	Watch struct{ Since int64 }

	// Fetch requests a peer's document if it is newer.
	Fetch struct {
		Address   string
		NewerThan int64
		// Base is the text in force, to which the peer may send a patch.
		Base []byte
	}

	// PeerVersion reports the version that a peer has in force.
	PeerVersion struct {
		Version int64
		Address string
	}

	// ReadResult is a document read from the store or a peer, or the failure to read one.
	ReadResult struct {
		Version  int64
		Document *Document
		Text     []byte
		Err      error
		Source   Source
	}

	// Source is where a document was read from.
	Source string

	// Activated reports that a newer document is in force.
	Activated struct {
		Version  int64
		Document *Document
	}

	// Rejected reports that a version could not be decoded. The document in force remains.
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
func (PeerVersion) EventName() string { return "configuration-heard-of" }

// EventName implements controller.Event.
func (ReadResult) EventName() string { return "configuration-offered" }

// EventName implements controller.Event.
func (Activated) EventName() string { return "configuration-in-force" }

// EventName implements controller.Event.
func (Rejected) EventName() string { return "configuration-rejected" }

// Step implements controller.Slice.
func (s *Slice) Step(now time.Time, e controller.Event) []controller.Action {
	switch e := e.(type) {
	case lister.ViewChanged:
		s.isWatcher = lister.Contains(lister.TopInZone(watchKey, s.Zone, watchersPerZone, e.Instances), s.Instance)
	case controller.Tick:
		return s.callStore(now)
	case PeerVersion:
		return s.fetchNewer(e)
	case ReadResult:
		return s.handleResult(now, e)
	}
	return nil
}

// callStore decides on the next call to the store. An instance that is not a watcher calls it
// only while no document is in force.
func (s *Slice) callStore(now time.Time) []controller.Action {
	if s.storeCallInFlight || now.Before(s.nextStoreCall) || (!s.isWatcher && s.inForce > 0) {
		return nil
	}
	s.storeCallInFlight = true
	if max(s.inForce, s.rejected) == 0 || !s.hasReadStore {
		return []controller.Action{Read{}}
	}
	return []controller.Action{Watch{Since: max(s.inForce, s.rejected)}}
}

// fetchNewer fetches a newer version from a peer, one fetch at a time.
func (s *Slice) fetchNewer(e PeerVersion) []controller.Action {
	if e.Version <= s.inForce || e.Version == s.rejected || e.Address == "" {
		return nil
	}
	if s.fetching {
		if e.Version > s.pending.Version {
			s.pending = e
		}
		return nil
	}
	s.fetching = true
	return []controller.Action{Fetch{Address: e.Address, NewerThan: s.inForce, Base: s.text}}
}

func (s *Slice) handleResult(now time.Time, e ReadResult) []controller.Action {
	out := s.apply(e)
	if e.Source == SourcePeer {
		s.fetching = false
		next := s.pending
		s.pending = PeerVersion{}
		return append(out, s.fetchNewer(next)...)
	}
	s.storeCallInFlight = false
	if e.Err != nil && e.Version == 0 {
		// The failed watch may have missed changes, so the next call is a read.
		s.hasReadStore = false
		s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
		s.nextStoreCall = now.Add(s.backoff/2 + time.Duration(s.Random.Int64N(int64(s.backoff))))
		return out
	}
	s.hasReadStore, s.backoff = true, 0
	return out
}

// apply puts a newer document in force. Late responses and peers with an older version must not
// revert a change.
func (s *Slice) apply(e ReadResult) []controller.Action {
	if e.Version <= s.inForce || e.Version == s.rejected {
		return nil
	}
	if e.Document == nil {
		// The version is recorded so that it is fetched and reported only once. An instance
		// without a document still accepts an older version from a peer.
		s.rejected = e.Version
		return []controller.Action{controller.Emit{Event: Rejected{Version: e.Version, Err: e.Err}}}
	}
	s.keepText(e.Version, e.Text)
	return []controller.Action{controller.Emit{Event: Activated{Version: e.Version, Document: e.Document}}}
}

// keepText publishes the text for peers, with earlier texts as bases for patches.
func (s *Slice) keepText(version int64, text []byte) {
	if s.Active != nil {
		next := &ActiveDocument{Version: version, Text: text}
		if current := s.Active.Load(); current != nil {
			next.Previous = append([]ActiveDocument{{Version: current.Version, Text: current.Text}}, current.Previous...)
			next.Previous = next.Previous[:min(maxPrevious, len(next.Previous))]
		}
		s.Active.Store(next)
	}
	s.inForce, s.text = version, text
}

// PatchFrom returns the patch from an older version if its text is kept and the patch is less
// than half the size of the document.
func (a *ActiveDocument) PatchFrom(from int64) (Patch, bool) {
	for _, p := range a.Previous {
		if p.Version == from {
			d := MakePatch(p.Text, a.Text)
			return d, d.Size() < len(a.Text)/2
		}
	}
	return Patch{}, false
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

func (r *Reader) read(ctx context.Context) ReadResult {
	p, err := r.Store.Get(ctx, Key)
	if err != nil {
		return ReadResult{Err: err, Source: SourceStore}
	}
	if p.Revision == 0 {
		return ReadResult{Err: errors.New("no document is published"), Source: SourceStore}
	}
	return DecodeResult(p.Revision, p.Value, SourceStore)
}

// watch returns the first change after a version, or an empty ReadResult if there is none within
// watchTimeout.
func (r *Reader) watch(ctx context.Context, since int64) ReadResult {
	limit, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	out := ReadResult{Source: SourceWatch}
	err := r.Store.Watch(limit, Key, since, func(p storer.Pair) {
		if p.Key == Key && p.Revision > max(since, out.Version) {
			out = DecodeResult(p.Revision, p.Value, SourceWatch)
			cancel()
		}
	})
	if out.Version == 0 && limit.Err() == nil {
		out.Err = err
	}
	return out
}

// DecodeResult decodes a document that was read from a source.
func DecodeResult(version int64, text []byte, source Source) ReadResult {
	d, err := Decode(text)
	if err != nil {
		return ReadResult{Version: version, Err: err, Source: source}
	}
	return ReadResult{Version: version, Document: d, Text: text, Source: source}
}
