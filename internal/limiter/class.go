package limiter

import "time"

const (
	// Classes is the number of urgency classes that limits distinguish; 0 is the most urgent. Less
	// urgent classes than the last count as the last.
	Classes = 5
	// distinctClasses is how many classes besides the most urgent one are distinguished in Counts.
	distinctClasses = (Classes - 1) / 2
	// minClassFraction is the least fraction of the pace for a class with demand.
	minClassFraction = 0.05
)

type (
	// Counts are numbers of waiting operations in the order in which they should be served, Rates
	// operations per second by class.
	Counts [Classes]int
	Rates  [Classes]float64

	// Cause is why fewer tokens were leased than operations wait. Its numbers are on the wire.
	Cause uint8

	// Supply is what an instance knows of a customer's limit.
	Supply struct {
		// Rate is the operations per second that this instance may run: its share of the pace, or
		// its fallback rate while it is isolated; 0 if unknown.
		Rate float64
		// Demand is the number of requested operations per second on this instance that Rate was
		// computed for.
		Demand Rates
		// Throttled is set while operations have to wait for tokens.
		Throttled bool
		Balance   InstanceBalance
	}

	// InstanceBalance explains a refusal.
	InstanceBalance struct {
		// Used is how many operations this instance has run in the last WindowSlots half seconds,
		// Leased how many unused tokens it has.
		Used, Leased int
		// Cause is the accountant's last reason for leasing fewer tokens than requested, Withheld
		// the fraction of the limit reserved for silent instances then.
		Cause    Cause
		Withheld float64
	}
)

// The causes.
const (
	CauseNone Cause = iota
	CausePace
	CauseWindow
	CauseWithheld
	CauseLeasedElsewhere
	causes
)

// ParseCause returns the cause with a number; ok is false if there is none.
func ParseCause(n uint32) (c Cause, ok bool) {
	if n >= uint32(causes) {
		return CauseNone, false
	}
	return Cause(n), true
}

// String returns the name of the cause in log lines.
func (c Cause) String() string {
	return [...]string{"none", "pace", "window", "withheld", "leased-elsewhere"}[c]
}

// WaiterIndex returns the index in Counts of an operation: the most urgent class goes first, then
// those with a reservation by class, then the others by class.
func WaiterIndex(class int, reserved bool) int {
	switch {
	case class <= 0:
		return 0
	case reserved:
		return min(class, distinctClasses)
	default:
		return distinctClasses + min(class, distinctClasses)
	}
}

// ClassOf returns the class of a route's priority.
func ClassOf(priority int) int { return min(max(0, priority), Classes-1) }

// DividePace divides a pace among the classes: each, in order of urgency, gets what it demands,
// but each with demand gets at least minClassFraction of the pace. It handles demand above the
// pace.
func DividePace(pace float64, demand Rates) (divided Rates) {
	rest := pace
	for k, d := range demand {
		divided[k] = min(d, minClassFraction*pace)
		rest -= divided[k]
	}
	for k, d := range demand {
		more := min(d-divided[k], rest)
		divided[k] += more
		rest -= more
	}
	return divided
}

// Total returns the sum over all classes.
func (c Counts) Total() (n int) {
	for _, x := range c {
		n += x
	}
	return n
}

// Total returns the sum over all classes.
func (r Rates) Total() (sum float64) {
	for _, x := range r {
		sum += x
	}
	return sum
}

// decayed returns what remains of the rates after a time, given their half-life.
func (r Rates) decayed(elapsed, halfLife time.Duration) Rates {
	factor := decayed(1, elapsed, halfLife)
	for k := range r {
		r[k] *= factor
	}
	return r
}

// waiting returns the waiting operations by class. Those without a class count as the most urgent:
// an instance of an earlier version must not be served last.
func (u *Usage) waiting() Counts {
	w := u.WaitersByClass
	if w.Total() != u.Waiters {
		return Counts{u.Waiters}
	}
	return w
}

// classDemand returns the demand by class, as waiting does.
func (u *Usage) classDemand() Rates {
	if u.DemandByClass.Total() <= 0 {
		return Rates{u.Demand}
	}
	return u.DemandByClass
}
