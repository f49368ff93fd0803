// Package verifier creates and checks SCRAM-SHA-256 password verifiers (RFC 5802) in
// PostgreSQL's format, so that the configuration document holds no passwords and existing
// verifiers can be reused.
package verifier

import (
	"crypto/hmac"
	"crypto/pbkdf2"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

const (
	schemePrefix = "SCRAM-SHA-256$"
	// DefaultIterations is PostgreSQL's default. It limits the rate of password guesses.
	DefaultIterations = 4096
	minIterations     = 4096
	// maxIterations bounds the CPU time of a password check.
	maxIterations = 100000
	saltBytes     = 16
)

// Verifier holds what is needed to check a password without storing it.
type Verifier struct {
	Iterations int
	Salt       []byte
	StoredKey  []byte
	ServerKey  []byte
}

// ErrMalformed means that a text is not a valid SCRAM-SHA-256 verifier.
var ErrMalformed = errors.New("not a SCRAM-SHA-256 verifier")

// New returns a verifier for a password, with a random salt.
func New(password string) (Verifier, error) {
	salt := make([]byte, saltBytes)
	if _, err := rand.Read(salt); err != nil {
		return Verifier{}, errors.Wrap(err, "generate salt")
	}
	return derive(password, salt, DefaultIterations)
}

func derive(password string, salt []byte, iterations int) (Verifier, error) {
	salted, err := pbkdf2.Key(sha256.New, password, salt, iterations, sha256.Size)
	if err != nil {
		return Verifier{}, errors.Wrap(err, "derive key")
	}
	stored := sha256.Sum256(hmacSHA256(salted, "Client Key"))
	return Verifier{Iterations: iterations, Salt: salt, StoredKey: stored[:], ServerKey: hmacSHA256(salted, "Server Key")}, nil
}

func hmacSHA256(key []byte, text string) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(text))
	return h.Sum(nil)
}

// Parse parses the format of String.
func Parse(text string) (Verifier, error) {
	rest, ok := strings.CutPrefix(text, schemePrefix)
	if !ok {
		return Verifier{}, ErrMalformed
	}
	head, tail, ok := strings.Cut(rest, "$")
	count, salt, ok2 := strings.Cut(head, ":")
	stored, server, ok3 := strings.Cut(tail, ":")
	if !ok || !ok2 || !ok3 {
		return Verifier{}, ErrMalformed
	}
	v := Verifier{}
	var err error
	if v.Iterations, err = strconv.Atoi(count); err != nil || v.Iterations < minIterations || v.Iterations > maxIterations {
		return Verifier{}, errors.Wrapf(ErrMalformed, "iterations outside %d to %d", minIterations, maxIterations)
	}
	for _, p := range []struct {
		text string
		to   *[]byte
	}{{salt, &v.Salt}, {stored, &v.StoredKey}, {server, &v.ServerKey}} {
		if *p.to, err = base64.StdEncoding.DecodeString(p.text); err != nil {
			return Verifier{}, ErrMalformed
		}
	}
	if len(v.Salt) == 0 || len(v.StoredKey) != sha256.Size || len(v.ServerKey) != sha256.Size {
		return Verifier{}, ErrMalformed
	}
	return v, nil
}

// String returns "SCRAM-SHA-256$iterations:salt$stored-key:server-key".
func (v Verifier) String() string {
	b := base64.StdEncoding.EncodeToString
	return schemePrefix + strconv.Itoa(v.Iterations) + ":" + b(v.Salt) + "$" + b(v.StoredKey) + ":" + b(v.ServerKey)
}

// Matches reports whether the password is correct, comparing in constant time.
func (v Verifier) Matches(password string) bool {
	got, err := derive(password, v.Salt, v.Iterations)
	return err == nil && hmac.Equal(got.StoredKey, v.StoredKey)
}
