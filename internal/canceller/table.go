package canceller

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"encoding/binary"
	"hash/fnv"
	"sync"

	"github.com/go-faster/errors"
)

type (
	// Key is what a caller names to cancel its request. The upper half of PID
	// is the tag of the instance that made it, the lower its session.
	Key struct{ PID, Secret uint32 }

	// Session is a caller whose request can be cancelled.
	Session interface {
		// Cancel cancels what the caller waits for now, if anything.
		Cancel(ctx context.Context)
	}

	// Table holds the sessions of one instance. Set the exported fields, then
	// call its methods.
	Table struct {
		// Tag stands in the keys of this instance; see Tag.
		Tag uint16
		// Forwarder reaches the other instances; nil: none.
		Forwarder Forwarder

		mutex    sync.Mutex
		sessions map[uint16]entry
		next     uint16
	}

	entry struct {
		secret  uint32
		session Session
	}
)

// The ways in which a cancel comes to nothing. The caller hears of none, as the
// protocol has no answer to a cancel.
var (
	// ErrFull means that the instance holds as many sessions as keys can name.
	ErrFull = errors.New("no key is free for another session")
	// ErrUnknown means that no session has the key. It may have ended.
	ErrUnknown = errors.New("no session has this key")
)

// Tag returns the tag of an instance, a hash of its name. Two instances may share
// one; the secret still tells their sessions apart, and a cancel is sent to both.
func Tag(instance string) uint16 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(instance))
	n := h.Sum32()
	return uint16(n>>16) ^ uint16(n)
}

// Add gives a session its key; Remove takes it back.
func (t *Table) Add(s Session) (Key, error) {
	var secret [4]byte
	_, _ = rand.Read(secret[:]) // never fails
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.sessions == nil {
		t.sessions = map[uint16]entry{}
	}
	if len(t.sessions) > 0xffff {
		return Key{}, ErrFull
	}
	// Numbers go round before they are used again, so that a cancel that comes
	// late finds nobody.
	for t.next++; t.sessions[t.next].session != nil; t.next++ {
	}
	k := Key{PID: uint32(t.Tag)<<16 | uint32(t.next), Secret: binary.BigEndian.Uint32(secret[:])}
	t.sessions[t.next] = entry{secret: k.Secret, session: s}
	return k, nil
}

// Remove takes back the key of a session that has ended.
func (t *Table) Remove(k Key) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.sessions, uint16(k.PID))
}

// Cancel carries out a caller's cancel, here or on the instance that made the
// key.
func (t *Table) Cancel(ctx context.Context, k Key) error {
	tag := uint16(k.PID >> 16)
	if tag == t.Tag {
		err := t.CancelLocal(ctx, k)
		if err == nil || t.Forwarder == nil {
			return err
		}
	}
	if t.Forwarder == nil {
		return ErrUnknown
	}
	return t.Forwarder.ForwardCancel(ctx, tag, k.PID, k.Secret)
}

// CancelLocal carries out a cancel that another instance has passed on. It goes
// no further, so no cancel can go round.
func (t *Table) CancelLocal(ctx context.Context, k Key) error {
	t.mutex.Lock()
	e := t.sessions[uint16(k.PID)]
	t.mutex.Unlock()
	var a, b [4]byte
	binary.BigEndian.PutUint32(a[:], e.secret)
	binary.BigEndian.PutUint32(b[:], k.Secret)
	if uint16(k.PID>>16) != t.Tag || e.session == nil || subtle.ConstantTimeCompare(a[:], b[:]) != 1 {
		return ErrUnknown
	}
	e.session.Cancel(ctx)
	return nil
}
