package admitter

import (
	"slices"
	"time"
)

const (
	// startLimit is the limit of a target that is new or has come back. Load on
	// it grows by one request a window, so a cold cache is met gently.
	startLimit = 2
	// windowSamples ends a window; windowLength ends a slack one.
	windowSamples = 16
	windowLength  = 500 * time.Millisecond
	// Between growBelow and shrinkAbove times the usual latency the limit rests.
	// The gap is the hysteresis: a target at its knee gives 1.5 to 2 times its
	// unloaded latency (one request waits for one slot), and a limit that moved
	// on that would swing forever.
	growBelow   = 1.5
	shrinkAbove = 2.0
	// slack is added to both, for latencies so small that jitter doubles them.
	slack = time.Millisecond
	// shrinkBy is the factor of one step down, failBy that after a lost answer.
	shrinkBy = 0.75
	failBy   = 0.5
	// baselineDrift lets the usual latency rise by 1% a window, so that a lasting
	// change of the work becomes usual after some minutes and not before.
	baselineDrift = 1.01
)

// Limit finds how many requests a target takes at once, from its latency.
//
// It answers a target that slows down: without it every instance keeps as many
// requests at the target as it has connections, the wait moves from here, where
// it is fair and can be refused, to the target's own queue, where it is neither.
// It steps up by one only when the limit was reached, and down by a quarter when
// the median of a window is over twice the usual. The median, since one caller
// that reads slowly, or one heavy statement, must not look like a slow target.
type Limit struct {
	// Ceiling bounds the limit; it is what the pool can lend.
	Ceiling int

	limit    float64
	baseline [classes]time.Duration
	samples  [classes][]time.Duration
	count    int
	started  time.Time
	reached  bool
	failures int
}

// Now returns how many requests may be at the target at once, at least 1.
func (l *Limit) Now() int {
	if l.limit == 0 {
		l.limit = startLimit
	}
	return max(1, min(int(l.limit), l.Ceiling))
}

// Reach notes that the limit kept a request waiting.
func (l *Limit) Reach() { l.reached = true }

// Sample takes in the end of a request. Transactions tell nothing of the
// target, since their callers decide how long they last.
func (l *Limit) Sample(now time.Time, c Class, o Outcome) {
	if l.started.IsZero() {
		l.started = now
	}
	if o.Failed {
		l.failures++
	} else if c != ClassTransaction {
		l.samples[c] = append(l.samples[c], o.Held)
		l.count++
	}
	if l.count >= windowSamples || now.Sub(l.started) >= windowLength {
		l.turn(now)
	}
}

// turn ends a window.
func (l *Limit) turn(now time.Time) {
	limit := float64(l.Now())
	slow, fast := false, l.count > 0
	for c := range l.samples {
		if len(l.samples[c]) == 0 {
			continue
		}
		m := median(l.samples[c])
		usual := l.learn(c, m)
		slow = slow || m > scale(usual, shrinkAbove)+slack
		fast = fast && m < scale(usual, growBelow)+slack
		l.samples[c] = l.samples[c][:0]
	}
	switch {
	case l.failures > 0:
		limit *= failBy
	case slow:
		limit *= shrinkBy
	case fast && l.reached:
		limit++
	}
	l.limit = min(max(1, limit), float64(max(1, l.Ceiling)))
	l.count, l.failures, l.reached, l.started = 0, 0, false, now
}

// learn returns the usual median of a class.
func (l *Limit) learn(c int, m time.Duration) time.Duration {
	if b := l.baseline[c]; b == 0 || m < b {
		l.baseline[c] = m
	} else {
		l.baseline[c] = min(m, scale(b, baselineDrift))
	}
	return l.baseline[c]
}

func median(s []time.Duration) time.Duration {
	slices.Sort(s)
	return s[len(s)/2]
}

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }
