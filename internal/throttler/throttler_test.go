package throttler_test

import (
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/throttler"
	"github.com/shoenig/test/must"
)

const (
	instances = 83
	slots     = 6
	queueSize = 48
	duration  = 33 * time.Millisecond
	step      = time.Millisecond
	// retryDelay is the delay before the next statement of an instance after a rejection.
	retryDelay = 10 * time.Millisecond
)

// member simulates a member with a bounded queue and several slots, in virtual time.
type member struct {
	// endTimes holds the end times of the accepted statements.
	endTimes []time.Time
	free     [slots]time.Time
}

// submit queues a statement and returns its end time, or rejects it.
func (m *member) submit(now time.Time) (end time.Time, ok bool) {
	pending := m.endTimes[:0]
	for _, e := range m.endTimes {
		if e.After(now) {
			pending = append(pending, e)
		}
	}
	m.endTimes = pending
	if len(m.endTimes) >= slots+queueSize {
		return time.Time{}, false
	}
	first := 0
	for i := range m.free {
		if m.free[i].Before(m.free[first]) {
			first = i
		}
	}
	start := now
	if m.free[first].After(now) {
		start = m.free[first]
	}
	m.free[first] = start.Add(duration)
	m.endTimes = append(m.endTimes, m.free[first])
	return m.free[first], true
}

// instance sends one statement after another.
type instance struct {
	limiter throttler.Throttler
	// readyAt is the earliest time of the next statement.
	readyAt time.Time
}

// counts holds the numbers of executed and rejected statements.
type counts struct{ served, rejected int }

// simulate runs all instances for ten seconds and counts statements after a warm-up of
// two seconds.
func simulate(withThrottler bool) counts {
	start := time.Unix(0, 0)
	var m member
	var t counts
	all := make([]instance, instances)
	for now := start; now.Sub(start) < 10*time.Second; now = now.Add(step) {
		measuring := now.Sub(start) > 2*time.Second
		for i := range all {
			x := &all[i]
			if x.readyAt.After(now) || withThrottler && x.limiter.Delay(now) > 0 {
				continue
			}
			x.limiter.RecordSend(now)
			end, ok := m.submit(now)
			if ok {
				x.readyAt = end
				x.limiter.RecordSuccess()
			} else {
				x.readyAt = now.Add(retryDelay)
				x.limiter.RecordRejection(now)
			}
			if measuring && ok {
				t.served++
			} else if measuring {
				t.rejected++
			}
		}
	}
	return t
}

// The throttler must reduce the rejections of an overloaded member without reducing its
// throughput.
func TestSaturation(t *testing.T) {
	unthrottled, throttled := simulate(false), simulate(true)
	t.Logf("without: %+v, with: %+v", unthrottled, throttled)
	must.Greater(t, 10*unthrottled.served, unthrottled.rejected)
	must.Less(t, throttled.served/3, throttled.rejected)
	must.Greater(t, unthrottled.served*95/100, throttled.served)
}

// The limit is lifted two successes after a single rejection.
func TestRecovery(t *testing.T) {
	var limiter throttler.Throttler
	now := time.Unix(1, 0)
	must.Eq(t, 0, limiter.Delay(now))
	limiter.RecordRejection(now)
	must.Greater(t, 0, limiter.Delay(now))
	limiter.RecordSuccess()
	limiter.RecordSuccess()
	must.Eq(t, 0, limiter.Delay(now))
}

// Rejections of statements that were in flight together count once.
func TestConcurrentRejectionsCountOnce(t *testing.T) {
	var limiter throttler.Throttler
	now := time.Unix(1, 0)
	for range 10 {
		limiter.RecordRejection(now)
	}
	must.LessEq(t, 30*time.Millisecond, limiter.Delay(now))
}
