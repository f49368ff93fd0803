// Package identifier maps clients to client accounts by API key or name. It stores only the
// digests of keys, and does no I/O.
package identifier

import (
	"crypto/sha256"
	"crypto/subtle"
	"maps"
	"slices"
)

// Anonymous is the account of clients on routes that require no key. A configuration cannot
// use this name.
const Anonymous = "-"

// keyLabel is the domain separation prefix of key digests.
const keyLabel = "oriolegw key\x00"

type (
	// Key is the digest of an API key. The key itself is not stored, so that it cannot leak
	// into logs, metrics, messages or memory dumps.
	Key [sha256.Size]byte

	// Limit is the rate limit of an account over the whole fleet. The zero value means
	// unlimited.
	Limit struct {
		// PerSecond is the sustained rate in operations per second, Burst the size of the
		// token bucket in operations.
		PerSecond, Burst float64
	}

	// Customer is a client account, the unit of fair sharing and rate limits.
	Customer struct {
		Name string
		// Share is the weight of the account in fair scheduling.
		Share int
		// Users are the user names, and Keys the digests of the API keys of the account.
		Users []string
		Keys  []Key
		// Priority orders the queued work of accounts; 0 is the highest.
		Priority int
		Limit    Limit
	}

	// Directory is an immutable index of accounts by name and key. It is safe for concurrent
	// use.
	Directory struct {
		byName map[string]*Customer
		byKey  map[Key]*Customer
	}
)

// DigestKey returns the digest of an API key.
func DigestKey(secret []byte) Key {
	h := sha256.New()
	_, _ = h.Write([]byte(keyLabel))
	_, _ = h.Write(secret)
	return Key(h.Sum(nil))
}

// String implements fmt.Stringer. It does not reveal the digest.
func (Key) String() string { return "(key)" }

// Limited reports whether a rate limit is set.
func (l Limit) Limited() bool { return l.PerSecond > 0 }

// NewDirectory returns the directory of a list of accounts. A duplicate key belongs to the
// first of them.
func NewDirectory(list []Customer) *Directory {
	d := &Directory{byName: make(map[string]*Customer, len(list)), byKey: map[Key]*Customer{}}
	for i := range list {
		c := &list[i]
		d.byName[c.Name] = c
		for _, k := range c.Keys {
			if _, exists := d.byKey[k]; !exists {
				d.byKey[k] = c
			}
		}
	}
	return d
}

// ByKey returns the account of a key. Its timing depends only on digests, so it reveals
// nothing about existing keys.
func (d *Directory) ByKey(k Key) (*Customer, bool) {
	c, ok := d.byKey[k]
	if !ok {
		return nil, false
	}
	for _, held := range c.Keys {
		if subtle.ConstantTimeCompare(held[:], k[:]) == 1 {
			return c, true
		}
	}
	return nil, false
}

// ByName returns the account with a name, nil if there is none.
func (d *Directory) ByName(name string) *Customer {
	if d == nil {
		return nil
	}
	return d.byName[name]
}

// All iterates over the accounts in the order of their names.
func (d *Directory) All(yield func(*Customer) bool) {
	if d == nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(d.byName)) {
		if !yield(d.byName[name]) {
			return
		}
	}
}

// Len returns the number of accounts.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.byName)
}
