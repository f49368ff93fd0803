// Package platformer is the stand-in for the users' platform: its store and its
// call to promote a member, over HTTP.
package platformer

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

type (
	// Platform serves the store and the promotions. Set the exported fields, then call
	// Run.
	Platform struct {
		Address string
		Network networker.Network
		Store   *storer.Memory
		// Promote carries out an order; the error is answered as a refusal.
		Promote func(group, member string) error

		mutex  sync.Mutex
		fences map[string]int64
	}

	item struct {
		Key      string `json:"key"`
		Value    []byte `json:"value,omitempty"`
		Revision int64  `json:"revision"`
		Deleted  bool   `json:"compacted,omitempty"`
	}

	transaction struct {
		Conditions []item `json:"if_rev"`
		Writes     []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease_id"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
)

// pageItems is how many items a page of a range has; few, so that tests see pages.
const pageItems = 2

// Run serves until the context ends.
func (p *Platform) Run(ctx context.Context) error {
	return networker.ServeHTTP(ctx, p.Network, p.Address, &http.Server{Handler: p.Handler()})
}

// Handler returns the HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", p.handleKey)
	mux.HandleFunc("GET /kv-range", p.handleRange)
	mux.HandleFunc("GET /kv-watch", p.handleWatch)
	mux.HandleFunc("POST /kv-txn", p.handleTransaction)
	mux.HandleFunc("POST /kv-lease", p.handleLease)
	mux.HandleFunc("POST /kv-keep/{id}", p.handleKeep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", p.handleEnd)
	mux.HandleFunc("POST /failover", p.handlePromote)
	return mux
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// fail answers an error of the store.
func fail(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, storer.ErrCompacted):
		status = http.StatusGone
	case errors.Is(err, storer.ErrLeaseExpired):
		status = http.StatusNotFound
	}
	reply(w, status, map[string]string{"error": err.Error()})
}

func items(list []storer.Pair) []item {
	out := []item{}
	for _, p := range list {
		out = append(out, item{Key: p.Key, Value: p.Value, Revision: p.Revision, Deleted: p.Revision == 0})
	}
	return out
}

func (p *Platform) handleKey(w http.ResponseWriter, r *http.Request) {
	v, err := p.Store.Get(r.Context(), r.URL.Query().Get("key"))
	switch {
	case err != nil:
		fail(w, err)
	case v.Revision == 0:
		reply(w, http.StatusNotFound, map[string]string{})
	default:
		reply(w, http.StatusOK, items([]storer.Pair{v})[0])
	}
}

func (p *Platform) handleRange(w http.ResponseWriter, r *http.Request) {
	list, revision, err := p.Store.Snapshot(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		fail(w, err)
		return
	}
	after := r.URL.Query().Get("after")
	for len(list) > 0 && list[0].Key <= after {
		list = list[1:]
	}
	more := len(list) > pageItems
	if more {
		list = list[:pageItems]
	}
	reply(w, http.StatusOK, map[string]any{"items": items(list), "has_more": more, "at_rev": revision})
}

func (p *Platform) handleWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	wait, err := strconv.Atoi(q.Get("wait_ms"))
	if err != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	list, revision, err := p.Store.Changes(r.Context(), q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, http.StatusOK, map[string]any{"events": items(list), "at_rev": revision})
}

func (p *Platform) handleTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Conditions) != 1 {
		reply(w, http.StatusBadRequest, map[string]string{"error": "want one condition"})
		return
	}
	pair := storer.Pair{Key: t.Conditions[0].Key, Revision: t.Conditions[0].Revision}
	var now storer.Pair
	var ok bool
	var err error
	if len(t.Deletes) > 0 {
		ok, err = p.Store.Delete(r.Context(), pair)
	} else {
		pair.Value = t.Writes[0].Value
		now, ok, err = p.Store.Swap(r.Context(), pair, storer.Lease(t.Writes[0].Lease))
	}
	switch {
	case err != nil:
		fail(w, err)
	case !ok:
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": items([]storer.Pair{now})})
	default:
		reply(w, http.StatusOK, map[string]int64{"revision": now.Revision})
	}
}

func (p *Platform) handleLease(w http.ResponseWriter, r *http.Request) {
	var ask struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&ask); err != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	l, err := p.Store.Grant(r.Context(), time.Duration(ask.TTL)*time.Millisecond)
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, http.StatusOK, map[string]int64{"lease_id": int64(l), "ttl_ms": ask.TTL})
}

func lease(r *http.Request) storer.Lease {
	n, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if err != nil {
		return 0
	}
	return storer.Lease(n)
}

func (p *Platform) handleKeep(w http.ResponseWriter, r *http.Request) {
	if err := p.Store.KeepAlive(r.Context(), lease(r)); err != nil {
		fail(w, err)
		return
	}
	reply(w, http.StatusOK, map[string]int64{"ttl_ms": 1})
}

func (p *Platform) handleEnd(w http.ResponseWriter, r *http.Request) {
	if err := p.Store.Revoke(r.Context(), lease(r)); err != nil {
		fail(w, err)
		return
	}
	reply(w, http.StatusOK, map[string]string{})
}

func (p *Platform) handlePromote(w http.ResponseWriter, r *http.Request) {
	var ask struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	fence, err := strconv.ParseInt(r.Header.Get("Oriolegw-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&ask) != nil || r.Header.Get("Oriolegw-Lease-Holder") == "" {
		reply(w, http.StatusBadRequest, map[string]string{"error": "want a holder, a fence, a service and an id"})
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.fences == nil {
		p.fences = map[string]int64{}
	}
	if fence < p.fences[ask.Service] {
		reply(w, http.StatusConflict, map[string]string{"error": "a higher fence was seen"})
		return
	}
	p.fences[ask.Service] = fence
	if err := p.Promote(ask.Service, ask.ID); err != nil {
		reply(w, http.StatusConflict, map[string]string{"error": err.Error()})
		return
	}
	reply(w, http.StatusOK, map[string]string{})
}

// Entry is what a member writes of itself.
func Entry(m tracker.Member) []byte {
	phase, role := "ready", "replica"
	if m.Leaving {
		phase = "draining"
	}
	if m.Primary {
		role = "primary"
	}
	fields := map[string]any{
		"service": m.Group, "address": m.Address, "zone": m.Zone, "capacity": m.Slots, "phase": phase, "db_role": role,
	}
	if m.StartTime != 0 {
		fields["born"] = m.StartTime
	}
	return encode(fields)
}

var typeWords = map[tracker.Rule]string{
	tracker.RulePrimary: "primary", tracker.RuleBounded: "bounded_staleness", tracker.RuleReadYourWrites: "read_your_writes",
}

// Customer is a customer as an operator writes it, with its keys.
type Customer struct {
	Name             string
	Keys             []string
	PerSecond, Burst float64
}

// Configuration is what an operator writes. Without customers, it tells none apart.
func Configuration(c tracker.Configuration, customers ...Customer) []byte {
	routes, services := []any{}, []any{}
	for _, r := range c.Routes {
		routes = append(routes, map[string]any{
			"database": r.Database, "service": r.Group, "type": typeWords[r.Rule], "priority": r.Priority,
			"timeout_ms": r.Timeout.Milliseconds(), "target_latency_ms": r.LatencyObjective.Milliseconds(), "max_staleness_ms": r.Staleness.Milliseconds(),
			"anonymous": r.Anonymous,
		})
	}
	for name, g := range c.Groups {
		services = append(services, map[string]any{"name": name, "max_conns": g.Connections, "sync_replicas": g.SyncReplicas})
	}
	document := map[string]any{
		"version": c.Version, "routes": routes, "services": services,
		"limits": map[string]any{"tx_idle_ms": c.TransactionIdle.Milliseconds()},
	}
	if customers != nil {
		tenants := []any{}
		for _, x := range customers {
			tenants = append(tenants, map[string]any{"name": x.Name, "api_keys": x.Keys, "priority": 1, "rate_per_s": x.PerSecond, "burst": x.Burst})
		}
		document["tenants"] = tenants
	}
	return encode(document)
}

func encode(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic("platformer: " + err.Error())
	}
	return text
}
