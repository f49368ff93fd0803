package acceptor

import (
	"context"
	"crypto"
	"crypto/tls"
	"io"
	"runtime"

	"github.com/go-faster/errors"
)

type (
	// workLimiter limits how many start-ups run CPU-intensive work at once, which is signing
	// for TLS and checking a password. Without it a burst of start-ups, as after a
	// failover, delays the requests of connected clients
	// (docs/design/0031-start-up.md). Work is admitted in the order of arrival and
	// dropped when its start-up has ended.
	workLimiter chan struct{}

	// signer is the private key for the TLS handshake of one start-up. Signing is limited by
	// startUpWork.
	signer struct {
		crypto.Signer
		ctx context.Context
	}
)

// processorsPerStartUp is the number of processors per concurrent start-up.
const processorsPerStartUp = 4

// startUpWork is the limiter of the process.
var startUpWork = make(workLimiter, max(1, runtime.GOMAXPROCS(0)/processorsPerStartUp))

// errStartUpEnded means that a start-up ended before its work was admitted.
var errStartUpEnded = errors.New("start-up ended while waiting for CPU time")

// run runs the work once it is admitted. It returns false if the context ended first.
func (l workLimiter) run(ctx context.Context, work func()) bool {
	select {
	case l <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-l }()
	if ctx.Err() != nil { // both cases of the select were ready
		return false
	}
	work()
	return true
}

// Sign implements crypto.Signer.
func (s signer) Sign(random io.Reader, digest []byte, o crypto.SignerOpts) (out []byte, err error) {
	if !startUpWork.run(s.ctx, func() { out, err = s.Signer.Sign(random, digest, o) }) {
		return nil, errStartUpEnded
	}
	return out, err
}

// Certificate returns a GetCertificate function for a tls.Config that limits concurrent
// signing.
func Certificate(pair tls.Certificate) func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	key, ok := pair.PrivateKey.(crypto.Signer)
	return func(hello *tls.ClientHelloInfo) (*tls.Certificate, error) {
		if !ok {
			return &pair, nil
		}
		c := pair
		c.PrivateKey = signer{Signer: key, ctx: hello.Context()}
		return &c, nil
	}
}
