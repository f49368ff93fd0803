// Package sealer writes and checks session tokens. A token carries a session's
// floor, the position of its newest acknowledged write, to whatever instance the
// caller reaches next. It is authenticated, since a caller that forged a floor
// could make reads wait or be refused, and versioned, since instances of two
// versions run side by side during an upgrade.
package sealer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

const (
	version  = 1
	macBytes = 16
	minKeyBytes   = 16
	// headerBytes: version, key number, length of the service's name.
	headerBytes = 3
)

type (
	// Key is a secret that the instances of a fleet share. Number tells keys
	// apart while one replaces another.
	Key struct {
		Number uint8
		Secret []byte
	}

	// Sealer seals with its first key and opens with any.
	Sealer struct {
		Keys []Key
	}
)

// The ways in which a token is refused.
var (
	ErrMalformed = errors.New("malformed token")
	ErrVersion   = errors.New("token of an unknown version")
	ErrForged    = errors.New("token not sealed by this fleet")
	ErrForeign   = errors.New("token of another service")
	ErrKey       = errors.New("token key: want at least 16 bytes")
)

// Check reports whether the keys can be used.
func (s *Sealer) Check() error {
	if len(s.Keys) == 0 {
		return errors.Wrap(ErrKey, "no key")
	}
	for _, k := range s.Keys {
		if len(k.Secret) < minKeyBytes {
			return ErrKey
		}
	}
	return nil
}

// Seal returns the token for a session of the service with the given floor.
func (s *Sealer) Seal(service string, floor orderer.Position) string {
	k := s.Keys[0]
	b := make([]byte, 0, headerBytes+len(service)+16+macBytes)
	b = append(b, version, k.Number, uint8(len(service)))
	b = append(b, service...)
	b = binary.BigEndian.AppendUint64(b, floor.Term)
	b = binary.BigEndian.AppendUint64(b, floor.Offset)
	return base64.RawURLEncoding.EncodeToString(append(b, mac(k.Secret, b)...))
}

// Open checks a token and returns its floor.
func (s *Sealer) Open(service, token string) (orderer.Position, error) {
	b, err := base64.RawURLEncoding.DecodeString(token)
	// The decoder passes over line breaks and spare bits; a token has one form.
	if err != nil || len(b) < 1 || base64.RawURLEncoding.EncodeToString(b) != token {
		return orderer.Position{}, ErrMalformed
	}
	if b[0] != version {
		return orderer.Position{}, ErrVersion
	}
	if len(b) < headerBytes || len(b) != headerBytes+int(b[2])+16+macBytes {
		return orderer.Position{}, ErrMalformed
	}
	body, sum := b[:len(b)-macBytes], b[len(b)-macBytes:]
	if !s.authentic(b[1], body, sum) {
		return orderer.Position{}, ErrForged
	}
	if string(body[headerBytes:headerBytes+int(b[2])]) != service {
		return orderer.Position{}, ErrForeign
	}
	n := body[headerBytes+int(b[2]):]
	return orderer.Position{Term: binary.BigEndian.Uint64(n), Offset: binary.BigEndian.Uint64(n[8:])}, nil
}

func (s *Sealer) authentic(number uint8, body, sum []byte) bool {
	for _, k := range s.Keys {
		if k.Number == number && hmac.Equal(sum, mac(k.Secret, body)) {
			return true
		}
	}
	return false
}

func mac(secret, body []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(body)
	return h.Sum(nil)[:macBytes]
}
