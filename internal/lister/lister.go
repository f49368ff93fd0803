// Package lister reads the platform's list of entry and target instances and keeps a view of
// the live ones. The list is eventually consistent: it may lack live instances and contain
// terminated ones, so correctness must not depend on it.
package lister

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/networker"
)

// Path is the URL path of the platform's list.
const Path = "/instances"

// Kinds and states of an instance on the wire.
const (
	KindEntry    = "entry"
	KindTarget   = "target"
	StateLive    = "live"
	StateLeaving = "leaving"
	// WireGone removes an instance from the list of the simulated platform.
	WireGone = "gone"

	callTimeout = 2 * time.Second
	maxBytes    = 4 << 20
)

type (
	// Instance is one row of the list.
	Instance struct {
		Name string
		Kind string
		// Address is the "ip:port" for connections of peers.
		Address string
		Zone    string
		State   string
	}

	// WireInstance is the JSON encoding of Instance.
	WireInstance struct {
		Name    string `json:"name"`
		Kind    string `json:"kind"`
		Address string `json:"address"`
		Zone    string `json:"availability-zone"`
		State   string `json:"state"`
	}

	// List is the platform's list of instances.
	List interface {
		Instances(ctx context.Context) ([]Instance, error)
	}

	// Client is an HTTP client for the list. Set the fields, then call Open.
	Client struct {
		Address string
		Network networker.Network

		client *http.Client
	}
)

// ToWire converts instances to their JSON encoding.
func ToWire(list []Instance) []WireInstance {
	out := make([]WireInstance, 0, len(list))
	for _, i := range list {
		out = append(out, WireInstance{Name: i.Name, Kind: i.Kind, Address: i.Address, Zone: i.Zone, State: i.State})
	}
	return out
}

// FromWire converts an instance from its JSON encoding.
func FromWire(w WireInstance) Instance {
	return Instance{Name: w.Name, Kind: w.Kind, Address: w.Address, Zone: w.Zone, State: w.State}
}

// Open initializes the client without making a call.
func (c *Client) Open() *Client {
	c.client = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return c.Network.Dial(ctx, c.Address)
		},
		MaxIdleConnsPerHost: 1,
	}}
	return c
}

// Close closes the idle connection.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// Instances implements List.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Address+Path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "make call")
	}
	a, err := c.client.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "read instance list")
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return nil, errors.Errorf("read instance list: status %d", a.StatusCode)
	}
	var rows []WireInstance
	if err := json.NewDecoder(io.LimitReader(a.Body, maxBytes)).Decode(&rows); err != nil {
		return nil, errors.Wrap(err, "decode instance list")
	}
	var out []Instance
	for _, w := range rows {
		out = append(out, FromWire(w))
	}
	return out, nil
}
