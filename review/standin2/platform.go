//go:build second_review

package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/oriolegw/oriolegw/internal/standin/platformer"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

// heartbeat is the heartbeat_ms of the small deployments.
const heartbeat = 1200 * time.Millisecond

// thePlatform serves the store, through the project's stand-in, and POST /failover.
type thePlatform struct {
	address string
	record  *record
	store   *storer.Memory
	mutex   sync.Mutex
	groups  map[string]*group
	tokens  map[string]int64
	calls   int
	// unanswered, if set, decides about a call: if it returns a channel, the call gets no answer, and
	// is carried out when the channel is closed.
	unanswered func(n int, service, id string) <-chan struct{}
	entries    map[string]storer.Pair
}

func newPlatform(ip string, r *record) *thePlatform {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fatal(err)
	}
	p := &thePlatform{address: l.Addr().String(), record: r, store: storer.NewMemory(), groups: map[string]*group{}, tokens: map[string]int64{}, entries: map[string]storer.Pair{}}
	mux := http.NewServeMux()
	mux.Handle("/", (&platformer.Platform{Store: p.store, PageSize: 500}).Handler())
	mux.HandleFunc("POST /failover", p.failover)
	go func() { _ = http.Serve(l, mux) }()
	return p
}

func (p *thePlatform) failover(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	token, err := strconv.ParseInt(r.Header.Get("Oriolegw-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mutex.Lock()
	p.calls++
	n := p.calls
	p.mutex.Unlock()
	holder := r.Header.Get("Oriolegw-Lease-Holder")
	if p.unanswered != nil {
		if due := p.unanswered(n, body.Service, body.ID); due != nil {
			p.record.line("failover", "call", n, "service", body.Service, "id", body.ID, "holder", holder, "token", token, "answer", "none, carried out later")
			came := time.Now()
			go func() {
				<-due
				status := p.carryOut(body.Service, body.ID, token)
				p.record.line("failover-late", "call", n, "service", body.Service, "id", body.ID, "token", token, "status", status, "after-ms", time.Since(came).Milliseconds())
			}()
			<-r.Context().Done()
			return
		}
	}
	status := p.carryOut(body.Service, body.ID, token)
	p.record.line("failover", "call", n, "service", body.Service, "id", body.ID, "holder", holder, "token", token, "status", status)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write([]byte("{}"))
}

// carryOut checks the fence and promotes.
func (p *thePlatform) carryOut(service, id string, token int64) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	g := p.groups[service]
	if g == nil || token < p.tokens[service] {
		return http.StatusConflict
	}
	p.tokens[service] = token
	if !g.order(id) {
		return http.StatusConflict
	}
	return http.StatusOK
}

// configure writes a configuration as the operator.
func (p *thePlatform) configure(c tracker.Configuration) {
	const key = "op/config"
	ctx := context.Background()
	now, err := p.store.Get(ctx, key)
	if err != nil {
		fatal(err)
	}
	_, ok, err := p.store.Swap(ctx, storer.Pair{Key: key, Value: platformer.EncodeConfiguration(c), Revision: now.Revision}, 0)
	if err != nil || !ok {
		fatal("configuration not written")
	}
	p.record.line("configuration", "version", c.Version, "acknowledged", true)
}

// heartbeats writes the members' entries: at each heartbeat, and at once when one has changed.
func (p *thePlatform) heartbeats(ctx context.Context) {
	last := map[string]tracker.Member{}
	written := map[string]time.Time{}
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		p.mutex.Lock()
		groups := p.groups
		p.mutex.Unlock()
		for _, g := range groups {
			g.mutex.Lock()
			var list []tracker.Member
			var gone []string
			for _, m := range g.members {
				if m.gone {
					gone = append(gone, m.id)
					continue
				}
				list = append(list, tracker.Member{ID: m.id, Group: g.name, Address: m.address, Zone: m.zone, Slots: memberSlots, Leaving: m.leaving, Primary: m.primary})
			}
			g.mutex.Unlock()
			for _, m := range list {
				if last[m.ID] == m && time.Since(written[m.ID]) < heartbeat {
					continue
				}
				key := "servers/" + m.ID
				x, ok, err := p.store.Swap(ctx, storer.Pair{Key: key, Value: platformer.EncodeMember(m), Revision: p.entries[key].Revision}, 0)
				if err == nil && ok {
					p.entries[key], last[m.ID], written[m.ID] = x, m, time.Now()
				}
			}
			for _, id := range gone {
				key := "servers/" + id
				if x, ok := p.entries[key]; ok {
					if ok, err := p.store.Delete(ctx, x); err == nil && ok {
						delete(p.entries, key)
					}
				}
			}
		}
	}
}
