package launcher

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/dispatcher"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/pkg/orderer"
	"github.com/shoenig/test/must"
)

// proofCase is a group whose primary g-1 doesn't respond, as one instance knows it. The registry shows
// the members in registered once it is read.
type proofCase struct {
	known, registered []string
	received          map[string]uint64
	now               tracker.Timestamp
	// readTime is how long a reading of the registry takes.
	readTime  time.Duration
	readError error
	storeDown bool
	readings  int
	group     *tracker.Group
	backend   *backend
}

func newProofCase() *proofCase {
	p := &proofCase{
		known: []string{"g-1", "g-2", "g-3"}, registered: []string{"g-1", "g-2", "g-3"},
		received: map[string]uint64{"g-2": 7, "g-3": 9, "g-4": 11}, now: 10 * time.Second,
		readTime: 5 * time.Millisecond,
	}
	clock := func() tracker.Timestamp { return p.now }
	p.group = &tracker.Group{Name: "g", Zone: "a", SameRegion: func(string) bool { return true }}
	p.setMembers(0)
	p.backend = &backend{
		Backend:       dispatcher.Backend{Group: p.group, Pool: &lender.Pool{Group: p.group, Clock: clock}},
		clock:         clock,
		log:           func(...any) {},
		commitHolders: func() ([]string, bool) { return p.known, true },
		statusOf: func(_ context.Context, id string) (messenger.Status, bool) {
			return messenger.Status{Received: orderer.Position{Term: 1, Offset: p.received[id]}}, p.received[id] > 0
		},
		registry: &registryReader{Clock: clock, Available: func() bool { return !p.storeDown }, Read: func(context.Context) error {
			p.readings++
			p.now += p.readTime
			p.known = p.registered
			return p.readError
		}},
	}
	return p
}

// setMembers applies the known members, of which g-3 has started at a time.
func (p *proofCase) setMembers(started int64) {
	list := make([]tracker.Member, len(p.known))
	for n, id := range p.known {
		list[n] = tracker.Member{ID: id, Group: "g", Zone: "a", Primary: id == "g-1", Revision: 1, StartTime: 1}
	}
	list[2].StartTime += started
	p.group.SetMembers(list)
}

// prove tries to make a proof, and returns the newest one.
func (p *proofCase) prove() (tracker.FreshnessProof, bool) {
	p.backend.proveFromReplicas(context.Background())
	return p.group.NewestProof()
}

func (p *proofCase) assertNoProof(t *testing.T) {
	t.Helper()
	_, ok := p.prove()
	must.False(t, ok)
}

// Guards against stale reads by a proof that lacks a replica which has acknowledged commits and isn't
// known: the proof needs the registry, and holds only for the time up to which that is complete.
func TestProofFromReplicasNeedsRegistry(t *testing.T) {
	t.Run("complete", func(t *testing.T) {
		p := newProofCase()
		got, ok := p.prove()
		must.True(t, ok)
		must.Eq(t, orderer.Position{Term: 1, Offset: 9}, got.Position)
		must.Eq(t, 10*time.Second-tracker.RegistrationDelay-p.readTime, got.At)
	})
	t.Run("store down", func(t *testing.T) {
		p := newProofCase()
		p.storeDown = true
		p.assertNoProof(t)
		must.Zero(t, p.readings)
	})
	t.Run("reading fails", func(t *testing.T) {
		p := newProofCase()
		p.readError = errors.New("timeout")
		p.assertNoProof(t)
		p.readError = nil
		p.assertNoProof(t)
		must.Eq(t, 1, p.readings)
		p.now += registryRetryInterval
		_, ok := p.prove()
		must.True(t, ok)
	})
	t.Run("member joined", func(t *testing.T) {
		p := newProofCase()
		p.registered = append(p.registered, "g-4")
		p.assertNoProof(t)
		got, ok := p.prove()
		must.True(t, ok)
		must.Eq(t, orderer.Position{Term: 1, Offset: 11}, got.Position)
	})
	t.Run("member joined and doesn't respond", func(t *testing.T) {
		p := newProofCase()
		p.registered = append(p.registered, "g-5")
		p.assertNoProof(t)
		p.assertNoProof(t)
	})
	t.Run("slow store", func(t *testing.T) {
		p := newProofCase()
		p.readTime = 200 * time.Millisecond
		got, ok := p.prove()
		must.True(t, ok)
		must.Eq(t, 10*time.Second-tracker.RegistrationDelay-p.readTime, got.At)
	})
	t.Run("member restarted", func(t *testing.T) {
		p := newProofCase()
		p.backend.registry.Read = func(context.Context) error { p.setMembers(1); return nil }
		p.assertNoProof(t)
	})
	t.Run("member has an earlier start time", func(t *testing.T) {
		p := newProofCase()
		p.setMembers(1000)
		p.prove()
		p.now += time.Second
		p.group.AddProof(tracker.FreshnessProof{At: p.now, Position: orderer.Position{Term: 1, Offset: 9}})
		p.now += time.Second
		p.backend.registry.Read = func(context.Context) error { p.setMembers(1); return nil }
		before, _ := p.group.NewestProof()
		after, _ := p.prove()
		must.Eq(t, before, after)
	})
}

// A reading is refused at once while the store doesn't respond.
func TestRegistryReaderWithoutStore(t *testing.T) {
	p := newProofCase()
	p.storeDown = true
	_, err := p.backend.registry.completeUntil(t.Context())
	must.ErrorIs(t, err, storer.ErrUnavailable)
	must.Zero(t, p.readings)
}
