package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/networker"
)

const (
	callTimeout      = 2 * time.Second
	maxResponseBytes = 4 << 20
)

// Client is a client of the platform's store over HTTP with persistent connections. Set the
// exported fields, then call Open.
type Client struct {
	// Address is "ip:port".
	Address string
	Network networker.Network

	client *http.Client
}

// Open initializes the client without making a call.
func (c *Client) Open() *Client {
	c.client = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return c.Network.Dial(ctx, c.Address)
		},
		MaxIdleConnsPerHost: 2,
	}}
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

func (c *Client) send(ctx context.Context, path string, request any) (*http.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	a, err := c.client.Do(r)
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	if a.StatusCode != http.StatusOK {
		defer a.Body.Close()
		var e WireError
		_ = json.NewDecoder(io.LimitReader(a.Body, maxResponseBytes)).Decode(&e)
		if e.Code == codeNotFound {
			return nil, ErrLeaseExpired
		}
		return nil, errors.Wrapf(ErrUnavailable, "status %d: %s", a.StatusCode, e.Message)
	}
	return a, nil
}

func (c *Client) call(ctx context.Context, path string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a, err := c.send(ctx, path, request)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	if err := json.NewDecoder(io.LimitReader(a.Body, maxResponseBytes)).Decode(response); err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return nil
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Pair, error) {
	var a WireRangeResponse
	if err := c.call(ctx, PathRange, WireRange{Key: []byte(key)}, &a); err != nil {
		return Pair{}, err
	}
	return pairOrAbsent(key, a.KVs), nil
}

// pairOrAbsent returns the first pair of a response, or an absent one.
func pairOrAbsent(key string, kvs []WireKV) Pair {
	if len(kvs) == 0 {
		return Pair{Key: key}
	}
	return Pair{Key: key, Value: kvs[0].Value, Revision: kvs[0].ModRevision}
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Pair, error) {
	var a WireRangeResponse
	if err := c.call(ctx, PathRange, WireRange{Key: []byte(prefix), RangeEnd: rangeEnd(prefix)}, &a); err != nil {
		return nil, err
	}
	var out []Pair
	for _, kv := range a.KVs {
		out = append(out, Pair{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision})
	}
	return out, nil
}

func compareRevision(p Pair) []WireCompare {
	return []WireCompare{{Key: []byte(p.Key), Target: TargetMod, Result: ResultEqual, ModRevision: p.Revision}}
}

// Swap implements Store.
func (c *Client) Swap(ctx context.Context, p Pair, lease Lease) (Pair, bool, error) {
	key := []byte(p.Key)
	var a WireTxnResponse
	err := c.call(ctx, PathTxn, WireTxn{
		Compare: compareRevision(p),
		Success: []WireOp{{Put: &WireKV{Key: key, Value: p.Value, Lease: int64(lease)}}},
		Failure: []WireOp{{Range: &WireRange{Key: key}}},
	}, &a)
	if err != nil {
		return Pair{}, false, err
	}
	if a.Succeeded {
		return Pair{Key: p.Key, Value: p.Value, Revision: a.Header.Revision}, true, nil
	}
	if len(a.Responses) == 0 || a.Responses[0].Range == nil {
		return Pair{Key: p.Key}, false, nil
	}
	return pairOrAbsent(p.Key, a.Responses[0].Range.KVs), false, nil
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, p Pair) (bool, error) {
	var a WireTxnResponse
	err := c.call(ctx, PathTxn, WireTxn{
		Compare: compareRevision(p),
		Success: []WireOp{{Delete: &WireRange{Key: []byte(p.Key)}}},
	}, &a)
	return a.Succeeded && p.Revision != 0, err
}

// Grant implements Store. The TTL is rounded up to whole seconds.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	var a WireLease
	err := c.call(ctx, PathGrant, WireLease{TTL: int64((ttl + time.Second - 1) / time.Second)}, &a)
	return Lease(a.ID), err
}

// KeepAlive implements Store.
func (c *Client) KeepAlive(ctx context.Context, lease Lease) error {
	var a WireKeepAliveResponse
	if err := c.call(ctx, PathKeepAlive, WireLease{ID: int64(lease)}, &a); err != nil {
		return err
	}
	if a.Result.TTL <= 0 {
		return ErrLeaseExpired
	}
	return nil
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, lease Lease) error {
	var a struct{}
	return c.call(ctx, PathRevoke, WireLease{ID: int64(lease)}, &a)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, changed func(Pair)) error {
	a, err := c.send(ctx, PathWatch, WireWatch{Create: WireWatchCreate{
		Key: []byte(prefix), RangeEnd: rangeEnd(prefix), StartRevision: after + 1,
	}})
	if err != nil {
		return err
	}
	defer a.Body.Close()
	in := json.NewDecoder(a.Body)
	for {
		var m WireWatchResponse
		if err := in.Decode(&m); err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return errors.Wrap(ErrUnavailable, err.Error())
		}
		for _, e := range m.Result.Events {
			p := Pair{Key: string(e.KV.Key)}
			if e.Type != TypeDelete {
				p.Value, p.Revision = e.KV.Value, e.KV.ModRevision
			}
			changed(p)
		}
	}
}
