package limiter

import (
	"hash/fnv"
	"math/rand/v2"

	"github.com/oriolegw/oriolegw/internal/identifier"
)

// customer is an instance's view of one customer.
type customer struct {
	// tokens are leased until leasedUntil.
	tokens      int
	leasedUntil Timestamp
	// unreported counts operations that are in no report yet, inFlight those in the report that
	// awaits a reply, reported those in acknowledged reports.
	unreported, inFlight, reported window
	// waiters is the number of operations that wait for a lease, reserved the number of refused
	// ones that were told to retry within the next second.
	waiters  Counts
	reserved int
	// requestAt is when waiting operations are reported again.
	requestAt Timestamp
	// demand is the requested operations per second as of demandAt.
	// classDemand is the same by class.
	demand      float64
	classDemand Rates
	demandAt    Timestamp
	// pace is this instance's share of the pace in operations per second, 0 if unknown, for the
	// reported demand pacedDemand; cause and withheld are those of the last reply, throttledUntil is until when the customer counts as
	// throttled.
	pace           float64
	pacedDemand    Rates
	cause          Cause
	withheld       float64
	throttledUntil Timestamp
	// leaseRequiredUntil is until when every operation requires a lease.
	leaseRequiredUntil Timestamp
	// refuseUntil is until when operations are refused without asking the accountant, retryAt when
	// it expects to have tokens.
	refuseUntil, retryAt Timestamp
	// grantedAt is when the report was sent whose reply set the lease and fallback rate; 0 without
	// a reply.
	grantedAt Timestamp
	// fallbackRate is the assigned fallback rate in operations per second, fallbackTokens the
	// number of operations that may run without a lease, as of refilledAt.
	fallbackRate   float64
	fallbackTokens float64
	refilledAt     Timestamp
	// phase is the initial fraction of a fallback token, different on each instance; isolated is
	// set while the instance is isolated.
	phase    float64
	isolated bool
}

// customer returns the state of a customer, which is created on first use.
func (m *Meter) customer(now Timestamp, name string, limit identifier.Limit) *customer {
	if m.customers == nil {
		m.customers = map[string]*customer{}
	}
	c, ok := m.customers[name]
	if !ok {
		c = &customer{demandAt: now, refilledAt: now, phase: m.phase(name)}
		c.fallbackTokens = c.phase
		if c.phase*float64(m.Instances()) < startupBurstFraction*limit.Burst {
			c.fallbackTokens = 1
		}
		m.customers[name] = c
	}
	return c
}

// phase returns a number that is uniformly distributed in [0, 1) over the instances.
func (m *Meter) phase(customer string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(m.Instance + "/" + customer)) // never fails
	return rand.New(rand.NewPCG(h.Sum64(), m.Incarnation)).Float64()
}

// enterIsolation starts admission at the fallback rate. All instances become isolated at the same
// time if the accountant fails: it limits each to a fraction of a token, since a whole token on
// each would exceed a small customer's limit.
func (c *customer) enterIsolation(at Timestamp) {
	c.fallbackTokens = min(c.fallbackTokens, c.phase)
	c.refilledAt = max(c.refilledAt, at)
}

// countDemand adds a requested operation to the demand estimate.
func (c *customer) countDemand(now Timestamp, class int) {
	c.demand, c.classDemand, c.demandAt = c.currentDemand(now)+demandStep, c.currentClassDemand(now), now
	c.classDemand[class] += classDemandStep
}

// demandStep is the weight of one operation in the demand estimate: ln 2 / demandHalfLife makes
// the decaying count a rate per second.
var (
	demandStep      = 0.6931 / demandHalfLife.Seconds()
	classDemandStep = 0.6931 / classDemandHalfLife.Seconds()
)

// currentFallbackRate returns this instance's fallback rate in operations per second. An instance
// that isn't expected to run operations has none until an accountant assigns one.
func (c *customer) currentFallbackRate(limit identifier.Limit, instances int, reportExpected bool) float64 {
	if c.grantedAt == 0 && !reportExpected {
		return 0
	}
	if c.grantedAt == 0 {
		return evenShareFraction * limit.PerSecond / float64(max(1, instances))
	}
	return min(c.fallbackRate, limit.PerSecond)
}

// refill adds tokens for the time since the last call. Only isolated instances accumulate more
// than one: together with outstanding leases, all instances would exceed the limit when the
// accountant fails.
func (c *customer) refill(now Timestamp, limit identifier.Limit, instances int, reportExpected bool) {
	rate, maxTokens := c.currentFallbackRate(limit, instances, reportExpected), 1.0
	if c.isolated {
		maxTokens = max(1, rate*fallbackBurstSpan.Seconds())
	}
	c.fallbackTokens = min(maxTokens, c.fallbackTokens+rate*max(0, now-c.refilledAt).Seconds())
	c.refilledAt = now
}

// currentDemand returns the demand estimate at now.
func (c *customer) currentDemand(now Timestamp) float64 {
	return decayed(c.demand, now-c.demandAt, demandHalfLife)
}

// currentClassDemand returns the demand estimate at now by class.
func (c *customer) currentClassDemand(now Timestamp) Rates {
	return c.classDemand.decayed(now-c.demandAt, classDemandHalfLife)
}

// relinquishes reports whether the instance returns its unused tokens with the next report: while
// the customer is throttled, operations on other instances wait for them.
func (c *customer) relinquishes(now Timestamp) bool {
	return now < c.throttledUntil && c.tokens > 0 && now < c.leasedUntil && c.waiters.Total() == 0
}

// inactive reports whether the customer has no recent operations and none waiting.
func (c *customer) inactive(now Timestamp) bool {
	return c.unreported.sum(now) == 0 && c.waiters.Total() == 0 && c.currentDemand(now) < minDemand
}
