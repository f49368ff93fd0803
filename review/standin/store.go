package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's metadata store (PROTOCOL.md, "The platform's metadata
// store"). It keeps its whole history, so it never answers 410 by itself.
type Store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]Item
	history  []event
	leases   map[int64]*lease
	nextID   int64
	changed  chan struct{}
	down     bool
	// Log writes one line of the record.
	Log func(format string, args ...any)
}

// Item is one key of the store.
type Item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value"`
	Revision   int64  `json:"revision"`
	CreatedRev int64  `json:"created_rev"`
	LeaseID    int64  `json:"lease_id"`
}

type event struct {
	Item
	deleted bool
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// NewStore returns an empty store whose leases run.
func NewStore() *Store {
	s := &Store{revision: 1, items: map[string]Item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
	go func() {
		for {
			time.Sleep(10 * time.Millisecond)
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

// Down reports whether the store answers 503.
func (s *Store) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// SetDown makes the store answer 503; leases run out meanwhile. Waiting watches are cut.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) put(key string, value []byte, leaseID int64) {
	old, ok := s.items[key]
	i := Item{Key: key, Value: value, Revision: s.revision, CreatedRev: s.revision, LeaseID: leaseID}
	if ok {
		i.CreatedRev = old.CreatedRev
	}
	s.items[key] = i
	s.history = append(s.history, event{Item: i})
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, event{Item: Item{Key: key, Revision: s.revision}, deleted: true})
}

// expire removes the keys of ended leases; the mutex is held.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for k, i := range s.items {
		if i.LeaseID == id {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	for _, k := range keys {
		s.revision++
		s.remove(k)
		if s.Log != nil {
			s.Log("store: lease %d ended, key %s removed at revision %d", id, k, s.revision)
		}
	}
	if len(keys) > 0 {
		s.notify()
	}
}

// Put writes a key for the operator or a member.
func (s *Store) Put(key string, value any) {
	text, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, text, 0)
	s.notify()
}

// Remove deletes a key of a member.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	s.remove(key)
	s.notify()
}

// Keys lists the keys under a prefix.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

// Serve serves the store's interface.
func (s *Store) Serve(l net.Listener) { _ = http.Serve(l, http.HandlerFunc(s.handle)) }

func reply(w http.ResponseWriter, status int, v any) {
	text, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *Store) handle(w http.ResponseWriter, r *http.Request) {
	if s.Down() {
		reply(w, 503, map[string]any{})
		return
	}
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/kv-key":
		s.mu.Lock()
		s.expire()
		i, ok := s.items[q.Get("key")]
		s.mu.Unlock()
		if !ok {
			reply(w, 404, map[string]any{})
			return
		}
		reply(w, 200, i)
	case path == "/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case path == "/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case path == "/kv-txn":
		s.serveTxn(w, r)
	case path == "/kv-lease":
		var in struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil || in.TTL < 1000 || in.TTL > 600000 {
			reply(w, 400, map[string]any{})
			return
		}
		s.mu.Lock()
		s.nextID++
		id := s.nextID
		s.leases[id] = &lease{ttl: time.Duration(in.TTL) * time.Millisecond, expires: time.Now().Add(time.Duration(in.TTL) * time.Millisecond)}
		s.mu.Unlock()
		reply(w, 200, map[string]any{"lease_id": id, "ttl_ms": in.TTL})
	case strings.HasPrefix(path, "/kv-keep/"), strings.HasPrefix(path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
		s.mu.Lock()
		s.expire()
		l, ok := s.leases[id]
		if ok && strings.HasPrefix(path, "/kv-keep/") {
			l.expires = time.Now().Add(l.ttl)
		} else if ok {
			s.endLease(id)
		}
		s.mu.Unlock()
		if !ok {
			reply(w, 404, map[string]any{})
			return
		}
		reply(w, 200, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
	default:
		reply(w, 404, map[string]any{})
	}
}

func (s *Store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	s.expire()
	list := []Item{}
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			list = append(list, i)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	more := len(list) > 500
	if more {
		list = list[:500]
	}
	reply(w, 200, map[string]any{"items": list, "has_more": more, "at_rev": at})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		s.expire()
		if s.down {
			s.mu.Unlock()
			reply(w, 503, map[string]any{})
			return
		}
		events, at, changed := []any{}, s.revision, s.changed
		first := sort.Search(len(s.history), func(n int) bool { return s.history[n].Revision > after })
		for _, e := range s.history[first:] {
			if !strings.HasPrefix(e.Key, prefix) {
				continue
			}
			if e.deleted {
				events = append(events, map[string]any{"key": e.Key, "revision": e.Revision, "compacted": true})
			} else {
				events = append(events, e.Item)
			}
		}
		s.mu.Unlock()
		done := len(events) > 0
		if !done {
			select {
			case <-changed:
				continue
			case <-timeout:
				done = true
			case <-r.Context().Done():
				return
			}
		}
		if done {
			reply(w, 200, map[string]any{"events": events, "at_rev": at})
			return
		}
	}
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		IfRev []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"if_rev"`
		Writes []struct {
			Key     string `json:"key"`
			Value   []byte `json:"value"`
			LeaseID int64  `json:"lease_id"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		reply(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	now, met := []Item{}, true
	for _, c := range t.IfRev {
		i, ok := s.items[c.Key]
		if ok {
			now = append(now, i)
		}
		met = met && i.Revision == c.Revision
	}
	if !met {
		reply(w, 412, map[string]any{"items": now})
		return
	}
	for _, x := range t.Writes {
		if x.LeaseID != 0 && s.leases[x.LeaseID] == nil {
			reply(w, 404, map[string]any{})
			return
		}
	}
	s.revision++
	for _, x := range t.Writes {
		s.put(x.Key, x.Value, x.LeaseID)
		if s.Log != nil && strings.Contains(x.Key, "/duty/") {
			s.Log("store: revision %d, %s = %s", s.revision, x.Key, x.Value)
		}
	}
	for _, k := range t.Deletes {
		s.remove(k)
	}
	s.notify()
	reply(w, 200, map[string]any{"revision": s.revision})
}
