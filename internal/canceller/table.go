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
	// Key authorizes cancelling a session's request. The upper 16 bits of PID are the tag of
	// the issuing instance, the lower 16 bits the session number.
	Key struct{ PID, Secret uint32 }

	// Session is a session whose request can be cancelled.
	Session interface {
		// Cancel cancels the session's current request, if any.
		Cancel(ctx context.Context)
	}

	// Table holds the sessions of one instance. The exported fields must be set before use.
	Table struct {
		// Tag is the instance's tag in the keys; see the function Tag.
		Tag uint16
		// Forwarder reaches the other instances; may be nil.
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

// The PostgreSQL protocol has no reply to a cancel request, so the client never sees these
// errors.
var (
	// ErrFull means that all session numbers are in use.
	ErrFull = errors.New("no session number is free")
	// ErrUnknown means that no session has the key; the session may have ended.
	ErrUnknown = errors.New("no session matches the cancel key")
)

// Tag returns the tag of an instance, a hash of its name. If two instances share a tag, the
// secret distinguishes their sessions, and a cancel request is sent to both.
func Tag(instance string) uint16 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(instance))
	n := h.Sum32()
	return uint16(n>>16) ^ uint16(n)
}

// Add registers a session and returns its key.
func (t *Table) Add(s Session) (Key, error) {
	var secret [4]byte
	_, _ = rand.Read(secret[:]) // crypto/rand never returns an error
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.sessions == nil {
		t.sessions = map[uint16]entry{}
	}
	if len(t.sessions) > 0xffff {
		return Key{}, ErrFull
	}
	// Session numbers are reused only after all others, so that a late cancel request matches
	// no new session.
	for t.next++; t.sessions[t.next].session != nil; t.next++ {
	}
	k := Key{PID: uint32(t.Tag)<<16 | uint32(t.next), Secret: binary.BigEndian.Uint32(secret[:])}
	t.sessions[t.next] = entry{secret: k.Secret, session: s}
	return k, nil
}

// Remove invalidates the key of a session that has ended.
func (t *Table) Remove(k Key) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.sessions, uint16(k.PID))
}

// Cancel cancels the request of the session with the key, on this instance or on the one that
// issued the key.
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

// CancelLocal handles a forwarded cancel request. It never forwards it again, which prevents
// loops.
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
