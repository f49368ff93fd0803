// Package keeper is a test stand-in for the platform: it serves its key-value store over the
// published HTTP protocol, and its delayed list of instances.
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

// Keeper serves the key-value store and the instance list. Set the exported fields, then call Run.
type Keeper struct {
	Address string
	Network networker.Network
	Store   *storer.Memory
	Log     log.Logger
	// ListLag delays changes to the instance list.
	ListLag time.Duration

	mutex   sync.Mutex
	changes []listChange
}

type listChange struct {
	at       time.Time
	instance lister.Instance
	removed  bool
}

// Run serves until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	_ = k.Log.Log("part", "platform", "msg", "Serving the store and the instance list.", "address", k.Address)
	return networker.ServeHTTP(ctx, k.Network, k.Address, &http.Server{Handler: k.Handler()})
}

// Handler returns the HTTP interface, including fault injection.
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
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, k.Store.Calls()) })
	return mux
}

func writeJSON(w http.ResponseWriter, v any) { _ = json.NewEncoder(w).Encode(v) }

func writeError(w http.ResponseWriter, err error) {
	e := storer.WireError{Code: 14, Message: err.Error()}
	status := http.StatusServiceUnavailable
	if errors.Is(err, storer.ErrLeaseExpired) {
		e.Code, status = 5, http.StatusNotFound
	}
	w.WriteHeader(status)
	writeJSON(w, e)
}

// decodeRequest decodes a request body, or writes an error response and returns false.
func decodeRequest(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4<<20)).Decode(v); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		writeJSON(w, storer.WireError{Code: 3, Message: err.Error()})
		return false
	}
	return true
}

func toWireKV(p storer.Pair) storer.WireKV {
	return storer.WireKV{Key: []byte(p.Key), Value: p.Value, ModRevision: p.Revision}
}

func (k *Keeper) handleRange(w http.ResponseWriter, r *http.Request) {
	var request storer.WireRange
	if !decodeRequest(w, r, &request) {
		return
	}
	var response storer.WireRangeResponse
	if len(request.RangeEnd) == 0 {
		p, err := k.Store.Get(r.Context(), string(request.Key))
		if err != nil {
			writeError(w, err)
			return
		}
		if p.Revision != 0 {
			response.KVs = append(response.KVs, toWireKV(p))
		}
		writeJSON(w, response)
		return
	}
	pairs, err := k.Store.List(r.Context(), string(request.Key))
	if err != nil {
		writeError(w, err)
		return
	}
	for _, p := range pairs {
		response.KVs = append(response.KVs, toWireKV(p))
	}
	writeJSON(w, response)
}

func (k *Keeper) handleTxn(w http.ResponseWriter, r *http.Request) {
	var request storer.WireTxn
	if !decodeRequest(w, r, &request) {
		return
	}
	if len(request.Compare) != 1 || len(request.Success) != 1 || request.Compare[0].Target != storer.TargetMod {
		writeError(w, errors.New("exactly one mod-revision comparison and one operation are supported"))
		return
	}
	p := storer.Pair{Key: string(request.Compare[0].Key), Revision: request.Compare[0].ModRevision}
	var response storer.WireTxnResponse
	var err error
	if put := request.Success[0].Put; put != nil {
		p.Value = put.Value
		p, response.Succeeded, err = k.Store.Swap(r.Context(), p, storer.Lease(put.Lease))
		response.Header.Revision = p.Revision
	} else {
		response.Succeeded, err = k.Store.Delete(r.Context(), p)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	if !response.Succeeded {
		found := &storer.WireRangeResponse{}
		if p.Revision != 0 {
			found.KVs = append(found.KVs, toWireKV(p))
		}
		response.Responses = []storer.WireOpResponse{{Range: found}}
	}
	writeJSON(w, response)
}

func (k *Keeper) handleGrant(w http.ResponseWriter, r *http.Request) {
	var request storer.WireLease
	if !decodeRequest(w, r, &request) {
		return
	}
	l, err := k.Store.Grant(r.Context(), time.Duration(request.TTL)*time.Second)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, storer.WireLease{ID: int64(l), TTL: request.TTL})
}

func (k *Keeper) handleKeepAlive(w http.ResponseWriter, r *http.Request) {
	var request storer.WireLease
	if !decodeRequest(w, r, &request) {
		return
	}
	err := k.Store.KeepAlive(r.Context(), storer.Lease(request.ID))
	if err != nil && !errors.Is(err, storer.ErrLeaseExpired) {
		writeError(w, err)
		return
	}
	response := storer.WireKeepAliveResponse{Result: storer.WireLease{ID: request.ID, TTL: 1}}
	if err != nil {
		response.Result.TTL = 0
	}
	writeJSON(w, response)
}

func (k *Keeper) handleRevoke(w http.ResponseWriter, r *http.Request) {
	var request storer.WireLease
	if !decodeRequest(w, r, &request) {
		return
	}
	if err := k.Store.Revoke(r.Context(), storer.Lease(request.ID)); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, struct{}{})
}

func (k *Keeper) handleWatch(w http.ResponseWriter, r *http.Request) {
	var request storer.WireWatch
	if !decodeRequest(w, r, &request) {
		return
	}
	out := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	started := false
	err := k.Store.Watch(r.Context(), string(request.Create.Key), request.Create.StartRevision-1, func(p storer.Pair) {
		started = true
		e := storer.WireEvent{KV: toWireKV(p)}
		if p.Revision == 0 {
			e.Type = storer.TypeDelete
		}
		_ = out.Encode(storer.WireWatchResponse{Result: storer.WireWatchResult{Events: []storer.WireEvent{e}}})
		_ = flush.Flush()
	})
	if !started {
		writeError(w, err)
	}
}
