package greeter

import (
	"context"
	"crypto"
	"crypto/tls"
	"io"
	"runtime"

	"github.com/go-faster/errors"
)

type (
	// workLimiter bounds the costly work of start-ups that runs at once: signing for
	// TLS, and checking a password, a millisecond or more of a processor each.
	//
	// It answers the load after a failover or a change at the balancer, when
	// thousands of callers start up while others go on sending. Without it every
	// start-up's work is runnable at once, the scheduler gives each its turn, and
	// a request of a caller that is connected waits behind all of them at each of
	// its hops: docs/design/0031-start-up.md has the figures.
	//
	// Work is let in in the order of arrival; who has waited past its start-up's
	// end is gone, and its work is not done.
	workLimiter chan struct{}

	// signer signs for one start-up, when the gate lets it.
	signer struct {
		crypto.Signer
		ctx context.Context
	}
)

// processorsPerStartUp is how many processors there are for each start-up at work.
// Of 1, 2, 3 and 6 at work on 4 processors, 1 kept the median of others' reads
// near what it is alone; the price is that a wave of start-ups takes longer.
const processorsPerStartUp = 4

// startUpWork is the gate of the process.
var startUpWork = make(workLimiter, max(1, runtime.GOMAXPROCS(0)/processorsPerStartUp))

// errStartUpEnded means that a start-up ended before its turn came.
var errStartUpEnded = errors.New("the start-up ended before its turn came")

// run runs the work when there is room; false when the context ended first.
func (g workLimiter) run(ctx context.Context, work func()) bool {
	select {
	case g <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-g }()
	if ctx.Err() != nil { // both were ready
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

// Certificate returns what a tls.Config takes as GetCertificate: the pair, whose
// key signs when there is room.
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
