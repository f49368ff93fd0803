package elector

import (
	"context"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

const (
	// observeInterval is how often the primary is asked, and every member while
	// something is out of order. Each question takes a slot for a moment.
	observeInterval = 200 * time.Millisecond
	// calmInterval is how often replicas are asked while all is well.
	calmInterval = 800 * time.Millisecond
	// askTimeout bounds a question, and the opening of a connection for one.
	askTimeout = 400 * time.Millisecond
	// leadTimeout is how long a promotion may take to show: the users' members take
	// 600 to 1,000 ms.
	leadTimeout = 4 * time.Second
	// leadInterval is how often the promoted member is asked meanwhile.
	leadInterval = 40 * time.Millisecond
	// changeTime is how long the duty must still be held when a change begins: for its
	// questions and the first order.
	changeTime = time.Second
	// lateOrders is how long an order without an answer may still be carried out:
	// members do it up to 12 s later.
	lateOrders = 13 * time.Second
	// retryPause is the pause after a change that came to nothing.
	retryPause = 200 * time.Millisecond
	// catchUpTime is how long a candidate may take to reach the log of a primary that
	// has stepped down: a few network trips. Nobody writes meanwhile.
	catchUpTime = 300 * time.Millisecond
	// recordPause is the least time between two records of the roster.
	recordPause = time.Second
	// reportInterval is how often what members say is logged.
	reportInterval = 2 * time.Second
)

type (
	// Keeper watches over one group for as long as this instance has the duty. Set
	// the exported fields, then call Run.
	Keeper struct {
		Group *tracker.Group
		Clock func() tracker.Stamp
		// Members returns all members, those that leave included.
		Members func() []tracker.Member
		// Connect opens a connection to a member.
		Connect func(ctx context.Context, m tracker.Member) (*lender.Conn, error)
		Codec   messenger.MemberCodec
		// Holds reports whether the duty is surely held for that much longer.
		Holds func(d time.Duration) bool
		// Fence returns a fence above all that were used for the group. Roster is
		// recorded with it.
		Fence func(ctx context.Context, roster map[string]string) (int64, error)
		// Roster returns the addresses of the members as recorded last.
		Roster func() map[string]string
		// Spend notes that an order under the newest fence got no answer.
		Spend func()
		// Promote orders a promotion.
		Promote func(ctx context.Context, group, member string, fence int64) error
		// Refused reports whether an error of Promote is a refusal.
		Refused func(error) bool
		// Synchronous is how many replicas hold a commit before it is acknowledged.
		Synchronous func() int
		// Booted is when this process started.
		Booted tracker.Stamp
		// Changed is told that the lead has moved.
		Changed func()
		Log     func(fields ...any)

		links         map[string]*link
		primary       string
		headlessSince tracker.Stamp
		ordered       tracker.Stamp
		// left are the members that have said they leave, or are surely gone: their
		// logs count no more.
		left map[string]bool
		// recorded is when the roster was last written, reported when members were last
		// logged.
		recorded, reported tracker.Stamp
		// uncertain is until when a resumption without an answer may take effect.
		uncertain map[string]tracker.Stamp
	}

	link struct {
		conn *lender.Conn
		// askedAt is when it was last asked.
		askedAt tracker.Stamp
		// gone is set when another member answers at the address.
		gone bool
		Observation
	}
)

var (
	errNoProof   = errors.New("not every replica answers: an acknowledged commit might be lost")
	errNoMember  = errors.New("no member to promote")
	errNotHeld   = errors.New("duty is not surely held")
	errNotLead   = errors.New("the promoted member does not lead")
	errUncertain = errors.New("a replica may be resumed by an order sent before")
)

// Run watches over the group until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	k.links, k.left, k.uncertain = map[string]*link{}, map[string]bool{}, map[string]tracker.Stamp{}
	defer k.closeLinks()
	t := time.NewTicker(observeInterval)
	defer t.Stop()
	for {
		v := k.observe(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		k.report(v)
		k.act(ctx, v)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// report logs what members say of themselves.
func (k *Keeper) report(v View) {
	if v.Now-k.reported < reportInterval {
		return
	}
	k.reported = v.Now
	for _, m := range v.Members {
		k.Log("event", "observed", "group", k.Group.Name, "member", m.ID, "answered", m.Answered, "primary", m.Status.Primary,
			"term", m.Status.Term, "position", m.Status.Received, "lag-ms", m.Status.LagMillis, "busy", m.Status.Busy, "connections", m.Status.Connections)
	}
}

func (k *Keeper) act(ctx context.Context, v View) {
	d := Decide(v)
	if d.Move != ReasonNone {
		start := k.Clock()
		k.Log("event", "move-begins", "group", k.Group.Name, "reason", d.Move, "primary", v.Primary)
		to, err := k.change(ctx, v)
		k.Log("event", "move-ended", "group", k.Group.Name, "reason", d.Move, "from", v.Primary, "to", to,
			"outcome", outcome(err), "ms", (k.Clock() - start).Milliseconds())
		if err != nil {
			_ = sleep(ctx, retryPause)
		}
		return
	}
	for _, id := range d.Resume {
		k.resume(ctx, id)
	}
	k.record(ctx)
}

// record writes the roster when it has changed, for the next holder: a member that
// has vanished may hold acknowledged commits that nobody else has.
func (k *Keeper) record(ctx context.Context) {
	now, roster := k.Clock(), k.roster()
	if maps.Equal(roster, k.Roster()) || now-k.recorded < recordPause {
		return
	}
	k.recorded = now
	_, err := k.Fence(ctx, roster)
	k.Log("event", "roster", "group", k.Group.Name, "members", len(roster), "outcome", outcome(err))
}

func outcome(err error) string {
	if err == nil {
		return "done"
	}
	return err.Error()
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// observe asks all members at once.
func (k *Keeper) observe(ctx context.Context) View {
	members := k.withVanished(k.Members())
	k.forget(members)
	var asked sync.WaitGroup
	for _, m := range members {
		l := k.links[m.ID]
		if l == nil {
			l = &link{}
			k.links[m.ID] = l
		}
		l.Member = m
		if m.Leaving && !m.Missing {
			k.left[m.ID] = true
		}
		if k.due(l) {
			asked.Go(func() { k.ask(ctx, l) })
		}
	}
	asked.Wait()
	for id, l := range k.links {
		if l.gone {
			k.left[id] = true
		}
	}
	return k.view()
}

// due reports whether a member is to be asked now. Replicas that answer need it
// seldom while the primary is well.
func (k *Keeper) due(l *link) bool {
	if l.ID == k.primary || !l.Answered || l.PausedSince != 0 {
		return true
	}
	p := k.links[k.primary]
	calm := p != nil && p.Answered && p.Status.Primary && !p.Leaving && p.OverloadedSince == 0 && l.BehindSince == 0
	return !calm || k.Clock()-l.askedAt >= calmInterval
}

// withVanished adds the members of the roster that are no longer registered and
// have not said that they leave. Such a member may live, cut off from the store, and
// go on acknowledging commits.
func (k *Keeper) withVanished(members []tracker.Member) []tracker.Member {
	known := map[string]bool{}
	for _, m := range members {
		known[m.ID] = true
	}
	all := slices.Clone(members)
	for id, address := range k.Roster() {
		if !known[id] && !k.left[id] {
			all = append(all, tracker.Member{ID: id, Group: k.Group.Name, Address: address, Leaving: true, Missing: true})
		}
	}
	return all
}

// forget drops members that are no longer known.
func (k *Keeper) forget(members []tracker.Member) {
	for id, l := range k.links {
		if !slices.ContainsFunc(members, func(m tracker.Member) bool { return m.ID == id }) {
			l.close()
			delete(k.links, id)
		}
	}
}

func (k *Keeper) view() View {
	now := k.Clock()
	v := View{Now: now, Ordered: k.ordered, Booted: k.Booted}
	if k.primary == "" {
		k.primary = k.Group.Primary()
	}
	var term uint64
	for _, l := range k.links {
		if l.Answered && l.Status.Primary && l.Status.Term > term {
			term, k.primary = l.Status.Term, l.ID
		}
	}
	p := k.links[k.primary]
	for _, l := range k.links {
		if p != nil {
			l.compare(now, p.Status.Received)
		}
		v.Members = append(v.Members, l.Observation)
	}
	switch {
	case p != nil && (!p.Answered || p.Status.Primary):
		k.headlessSince = 0
	case k.headlessSince == 0:
		k.headlessSince = now
	}
	v.Primary, v.HeadlessSince = k.primary, k.headlessSince
	return v
}

// ask asks a member for its status, on the open connection first and then on a
// fresh one: a connection can go silent while the member lives.
func (k *Keeper) ask(ctx context.Context, l *link) {
	asked := k.Clock()
	l.askedAt = asked
	s, err := k.command(ctx, l, messenger.Command{Kind: messenger.KindStatus})
	now := k.Clock()
	var refused *lender.RefusedError
	l.Full = errors.As(err, &refused) && refused.Code == messenger.CodeTooManyConnections
	// When another member has the address, this one is gone.
	l.gone = l.gone || refused != nil && refused.Code == messenger.CodeWrongMember
	if err != nil {
		if l.Answered || l.FailedSince == 0 {
			l.FailedSince = now
		}
		l.Answered, l.Refused = false, errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
		return
	}
	l.noted(now, s)
	if k.Group.Saw(asked, l.ID, s) {
		k.Changed()
	}
}

// noted takes in a member's status.
func (l *link) noted(now tracker.Stamp, s messenger.Status) {
	if s.Received != l.Status.Received {
		l.BehindSince = 0
	}
	switch {
	case s.PausedFor <= s.Term:
		l.PausedSince = 0
	case l.PausedSince == 0:
		l.PausedSince = now
	}
	switch long := queueFactor * max(1, l.Slots); {
	case s.Busy < long:
		l.OverloadedSince = 0
	case l.OverloadedSince == 0:
		l.OverloadedSince = now
	}
	l.Answered, l.Refused, l.Full, l.FailedSince, l.Status = true, false, false, 0, s
}

// compare notes since when the member stands still behind the primary.
func (l *link) compare(now tracker.Stamp, primary orderer.Position) {
	switch {
	case l.Status.Received.AtLeast(primary):
		l.BehindSince = 0
	case l.BehindSince == 0:
		l.BehindSince = now
	}
}

// command sends a command of the keeper's own and decodes the status that answers
// it. Without an answer it is sent once more on a fresh connection.
func (k *Keeper) command(ctx context.Context, l *link, c messenger.Command) (messenger.Status, error) {
	if l.conn != nil {
		if s, err := k.send(l, c); err == nil {
			return s, nil
		}
		l.close()
	}
	return k.commandOnce(ctx, l, c)
}

// commandOnce sends a command on a fresh connection, which stays open.
func (k *Keeper) commandOnce(ctx context.Context, l *link, c messenger.Command) (messenger.Status, error) {
	l.close()
	dial, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	conn, err := k.Connect(dial, l.Member)
	if err != nil {
		return messenger.Status{}, err
	}
	l.conn = conn
	s, err := k.send(l, c)
	if err != nil {
		l.close()
	}
	return s, err
}

func (k *Keeper) send(l *link, c messenger.Command) (messenger.Status, error) {
	replies, _, err := l.conn.Exchange([]messenger.Command{c}, time.Now().Add(askTimeout))
	if err != nil {
		return messenger.Status{}, err
	}
	if replies[0].Code == messenger.CodeBusy {
		// A member without a free slot lives; what it said last still holds.
		if c.Kind == messenger.KindStatus && l.Answered {
			return l.Status, nil
		}
	}
	return k.Codec.Status(replies[0])
}

func (l *link) close() {
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}

func (k *Keeper) closeLinks() {
	for _, l := range k.links {
		l.close()
	}
}

// change moves the lead to the member that holds every acknowledged commit.
//
// A commit is acknowledged once a replica has received it. With all replicas but
// the candidate paused, whatever is acknowledged later is on the candidate. A
// candidate whose log then reaches every paused one holds what was acknowledged
// before as well, since there is one order of commits. So nothing is lost whether
// the old primary is dead, cut off or alive, and it may go on until the new one
// leads.
func (k *Keeper) change(ctx context.Context, v View) (string, error) {
	if !k.Holds(changeTime) {
		return "", errNotHeld
	}
	p := k.links[v.Primary]
	alive := p != nil && p.Answered && p.Status.Primary
	replicas, term := k.replicas(v, alive)
	if len(replicas) == 0 {
		return "", errNoMember
	}
	unproved := k.accounted(replicas)
	if unproved != nil && !alive {
		return "", unproved
	}
	fence, err := k.Fence(ctx, k.roster())
	if err != nil {
		return "", errors.Wrap(err, "fence")
	}
	next := term + 1
	if unproved != nil {
		return k.stepDown(ctx, p, replicas, next, fence)
	}
	if err := k.pause(ctx, replicas[1:], next); err != nil {
		return "", err
	}
	to, err := k.furthest(ctx, replicas, next, alive)
	if err != nil {
		return "", err
	}
	return to.ID, k.lead(ctx, to, next, fence)
}

// stepDown moves the lead from a primary that answers while some replica does not.
// Every acknowledged commit is on the primary. Once it has stepped down none is
// added, so a member whose log reaches its log holds them all. If none does soon,
// the old primary leads again.
func (k *Keeper) stepDown(ctx context.Context, p *link, replicas []*link, next uint64, fence int64) (string, error) {
	i := slices.IndexFunc(replicas, func(l *link) bool { return l.Answered && !l.Leaving && l.PausedSince == 0 })
	if i < 0 {
		return "", errNoMember
	}
	to := replicas[i]
	if to.BehindSince != 0 && k.Clock()-to.BehindSince > catchUpTime {
		return "", errors.Wrapf(errNoProof, "%s does not receive", to.ID)
	}
	s, err := k.command(ctx, p, messenger.Command{Kind: messenger.KindStepDown, Term: next})
	if err != nil {
		return "", errors.Wrap(err, "step down")
	}
	p.noted(k.Clock(), s)
	k.Log("event", "stepped-down", "group", k.Group.Name, "member", p.ID, "term", next, "position", s.Received, "primary", s.Primary)
	if s.Primary {
		return "", errors.Errorf("%s did not step down", p.ID)
	}
	until := time.Now().Add(catchUpTime)
	for !to.Status.Received.AtLeast(p.Status.Received) {
		if time.Now().After(until) {
			k.Log("event", "candidate-behind", "group", k.Group.Name, "member", to.ID, "position", to.Status.Received, "need", p.Status.Received)
			to = p
			break
		}
		if err := sleep(ctx, leadInterval); err != nil {
			return "", err
		}
		k.ask(ctx, to)
	}
	return to.ID, k.lead(ctx, to, next, fence)
}

// replicas returns the members that can be promoted or must be paused, the best
// candidate first, and the newest term seen. While the primary lives, every replica
// that receives is as good as another, and the least late one is best; else the one
// with the furthest log is.
func (k *Keeper) replicas(v View, alive bool) ([]*link, uint64) {
	var term uint64
	var list []*link
	for _, m := range v.Members {
		term = max(term, m.Status.Term, m.Status.Received.Term)
		l := k.links[m.ID]
		// A primary that has stepped down is a replica like the others.
		if (m.ID != v.Primary || m.Answered && !m.Status.Primary) && !l.gone {
			list = append(list, l)
		}
	}
	slices.SortFunc(list, func(a, b *link) int {
		if a.Leaving != b.Leaving {
			if a.Leaving {
				return 1
			}
			return -1
		}
		if alive && a.BehindSince == 0 && b.BehindSince == 0 {
			return int(a.Status.LagMillis - b.Status.LagMillis)
		}
		return b.Status.Received.Compare(a.Status.Received)
	})
	return list, term
}

// accounted reports whether every replica that may hold an acknowledged commit
// answers. Members that have said they leave hand their log on.
func (k *Keeper) accounted(replicas []*link) error {
	if k.Synchronous() == 0 {
		return nil
	}
	for _, l := range replicas {
		if !l.Answered {
			return errors.Wrapf(errNoProof, "%s", l.ID)
		}
		if k.Clock() < k.uncertain[l.ID] {
			return errors.Wrapf(errUncertain, "%s", l.ID)
		}
	}
	return nil
}

// roster lists the members whose logs count, with their addresses.
func (k *Keeper) roster() map[string]string {
	all := map[string]string{}
	for id, l := range k.links {
		if !k.left[id] {
			all[id] = l.Address
		}
	}
	return all
}

// pause stops members from receiving the log until the next term.
func (k *Keeper) pause(ctx context.Context, members []*link, next uint64) error {
	results := make([]error, len(members))
	var asked sync.WaitGroup
	for i, l := range members {
		asked.Go(func() { results[i] = k.pauseOne(ctx, l, next) })
	}
	asked.Wait()
	for _, err := range results {
		if err != nil {
			return err
		}
	}
	return nil
}

func (k *Keeper) pauseOne(ctx context.Context, l *link, next uint64) error {
	s, err := k.command(ctx, l, messenger.Command{Kind: messenger.KindPause, Term: next})
	if err != nil {
		return errors.Wrapf(err, "pause %s", l.ID)
	}
	l.noted(k.Clock(), s)
	k.Log("event", "paused", "group", k.Group.Name, "member", l.ID, "term", next, "position", s.Received, "paused-for", s.PausedFor)
	if s.PausedFor != next {
		return errors.Errorf("pause %s: it is paused for term %d, not %d", l.ID, s.PausedFor, next)
	}
	return nil
}

// furthest returns the member to promote, once the replicas but the first are
// paused: the first, when its log reaches theirs. Otherwise the first is paused too,
// so that no log moves any more, and the one with the furthest log is taken.
func (k *Keeper) furthest(ctx context.Context, replicas []*link, next uint64, alive bool) (*link, error) {
	first := replicas[0]
	var most orderer.Position
	for _, l := range replicas[1:] {
		most = orderer.Max(most, l.Status.Received)
	}
	until := time.Now().Add(catchUpTime)
	for {
		s, err := k.command(ctx, first, messenger.Command{Kind: messenger.KindStatus})
		if err != nil {
			return nil, errors.Wrapf(err, "ask %s", first.ID)
		}
		first.noted(k.Clock(), s)
		if s.Received.AtLeast(most) {
			return first, nil
		}
		if !alive || time.Now().After(until) {
			break
		}
		if err := sleep(ctx, leadInterval); err != nil {
			return nil, err
		}
	}
	if err := k.pauseOne(ctx, first, next); err != nil {
		return nil, err
	}
	best := first
	for _, l := range replicas[1:] {
		if l.Status.Received.Compare(best.Status.Received) > 0 {
			best = l
		}
	}
	return best, nil
}

// lead orders the promotion and waits until it shows.
func (k *Keeper) lead(ctx context.Context, to *link, next uint64, fence int64) error {
	until := time.Now().Add(leadTimeout)
	ordered := false
	for time.Now().Before(until) {
		if !k.Holds(askTimeout) {
			return errNotHeld
		}
		if !ordered {
			k.ordered = k.Clock()
			err := k.Promote(ctx, k.Group.Name, to.ID, fence)
			k.Log("event", "promotion-ordered", "group", k.Group.Name, "member", to.ID, "term", next, "fence", fence, "outcome", outcome(err))
			if err != nil && k.Refused(err) {
				return err
			}
			if err != nil {
				k.Spend()
			}
			ordered = err == nil
		}
		k.ask(ctx, to)
		if to.Answered && to.Status.Primary && to.Status.Term >= next {
			k.primary = to.ID
			return nil
		}
		if err := sleep(ctx, leadInterval); err != nil {
			return err
		}
	}
	return errNotLead
}

// resume has a replica receive again after a change that came to nothing. Without an
// answer the order may take effect later, in the middle of another change, where the
// replica's standstill is relied upon: so no change begins until that is past.
func (k *Keeper) resume(ctx context.Context, id string) {
	l := k.links[id]
	if l == nil || !k.Holds(changeTime) {
		return
	}
	s, err := k.commandOnce(ctx, l, messenger.Command{Kind: messenger.KindResume})
	k.Log("event", "resumed", "group", k.Group.Name, "member", id, "outcome", outcome(err))
	if err != nil {
		k.uncertain[id] = k.Clock() + lateOrders
		return
	}
	l.noted(k.Clock(), s)
}
