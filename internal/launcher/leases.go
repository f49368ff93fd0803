package launcher

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/discoverer"
	"github.com/oriolegw/oriolegw/internal/elector"
	"github.com/oriolegw/oriolegw/internal/exchanger"
	"github.com/oriolegw/oriolegw/internal/leaser"
	"github.com/oriolegw/oriolegw/internal/ranker"
	"github.com/oriolegw/oriolegw/internal/sleeper"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// storeLeaseDelay is how long the owner may take to reply before the store is read as well.
	storeLeaseDelay = 100 * time.Millisecond
	// storeLeaseTimeout bounds reading a group's state from the store.
	storeLeaseTimeout = 300 * time.Millisecond
	// maxCandidates is the number of instances that a group's state names as its next owners, apart from
	// its present one.
	maxCandidates = 8
	// candidateFailureLimit is how long a peer may fail to respond before it is no longer named.
	candidateFailureLimit = 10 * time.Second
	// denialInterval is the time between two questions to the candidates of groups that this instance
	// may have lost, uncertaintyCheckInterval that between two checks for such groups.
	denialInterval           = 200 * time.Millisecond
	uncertaintyCheckInterval = 400 * time.Millisecond
)

var (
	errLeaseRefused   = errors.New("commit lease refused")
	errUnknownOwner   = errors.New("owner of the group is unknown")
	errPrimarySuspect = errors.New("primary may be about to be replaced")
)

// denials are the replies of instances that they know of no later owner of groups than this process.
type denials struct {
	mutex sync.Mutex
	at    map[string]map[string]tracker.Timestamp
}

// record records that an instance, asked at a time, knew of no later owner of a group.
func (d *denials) record(instance, group string, at tracker.Timestamp) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.at == nil {
		d.at = map[string]map[string]tracker.Timestamp{}
	}
	if d.at[instance] == nil {
		d.at[instance] = map[string]tracker.Timestamp{}
	}
	d.at[instance][group] = at
}

// deniedAt implements elector.Elector's DeniedAt.
func (d *denials) deniedAt(instance, group string) tracker.Timestamp {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.at[instance][group]
}

// newLeaser returns the holder of the commit lease of a group.
func (i *Instance) newLeaser(group string) *leaser.Leaser {
	return &leaser.Leaser{
		Clock: i.Clock,
		Renew: func(ctx context.Context) (leaser.Lease, error) { return i.renewLease(ctx, group) },
		Log: func(fields ...any) {
			i.stateLog.Log(append(fields, "group", group)...)
		},
	}
}

// needsLease reports whether commits of a group are acknowledged under a lease. Without synchronous
// replicas, any change of the primary may lose them; without a promotion address, there are no changes.
func (i *Instance) needsLease(group string) bool {
	c := i.configuration.Load()
	return c != nil && c.Groups[group].SyncReplicas > 0 && i.Settings.PromotionAddress != ""
}

// renewLease obtains a commit lease from the owner of a group or, if that doesn't grant one in time, from
// the group's state in the store. A new owner grants none before it has polled the primary.
func (i *Instance) renewLease(ctx context.Context, group string) (leaser.Lease, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		lease leaser.Lease
		err   error
	}
	results := make(chan result, 2)
	request := func(source func(context.Context, string) (leaser.Lease, error)) {
		lease, err := source(ctx, group)
		results <- result{lease, err}
	}
	go request(i.leaseFromOwner)
	delay := time.NewTimer(storeLeaseDelay)
	defer delay.Stop()
	storeAsked := false
	var last error
	for pending := 1; pending > 0; {
		select {
		case r := <-results:
			pending--
			if r.err == nil {
				return r.lease, nil
			}
			last = errors.Join(last, r.err)
		case <-delay.C:
		}
		if !storeAsked {
			storeAsked = true
			pending++
			go request(i.leaseFromStore)
		}
	}
	return leaser.Lease{}, last
}

// leaseFromOwner requests a commit lease from the owner of a group.
func (i *Instance) leaseFromOwner(ctx context.Context, group string) (leaser.Lease, error) {
	owner := instanceOfOwner(i.elector.LastOwner(group))
	requestedAt := i.Clock()
	var reply exchanger.GroupLease
	switch address := i.addressOf(owner); {
	case owner == i.Settings.Name:
		reply = i.grantLeases([]string{group})[0]
	case address == "":
		return leaser.Lease{}, errUnknownOwner
	default:
		replies, err := i.peers.exchanger.RequestLeases(ctx, address, []string{group})
		if err != nil {
			return leaser.Lease{}, err
		}
		if len(replies) != 1 {
			return leaser.Lease{}, errLeaseRefused
		}
		reply = replies[0]
	}
	switch {
	case reply.Refusal == exchanger.LeasePrimarySuspected:
		return leaser.Lease{}, errors.Wrapf(errPrimarySuspect, "owner %s", owner)
	case reply.Refusal != exchanger.LeaseGranted || reply.Valid <= 0:
		return leaser.Lease{}, errors.Wrapf(errLeaseRefused, "owner %s: %s", owner, reply.Refusal)
	}
	return leaser.Lease{Term: reply.Term, ExpiresAt: requestedAt + min(reply.Valid, elector.CommitLeaseTTL)}, nil
}

// leaseFromStore reads the group's state from the store. An owner that is about to replace a primary
// without demoting it records that first, and waits until leases that were read before have expired.
func (i *Instance) leaseFromStore(ctx context.Context, group string) (leaser.Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, storeLeaseTimeout)
	defer cancel()
	requestedAt := i.Clock()
	p, err := i.Platform.Store.Get(ctx, elector.StatePrefix+group)
	if err != nil {
		return leaser.Lease{}, errors.Wrap(err, "read the group's state")
	}
	term, refusal := elector.LeaseFromState(p.Value)
	switch refusal {
	case elector.LeaseGranted:
		return leaser.Lease{Term: term, ExpiresAt: requestedAt + elector.CommitLeaseTTL}, nil
	case elector.LeasePrimarySuspected:
		return leaser.Lease{}, errors.Wrap(errPrimarySuspect, "the group's state")
	}
	return leaser.Lease{}, errors.Wrap(errLeaseRefused, "the group's state")
}

// grantLeases answers a request for commit leases.
func (i *Instance) grantLeases(groups []string) []exchanger.GroupLease {
	replies := make([]exchanger.GroupLease, 0, len(groups))
	for _, g := range groups {
		r := i.elector.GrantLease(g)
		reply := exchanger.GroupLease{Group: g, Term: r.Term, Owner: r.Owner}
		switch r.Refusal {
		case elector.LeaseGranted:
			reply.Valid = elector.CommitLeaseTTL
		case elector.LeaseNotOwner:
			reply.Refusal = exchanger.LeaseNotOwner
		case elector.LeasePrimarySuspected:
			reply.Refusal = exchanger.LeasePrimarySuspected
		default:
			reply.Refusal = exchanger.LeaseUncertain
		}
		replies = append(replies, reply)
	}
	return replies
}

// addressOf returns the address of a known instance, "" if it isn't known.
func (i *Instance) addressOf(instance string) string {
	if i.peers == nil || instance == "" {
		return ""
	}
	known := i.peers.exchanger.Discoverer.AllKnown()
	n := slices.IndexFunc(known, func(p discoverer.Peer) bool { return p.Name == instance })
	if n < 0 {
		return ""
	}
	return known[n].Address
}

// ownerCandidates returns the instances that may be the next owner of a group, sorted: this one and at
// most maxCandidates of the other known ones, from each availability zone in turn.
func (i *Instance) ownerCandidates(group string) []string {
	names := []string{i.Settings.Name}
	if i.peers == nil {
		return names
	}
	d, now := i.peers.exchanger.Discoverer, i.Clock()
	byZone := map[string][]string{}
	var zones []string
	key := elector.OwnershipPrefix + group
	for _, p := range ranker.Rank(key, d.AllKnown(), func(p discoverer.Peer) string { return p.Name }) {
		if failing, since := d.Failing(p.Name); p.Name == i.Settings.Name || failing && now-since > candidateFailureLimit {
			continue
		}
		if byZone[p.Zone] == nil {
			zones = append(zones, p.Zone)
		}
		byZone[p.Zone] = append(byZone[p.Zone], p.Name)
	}
	for n := 0; ; n++ {
		before := len(names)
		for _, z := range zones {
			if n < len(byZone[z]) && len(names) <= maxCandidates {
				names = append(names, byZone[z][n])
			}
		}
		if len(names) == before {
			break
		}
	}
	slices.Sort(names)
	return names
}

// confirmUnclaimed asks the candidates of the groups that this instance may have lost who owns them, until
// the context ends.
func (i *Instance) confirmUnclaimed(ctx context.Context) error {
	for {
		groups := i.elector.UncertainGroups()
		pause := denialInterval
		if len(groups) == 0 {
			pause = uncertaintyCheckInterval
		}
		i.askCandidates(ctx, groups)
		if err := sleeper.Sleep(ctx, pause); err != nil {
			return err
		}
	}
}

// askCandidates asks the candidates of groups who owns these.
func (i *Instance) askCandidates(ctx context.Context, groups map[string][]string) {
	questions := map[string][]string{}
	for group, candidates := range groups {
		for _, name := range candidates {
			questions[name] = append(questions[name], group)
		}
	}
	var requests sync.WaitGroup
	for name, asked := range questions {
		address := i.addressOf(name)
		if address == "" || name == i.Settings.Name {
			continue
		}
		for batch := range slices.Chunk(asked, exchanger.MaxLeaseGroups) {
			requests.Go(func() { i.askCandidate(ctx, name, address, batch) })
		}
	}
	requests.Wait()
}

// askCandidate asks an instance who owns groups. A refused connection isn't a denial, since the instance
// may be cut off from this one only.
func (i *Instance) askCandidate(ctx context.Context, name, address string, groups []string) {
	askedAt := i.Clock()
	replies, err := i.peers.exchanger.RequestLeases(ctx, address, groups)
	if err != nil {
		return
	}
	for _, r := range replies {
		if r.Owner == i.elector.Name {
			i.denials.record(name, r.Group, askedAt)
		}
	}
}
