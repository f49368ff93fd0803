package elector

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/pauser"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// observeInterval is how often the primary is asked, and every member while
	// something is out of order. Each question takes a slot for a moment.
	observeInterval = 200 * time.Millisecond
	// calmInterval is how often replicas are asked while all is well.
	calmInterval = 800 * time.Millisecond
	// askTimeout bounds a question, and the opening of a connection for one.
	askTimeout = 300 * time.Millisecond
	// retryPause is the pause after a change that came to nothing.
	retryPause = 200 * time.Millisecond
	// recordPause is the least time between two records of the roster.
	recordPause = time.Second
	// reportInterval is how often what members say is logged.
	reportInterval = 2 * time.Second
	// lifeMark stands between a member's ID and the start of a life that is over. No ID
	// has it.
	lifeMark = "~"
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
		// Fence returns a fence above all that were used for the group, and records facts
		// with it; Facts returns what was recorded last.
		Fence func(ctx context.Context, f Facts) (int64, error)
		Facts func() Facts
		// Spend notes that an order under the newest fence got no answer.
		Spend func()
		// Promote orders a promotion.
		Promote func(ctx context.Context, group, member string, fence int64) error
		// Refused reports whether an error of Promote is a refusal.
		Refused func(error) bool
		// Synchronous is how many replicas hold a commit before it is acknowledged.
		Synchronous func() int
		// Connections is how many connections a member takes from all instances, 0 when
		// that isn't known.
		Connections func() int
		// Booted is when this process started.
		Booted tracker.Stamp
		// Changed is told that the lead has moved.
		Changed func()
		Log     func(fields ...any)

		links           map[string]*link
		primary         string
		leaderlessSince tracker.Stamp
		ordered         tracker.Stamp
		// left are the members that have said they leave, or whose address another has:
		// they are gone once they are no longer registered.
		left map[string]bool
		// earlier are the addresses of members' lives that are over, and may have
		// acknowledged commits that are nowhere else; see earlierLife.
		earlier map[string]string
		// known are those that are registered.
		known map[string]bool
		// countedOut are members that are gone and whose every commit others hold.
		countedOut map[string]bool
		// recorded is when the roster was last written, reported when members were last
		// logged.
		recorded, reported tracker.Stamp
		// unrecorded is set when there is more to record than the roster.
		unrecorded bool
		// led is who was last seen to lead.
		led Lead
		// open is set while an order to promote may still be carried out late.
		open bool
		// movePause is the least time between two moves for load, relieved when the last
		// one was.
		movePause time.Duration
		relieved  tracker.Stamp
		// movedBack is when a change last gave the lead back to the old primary.
		movedBack tracker.Stamp
		// closed is when the last order was sent that was to close others.
		closed tracker.Stamp
		// uncertain is until when a resumption without an answer may take effect.
		uncertain map[string]tracker.Stamp
	}
)

// Run watches over the group until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	k.links, k.uncertain = map[string]*link{}, map[string]tracker.Stamp{}
	k.left, k.countedOut, k.earlier = map[string]bool{}, map[string]bool{}, map[string]string{}
	recorded := k.Facts()
	k.open, k.led = recorded.Open, recorded.Lead
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

// act does what Decide says, one thing a round.
func (k *Keeper) act(ctx context.Context, v View) {
	d := Decide(v)
	if d.Move != ReasonNone && v.Now-k.closed < closeTime {
		k.Log("event", "move-waits", "group", k.Group.Name, "reason", d.Move, "for", "the order that closed others")
		return
	}
	if k.movedBack != 0 && v.Now-k.movedBack < moveBackPause && d.Move.primaryLives() {
		return
	}
	if d.Move != ReasonNone {
		k.spaceMoves(d.Move)
		start := k.Clock()
		k.Log("event", "move-begins", "group", k.Group.Name, "reason", d.Move, "primary", v.Primary)
		to, err := k.change(ctx, v, d.Move)
		k.Log("event", "move-ended", "group", k.Group.Name, "reason", d.Move, "from", v.Primary, "to", to,
			"outcome", outcome(err), "ms", (k.Clock() - start).Milliseconds())
		if err != nil {
			_ = pauser.Pause(ctx, retryPause)
		}
		return
	}
	if k.open {
		k.closeOrder(ctx)
	}
	if !k.open {
		for _, id := range d.Resume {
			k.resume(ctx, id)
		}
	}
	k.record(ctx)
}

// spaceMoves sets the pause after a move for load.
func (k *Keeper) spaceMoves(r Reason) {
	if r != ReasonOverloaded {
		return
	}
	now := k.Clock()
	if k.relieved != 0 && now-k.relieved < 2*k.movePause {
		k.movePause = min(4*k.movePause, lastMovePause)
	} else {
		k.movePause = firstMovePause
	}
	k.relieved = now
}

// record writes the roster when it has changed, for the next holder: a member that
// has vanished may hold acknowledged commits that nobody else has.
func (k *Keeper) record(ctx context.Context) {
	now, roster := k.Clock(), k.roster()
	if maps.Equal(roster, k.Facts().Members) && !k.unrecorded || now-k.recorded < recordPause {
		return
	}
	k.recorded, k.unrecorded = now, false
	_, err := k.Fence(ctx, Facts{Members: roster, Open: k.open, Lead: k.led})
	k.Log("event", "roster", "group", k.Group.Name, "members", len(roster), "outcome", outcome(err))
}

func outcome(err error) string {
	if err == nil {
		return "done"
	}
	return err.Error()
}

// observe asks all members at once.
func (k *Keeper) observe(ctx context.Context) View {
	k.list()
	// Who is due depends on what the primary said, which its answer changes.
	var due []*link
	for _, l := range k.links {
		if k.due(l) {
			due = append(due, l)
		}
	}
	var asked sync.WaitGroup
	for _, l := range due {
		asked.Go(func() { k.ask(ctx, l) })
	}
	asked.Wait()
	v := k.view()
	k.countOut()
	return v
}

// leads takes in who leads.
func (k *Keeper) leads(l Lead) {
	if l != k.led && l.Term >= k.led.Term {
		k.led, k.unrecorded = l, true
	}
}

// list takes in who the members are now, and returns those that are new.
func (k *Keeper) list() []*link {
	registered := k.Members()
	k.known = map[string]bool{}
	for _, m := range registered {
		k.known[m.ID] = true
	}
	members := k.withVanished(registered)
	k.forget(members)
	var joined []*link
	for _, m := range members {
		l := k.links[m.ID]
		if l != nil && m.Born > l.Born && l.Born != 0 {
			k.restarted(l)
			l = nil
		}
		if l == nil {
			l = &link{}
			k.links[m.ID] = l
			k.countIn(m.ID)
			joined = append(joined, l)
		}
		l.Member, l.places = m, k.Connections()
		if m.Leaving && !m.Missing {
			k.left[m.ID] = true
		}
	}
	return joined
}

// due reports whether a member is to be asked now. Replicas that answer need it
// seldom while the primary is well.
func (k *Keeper) due(l *link) bool {
	if isEarlierLife(l.ID) {
		return false
	}
	if l.ID == k.primary || !l.Answered || l.PausedSince != 0 {
		return true
	}
	p := k.links[k.primary]
	calm := p != nil && p.Answered && p.Status.Primary && !p.Leaving && p.OverloadedSince == 0 && l.BehindSince == 0
	return !calm || k.Clock()-l.askedAt >= calmInterval
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
	v := View{Now: now, Ordered: k.ordered, Booted: k.Booted, MovePause: k.movePause}
	if k.primary == "" {
		k.primary = k.Group.Primary()
	}
	before := k.primary
	var term uint64
	for _, l := range k.links {
		if l.Answered && l.Status.Primary && l.Status.Term > term {
			term, k.primary = l.Status.Term, l.ID
			k.leads(Lead{ID: l.ID, Born: l.Born, Term: l.Status.Term})
		}
	}
	p := k.links[k.primary]
	for _, l := range k.links {
		if k.primary != before {
			// Whom the replicas stood still behind leads no more.
			l.BehindSince = 0
		} else if p != nil {
			l.compare(p.Status.Received)
			l.cover(p)
		}
		v.Members = append(v.Members, l.Observation)
	}
	switch {
	case p != nil && (!p.Answered || p.Status.Primary):
		k.leaderlessSince = 0
	case k.leaderlessSince == 0:
		k.leaderlessSince = now
	}
	v.Primary, v.LeaderlessSince = k.primary, k.leaderlessSince
	return v
}
