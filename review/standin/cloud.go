package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Cloud is a stand-in for the platform's calls of singleton duties: POST /failover, with
// require_fence.
type Cloud struct {
	mu     sync.Mutex
	tokens map[string]int64
	Groups map[string]*Group
	Log    func(format string, args ...any)
	late   func(service, id string) (time.Duration, bool)
}

// SetLate sets, or with nil removes, what decides whether a call gets no answer and is carried out
// after a delay.
func (c *Cloud) SetLate(late func(service, id string) (time.Duration, bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.late = late
}

// Serve serves the calls.
func (c *Cloud) Serve(l net.Listener) { _ = http.Serve(l, http.HandlerFunc(c.handle)) }

func (c *Cloud) handle(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	token, err := strconv.ParseInt(r.Header.Get("Oriolegw-Fencing-Token"), 10, 64)
	holder := r.Header.Get("Oriolegw-Lease-Holder")
	if err != nil || holder == "" || r.URL.Path != "/failover" || json.NewDecoder(r.Body).Decode(&in) != nil {
		reply(w, 400, map[string]any{})
		return
	}
	c.mu.Lock()
	isLate := c.late
	c.mu.Unlock()
	if isLate != nil {
		if delay, late := isLate(in.Service, in.ID); late {
			c.Log("platform: failover %s to %s by %s, token %d: no answer, carried out in %v", in.Service, in.ID, holder, token, delay)
			time.AfterFunc(delay, func() {
				status := c.carryOut(in.Service, in.ID, token)
				c.Log("platform: late failover %s to %s by %s, token %d: carried out now, %d", in.Service, in.ID, holder, token, status)
			})
			select {
			case <-r.Context().Done():
			case <-time.After(10 * time.Second):
			}
			panic(http.ErrAbortHandler)
		}
	}
	status := c.carryOut(in.Service, in.ID, token)
	c.Log("platform: failover %s to %s by %s, token %d: %d", in.Service, in.ID, holder, token, status)
	reply(w, status, map[string]any{})
}

// carryOut checks the fence and promotes.
func (c *Cloud) carryOut(service, id string, token int64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := c.Groups[service]
	if g == nil {
		return 404
	}
	if token < c.tokens[service] {
		return 409
	}
	c.tokens[service] = token
	if !g.Promote(id) {
		return 409
	}
	return 200
}
