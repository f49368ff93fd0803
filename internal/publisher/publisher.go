// Package publisher puts a configuration document into force for operators: a
// check, then one compare-and-swap against the version that the operator saw.
package publisher

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/tailscale/hujson"
)

type (
	// Publisher publishes documents. Set the exported fields before use.
	Publisher struct {
		Store storer.Store
		// Pause spaces the reads after a lost answer; 0 means DefaultPause.
		Pause time.Duration
	}

	// Published is a document that is in the store. Version 0 is none.
	Published struct {
		Version  int64
		Text     []byte
		Document *configurer.Document
	}

	// Outcome is how a try to publish ended.
	Outcome string

	// Result is how a try to publish ended, and what the store holds now.
	Result struct {
		Outcome Outcome
		Now     Published
		// Changes are what another operator changed since the version seen,
		// when the outcome is Raced.
		Changes []configurer.Change
	}
)

// The outcomes.
const (
	// Accepted: the document is in the store under Now.Version.
	Accepted Outcome = "accepted"
	// Raced: another operator published first; nothing was changed.
	Raced Outcome = "raced"
	// Unknown: the store gave no answer and could not be read afterwards. The
	// document may be in force, now or a little later.
	Unknown Outcome = "unknown"
)

// DefaultPause spaces the reads after a lost answer.
const DefaultPause = 200 * time.Millisecond

// Current reads what is published.
func (p *Publisher) Current(ctx context.Context) (Published, error) {
	pair, err := p.Store.Get(ctx, configurer.Key)
	if err != nil {
		return Published{}, errors.Wrap(err, "read the published document")
	}
	return decodePair(pair)
}

func decodePair(pair storer.Pair) (Published, error) {
	if pair.Revision == 0 {
		return Published{}, nil
	}
	d, err := configurer.Decode(pair.Value)
	if err != nil {
		return Published{}, errors.Wrap(err, "the published document")
	}
	return Published{Version: pair.Revision, Text: pair.Value, Document: d}, nil
}

// Publish checks a document, also whether it may follow the one seen, and swaps
// it in if the version is still the one seen; Version 0 means that none was
// published. Of seen, the version is enough: the document is then read. Problems
// and configurer.ErrUnsafeChange come as an error, and nothing is changed.
func (p *Publisher) Publish(ctx context.Context, seen Published, file string, text []byte) (Result, error) {
	next, problems := configurer.Check(file, text)
	if len(problems) > 0 {
		return Result{}, problems
	}
	if seen.Version != 0 && seen.Document == nil {
		now, err := p.Current(ctx)
		if err != nil {
			return Result{}, err
		}
		if now.Version != seen.Version {
			return conflict(seen, now), nil
		}
		seen = now
	}
	if seen.Document != nil {
		if err := configurer.CheckChange(seen.Document, next); err != nil {
			return Result{}, err
		}
	}
	return p.swap(ctx, seen, text)
}

func (p *Publisher) swap(ctx context.Context, seen Published, text []byte) (Result, error) {
	want := storer.Pair{Key: configurer.Key, Value: text, Revision: seen.Version}
	pair, ok, err := p.Store.Swap(ctx, want, 0)
	if err != nil {
		return p.readBack(ctx, seen, want, err)
	}
	now, err := decodePair(pair)
	if err != nil {
		return Result{}, err
	}
	if ok {
		return Result{Outcome: Accepted, Now: now}, nil
	}
	return conflict(seen, now), nil
}

func conflict(seen, now Published) Result {
	return Result{Outcome: Raced, Now: now, Changes: configurer.Diff(seen.Document, now.Document)}
}

// readBack finds out what became of a swap whose answer was lost. A blind
// second swap would find the version raised by the first and report a race that
// the operator lost to nobody but themselves; a read tells. While the old
// version still stands the first swap may be on its way, and the same swap can
// be sent again: the version that it compares lets only one of the two through.
func (p *Publisher) readBack(ctx context.Context, seen Published, want storer.Pair, cause error) (Result, error) {
	pause := p.Pause
	if pause == 0 {
		pause = DefaultPause
	}
	for {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return Result{Outcome: Unknown}, errors.Wrap(cause, "no answer, and no read after it")
		}
		pair, err := p.Store.Get(ctx, configurer.Key)
		if err != nil {
			continue
		}
		if pair.Revision == seen.Version {
			if pair, _, err = p.Store.Swap(ctx, want, 0); err != nil {
				continue
			}
		}
		now, err := decodePair(pair)
		if err != nil {
			return Result{}, err
		}
		if bytes.Equal(pair.Value, want.Value) {
			return Result{Outcome: Accepted, Now: now}, nil
		}
		return conflict(seen, now), nil
	}
}

// MarkLeaving returns the text of a document with a member marked as leaving or
// not; comments stay.
func MarkLeaving(p Published, service, member string, leaving bool) ([]byte, error) {
	if p.Document == nil {
		return nil, errors.New("no document is published")
	}
	at, err := memberPath(p.Document, service, member)
	if err != nil {
		return nil, err
	}
	v, err := hujson.Parse(bytes.Clone(p.Text))
	if err != nil {
		return nil, errors.Wrap(err, "the published document")
	}
	patch := fmt.Sprintf(`[{"op": "add", "path": %q, "value": %t}]`, at+"/leaving", leaving)
	if err := v.Patch([]byte(patch)); err != nil {
		return nil, errors.Wrap(err, "mark member")
	}
	return v.Pack(), nil
}

func memberPath(d *configurer.Document, service, member string) (path string, err error) {
	for i, s := range d.Services {
		if s.Name != service {
			continue
		}
		for j, m := range s.Members {
			if m.Name == member {
				return fmt.Sprintf("/services/%d/members/%d", i, j), nil
			}
		}
		return "", errors.Errorf("service %q has no member %q", service, member)
	}
	return "", errors.Errorf("no service %q", service)
}
