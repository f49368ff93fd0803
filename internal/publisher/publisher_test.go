package publisher_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/publisher"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/shoenig/test/must"
)

const (
	first = `{"services": [{
  "name": "lockers", "connections": 20, "slots": 3, // three are plenty
  "members": [
    {"name": "m1", "address": "10.0.0.1:5432", "availability-zone": "hobart"},
    {"name": "m2", "address": "10.0.0.2:5432", "availability-zone": "burnie"},
  ],
}]}`
	patience = 10 * time.Second
)

func edit(old, new string) []byte { return []byte(strings.Replace(first, old, new, 1)) }

type stage struct {
	*testing.T
	ctx   context.Context
	store *storer.Memory
	p     *publisher.Publisher
}

// try runs a test on virtual time with the first document published.
func try(t *testing.T, run func(*stage, publisher.Published)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		store := storer.NewMemory()
		s := &stage{T: t, ctx: ctx, store: store, p: &publisher.Publisher{Store: store}}
		s.publish(publisher.Published{}, []byte(first), publisher.Accepted)
		seen, err := s.p.Current(ctx)
		must.NoError(t, err)
		run(s, seen)
	})
}

func (s *stage) publish(seen publisher.Published, text []byte, want publisher.Outcome) publisher.Result {
	s.Helper()
	r, err := s.p.Publish(s.ctx, seen, "d.json", text)
	must.NoError(s.T, err)
	must.Eq(s.T, want, r.Outcome)
	return r
}

// Two operators saw the same version. The first one's change is accepted; the
// second is told what the first changed, and has changed nothing.
func TestRace(t *testing.T) {
	try(t, func(s *stage, seen publisher.Published) {
		s.publish(seen, edit("20", "30"), publisher.Accepted)
		r := s.publish(seen, edit("20", "40"), publisher.Raced)
		must.Eq(t, []configurer.Change{{Path: "service lockers connections", Old: "20", New: "30"}}, r.Changes)
		must.Eq(t, 30, r.Now.Document.Services[0].Connections)
	})
}

// The swap takes effect, and its answer is lost. A blind repeat would tell the
// operator of a race; the read finds their own document.
func TestAnswerLost(t *testing.T) {
	try(t, func(s *stage, seen publisher.Published) {
		s.store.SetFaults(func(f *storer.Faults) { f.LoseResponses = 1 })
		r := s.publish(seen, edit("20", "30"), publisher.Accepted)
		must.Eq(t, seen.Version+1, r.Now.Version)
		must.Eq(t, 2, s.store.Calls()["swap"]) // the first document, and this one
	})
}

// The store is down when the operator publishes and comes back while the
// program still waits: the document gets there once.
func TestStoreComesBack(t *testing.T) {
	try(t, func(s *stage, seen publisher.Published) {
		s.store.SetFaults(func(f *storer.Faults) { f.Down = true })
		time.AfterFunc(time.Second, func() { s.store.SetFaults(func(f *storer.Faults) { f.Down = false }) })
		r := s.publish(seen, edit("20", "30"), publisher.Accepted)
		must.Eq(t, seen.Version+1, r.Now.Version)
	})
}

// The store stays down: the operator is told that the outcome is unknown, not
// that it failed.
func TestStoreStaysDown(t *testing.T) {
	try(t, func(s *stage, seen publisher.Published) {
		s.store.SetFaults(func(f *storer.Faults) { f.Down = true })
		r, err := s.p.Publish(s.ctx, seen, "d.json", edit("20", "30"))
		must.ErrorIs(t, err, storer.ErrUnavailable)
		must.Eq(t, publisher.Unknown, r.Outcome)
	})
}

// A document that replaces the group's only two members at once would let a
// majority of the new ones promote without a write that the old ones hold.
func TestUnsafeChange(t *testing.T) {
	try(t, func(s *stage, seen publisher.Published) {
		text := []byte(strings.NewReplacer("10.0.0.1", "10.0.0.7", "10.0.0.2", "10.0.0.8").Replace(first))
		for _, base := range []publisher.Published{seen, {Version: seen.Version}} {
			_, err := s.p.Publish(s.ctx, base, "d.json", text)
			must.ErrorIs(t, err, configurer.ErrUnsafeChange)
		}
		now, err := s.p.Current(s.ctx)
		must.NoError(t, err)
		must.Eq(t, seen.Version, now.Version)
	})
}

func TestMistakesAreNotPublished(t *testing.T) {
	try(t, func(s *stage, seen publisher.Published) {
		_, err := s.p.Publish(s.ctx, seen, "d.json", edit("20", "0"))
		must.ErrorContains(t, err, "d.json:2:37: services[0].connections: found 0")
		now, err := s.p.Current(s.ctx)
		must.NoError(t, err)
		must.Eq(t, seen.Version, now.Version)
	})
}

// A mark changes the one member and keeps the operator's comments.
func TestMarkLeaving(t *testing.T) {
	try(t, func(s *stage, seen publisher.Published) {
		text, err := publisher.MarkLeaving(seen, "lockers", "m2", true)
		must.NoError(t, err)
		must.StrContains(t, string(text), "// three are plenty")
		r := s.publish(seen, text, publisher.Accepted)
		must.Eq(t, []configurer.Change{{
			Path: "service lockers member m2", Old: "10.0.0.2:5432 in burnie", New: "10.0.0.2:5432 in burnie, leaving",
		}}, configurer.Diff(seen.Document, r.Now.Document))
		back, err := publisher.MarkLeaving(r.Now, "lockers", "m2", false)
		must.NoError(t, err)
		s.publish(r.Now, back, publisher.Accepted)
		_, err = publisher.MarkLeaving(seen, "lockers", "m9", true)
		must.ErrorContains(t, err, `service "lockers" has no member "m9"`)
	})
}
