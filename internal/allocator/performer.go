package allocator

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/internal/pooler"
	"github.com/oriolegw/oriolegw/internal/storer"
)

const callTimeout = 3 * time.Second

// errSessionsRemain reports that a target has not closed all sessions yet.
var errSessionsRemain = errors.New("sessions remain at the target")

type (
	// Load is a pool's periodic report.
	Load struct {
		Service string
		Use     pooler.Usage
		// RequestsWaiting is set while requests wait for connections.
		RequestsWaiting bool
	}

	// PoolLimit sets a pool's share.
	PoolLimit struct {
		Service string
		Share   pooler.Share
	}

	// Evict closes all connections of an application at all addresses, and has new ones
	// refused there.
	Evict struct {
		Service     string
		Application string
		Addresses   []string
	}

	// Evicted is the result of Evict; without an error, no connection is left.
	Evicted struct {
		Service     string
		Application string
		Err         error
	}

	register struct {
		process string
		lease   storer.Lease
	}

	registered struct {
		lease storer.Lease
		err   error
	}

	readLedger struct{ service string }

	ledgerRead struct {
		service  string
		ledger   Ledger
		revision int64
		err      error
	}

	writeLedger struct {
		service  string
		revision int64
		ledger   Ledger
	}

	// ledgerWritten holds the ledger after the call, whether this call wrote it or another
	// one did before.
	ledgerWritten struct {
		service  string
		ledger   Ledger
		revision int64
		err      error
	}

	checkProcess struct{ service, process string }

	processChecked struct {
		service, process string
		live             bool
		err              error
	}

	// Performer performs the actions of Slice.
	Performer struct {
		Store storer.Store
		// Network reaches the targets.
		Network networker.Network
		// SetShare sets a pool's share.
		SetShare func(PoolLimit)
	}
)

// EventName implements controller.Event.
func (Load) EventName() string { return "connections-used" }

// ActionName implements controller.Action.
func (PoolLimit) ActionName() string { return "limit-connections" }

// ActionName implements controller.Action.
func (Evict) ActionName() string { return "evict-holder" }

// EventName implements controller.Event.
func (Evicted) EventName() string { return "holder-evicted" }

func (register) ActionName() string      { return "register-process" }
func (registered) EventName() string     { return "process-registered" }
func (readLedger) ActionName() string    { return "read-shares" }
func (ledgerRead) EventName() string     { return "shares-read" }
func (writeLedger) ActionName() string   { return "write-shares" }
func (ledgerWritten) EventName() string  { return "shares-written" }
func (checkProcess) ActionName() string  { return "check-process" }
func (processChecked) EventName() string { return "process-checked" }

// Perform implements controller.Performer.
func (p *Performer) Perform(ctx context.Context, a controller.Action) (controller.Event, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch a := a.(type) {
	case PoolLimit:
		p.SetShare(a)
		return nil, true
	case register:
		return p.register(ctx, a), true
	case readLedger:
		pair, err := p.Store.Get(ctx, ledgerPrefix+a.service)
		e := ledgerRead{service: a.service, revision: pair.Revision, err: err}
		if err == nil {
			e.ledger, e.err = decodeLedger(pair.Value)
		}
		return e, true
	case writeLedger:
		pair, _, err := p.Store.Swap(ctx, storer.Pair{Key: ledgerPrefix + a.service, Value: encodeLedger(a.ledger), Revision: a.revision}, 0)
		e := ledgerWritten{service: a.service, revision: pair.Revision, err: err}
		if err == nil {
			e.ledger, e.err = decodeLedger(pair.Value)
		}
		return e, true
	case checkProcess:
		pair, err := p.Store.Get(ctx, processPrefix+a.process)
		return processChecked{service: a.service, process: a.process, live: pair.Revision != 0, err: err}, true
	case Evict:
		return Evicted{Service: a.Service, Application: a.Application, Err: p.evict(ctx, a)}, true
	}
	return nil, false
}

// register renews the lease, or starts a new one with the process's key.
func (p *Performer) register(ctx context.Context, a register) registered {
	if a.lease != 0 {
		err := p.Store.KeepAlive(ctx, a.lease)
		if !errors.Is(err, storer.ErrLeaseExpired) {
			return registered{lease: a.lease, err: err}
		}
	}
	lease, err := p.Store.Grant(ctx, LeaseDuration)
	if err != nil {
		return registered{err: err}
	}
	key := processPrefix + a.process
	now, ok, err := p.Store.Swap(ctx, storer.Pair{Key: key}, lease)
	if err == nil && !ok { // under an earlier lease whose reply was lost
		_, ok, err = p.Store.Swap(ctx, now, lease)
	}
	if err == nil && !ok {
		err = errors.New("process key changed")
	}
	if err != nil {
		return registered{err: err}
	}
	return registered{lease: lease}
}

// evict first checks that every member responds. During a partition, instances of another zone
// look dead and can't be evicted at their own zone's members; refusing them at the others would
// only cut them off from those when the partition heals.
func (p *Performer) evict(ctx context.Context, a Evict) error {
	for _, address := range a.Addresses {
		if err := commander.Ping(ctx, p.Network, address); err != nil {
			return err
		}
	}
	for _, address := range a.Addresses {
		remain, err := commander.Evict(ctx, p.Network, address, a.Application, 0)
		if err != nil {
			return err
		}
		if remain > 0 {
			return errors.Wrap(errSessionsRemain, address)
		}
	}
	return nil
}
