package forecaster_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/forecaster"
	"github.com/shoenig/test/must"
)

// start is the begin of the virtual time.
var start = time.Unix(1000, 0)

// Guards against refusing a request that would have started within its objective, while the demand
// is 0.5 to 3 times the capacity and the member is 4 times slower for a while. All requests are kept
// in the replay, so that each decision can be compared with what happened.
func TestRefusedRequestsWouldHaveMissedTheirObjective(t *testing.T) {
	const slots, service, objective, deadline = 6, 11 * time.Millisecond, 320 * time.Millisecond, 600 * time.Millisecond
	refused, late, lateInTime := 0, 0, 0
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		load := 0.5 + 2.5*random.Float64()
		var rate forecaster.DrainRate
		var queue, free []time.Time
		for range slots {
			free = append(free, start)
		}
		verdicts := map[time.Time]forecaster.Verdict{}
		// serve starts the waiting requests whose slot is free before now.
		serve := func(now time.Time) {
			for len(queue) > 0 {
				first := 0
				for i := range free {
					if free[i].Before(free[first]) {
						first = i
					}
				}
				at := free[first]
				if at.After(now) {
					return
				}
				if at.Before(queue[0]) {
					at = queue[0]
				}
				rate.RecordStart(at)
				switch wait := at.Sub(queue[0]); verdicts[queue[0]] {
				case forecaster.Refuse:
					refused++
					must.Greater(t, objective, wait, must.Sprint("seed ", seed, " at ", queue[0].Sub(start)))
				case forecaster.KeepLate:
					late++
					if wait < objective {
						lateInTime++
					}
				}
				queue = queue[1:]
				rate.SetWaiting(at, len(queue))
				took := time.Duration((0.5 + random.Float64()) * float64(service))
				if second := at.Sub(start); second > 2*time.Second && second < 4*time.Second {
					took *= 4
				}
				free[first] = at.Add(took)
			}
		}
		for now := start; now.Sub(start) < 6*time.Second; {
			now = now.Add(time.Duration(random.ExpFloat64() * float64(service) / slots / load))
			serve(now)
			// Beyond this wait a queue with refusals would not grow.
			if len(queue) > int(1.5*deadline.Seconds()/service.Seconds()*slots) {
				continue
			}
			verdicts[now] = forecaster.Decide(
				forecaster.Request{Now: now, LatestStart: now.Add(objective), Deadline: now.Add(deadline)},
				forecaster.Queue{Ahead: len(queue), Rate: rate.PerSecond(now)},
			).Verdict
			queue = append(queue, now)
			rate.SetWaiting(now, len(queue))
		}
	}
	t.Logf("refused %d, late %d, of these in time %d", refused, late, lateInTime)
	must.Positive(t, refused)
	must.Less(t, late/5, lateInTime)
}

// Guards against refusals while the drain rate is unknown, as after a start: the queue may drain in
// time.
func TestUnknownRateKeepsRequests(t *testing.T) {
	var rate forecaster.DrainRate
	rate.SetWaiting(start, 100)
	rate.RecordStart(start.Add(time.Second))
	must.Eq(t, 0, rate.PerSecond(start.Add(time.Second)))
	d := forecaster.Decide(forecaster.Request{Now: start, Deadline: start.Add(time.Millisecond)}, forecaster.Queue{Ahead: 1000})
	must.Eq(t, forecaster.Keep, d.Verdict)
}

// Guards against the idle time of a queue counting against its drain rate.
func TestIdleTimeDoesNotLowerRate(t *testing.T) {
	var rate forecaster.DrainRate
	now := start
	for range 20 {
		for range 10 {
			rate.SetWaiting(now, 1)
			now = now.Add(10 * time.Millisecond)
			rate.RecordStart(now)
			rate.SetWaiting(now, 0)
		}
		now = now.Add(time.Second)
	}
	must.Between(t, 95, rate.PerSecond(now), 105)
}

// Guards against refusing a wait that a failover ends, and against waiting after it.
func TestPrimaryUnknown(t *testing.T) {
	for _, age := range []time.Duration{0, 500 * time.Millisecond, 1500 * time.Millisecond} {
		must.Eq(t, forecaster.Keep, forecaster.DecidePrimaryUnknown(start.Add(age), start).Verdict)
	}
	d := forecaster.DecidePrimaryUnknown(start.Add(2*time.Second), start)
	must.Eq(t, forecaster.Decision{Verdict: forecaster.Refuse, Cause: forecaster.CausePrimaryUnknown, RetryAfter: time.Second, Outage: 2 * time.Second}, d)
}

// Guards against an outage after a lost packet, and against waiting or probing together in one.
func TestPathDown(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var o forecaster.Outage
	o.RecordFailure(start, start)
	must.False(t, o.Down(at(1000)))
	o.RecordFailure(at(200), at(200))
	must.True(t, o.Down(at(200)))
	o.RecordSuccess()
	must.False(t, o.Down(at(300)))
	o.RecordFailure(at(300), at(900)) // without a response
	must.True(t, o.Down(at(900)))
	must.Eq(t, at(300), o.Since())
	must.Eq(t, at(1200), o.NextProbe())
	for _, c := range []struct {
		paths forecaster.Paths
		want  forecaster.Decision
	}{
		{forecaster.Paths{Since: at(300), Failover: true, NextProbe: at(1200)}, forecaster.Decision{}},
		{forecaster.Paths{Since: at(-900), Failover: true, NextProbe: at(1200)}, forecaster.Decision{Verdict: forecaster.Refuse, Cause: forecaster.CausePathDown, RetryAfter: 300 * time.Millisecond, Outage: 1800 * time.Millisecond}},
		{forecaster.Paths{Since: at(300), MayProbe: true}, forecaster.Decision{Verdict: forecaster.Probe}},
		{forecaster.Paths{Since: at(300), Probing: true}, forecaster.Decision{}},
	} {
		must.Eq(t, c.want, forecaster.DecideDown(at(900), c.paths), must.Sprint(fmt.Sprint(c.paths)))
	}
}
