// Package publisher publishes configuration documents for operators: it validates a
// document, then replaces the version that the operator saw by a compare-and-swap.
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
		// RetryInterval is the time between reads after a lost response; 0 means DefaultRetryInterval.
		RetryInterval time.Duration
	}

	// Published is the document in the store; Version is 0 if there is none.
	Published struct {
		Version  int64
		Text     []byte
		Document *configurer.Document
	}

	// Outcome is the outcome of an attempt to publish.
	Outcome string

	// Result is the outcome of an attempt to publish, and the document now in the store.
	Result struct {
		Outcome Outcome
		Current Published
		// Changes lists another operator's changes since the version seen, if the
		// outcome is Conflict.
		Changes []configurer.Change
	}
)

// The outcomes.
const (
	// Accepted means that the document is in the store as Current.Version.
	Accepted Outcome = "accepted"
	// Conflict means that another operator published first and nothing was changed.
	Conflict Outcome = "raced"
	// Unknown means that the store did not respond and could not be read afterwards.
	// The document may take effect, now or later.
	Unknown Outcome = "unknown"
)

// DefaultRetryInterval is the default time between reads after a lost response.
const DefaultRetryInterval = 200 * time.Millisecond

// Current reads the published document.
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
		return Published{}, errors.Wrap(err, "decode the published document")
	}
	return Published{Version: pair.Revision, Text: pair.Value, Document: d}, nil
}

// Publish validates a document and its change from the one seen, and replaces that one if it
// is still current. Only the Version of seen is required; 0 means that there was none. An
// invalid document or configurer.ErrUnsafeChange is returned as an error.
func (p *Publisher) Publish(ctx context.Context, seen Published, file string, text []byte) (Result, error) {
	next, problems := configurer.Check(file, text)
	if len(problems) > 0 {
		return Result{}, problems
	}
	if seen.Version != 0 && seen.Document == nil {
		current, err := p.Current(ctx)
		if err != nil {
			return Result{}, err
		}
		if current.Version != seen.Version {
			return conflict(seen, current), nil
		}
		seen = current
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
		return Result{Outcome: Accepted, Current: now}, nil
	}
	return conflict(seen, now), nil
}

func conflict(seen, now Published) Result {
	return Result{Outcome: Conflict, Current: now, Changes: configurer.Diff(seen.Document, now.Document)}
}

// readBack determines the outcome of a swap whose response was lost, so that the operator's own
// change is not reported as another's. While the old version is current it repeats the swap,
// which can succeed only once.
func (p *Publisher) readBack(ctx context.Context, seen Published, want storer.Pair, cause error) (Result, error) {
	pause := p.RetryInterval
	if pause == 0 {
		pause = DefaultRetryInterval
	}
	for {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return Result{Outcome: Unknown}, errors.Wrap(cause, "no response from the store, and reading it failed")
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
			return Result{Outcome: Accepted, Current: now}, nil
		}
		return conflict(seen, now), nil
	}
}

// MarkLeaving returns the text of a document with a member's leaving mark set or cleared.
// Comments are preserved.
func MarkLeaving(p Published, service, member string, leaving bool) ([]byte, error) {
	if p.Document == nil {
		return nil, errors.New("no document is published")
	}
	path, err := memberPath(p.Document, service, member)
	if err != nil {
		return nil, err
	}
	v, err := hujson.Parse(bytes.Clone(p.Text))
	if err != nil {
		return nil, errors.Wrap(err, "decode the published document")
	}
	patch := fmt.Sprintf(`[{"op": "add", "path": %q, "value": %t}]`, path+"/leaving", leaving)
	if err := v.Patch([]byte(patch)); err != nil {
		return nil, errors.Wrap(err, "patch member")
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
