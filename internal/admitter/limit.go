package admitter

import (
	"slices"
	"time"
)

const (
	// initialLimit is the limit of a new or recovered target. It grows by one request per
	// window, to spare cold caches.
	initialLimit = 2
	// A window ends after windowSamples samples or maxWindowDuration.
	windowSamples     = 16
	maxWindowDuration = 500 * time.Millisecond
	// The limit is kept while the latency is between these multiples of the baseline. The
	// gap is the hysteresis that keeps a target at its capacity, where a request waits for
	// one slot, from oscillating. The latency of such a target is 1.5 to 2 times that without load.
	increaseBelowRatio = 1.5
	decreaseAboveRatio = 2.0
	// latencyTolerance is added to both bounds, so that jitter of very small latencies
	// doesn't matter.
	latencyTolerance = time.Millisecond
	// decreaseFactor applies to a slow window, failureFactor to one with a failure.
	decreaseFactor = 0.75
	failureFactor  = 0.5
	// baselineGrowth bounds the rise of the baseline per window, so that a lasting change
	// of the workload becomes the baseline only after minutes.
	baselineGrowth = 1.01
)

// Limit is an adaptive concurrency limit of a target, derived from its latency, so that
// excess requests wait in the fair queue here and not at the target. It rises by one when
// it was reached, and falls by a factor when a window's median latency is above the
// baseline. The median ignores single slow requests.
type Limit struct {
	// Ceiling is the largest limit: the number of connections that the pool can check out.
	Ceiling int

	limit       float64
	baseline    [classes]time.Duration
	samples     [classes][]time.Duration
	sampleCount int
	windowStart time.Time
	saturated   bool
	failures    int
}

// Current returns how many requests may be in flight at the target, at least 1.
func (l *Limit) Current() int {
	if l.limit == 0 {
		l.limit = initialLimit
	}
	return max(1, min(int(l.limit), l.Ceiling))
}

// MarkSaturated records that the limit kept a request waiting.
func (l *Limit) MarkSaturated() { l.saturated = true }

// AddSample records the end of a request. The duration of transactions is ignored: it depends
// on their callers.
func (l *Limit) AddSample(now time.Time, c Class, o Outcome) {
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	if o.Failed {
		l.failures++
	} else if c != ClassTransaction {
		l.samples[c] = append(l.samples[c], o.Held)
		l.sampleCount++
	}
	if l.sampleCount >= windowSamples || now.Sub(l.windowStart) >= maxWindowDuration {
		l.closeWindow(now)
	}
}

// closeWindow adjusts the limit and starts a new window.
func (l *Limit) closeWindow(now time.Time) {
	limit := float64(l.Current())
	slow, fast := false, l.sampleCount > 0
	for c := range l.samples {
		if len(l.samples[c]) == 0 {
			continue
		}
		m := median(l.samples[c])
		baseline := l.updateBaseline(c, m)
		slow = slow || m > scale(baseline, decreaseAboveRatio)+latencyTolerance
		fast = fast && m < scale(baseline, increaseBelowRatio)+latencyTolerance
		l.samples[c] = l.samples[c][:0]
	}
	switch {
	case l.failures > 0:
		limit *= failureFactor
	case slow:
		limit *= decreaseFactor
	case fast && l.saturated:
		limit++
	}
	l.limit = min(max(1, limit), float64(max(1, l.Ceiling)))
	l.sampleCount, l.failures, l.saturated, l.windowStart = 0, 0, false, now
}

// updateBaseline updates the baseline latency of a class with a window's median and returns it.
func (l *Limit) updateBaseline(c int, m time.Duration) time.Duration {
	if b := l.baseline[c]; b == 0 || m < b {
		l.baseline[c] = m
	} else {
		l.baseline[c] = min(m, scale(b, baselineGrowth))
	}
	return l.baseline[c]
}

func median(s []time.Duration) time.Duration {
	slices.Sort(s)
	return s[len(s)/2]
}

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }
