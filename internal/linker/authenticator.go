package linker

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"github.com/go-faster/errors"
)

type (
	// Secret is a key shared by all instances of a fleet. Instances without a common secret
	// refuse each other.
	Secret struct {
		KeyNumber uint8
		Value     []byte
	}

	// Versions is the range of wire versions that an instance supports.
	Versions struct {
		Oldest, Newest uint32
	}

	// transcript is the handshake data exchanged before authentication, covered by the proofs.
	transcript struct {
		client, server           Versions
		clientNonce, serverNonce []byte
	}

	role string
)

const (
	roleClient role = "client"
	roleServer role = "server"

	nonceBytes = 32
	// proofContext separates the proofs from other uses of the secrets, so that a session token
	// can't be replayed as a proof.
	proofContext = "oriolegw peers"
)

// Errors of the handshake. Retries with the same settings fail again.
var (
	// ErrForeignFleet means that the peer has none of this fleet's keys.
	ErrForeignFleet = errors.New("peer belongs to another fleet")
	// ErrWireVersion means that there is no common wire version.
	ErrWireVersion = errors.New("no common wire version with peer")
)

// CurrentVersions is the range that this build supports.
var CurrentVersions = Versions{Oldest: 1, Newest: 1}

func newNonce() []byte {
	b := make([]byte, nonceBytes)
	_, _ = rand.Read(b) // never returns an error
	return b
}

// negotiate returns the newest common version.
func (v Versions) negotiate(w Versions) (uint32, error) {
	n := min(v.Newest, w.Newest)
	if n < max(v.Oldest, w.Oldest) {
		return 0, errors.Wrapf(ErrWireVersion, "own %d to %d, peer's %d to %d", v.Oldest, v.Newest, w.Oldest, w.Newest)
	}
	return n, nil
}

// chooseSecret returns the common secret with the highest number, so that a new key is used as
// soon as both ends have it.
func chooseSecret(own []Secret, peerKeys []uint32) (Secret, error) {
	best := -1
	for i, s := range own {
		if slices.Contains(peerKeys, uint32(s.KeyNumber)) && (best < 0 || s.KeyNumber > own[best].KeyNumber) {
			best = i
		}
	}
	if best < 0 {
		return Secret{}, errors.Wrap(ErrForeignFleet, "no key number in common")
	}
	return own[best], nil
}

func findSecret(own []Secret, number uint32) (Secret, error) {
	for _, s := range own {
		if uint32(s.KeyNumber) == number {
			return s, nil
		}
	}
	return Secret{}, errors.Wrapf(ErrForeignFleet, "key number %d", number)
}

// prove returns an HMAC of the transcript. It covers both nonces against replay, the role
// against reflection, and the versions against downgrade.
func (s Secret) prove(by role, h transcript) []byte {
	derived := hmac.New(sha256.New, s.Value)
	derived.Write([]byte(proofContext))
	m := hmac.New(sha256.New, derived.Sum(nil))
	m.Write([]byte(by))
	for _, n := range []uint32{h.client.Oldest, h.client.Newest, h.server.Oldest, h.server.Newest} {
		m.Write(binary.BigEndian.AppendUint32(nil, n))
	}
	m.Write(h.clientNonce)
	m.Write(h.serverNonce)
	return m.Sum(nil)
}

func (s Secret) verify(by role, h transcript, proof []byte) error {
	if len(h.clientNonce) != nonceBytes || len(h.serverNonce) != nonceBytes {
		return errors.Wrap(ErrForeignFleet, "wrong nonce length")
	}
	if !hmac.Equal(s.prove(by, h), proof) {
		return errors.Wrapf(ErrForeignFleet, "proof for key number %d does not match", s.KeyNumber)
	}
	return nil
}
