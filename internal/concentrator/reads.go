package concentrator

import "time"

const (
	// keptOpenTime is how long after a customer's last statement at a member an idle connection of the
	// customer is expected there. Members' holders keep those of the most frequent customers.
	keptOpenTime = 3 * time.Second
	// minReadGain is by how much another member must be faster: a choice by samples that differ less
	// would change with each sample.
	minReadGain = 5 * time.Millisecond
)

// ReadPlace describes a member that may serve a customer's read, as this instance knows it.
type ReadPlace struct {
	// SinceUse is the time since this instance last used a connection of the customer to the member,
	// negative if it did not.
	SinceUse time.Duration
	// KeptLoan is the mean time to get a connection that was kept open, OpenedLoan one that
	// probably had to be opened; 0 if unknown.
	KeptLoan, OpenedLoan time.Duration
}

// ExpectsKept reports whether an idle connection of a customer is expected at a member, given the time
// since its last use, negative if there was none.
func ExpectsKept(sinceUse time.Duration) bool { return sinceUse >= 0 && sinceUse < keptOpenTime }

// ChooseRead returns the index of the member for a customer's read, given the eligible ones, best
// first. It is the first one unless a connection to it must probably be opened, and another member
// where one is kept is faster, although the statement crosses the network path to it once more. It
// handles the load of many customers whose reads would each open a connection to another member.
func ChooseRead(places []ReadPlace) int {
	if len(places) < 2 || ExpectsKept(places[0].SinceUse) || places[0].OpenedLoan <= 0 || places[0].KeptLoan <= 0 {
		return 0
	}
	best, least := 0, places[0].OpenedLoan+places[0].KeptLoan-minReadGain
	for i, p := range places[1:] {
		if cost := 2 * p.KeptLoan; ExpectsKept(p.SinceUse) && p.KeptLoan > 0 && cost < least {
			best, least = i+1, cost
		}
	}
	return best
}
