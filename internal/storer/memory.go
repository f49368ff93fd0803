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
	// Memory is a store in memory, with the faults of the real one as switches.
	Memory struct {
		mutex    sync.Mutex
		pairs    map[string]held
		leases   map[Lease]*grant
		revision int64
		history  []Pair
		// forgotten is how many of the first changes can't be watched any more.
		forgotten int64
		changed   chan struct{}
		next      Lease
		faults    Faults
		counts    map[string]int
	}

	// Faults are the ways in which the service fails.
	Faults struct {
		// Down refuses every call.
		Down bool
		// Slow delays every answer.
		Slow time.Duration
		// LoseAnswers is how many of the next writes take effect without answer.
		LoseAnswers int
	}

	held struct {
		pair  Pair
		lease Lease
	}

	grant struct {
		ttl  time.Duration
		ends time.Time
	}
)

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{pairs: map[string]held{}, leases: map[Lease]*grant{}, changed: make(chan struct{}), counts: map[string]int{}}
}

// SetFaults replaces the fault switches.
func (m *Memory) SetFaults(change func(*Faults)) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	change(&m.faults)
	m.wake()
}

// Calls returns how many calls of each kind were made.
func (m *Memory) Calls() map[string]int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	out := map[string]int{}
	for k, n := range m.counts {
		out[k] = n
	}
	return out
}

// Lapse ends every lease at once.
func (m *Memory) Lapse() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for l := range m.leases {
		m.drop(l)
	}
}

// enter counts a call, applies the faults and takes the mutex on success.
func (m *Memory) enter(ctx context.Context, call string) error {
	m.mutex.Lock()
	m.counts[call]++
	slow := m.faults.Slow
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
	m.expire()
	return nil
}

// answer reports whether the answer to a write that took effect gets through.
func (m *Memory) answer() error {
	if m.faults.LoseAnswers > 0 {
		m.faults.LoseAnswers--
		return errors.Wrap(ErrUnavailable, "answer lost")
	}
	return nil
}

func (m *Memory) expire() {
	now := time.Now()
	for l, g := range m.leases {
		if now.After(g.ends) {
			m.drop(l)
		}
	}
}

func (m *Memory) drop(l Lease) {
	delete(m.leases, l)
	for k, h := range m.pairs {
		if h.lease == l {
			m.remove(k)
		}
	}
}

func (m *Memory) remove(key string) {
	m.revision++
	delete(m.pairs, key)
	m.publish(Pair{Key: key})
}

func (m *Memory) publish(p Pair) {
	m.history = append(m.history, p)
	m.wake()
}

func (m *Memory) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Get implements Store.
func (m *Memory) Get(ctx context.Context, key string) (Pair, error) {
	if err := m.enter(ctx, "get"); err != nil {
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
	if err := m.enter(ctx, "list"); err != nil {
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
	if err := m.enter(ctx, "swap"); err != nil {
		return Pair{}, false, err
	}
	defer m.mutex.Unlock()
	if lease != 0 && m.leases[lease] == nil {
		return Pair{}, false, ErrLeaseLost
	}
	now := m.get(p.Key)
	if now.Revision != p.Revision {
		return now, false, nil
	}
	m.revision++
	now = Pair{Key: p.Key, Value: append([]byte(nil), p.Value...), Revision: m.revision}
	m.pairs[p.Key] = held{pair: now, lease: lease}
	m.publish(now)
	if err := m.answer(); err != nil {
		return Pair{}, false, err
	}
	return now, true, nil
}

// Delete implements Store.
func (m *Memory) Delete(ctx context.Context, p Pair) (bool, error) {
	if err := m.enter(ctx, "delete"); err != nil {
		return false, err
	}
	defer m.mutex.Unlock()
	if now := m.get(p.Key); now.Revision != p.Revision || now.Revision == 0 {
		return false, nil
	}
	m.remove(p.Key)
	return true, m.answer()
}

// Grant implements Store.
func (m *Memory) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	if err := m.enter(ctx, "grant"); err != nil {
		return 0, err
	}
	defer m.mutex.Unlock()
	m.next++
	m.leases[m.next] = &grant{ttl: ttl, ends: time.Now().Add(ttl)}
	return m.next, nil
}

// KeepAlive implements Store.
func (m *Memory) KeepAlive(ctx context.Context, lease Lease) error {
	if err := m.enter(ctx, "keep-alive"); err != nil {
		return err
	}
	defer m.mutex.Unlock()
	g := m.leases[lease]
	if g == nil {
		return ErrLeaseLost
	}
	g.ends = time.Now().Add(g.ttl)
	return nil
}

// Revoke implements Store.
func (m *Memory) Revoke(ctx context.Context, lease Lease) error {
	if err := m.enter(ctx, "revoke"); err != nil {
		return err
	}
	defer m.mutex.Unlock()
	m.drop(lease)
	return nil
}

// Forget drops the history: watches that begin before now get ErrHistoryLost.
func (m *Memory) Forget() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.forgotten = int64(len(m.history))
	m.wake()
}

// Snapshot returns the keys with a prefix and the revision they are of.
func (m *Memory) Snapshot(ctx context.Context, prefix string) ([]Pair, int64, error) {
	list, err := m.List(ctx, prefix)
	if err != nil {
		return nil, 0, err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return list, int64(len(m.history)), nil
}

// Changes returns the changes after a revision, waiting for the first, and the
// revision to go on from.
func (m *Memory) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Pair, int64, error) {
	if err := m.enter(ctx, "watch"); err != nil {
		return nil, 0, err
	}
	defer m.mutex.Unlock()
	late := time.After(wait)
	for {
		m.expire()
		if after < m.forgotten {
			return nil, 0, ErrHistoryLost
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
		ended := false
		select {
		case <-changed:
		case <-late:
			ended = true
		case <-ctx.Done():
			ended = true
		}
		m.mutex.Lock()
		if m.faults.Down {
			return nil, 0, ErrUnavailable
		}
		if ended {
			return nil, int64(len(m.history)), nil
		}
	}
}

// Watch implements Store.
func (m *Memory) Watch(ctx context.Context, prefix string, since int64, changed func(Pair)) error {
	if err := m.enter(ctx, "watch"); err != nil {
		return err
	}
	// Changes are numbered by their place in the history: each one raised the
	// revision by one.
	next := int(min(max(since, 0), int64(len(m.history))))
	for {
		batch := append([]Pair(nil), m.history[next:]...)
		next = len(m.history)
		wait, down, slow := m.changed, m.faults.Down, m.faults.Slow
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
