// Package estimator estimates the rates of events by key, such as the reads of each group. It
// has no clock; its owner calls Decay regularly.
package estimator

import (
	"math"
	"sync"
	"time"
)

const (
	// window is the time over which rates are averaged.
	window = time.Second
	// negligibleRate is the rate per second below which a key is dropped, so that the number of
	// keys follows what is in use.
	negligibleRate = 0.02
)

// Rates estimates events per second by key. The zero value is ready to use. It is safe for
// concurrent use.
type Rates struct {
	mutex  sync.Mutex
	events map[string]float64
}

// Add records n events of a key.
func (r *Rates) Add(key string, n int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.events == nil {
		r.events = map[string]float64{}
	}
	r.events[key] += float64(n)
}

// Decay reduces all rates for the time that has passed since the last call.
func (r *Rates) Decay(elapsed time.Duration) {
	factor := math.Exp(-elapsed.Seconds() / window.Seconds())
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for key, n := range r.events {
		if n *= factor; n < negligibleRate {
			delete(r.events, key)
			continue
		}
		r.events[key] = n
	}
}

// Rate returns a key's events per second.
func (r *Rates) Rate(key string) float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.events[key] / window.Seconds()
}

// AtLeast returns the keys with a rate of at least min per second, in no order.
func (r *Rates) AtLeast(min float64) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var keys []string
	for key, n := range r.events {
		if n/window.Seconds() >= min {
			keys = append(keys, key)
		}
	}
	return keys
}

// Len returns the number of keys that are not negligible.
func (r *Rates) Len() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.events)
}
