// Package keeper is the stand-in for the platform: its key-value service, over
// the published HTTP protocol, and its lagging list of instances.
package keeper

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/oriolegw/oriolegw/internal/lister"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/internal/storer"
)

// Keeper serves the platform's part. Set the exported fields, then call Run.
type Keeper struct {
	Address string
	Network networker.Network
	Store   *storer.Memory
	Log     log.Logger
	// ListLag is how late the instance list shows a change.
	ListLag time.Duration

	mutex   sync.Mutex
	changes []listChange
}

type listChange struct {
	at       time.Time
	instance lister.Instance
	gone     bool
}

// Run serves until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	_ = k.Log.Log("part", "platform", "msg", "Store and instance list begin to be served.", "address", k.Address)
	return networker.ServeHTTP(ctx, k.Network, k.Address, &http.Server{Handler: k.Handler()})
}

// Handler returns the HTTP interface, fault switches included.
func (k *Keeper) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+storer.PathRange, k.handleRange)
	mux.HandleFunc("POST "+storer.PathTxn, k.handleTxn)
	mux.HandleFunc("POST "+storer.PathGrant, k.handleGrant)
	mux.HandleFunc("POST "+storer.PathKeepAlive, k.handleKeepAlive)
	mux.HandleFunc("POST "+storer.PathRevoke, k.handleRevoke)
	mux.HandleFunc("POST "+storer.PathWatch, k.handleWatch)
	mux.HandleFunc("GET "+lister.Path, k.handleList)
	mux.HandleFunc("POST "+lister.Path, k.handleRegister)
	mux.HandleFunc("POST /faults", k.handleFaults)
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) { reply(w, k.Store.Calls()) })
	return mux
}

func reply(w http.ResponseWriter, v any) { _ = json.NewEncoder(w).Encode(v) }

func refuse(w http.ResponseWriter, err error) {
	e := storer.WireError{Code: 14, Message: err.Error()}
	status := http.StatusServiceUnavailable
	if errors.Is(err, storer.ErrLeaseExpired) {
		e.Code, status = 5, http.StatusNotFound
	}
	w.WriteHeader(status)
	reply(w, e)
}

// take decodes a call; a false result has been answered.
func take(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4<<20)).Decode(v); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		reply(w, storer.WireError{Code: 3, Message: err.Error()})
		return false
	}
	return true
}

func wire(p storer.Pair) storer.WireKV {
	return storer.WireKV{Key: []byte(p.Key), Value: p.Value, ModRevision: p.Revision}
}

func (k *Keeper) handleRange(w http.ResponseWriter, r *http.Request) {
	var ask storer.WireRange
	if !take(w, r, &ask) {
		return
	}
	var a storer.WireRangeResponse
	if len(ask.RangeEnd) == 0 {
		p, err := k.Store.Get(r.Context(), string(ask.Key))
		if err != nil {
			refuse(w, err)
			return
		}
		if p.Revision != 0 {
			a.KVs = append(a.KVs, wire(p))
		}
		reply(w, a)
		return
	}
	ps, err := k.Store.List(r.Context(), string(ask.Key))
	if err != nil {
		refuse(w, err)
		return
	}
	for _, p := range ps {
		a.KVs = append(a.KVs, wire(p))
	}
	reply(w, a)
}

func (k *Keeper) handleTxn(w http.ResponseWriter, r *http.Request) {
	var ask storer.WireTxn
	if !take(w, r, &ask) {
		return
	}
	if len(ask.Compare) != 1 || len(ask.Success) != 1 || ask.Compare[0].Target != storer.TargetMod {
		refuse(w, errors.New("the stand-in takes one compare of a mod revision and one operation"))
		return
	}
	p := storer.Pair{Key: string(ask.Compare[0].Key), Revision: ask.Compare[0].ModRevision}
	var a storer.WireTxnResponse
	var err error
	if put := ask.Success[0].Put; put != nil {
		p.Value = put.Value
		p, a.Succeeded, err = k.Store.Swap(r.Context(), p, storer.Lease(put.Lease))
		a.Header.Revision = p.Revision
	} else {
		a.Succeeded, err = k.Store.Delete(r.Context(), p)
	}
	if err != nil {
		refuse(w, err)
		return
	}
	if !a.Succeeded {
		found := &storer.WireRangeResponse{}
		if p.Revision != 0 {
			found.KVs = append(found.KVs, wire(p))
		}
		a.Responses = []storer.WireOpResponse{{Range: found}}
	}
	reply(w, a)
}

func (k *Keeper) handleGrant(w http.ResponseWriter, r *http.Request) {
	var ask storer.WireLease
	if !take(w, r, &ask) {
		return
	}
	l, err := k.Store.Grant(r.Context(), time.Duration(ask.TTL)*time.Second)
	if err != nil {
		refuse(w, err)
		return
	}
	reply(w, storer.WireLease{ID: int64(l), TTL: ask.TTL})
}

func (k *Keeper) handleKeepAlive(w http.ResponseWriter, r *http.Request) {
	var ask storer.WireLease
	if !take(w, r, &ask) {
		return
	}
	err := k.Store.KeepAlive(r.Context(), storer.Lease(ask.ID))
	if err != nil && !errors.Is(err, storer.ErrLeaseExpired) {
		refuse(w, err)
		return
	}
	a := storer.WireKeepAliveResponse{Result: storer.WireLease{ID: ask.ID, TTL: 1}}
	if err != nil {
		a.Result.TTL = 0
	}
	reply(w, a)
}

func (k *Keeper) handleRevoke(w http.ResponseWriter, r *http.Request) {
	var ask storer.WireLease
	if !take(w, r, &ask) {
		return
	}
	if err := k.Store.Revoke(r.Context(), storer.Lease(ask.ID)); err != nil {
		refuse(w, err)
		return
	}
	reply(w, struct{}{})
}

func (k *Keeper) handleWatch(w http.ResponseWriter, r *http.Request) {
	var ask storer.WireWatch
	if !take(w, r, &ask) {
		return
	}
	out := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	started := false
	err := k.Store.Watch(r.Context(), string(ask.Create.Key), ask.Create.StartRevision-1, func(p storer.Pair) {
		started = true
		e := storer.WireEvent{KV: wire(p)}
		if p.Revision == 0 {
			e.Type = storer.TypeDelete
		}
		_ = out.Encode(storer.WireWatchResponse{Result: storer.WireWatchResult{Events: []storer.WireEvent{e}}})
		_ = flush.Flush()
	})
	if !started {
		refuse(w, err)
	}
}
