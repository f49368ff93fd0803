package limiter

import (
	"hash/fnv"
	"math/rand/v2"

	"github.com/oriolegw/oriolegw/internal/identifier"
)

// This file is what an instance knows of one customer, and what it may run without a lease.

// customer is what a Meter knows of one.
type customer struct {
	// tokens are leased until a moment.
	tokens int
	until  Stamp
	// unreported is what has been run and is in no report, sent what is in the one that
	// has not been answered, ran what is in answered ones.
	unreported, sent, ran window
	// waiting is how many operations wait for a lease.
	waiting int
	// demand is how many operations a second were asked for, at a moment.
	demand   float64
	demandAt Stamp
	// tight is until when nothing may be run without a lease.
	tight Stamp
	// refused is until when the accountant is not asked again, having had nothing to
	// lease; more is when it may have.
	refused, more Stamp
	// told is when the report was sent of which the rest is the answer; 0 before one.
	told Stamp
	// part is what may be run a second while this instance is cut off, saved what may be
	// run of it without a lease.
	part    float64
	saved   float64
	savedAt Stamp
	// phase is where between two operations an instance begins that goes by its part;
	// isolated is set while it does.
	phase    float64
	isolated bool
}

// customer returns what is known of a customer, as one that is new where nothing is.
func (m *Meter) customer(now Stamp, name string, limit identifier.Limit) *customer {
	if m.customers == nil {
		m.customers = map[string]*customer{}
	}
	c, ok := m.customers[name]
	if !ok {
		c = &customer{demandAt: now, savedAt: now, phase: m.phase(name)}
		c.saved = c.phase
		if c.phase*float64(m.Instances()) < firstPart*limit.Burst {
			c.saved = 1
		}
		m.customers[name] = c
	}
	return c
}

// phase is evenly spread from 0 to 1 over the instances.
func (m *Meter) phase(customer string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(m.Instance + "/" + customer)) // never fails
	return rand.New(rand.NewPCG(h.Sum64(), m.Run)).Float64()
}

// isolate begins to go by the instance's part, at a moment. Load pattern: all instances go by
// their parts at once, when the accountant falls silent. With an operation saved by each, they
// would run as many as there are in the same moment, many times what a small customer may.
func (c *customer) isolate(at Stamp) {
	c.saved = min(c.saved, c.phase)
	c.savedAt = max(c.savedAt, at)
}

// want counts an operation that is asked for.
func (c *customer) want(now Stamp) {
	c.demand = decayed(c.demand, now-c.demandAt, demandHalf) + demandStep
	c.demandAt = now
}

// demandStep makes a count that halves in demandHalf a rate a second.
var demandStep = 0.6931 / demandHalf.Seconds()

// rate is this instance's part of a customer's limit, in operations a second. One that isn't
// expected to run operations has none before an accountant tells it one.
func (c *customer) rate(limit identifier.Limit, instances int, lends bool) float64 {
	if c.told == 0 && !lends {
		return 0
	}
	if c.told == 0 {
		return evenPart * limit.PerSecond / float64(max(1, instances))
	}
	return min(c.part, limit.PerSecond)
}

// save adds to what this instance may run of its part. Only one that is cut off saves more
// than one operation: together with what is leased, all would run too many at once when the
// accountant dies.
func (c *customer) save(now Stamp, limit identifier.Limit, instances int, lends bool) {
	rate, most := c.rate(limit, instances, lends), 1.0
	if c.isolated {
		most = max(1, rate*isolatedSpan.Seconds())
	}
	c.saved = min(most, c.saved+rate*max(0, now-c.savedAt).Seconds())
	c.savedAt = now
}

// now is the demand at a moment.
func (c *customer) now(now Stamp) float64 { return decayed(c.demand, now-c.demandAt, demandHalf) }

// ended reports whether a customer is asked for no more.
func (c *customer) ended(now Stamp) bool {
	return c.unreported.sum(now) == 0 && c.waiting == 0 && c.now(now) < leastDemand
}
