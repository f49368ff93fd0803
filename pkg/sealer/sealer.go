// Package sealer creates and verifies session tokens. A token carries the position of a
// session's newest acknowledged write (its floor) to any instance that the client connects
// to. Tokens are authenticated, since a forged floor could delay or fail reads, and
// versioned, since two versions run side by side during an upgrade.
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
	version     = 1
	macBytes    = 16
	minKeyBytes = 16
	// headerBytes is the size of version, key number and length of the service name.
	headerBytes = 3
)

type (
	// Key is a secret shared by the instances of a fleet. Number identifies the key during
	// key rotation.
	Key struct {
		Number uint8
		Secret []byte
	}

	// Sealer seals tokens with its first key and opens tokens of any key.
	Sealer struct {
		Keys []Key
	}
)

// The errors of Open and Validate.
var (
	ErrMalformed    = errors.New("malformed token")
	ErrVersion      = errors.New("unsupported token version")
	ErrForged       = errors.New("token not authenticated by a key of this fleet")
	ErrOtherService = errors.New("token belongs to another service")
	ErrKey          = errors.New("token key: want at least 16 bytes")
)

// Validate returns an error unless there is a key and all keys are long enough.
func (s *Sealer) Validate() error {
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

// Open verifies a token and returns its floor.
func (s *Sealer) Open(service, token string) (orderer.Position, error) {
	b, err := base64.RawURLEncoding.DecodeString(token)
	// The decoder ignores line breaks and trailing bits, but a token has one valid encoding.
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
		return orderer.Position{}, ErrOtherService
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
