package limiter

import "time"

// This file works out what instances may run that the accountant doesn't hear, and what each is
// told for when it is cut off.

const (
	// evenPart is the part of the limit that all instances share evenly while they are cut
	// off, whatever each was asked for: a cut also moves callers, and those that no accountant
	// has told anything have no more.
	evenPart = 0.5
	// partHeadroom is by how much more than it was asked for lately an instance may run while
	// it is cut off, if the limit allows it. What it leaves is for the others.
	partHeadroom = 1.6
	// silentAfter is when an instance that has not reported may be cut off; one that is
	// asked for operations reports at least each restInterval.
	silentAfter = 1300 * time.Millisecond
	// learnTime is the time in which an accountant learns who ran operations when it began.
	learnTime = 5 * time.Second
)

// absence is which of the expected instances don't report.
type absence struct {
	now Stamp
	// expected is how many there are, free how many of them have told of the time before these
	// accounts began, and are withheld for by the accountant of that time.
	expected, free int
	// succeeds is set where another may keep accounts for those that are absent.
	succeeds bool
	// silent have reported since the accounts began, and may be cut off. The others have
	// not: earlier is how many ran operations when the accounts began, joined how many came
	// since.
	silent          []string
	earlier, joined int
}

// away returns which of the instances that run operations don't report here.
func (l *Ledger) away(now Stamp) absence {
	if l.Expected == nil {
		return absence{}
	}
	for _, r := range l.reporters {
		r.expected = false
	}
	expected := l.Expected()
	away := absence{now: now, expected: len(expected), succeeds: l.succeeds}
	for _, name := range expected {
		if now-l.began < learnTime {
			l.earlier[name] = true
		}
		r, ok := l.reporters[name]
		if ok {
			r.expected = true
		}
		switch {
		case !ok && l.earlier[name]:
			away.earlier++
		case !ok:
			away.joined++
		case r.away(now):
			away.silent = append(away.silent, name)
		}
		if ok && r.told && now >= r.free {
			away.free++
		}
	}
	return away
}

// away reports whether the instance may be cut off, or report to another.
func (r *reporter) away(now Stamp) bool { return r.left || now-r.heard > silentAfter }

// withheld is the part of the limit that is left to instances that may be cut off: each goes
// by its part then, or where it was told none, by the even one.
func (a *account) withheld(now Stamp, away absence) float64 {
	sum := a.unknown(away)
	for _, p := range a.parts {
		if p.away(now) {
			sum += p.isolatedRate
		}
	}
	return min(1, sum/a.limit.PerSecond)
}

// unknown is how many operations a second those may run that have told this accountant
// nothing of the customer. All parts together are within the limit. So what the accountant
// before has told to those that have not reported yet is at most what it has told to nobody
// else; where nobody knows, an even share.
func (a *account) unknown(away absence) float64 {
	even := evenPart * a.limit.PerSecond / float64(max(1, away.expected))
	untold := float64(away.joined)
	for _, name := range away.silent {
		if _, ok := a.parts[name]; !ok {
			untold++
		}
	}
	var inherited float64
	switch {
	case away.succeeds && away.earlier > 0:
		inherited = max(float64(away.earlier)*even, a.limit.PerSecond-a.free(away, even))
	case away.earlier > 0:
		inherited = float64(away.earlier) / float64(away.expected) * a.limit.PerSecond
	}
	return min(a.limit.PerSecond, untold*even+inherited)
}

// free is how many operations a second the accountant before leaves to those that have told
// their parts here: it withholds them once it has not heard of them for long enough.
func (a *account) free(away absence, even float64) float64 {
	var sum float64
	untold := away.free
	for r, part := range a.inherited {
		if away.now < r.free {
			continue
		}
		sum += part
		if r.expected {
			untold--
		}
	}
	return sum + even*float64(max(0, untold))
}

// isolatedRate is what an instance may run a second while it is cut off: the even part, and beside it
// as much as it is asked for, as long as all parts are within the limit.
func (a *account) isolatedRate(p *part, away absence, share float64) float64 {
	var even float64
	if p.expected {
		even = evenPart * a.limit.PerSecond / float64(away.expected)
	}
	left := a.limit.PerSecond - a.promised(p) - a.unknown(away) - a.untold(away)
	wanted := min(share*a.limit.PerSecond, partHeadroom*p.demand)
	return max(even, min(wanted, left))
}

// untold is how many operations a second the expected instances may run that report, and are
// told no part of this customer.
func (a *account) untold(away absence) float64 {
	n := away.expected - away.earlier - away.joined
	for _, p := range a.parts {
		if p.expected {
			n--
		}
	}
	return evenPart * a.limit.PerSecond * float64(max(0, n)) / float64(max(1, away.expected))
}

// promised is what others than one instance may run a second while they are cut off.
func (a *account) promised(but *part) float64 {
	var sum float64
	for _, p := range a.parts {
		if p != but {
			sum += p.isolatedRate
		}
	}
	return sum
}
