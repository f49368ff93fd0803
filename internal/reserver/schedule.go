package reserver

import (
	"maps"
	"math"
	"time"

	"github.com/oriolegw/oriolegw/internal/limiter"
)

// Schedule explains to operators what waits and is reserved for a customer on this instance.
type Schedule struct {
	Customer string
	// Rate is the operations per second that this instance may run, 0 if unknown, RateByClass its
	// division by class.
	Rate        float64
	RateByClass limiter.Rates
	// Waiting and Reserved are the numbers of waiting operations and of open reservations by class.
	Waiting, Reserved [limiter.Classes]int
	// RetryAfter is what the next refused caller of a class would be told; 0 for a class of which no
	// operation was refused yet.
	RetryAfter [limiter.Classes]time.Duration
	// NextDue is the time until the earliest open reservation can be used, negative without one.
	NextDue time.Duration
}

// Schedules returns the state at now of the customers of which operations wait or capacity is
// reserved. It changes nothing.
func (r *Reserver) Schedules(now limiter.Timestamp) []Schedule {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var list []Schedule
	for customer, q := range r.queues {
		s := r.Meter.Supply(now, customer, q.limit)
		x := Schedule{Customer: customer, Rate: s.Rate, RateByClass: limiter.DividePace(s.Rate, s.Demand), NextDue: math.MaxInt64}
		for _, t := range q.waiting {
			x.Waiting[t.Class]++
		}
		for k := range q.slots {
			slots := &q.slots[k]
			if slots.width == 0 {
				continue
			}
			x.Reserved[k] = slots.due(now, horizon)
			x.NextDue = min(x.NextDue, slots.nextDue(now))
			x.RetryAfter[k] = slots.preview(now, x.RateByClass[k])
		}
		if x.NextDue == math.MaxInt64 {
			x.NextDue = -1
		}
		list = append(list, x)
	}
	return list
}

// preview returns the retry time that reserve would name, without a reservation.
func (x *slots) preview(now limiter.Timestamp, rate float64) time.Duration {
	y := *x
	y.counts = maps.Clone(x.counts)
	at, _ := y.reserve(now, rate, 0, x.width)
	return at - now
}

// nextDue returns the time until the earliest reservation can be used.
func (x *slots) nextDue(now limiter.Timestamp) time.Duration {
	next := time.Duration(math.MaxInt64)
	for slot, count := range x.counts {
		if count > 0 && slot >= x.slot(now) {
			next = min(next, max(0, x.start(slot)-now))
		}
	}
	return next
}
