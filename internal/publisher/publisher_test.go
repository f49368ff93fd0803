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
	firstDocument = `{"services": [{
  "name": "lockers", "connections": 20, "slots": 3, // three are plenty
  "members": [
    {"name": "m1", "address": "10.0.0.1:5432", "availability-zone": "hobart"},
    {"name": "m2", "address": "10.0.0.2:5432", "availability-zone": "burnie"},
  ],
}]}`
	testTimeout = 10 * time.Second
)

func edit(old, new string) []byte { return []byte(strings.Replace(firstDocument, old, new, 1)) }

type harness struct {
	*testing.T
	ctx   context.Context
	store *storer.Memory
	p     *publisher.Publisher
}

// runPublished runs a test on virtual time with firstDocument published.
func runPublished(t *testing.T, run func(*harness, publisher.Published)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		store := storer.NewMemory()
		s := &harness{T: t, ctx: ctx, store: store, p: &publisher.Publisher{Store: store}}
		s.publish(publisher.Published{}, []byte(firstDocument), publisher.Accepted)
		seen, err := s.p.Current(ctx)
		must.NoError(t, err)
		run(s, seen)
	})
}

func (h *harness) publish(seen publisher.Published, text []byte, want publisher.Outcome) publisher.Result {
	h.Helper()
	r, err := h.p.Publish(h.ctx, seen, "d.json", text)
	must.NoError(h.T, err)
	must.Eq(h.T, want, r.Outcome)
	return r
}

// Of two operators that saw the same version, the second gets the changes of the first and
// changes nothing.
func TestConcurrentPublish(t *testing.T) {
	runPublished(t, func(s *harness, seen publisher.Published) {
		s.publish(seen, edit("20", "30"), publisher.Accepted)
		r := s.publish(seen, edit("20", "40"), publisher.Conflict)
		must.Eq(t, []configurer.Change{{Path: "service lockers connections", Old: "20", New: "30"}}, r.Changes)
		must.Eq(t, 30, r.Current.Document.Services[0].Connections)
	})
}

// A lost response to a successful swap is not reported as a conflict.
func TestLostResponse(t *testing.T) {
	runPublished(t, func(s *harness, seen publisher.Published) {
		s.store.SetFaults(func(f *storer.Faults) { f.LoseResponses = 1 })
		r := s.publish(seen, edit("20", "30"), publisher.Accepted)
		must.Eq(t, seen.Version+1, r.Current.Version)
		must.Eq(t, 2, s.store.Calls()["swap"]) // firstDocument and this one
	})
}

// A store that recovers before the timeout gets the document exactly once.
func TestStoreRecovers(t *testing.T) {
	runPublished(t, func(s *harness, seen publisher.Published) {
		s.store.SetFaults(func(f *storer.Faults) { f.Down = true })
		time.AfterFunc(time.Second, func() { s.store.SetFaults(func(f *storer.Faults) { f.Down = false }) })
		r := s.publish(seen, edit("20", "30"), publisher.Accepted)
		must.Eq(t, seen.Version+1, r.Current.Version)
	})
}

// While the store stays unavailable the outcome is unknown, not failed.
func TestStoreUnavailable(t *testing.T) {
	runPublished(t, func(s *harness, seen publisher.Published) {
		s.store.SetFaults(func(f *storer.Faults) { f.Down = true })
		r, err := s.p.Publish(s.ctx, seen, "d.json", edit("20", "30"))
		must.ErrorIs(t, err, storer.ErrUnavailable)
		must.Eq(t, publisher.Unknown, r.Outcome)
	})
}

// Replacing both members of a group at once is refused: a majority of the new members could
// promote a primary without a write that only the old ones hold.
func TestUnsafeChange(t *testing.T) {
	runPublished(t, func(s *harness, seen publisher.Published) {
		text := []byte(strings.NewReplacer("10.0.0.1", "10.0.0.7", "10.0.0.2", "10.0.0.8").Replace(firstDocument))
		for _, base := range []publisher.Published{seen, {Version: seen.Version}} {
			_, err := s.p.Publish(s.ctx, base, "d.json", text)
			must.ErrorIs(t, err, configurer.ErrUnsafeChange)
		}
		now, err := s.p.Current(s.ctx)
		must.NoError(t, err)
		must.Eq(t, seen.Version, now.Version)
	})
}

func TestInvalidDocument(t *testing.T) {
	runPublished(t, func(s *harness, seen publisher.Published) {
		_, err := s.p.Publish(s.ctx, seen, "d.json", edit("20", "0"))
		must.ErrorContains(t, err, "d.json:2:37: services[0].connections: found 0")
		now, err := s.p.Current(s.ctx)
		must.NoError(t, err)
		must.Eq(t, seen.Version, now.Version)
	})
}

// MarkLeaving changes only the one member and preserves comments.
func TestMarkLeaving(t *testing.T) {
	runPublished(t, func(s *harness, seen publisher.Published) {
		text, err := publisher.MarkLeaving(seen, "lockers", "m2", true)
		must.NoError(t, err)
		must.StrContains(t, string(text), "// three are plenty")
		r := s.publish(seen, text, publisher.Accepted)
		must.Eq(t, []configurer.Change{{
			Path: "service lockers member m2", Old: "10.0.0.2:5432 in burnie", New: "10.0.0.2:5432 in burnie, leaving",
		}}, configurer.Diff(seen.Document, r.Current.Document))
		back, err := publisher.MarkLeaving(r.Current, "lockers", "m2", false)
		must.NoError(t, err)
		s.publish(r.Current, back, publisher.Accepted)
		_, err = publisher.MarkLeaving(seen, "lockers", "m9", true)
		must.ErrorContains(t, err, `service "lockers" has no member "m9"`)
	})
}
