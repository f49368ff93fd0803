// Package platformer is a test stand-in for a user's platform: it serves the store and the
// promotion call over HTTP.
package platformer

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

type (
	// Platform serves the store and the promotion call. Set the exported fields, then call Run.
	Platform struct {
		Address string
		Network networker.Network
		Store   *storer.Memory
		// Promote promotes a member; an error is returned as 409 Conflict.
		Promote func(group, member string) error

		// DelayPromotion, if set, returns how long after a call to promote a member it is executed. A
		// call that is delayed gets no response, and its fencing token is checked when it is executed.
		DelayPromotion func(member string) time.Duration

		// PageSize is the number of items in a page of a range, 0 for a small default.
		PageSize int
		// StaleUntil is until when reads that may be stale return nothing, as if nothing had been
		// written yet.
		StaleUntil time.Time
		// WholeReads counts the reads of the whole store, ListedPages the pages of other reads.
		WholeReads, ListedPages atomic.Int64

		mutex         sync.Mutex
		fencingTokens map[string]int64 // highest seen, by group
	}

	wireItem struct {
		Key      string `json:"key"`
		Value    []byte `json:"value,omitempty"`
		Revision int64  `json:"revision"`
		Deleted  bool   `json:"compacted,omitempty"`
	}

	transaction struct {
		Conditions []wireItem `json:"if_rev"`
		Writes     []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease_id"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
)

// defaultPageSize is the number of items in a page of a range, small enough that tests need
// several pages.
const defaultPageSize = 2

var errStaleToken = errors.New("stale fencing token")

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
	mux.HandleFunc("DELETE /kv-lease-end/{id}", p.handleRevoke)
	mux.HandleFunc("POST /failover", p.handlePromote)
	return mux
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// writeError writes a store error with its HTTP status.
func writeError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, storer.ErrCompacted):
		status = http.StatusGone
	case errors.Is(err, storer.ErrLeaseExpired):
		status = http.StatusNotFound
	}
	writeJSON(w, status, map[string]string{"error": err.Error()})
}

func toWireItems(list []storer.Pair) []wireItem {
	out := []wireItem{}
	for _, p := range list {
		out = append(out, wireItem{Key: p.Key, Value: p.Value, Revision: p.Revision, Deleted: p.Revision == 0})
	}
	return out
}

func (p *Platform) handleKey(w http.ResponseWriter, r *http.Request) {
	v, err := p.Store.Get(r.Context(), r.URL.Query().Get("key"))
	switch {
	case err != nil:
		writeError(w, err)
	case v.Revision == 0:
		writeJSON(w, http.StatusNotFound, map[string]string{})
	default:
		writeJSON(w, http.StatusOK, toWireItems([]storer.Pair{v})[0])
	}
}

func (p *Platform) handleRange(w http.ResponseWriter, r *http.Request) {
	if q := r.URL.Query(); q.Get("prefix") != "" {
		p.ListedPages.Add(1)
	} else if q.Get("after") == "" {
		p.WholeReads.Add(1)
	}
	list, revision, err := p.Store.Snapshot(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		writeError(w, err)
		return
	}
	if r.URL.Query().Get("allow_stale") != "" && time.Now().Before(p.StaleUntil) {
		list = nil
	}
	after := r.URL.Query().Get("after")
	for len(list) > 0 && list[0].Key <= after {
		list = list[1:]
	}
	size := cmp.Or(p.PageSize, defaultPageSize)
	more := len(list) > size
	if more {
		list = list[:size]
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": toWireItems(list), "has_more": more, "at_rev": revision})
}

func (p *Platform) handleWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	wait, err := strconv.Atoi(q.Get("wait_ms"))
	if err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	list, revision, err := p.Store.WaitForChanges(r.Context(), q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"events": toWireItems(list), "at_rev": revision})
}

func (p *Platform) handleTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Conditions) == 0 || len(t.Conditions) > storer.MaxSwaps || len(t.Writes)+len(t.Deletes) != len(t.Conditions) || len(t.Deletes) > 1 {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": "one condition for each write, or for one delete, is required"})
		return
	}
	pairs := make([]storer.Pair, len(t.Conditions))
	for n, c := range t.Conditions {
		pairs[n] = storer.Pair{Key: c.Key, Revision: c.Revision}
	}
	var current []storer.Pair
	var ok bool
	var err error
	if len(t.Deletes) > 0 {
		ok, err = p.Store.Delete(r.Context(), pairs[0])
		current = pairs
	} else {
		swaps := make([]storer.Swap, len(pairs))
		for n, x := range t.Writes {
			pairs[n].Value = x.Value
			swaps[n] = storer.Swap{Pair: pairs[n], Lease: storer.Lease(x.Lease)}
		}
		current, ok, err = p.Store.Commit(r.Context(), swaps)
	}
	switch {
	case err != nil:
		writeError(w, err)
	case !ok:
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": toWireItems(current)})
	default:
		writeJSON(w, http.StatusOK, map[string]int64{"revision": current[0].Revision})
	}
}

func (p *Platform) handleLease(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	l, err := p.Store.Grant(r.Context(), time.Duration(request.TTL)*time.Millisecond)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, map[string]int64{"lease_id": int64(l), "ttl_ms": request.TTL})
}

func leaseFromPath(r *http.Request) storer.Lease {
	n, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if err != nil {
		return 0
	}
	return storer.Lease(n)
}

func (p *Platform) handleKeep(w http.ResponseWriter, r *http.Request) {
	if err := p.Store.KeepAlive(r.Context(), leaseFromPath(r)); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, map[string]int64{"ttl_ms": 1})
}

func (p *Platform) handleRevoke(w http.ResponseWriter, r *http.Request) {
	if err := p.Store.Revoke(r.Context(), leaseFromPath(r)); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, map[string]string{})
}

func (p *Platform) handlePromote(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	token, err := strconv.ParseInt(r.Header.Get("Oriolegw-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&request) != nil || r.Header.Get("Oriolegw-Lease-Holder") == "" {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": "lease holder, fencing token, service and id are required"})
		return
	}
	if p.DelayPromotion != nil {
		if delay := p.DelayPromotion(request.ID); delay > 0 {
			time.AfterFunc(delay, func() { _ = p.promote(request.Service, request.ID, token) })
			<-r.Context().Done()
			return
		}
	}
	if err := p.promote(request.Service, request.ID, token); err != nil {
		writeJSON(w, http.StatusConflict, map[string]string{"error": err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, map[string]string{})
}

// promote executes a promotion call unless a newer fencing token has been seen.
func (p *Platform) promote(group, member string, token int64) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.fencingTokens == nil {
		p.fencingTokens = map[string]int64{}
	}
	if token < p.fencingTokens[group] {
		return errStaleToken
	}
	p.fencingTokens[group] = token
	return p.Promote(group, member)
}

// EncodeMember encodes the record that a member publishes about itself.
func EncodeMember(m tracker.Member) []byte {
	phase, role := "ready", "replica"
	if m.Leaving {
		phase = "draining"
	}
	if m.Primary {
		role = "primary"
	}
	fields := map[string]any{
		"service": m.Group, "address": m.Address, "zone": m.Zone, "capacity": m.Slots, "phase": phase, "db_role": role,
		"version": "v1", "cold_ms": 0, "seq": 1,
	}
	if m.StartTime != 0 {
		fields["born"] = m.StartTime
	}
	return mustEncode(fields)
}

var ruleNames = map[tracker.Rule]string{
	tracker.RulePrimary: "primary", tracker.RuleBounded: "bounded_staleness", tracker.RuleReadYourWrites: "read_your_writes",
}

// Customer is a client account of a configuration, with its API keys and rate limit.
type Customer struct {
	Name             string
	Keys             []string
	PerSecond, Burst float64
}

// EncodeConfiguration encodes a configuration document. Without customers, it has no tenants section.
func EncodeConfiguration(c tracker.Configuration, customers ...Customer) []byte {
	routes, services := []any{}, []any{}
	for _, r := range c.Routes {
		routes = append(routes, map[string]any{
			"database": r.Database, "service": r.Group, "type": ruleNames[r.Rule], "priority": r.Priority,
			"timeout_ms": r.Timeout.Milliseconds(), "target_latency_ms": r.LatencyObjective.Milliseconds(), "max_staleness_ms": r.Staleness.Milliseconds(),
			"anonymous": r.Anonymous,
		})
	}
	for name, g := range c.Groups {
		services = append(services, map[string]any{"name": name, "max_conns": g.Connections, "sync_replicas": g.SyncReplicas})
	}
	document := map[string]any{
		"version": c.Version, "routes": routes, "services": services,
		"limits": map[string]any{"tx_idle_ms": c.TransactionIdleTimeout.Milliseconds()},
	}
	if customers != nil {
		tenants := []any{}
		for _, x := range customers {
			tenants = append(tenants, map[string]any{"name": x.Name, "api_keys": x.Keys, "priority": 1, "rate_per_s": x.PerSecond, "burst": x.Burst})
		}
		document["tenants"] = tenants
	}
	return mustEncode(document)
}

func mustEncode(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic("platformer: " + err.Error())
	}
	return text
}
