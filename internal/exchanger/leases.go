package exchanger

import (
	"context"
	"math"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/linker"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
)

const (
	// leaseTimeout bounds a request for leases, including the handshake.
	leaseTimeout = 300 * time.Millisecond
	// maxLeaseValid bounds the validity of a received lease: a faulty peer must not allow an
	// instance to acknowledge commits long after it was cut off.
	maxLeaseValid = 10 * time.Second
	// MaxLeaseGroups is how many groups a request for leases may name.
	MaxLeaseGroups = 64
)

// LeaseRefusal is the reason why a lease is not granted.
type LeaseRefusal int

const (
	// LeaseGranted means that the lease is granted.
	LeaseGranted LeaseRefusal = iota
	// LeaseNotOwner means that the peer doesn't own the group.
	LeaseNotOwner
	// LeaseUncertain means that the peer can't tell whether it still owns the group, or gives an
	// unknown reason.
	LeaseUncertain
	// LeasePrimarySuspected means that the peer suspects the group's primary and may replace it.
	LeasePrimarySuspected
)

var (
	leaseRefusalNames = [...]string{LeaseGranted: "granted", LeaseNotOwner: "not-owner", LeaseUncertain: "ownership-uncertain", LeasePrimarySuspected: "primary-suspected"}

	errTooManyLeaseGroups = errors.New("request for leases names too many groups")
)

// String returns the refusal's name in logs.
func (r LeaseRefusal) String() string { return leaseRefusalNames[r] }

// GroupLease allows an instance to acknowledge the commits of a group to its callers.
type GroupLease struct {
	Group string
	// Valid counts from the sending of the request, in whole milliseconds; 0 if refused.
	Valid time.Duration
	// Term is the group's term that the lease is for.
	Term    uint64
	Refusal LeaseRefusal
	// Owner is the name of the process that owns the group or was the last to own it, as far as the
	// replying instance knows; "" if it knows none.
	Owner string
}

// RequestLeases requests leases of at most MaxLeaseGroups groups from their owner. Their validity
// counts from a time before the call. The error is ECONNREFUSED if nothing listens on the address.
func (e *Exchanger) RequestLeases(ctx context.Context, address string, groups []string) (leases []GroupLease, err error) {
	var reply *wire.LeaseReply
	err = e.Links.Call(ctx, leaseTimeout, address, func(ctx context.Context, l *linker.Link) (err error) {
		reply, err = wire.NewDRPCNeighboursClient(l.Conn()).RenewLeases(ctx, &wire.LeaseRequest{Groups: groups})
		return err
	})
	if err != nil {
		return nil, err
	}
	wanted := make(map[string]bool, len(groups))
	for _, g := range groups {
		wanted[g] = true
	}
	for _, l := range reply.Leases {
		if wanted[l.Group] {
			leases = append(leases, fromLease(l))
		}
	}
	return leases, nil
}

// renewLeases handles a request for leases.
func (e *Exchanger) renewLeases(r *wire.LeaseRequest) (*wire.LeaseReply, error) {
	if len(r.Groups) > MaxLeaseGroups {
		return nil, errors.Wrapf(errTooManyLeaseGroups, "%d", len(r.Groups))
	}
	reply := &wire.LeaseReply{}
	if len(r.Groups) == 0 {
		return reply, nil
	}
	for _, l := range e.GrantLeases(r.Groups) {
		reply.Leases = append(reply.Leases, toLease(l))
	}
	return reply, nil
}

// toLease rounds the validity down: a lease must not last longer for its holder than for its owner.
func toLease(l GroupLease) *wire.CommitLease {
	w := &wire.CommitLease{Group: l.Group, Term: l.Term, Owner: l.Owner}
	switch l.Refusal {
	case LeaseGranted:
		w.ValidMs = uint32(min(max(0, l.Valid.Milliseconds()), math.MaxUint32))
	case LeaseNotOwner:
		w.Refusal = wire.LeaseRefusal_NOT_OWNER
	case LeasePrimarySuspected:
		w.Refusal = wire.LeaseRefusal_PRIMARY_SUSPECTED
	default:
		w.Refusal = wire.LeaseRefusal_OWNERSHIP_UNCERTAIN
	}
	return w
}

func fromLease(w *wire.CommitLease) GroupLease {
	l := GroupLease{Group: w.Group, Term: w.Term, Owner: w.Owner}
	switch w.Refusal {
	case wire.LeaseRefusal_LEASE_GRANTED:
		l.Valid = min(time.Duration(w.ValidMs)*time.Millisecond, maxLeaseValid)
	case wire.LeaseRefusal_NOT_OWNER:
		l.Refusal = LeaseNotOwner
	case wire.LeaseRefusal_PRIMARY_SUSPECTED:
		l.Refusal = LeasePrimarySuspected
	default:
		l.Refusal = LeaseUncertain
	}
	return l
}
