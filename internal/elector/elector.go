package elector

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// DutyPrefix is where the duties' records lie in the store.
	DutyPrefix = "oriolegw/duty/"
	// leaseTime is how long a holder that has died keeps its duties: within it nobody
	// moves the lead of its groups. Renewals are tried three times in it, each of
	// which may take 240 ms when the store is slow.
	leaseTime = 2500 * time.Millisecond
	// renewInterval is how often the lease is renewed; a renewal costs a tenth of a
	// read.
	renewInterval = 700 * time.Millisecond
	// leaseMargin is kept at a lease's end for what has been sent meanwhile.
	leaseMargin = 200 * time.Millisecond
	// takeStep is how much later than the one before it each instance in turn tries to
	// take a duty that nobody has: a try is two calls of the store, and most have heard of
	// the new holder within four steps.
	takeStep = 250 * time.Millisecond
	// turnsCounted is how many instances have a turn of their own; the others spread their
	// tries over as much time again, for when those first ones are all dead, or cut off from
	// the store.
	turnsCounted = 8
	// firstPause is how long nobody tries when the whole fleet starts for the first time,
	// some ten seconds before the first callers: until then instances don't know each
	// other. firstStep takes the place of takeStep then, since news is gathered for longer.
	firstPause = 2 * time.Second
	firstStep  = 1500 * time.Millisecond
	// takePause is the least time between two tries of an instance to take a duty.
	takePause = 500 * time.Millisecond
	// tickInterval is how often the duties are looked through while one is free, and
	// restInterval while none is; the lease is renewed with either.
	tickInterval = 50 * time.Millisecond
	restInterval = 200 * time.Millisecond
	// endTimeout bounds the giving back of the lease at the end.
	endTimeout = 300 * time.Millisecond
)

type (
	// Elector takes the duty of watching over groups that nobody else has, one record
	// a group in the store, under one lease. Set the exported fields, then call Run.
	Elector struct {
		Store storer.Store
		Clock func() tracker.Stamp
		// Name is this instance's, a new one for each of its lives.
		Name string
		// FirstStart is set when the whole fleet starts for the first time.
		FirstStart bool
		// Groups lists the groups in force.
		Groups func() []string
		// Turn, when set, says how many instances try to take a group's duty before this
		// one, so that not all do at once. last is the name of the last holder, "" where
		// there was none.
		Turn func(group, last string) int
		// InTouch, when set, reports whether the store answers.
		InTouch func() bool
		// Keep watches over a group until the context ends.
		Keep func(ctx context.Context, group string, d *Duty) error
		Log  func(fields ...any)

		mutex  sync.Mutex
		duties map[string]*duty
		// freed has an element when a duty has lost its holder since the last tick.
		freed chan struct{}
		// began is when Run was called.
		began tracker.Stamp
		lease storer.Lease
		// until is when the lease may have run out; asked when it was last renewed.
		until, asked tracker.Stamp
	}

	// Duty is the charge of one group, as its keeper uses it.
	Duty struct {
		elector *Elector
		group   string
	}

	duty struct {
		record storer.Pair
		held   bool
		// foreign is set while the record is none that an instance can have written. It
		// names no holder: the duty is free, or nobody would ever take it again.
		foreign bool
		// spent is set while a promotion under the newest fence may still be carried
		// out.
		spent bool
		// taking is when this instance tries to take it; 0 until that was decided.
		taking tracker.Stamp
		cancel context.CancelFunc
		ended  chan error
	}

	// Facts are what a holder of a duty leaves to the next one.
	Facts struct {
		// Members gives the address of each member whose log may hold acknowledged
		// commits.
		Members map[string]string
		// Open is set while an order to promote may still be carried out.
		Open bool
		// Lead is who was last seen to lead.
		Lead Lead
	}

	// Lead is a member's leadership: of which term, in which of its lives.
	Lead struct {
		ID   string
		Born int64
		Term uint64
	}

	// record is a duty's value in the store.
	record struct {
		Holder string `json:"holder"`
		// Lease is the one that the record hangs on.
		Lease      int64             `json:"lease"`
		Members    map[string]string `json:"members"`
		Open       bool              `json:"order-open"`
		Leader     string            `json:"leader"`
		LeaderBorn int64             `json:"leader-born"`
		Term       uint64            `json:"term"`
	}
)

// Run takes and keeps duties until the context ends, then gives them back.
func (e *Elector) Run(ctx context.Context) error {
	e.began = e.Clock()
	freed := e.freedDuty()
	for {
		pause := restInterval
		if e.tick(ctx) {
			pause = tickInterval
		}
		select {
		case <-ctx.Done():
			e.end()
			return ctx.Err()
		case <-time.After(pause):
		case <-freed:
		}
	}
}

// freedDuty returns the channel that Saw sends to when a duty has lost its holder.
func (e *Elector) freedDuty() chan struct{} {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.freed == nil {
		e.freed = make(chan struct{}, 1)
	}
	return e.freed
}

// Saw takes in a duty's record as the store has it.
func (e *Elector) Saw(p storer.Pair) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	d := e.duty(strings.TrimPrefix(p.Key, DutyPrefix))
	if p.Revision != 0 && p.Revision <= d.record.Revision {
		return
	}
	if p.Revision == 0 && d.held {
		// The key ends with the lease: whoever has not noticed yet must not act.
		e.drop(p.Key, d, "record-gone")
	}
	if p.Revision == 0 && e.freed != nil {
		select {
		case e.freed <- struct{}{}:
		default:
		}
	}
	e.learn(d, p)
}

// learn takes in a newer record of a duty; the mutex is held. What the members' roster
// was outlives its holder, and whoever else overwrites it.
func (e *Elector) learn(d *duty, p storer.Pair) {
	d.foreign = false
	if _, err := read(p.Value); p.Revision != 0 && err != nil {
		d.foreign = true
		e.Log("event", "duty-record-rejected", "duty", p.Key, "revision", p.Revision, "held", d.held, "cause", err)
	}
	if p.Revision == 0 || d.foreign {
		p.Value = d.record.Value
	}
	d.record = p
}

// own reports whether a record is this instance's under the lease that it has: the
// call that took the duty got no answer, and took effect.
func (e *Elector) own(d *duty) bool {
	// Most instances have no lease: before 20 groups, 20 ticks a second would read 400
	// records for nothing.
	if d.record.Revision == 0 || e.lease == 0 {
		return false
	}
	r := decode(d.record.Value)
	return r.Holder == e.Name && r.Lease == int64(e.lease)
}

// Roster lists the members that a group's record names.
func (e *Elector) Roster(group string) []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.Sorted(maps.Keys(decode(e.duty(group).record.Value).Members))
}

func (e *Elector) duty(group string) *duty {
	if e.duties == nil {
		e.duties = map[string]*duty{}
	}
	d, ok := e.duties[group]
	if !ok {
		d = &duty{}
		e.duties[group] = d
	}
	return d
}

// tick renews the lease and tries to take what is due, and reports whether a duty is free.
func (e *Elector) tick(ctx context.Context) (free bool) {
	e.renew(ctx)
	for _, g := range e.Groups() {
		e.mutex.Lock()
		d := e.duty(g)
		due := e.due(g, d)
		free = free || d.free()
		if !d.held && e.own(d) {
			e.begin(ctx, g, d)
		}
		e.mutex.Unlock()
		if due {
			e.take(ctx, g, d)
		}
	}
	return free
}

// free reports whether nobody has a duty.
func (d *duty) free() bool { return !d.held && (d.record.Revision == 0 || d.foreign) }

// due reports whether this instance is to try to take a duty now; the mutex is held.
//
// Load pattern: the holder of a duty dies, or all instances start together. If each of 295
// tries within 0.3 s, the store gets 590 calls for each of 20 groups at once. In turn, those
// behind the first few hear of the new holder before they try.
func (e *Elector) due(group string, d *duty) bool {
	now := e.Clock()
	if !d.free() || e.FirstStart && now-e.began < firstPause || e.InTouch != nil && !e.InTouch() {
		// A turn that was planned before has passed when the duty is free to be taken.
		d.taking = 0
		return false
	}
	if d.taking == 0 {
		d.taking = now + e.wait(group, d)
	}
	return now >= d.taking
}

// wait is how long to leave a duty without holder to others; the mutex is held.
func (e *Elector) wait(group string, d *duty) time.Duration {
	step := takeStep
	if e.FirstStart && e.Clock()-e.began < turnsCounted*firstStep {
		step = firstStep
	}
	turn := 0
	if e.Turn != nil {
		turn = e.Turn(group, decode(d.record.Value).Holder)
	}
	if turn >= turnsCounted {
		return turnsCounted*step + rand.N(turnsCounted*step)
	}
	return time.Duration(turn)*step + rand.N(step/4)
}

// renew keeps the lease alive while something hangs on it.
func (e *Elector) renew(ctx context.Context) {
	e.mutex.Lock()
	if !e.holdsAny() && e.Clock() > e.until {
		e.lease = 0
	}
	lease, due := e.lease, e.Clock()-e.asked >= renewInterval
	due = due && e.holdsAny()
	e.mutex.Unlock()
	if lease == 0 || !due {
		return
	}
	// The lease runs from the arrival of the call, which is later than this.
	asked := e.Clock()
	err := e.Store.KeepAlive(ctx, lease)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.asked = asked
	switch {
	case err == nil:
		e.until = asked + leaseTime
	case errors.Is(err, storer.ErrLeaseLost) || e.Clock() > e.until:
		e.lease = 0
		for g, d := range e.duties {
			if d.held {
				e.drop(DutyPrefix+g, d, "lease-lost")
			}
		}
	}
}

// holdsAny reports whether this instance has a duty; the mutex is held. Without one, its
// lease is left to run out: where 83 instances share eight duties, 75 of them renewed
// one for nothing, ten times as many calls as the holders made.
func (e *Elector) holdsAny() bool {
	for _, d := range e.duties {
		if d.held {
			return true
		}
	}
	return false
}

// drop gives a duty up; the mutex is held.
func (e *Elector) drop(key string, d *duty, why string) {
	d.held, d.taking = false, 0
	d.cancel()
	e.Log("event", "duty-lost", "duty", key, "why", why, "fence", d.record.Revision)
}

// take tries to become the holder of a duty that nobody has.
func (e *Elector) take(ctx context.Context, group string, d *duty) {
	e.mutex.Lock()
	d.taking = e.Clock() + takePause
	lease, old := e.lease, d.record
	if !d.foreign {
		old.Revision = 0
	}
	e.mutex.Unlock()
	if lease == 0 {
		asked := e.Clock()
		l, err := e.Store.Grant(ctx, leaseTime)
		if err != nil {
			return
		}
		e.mutex.Lock()
		e.lease, e.asked, e.until = l, asked, asked+leaseTime
		lease = l
		e.mutex.Unlock()
	}
	value := e.encode(decode(old.Value), lease)
	now, ok, err := e.Store.Swap(ctx, storer.Pair{Key: DutyPrefix + group, Value: value, Revision: old.Revision}, lease)
	if errors.Is(err, storer.ErrLeaseLost) {
		e.mutex.Lock()
		e.lease = 0
		e.mutex.Unlock()
		return
	}
	if err != nil {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if now.Revision > d.record.Revision {
		e.learn(d, now)
	}
	// A call of ours whose answer was lost may have taken it.
	if (!ok && !e.own(d)) || d.held {
		return
	}
	e.begin(ctx, group, d)
}

// begin has the duty's keeper run; the mutex is held.
func (e *Elector) begin(ctx context.Context, group string, d *duty) {
	d.held = true
	e.Log("event", "duty-taken", "group", group, "fence", d.record.Revision)
	keep, cancel := context.WithCancel(ctx)
	// The duty may be taken again before this keeper has ended.
	ended := make(chan error, 1)
	d.cancel, d.ended = cancel, ended
	go func() { ended <- e.Keep(keep, group, &Duty{elector: e, group: group}) }()
}

// end gives everything back, so that others take over at once.
func (e *Elector) end() {
	e.mutex.Lock()
	lease := e.lease
	e.lease = 0
	var ended []chan error
	for _, d := range e.duties {
		if d.held {
			d.held = false
			d.cancel()
			ended = append(ended, d.ended)
		}
	}
	e.mutex.Unlock()
	for _, c := range ended {
		<-c
	}
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	if err := e.Store.Revoke(ctx, lease); err != nil {
		e.Log("event", "lease-kept", "cause", err)
	}
}
