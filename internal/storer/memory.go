package storer

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

type (
	// Memory is an in-memory store with fault injection.
	Memory struct {
		mutex    sync.Mutex
		pairs    map[string]entry
		leases   map[Lease]*leaseState
		revision int64
		history  []Pair
		// compacted is the number of compacted changes at the start of history.
		compacted int64
		changed   chan struct{}
		lastLease Lease
		faults    Faults
		counts    map[string]int
	}

	// Faults are injected faults.
	Faults struct {
		// Down rejects all calls.
		Down bool
		// Latency is the latency added to all responses.
		Latency time.Duration
		// LoseResponses is the number of writes to come that take effect but return an error.
		LoseResponses int
	}

	// entry is a pair with the lease that deletes it.
	entry struct {
		pair  Pair
		lease Lease
	}

	// leaseState is the TTL and expiry of a lease.
	leaseState struct {
		ttl       time.Duration
		expiresAt time.Time
	}
)

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{pairs: map[string]entry{}, leases: map[Lease]*leaseState{}, changed: make(chan struct{}), counts: map[string]int{}}
}

// SetFaults changes the injected faults.
func (m *Memory) SetFaults(change func(*Faults)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	change(&m.faults)
	m.notifyWatchers()
}

// Calls returns the number of calls by method.
func (m *Memory) Calls() map[string]int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	out := map[string]int{}
	for k, n := range m.counts {
		out[k] = n
	}
	return out
}

// ExpireLeases expires all leases.
func (m *Memory) ExpireLeases() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for l := range m.leases {
		m.dropLease(l)
	}
}

// begin counts a call, applies the faults and, on success, returns with the mutex locked.
func (m *Memory) begin(ctx context.Context, call string) error {
	m.mutex.Lock()
	m.counts[call]++
	slow := m.faults.Latency
	m.mutex.Unlock()
	if slow > 0 {
		select {
		case <-time.After(slow):
		case <-ctx.Done():
			return errors.Wrap(ErrUnavailable, ctx.Err().Error())
		}
	}
	m.mutex.Lock()
	if m.faults.Down {
		m.mutex.Unlock()
		return ErrUnavailable
	}
	m.expireLeases()
	return nil
}

// loseResponse returns an error if the response to a completed write is to be lost.
func (m *Memory) loseResponse() error {
	if m.faults.LoseResponses > 0 {
		m.faults.LoseResponses--
		return errors.Wrap(ErrUnavailable, "response lost")
	}
	return nil
}

func (m *Memory) expireLeases() {
	now := time.Now()
	for l, g := range m.leases {
		if now.After(g.expiresAt) {
			m.dropLease(l)
		}
	}
}

func (m *Memory) dropLease(l Lease) {
	delete(m.leases, l)
	for k, h := range m.pairs {
		if h.lease == l {
			m.removeKey(k)
		}
	}
}

func (m *Memory) removeKey(key string) {
	m.revision++
	delete(m.pairs, key)
	m.appendHistory(Pair{Key: key})
}

func (m *Memory) appendHistory(p Pair) {
	m.history = append(m.history, p)
	m.notifyWatchers()
}

func (m *Memory) notifyWatchers() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Get implements Store.
func (m *Memory) Get(ctx context.Context, key string) (Pair, error) {
	if err := m.begin(ctx, "get"); err != nil {
		return Pair{}, err
	}
	defer m.mutex.Unlock()
	return m.get(key), nil
}

func (m *Memory) get(key string) Pair {
	if h, ok := m.pairs[key]; ok {
		return h.pair
	}
	return Pair{Key: key}
}

// List implements Store.
func (m *Memory) List(ctx context.Context, prefix string) ([]Pair, error) {
	if err := m.begin(ctx, "list"); err != nil {
		return nil, err
	}
	defer m.mutex.Unlock()
	var out []Pair
	for k, h := range m.pairs {
		if strings.HasPrefix(k, prefix) {
			out = append(out, h.pair)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, nil
}

// Swap implements Store.
func (m *Memory) Swap(ctx context.Context, p Pair, lease Lease) (Pair, bool, error) {
	if err := m.begin(ctx, "swap"); err != nil {
		return Pair{}, false, err
	}
	defer m.mutex.Unlock()
	if lease != 0 && m.leases[lease] == nil {
		return Pair{}, false, ErrLeaseExpired
	}
	now := m.get(p.Key)
	if now.Revision != p.Revision {
		return now, false, nil
	}
	m.revision++
	now = Pair{Key: p.Key, Value: append([]byte(nil), p.Value...), Revision: m.revision}
	m.pairs[p.Key] = entry{pair: now, lease: lease}
	m.appendHistory(now)
	if err := m.loseResponse(); err != nil {
		return Pair{}, false, err
	}
	return now, true, nil
}

// Commit implements BatchStore.
func (m *Memory) Commit(ctx context.Context, swaps []Swap) ([]Pair, bool, error) {
	if err := m.begin(ctx, "swap"); err != nil {
		return nil, false, err
	}
	defer m.mutex.Unlock()
	now, ok := make([]Pair, len(swaps)), true
	for n, s := range swaps {
		if s.Lease != 0 && m.leases[s.Lease] == nil {
			return nil, false, ErrLeaseExpired
		}
		now[n] = m.get(s.Key)
		ok = ok && now[n].Revision == s.Revision
	}
	if !ok {
		return now, false, nil
	}
	// Revisions are indexes into the history, so the last one is that of all pairs.
	m.revision += int64(len(swaps))
	for n, s := range swaps {
		now[n] = Pair{Key: s.Key, Value: append([]byte(nil), s.Value...), Revision: m.revision}
		m.pairs[s.Key] = entry{pair: now[n], lease: s.Lease}
		m.appendHistory(now[n])
	}
	if err := m.loseResponse(); err != nil {
		return nil, false, err
	}
	return now, true, nil
}

// Delete implements Store.
func (m *Memory) Delete(ctx context.Context, p Pair) (bool, error) {
	if err := m.begin(ctx, "delete"); err != nil {
		return false, err
	}
	defer m.mutex.Unlock()
	if now := m.get(p.Key); now.Revision != p.Revision || now.Revision == 0 {
		return false, nil
	}
	m.removeKey(p.Key)
	return true, m.loseResponse()
}

// Grant implements Store.
func (m *Memory) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	if err := m.begin(ctx, "grant"); err != nil {
		return 0, err
	}
	defer m.mutex.Unlock()
	m.lastLease++
	m.leases[m.lastLease] = &leaseState{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	return m.lastLease, nil
}

// KeepAlive implements Store.
func (m *Memory) KeepAlive(ctx context.Context, lease Lease) error {
	if err := m.begin(ctx, "keep-alive"); err != nil {
		return err
	}
	defer m.mutex.Unlock()
	g := m.leases[lease]
	if g == nil {
		return ErrLeaseExpired
	}
	g.expiresAt = time.Now().Add(g.ttl)
	return nil
}

// Revoke implements Store.
func (m *Memory) Revoke(ctx context.Context, lease Lease) error {
	if err := m.begin(ctx, "revoke"); err != nil {
		return err
	}
	defer m.mutex.Unlock()
	m.dropLease(lease)
	return nil
}

// Compact compacts the history. Later calls of Changes for earlier revisions return
// ErrCompacted.
func (m *Memory) Compact() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.compacted = int64(len(m.history))
	m.notifyWatchers()
}

// Snapshot returns the keys with a prefix and the store revision.
func (m *Memory) Snapshot(ctx context.Context, prefix string) ([]Pair, int64, error) {
	list, err := m.List(ctx, prefix)
	if err != nil {
		return nil, 0, err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return list, int64(len(m.history)), nil
}

// WaitForChanges waits for changes after a revision and returns them with the revision to continue
// from.
func (m *Memory) WaitForChanges(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Pair, int64, error) {
	if err := m.begin(ctx, "watch"); err != nil {
		return nil, 0, err
	}
	defer m.mutex.Unlock()
	timeout := time.After(wait)
	for {
		m.expireLeases()
		if after < m.compacted {
			return nil, 0, ErrCompacted
		}
		var found []Pair
		for _, p := range m.history[min(after, int64(len(m.history))):] {
			if strings.HasPrefix(p.Key, prefix) {
				found = append(found, p)
			}
		}
		if len(found) > 0 {
			return found, int64(len(m.history)), nil
		}
		changed := m.changed
		m.mutex.Unlock()
		timedOut := false
		select {
		case <-changed:
		case <-timeout:
			timedOut = true
		case <-ctx.Done():
			timedOut = true
		}
		m.mutex.Lock()
		if m.faults.Down {
			return nil, 0, ErrUnavailable
		}
		if timedOut {
			return nil, int64(len(m.history)), nil
		}
	}
}

// Watch implements Store.
func (m *Memory) Watch(ctx context.Context, prefix string, after int64, changed func(Pair)) error {
	if err := m.begin(ctx, "watch"); err != nil {
		return err
	}
	// Each change increments the revision, so revisions are indexes into the history.
	next := int(min(max(after, 0), int64(len(m.history))))
	for {
		batch := append([]Pair(nil), m.history[next:]...)
		next = len(m.history)
		wait, down, slow := m.changed, m.faults.Down, m.faults.Latency
		m.mutex.Unlock()
		if down {
			return ErrUnavailable
		}
		if len(batch) > 0 && slow > 0 {
			select {
			case <-time.After(slow):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		for _, p := range batch {
			if strings.HasPrefix(p.Key, prefix) {
				changed(p)
			}
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return ctx.Err()
		}
		m.mutex.Lock()
	}
}
