package scheduler

import "time"

const (
	// minClassShare is the part of a member's slot time that a class with waiting work gets, and
	// maxLowerShare what all classes below the most urgent waiting one get together.
	minClassShare, maxLowerShare = 0.1, 0.2
	// maxClassCredit bounds the slot time that a class can accumulate, and so how long its
	// statements may go before those of more urgent classes at once.
	maxClassCredit = 100 * time.Millisecond
	// minClassCredit bounds the debt of a class whose statements took longer than estimated.
	minClassCredit = -2 * time.Second
)

// ClassShares divides a member's slot time among classes, where 0 is the most urgent. It handles
// sustained pressure from urgent classes: these come first, but lower ones get a bounded share. The
// zero value is ready to use.
type ClassShares struct {
	// credit is the slot time that a lower class may use before more urgent ones.
	credit map[int]time.Duration
}

// Charge records slot time that a class has used, or a correction of it, while the given classes
// have waiting work. Only use before a more urgent class counts against a class's share.
func (s *ClassShares) Charge(class int, cost time.Duration, waiting []int) {
	if len(waiting) == 0 {
		return
	}
	if s.credit == nil {
		s.credit = map[int]time.Duration{}
	}
	first := waiting[0]
	for _, c := range waiting {
		first = min(first, c)
		s.credit[c] += 0
	}
	s.credit[class] += 0
	share := LowerShare(len(waiting) - 1)
	for c, credit := range s.credit {
		if c <= first {
			continue
		}
		// A class without waiting work repays its debt but saves nothing.
		limit := time.Duration(0)
		for _, x := range waiting {
			if x == c {
				limit = maxClassCredit
			}
		}
		credit += time.Duration(share * float64(cost))
		if c == class {
			credit -= cost
		}
		s.credit[c] = max(min(credit, limit), minClassCredit)
	}
}

// Preferred returns the class that goes before the most urgent of the waiting ones, and false if the
// order of the classes holds.
func (s *ClassShares) Preferred(waiting []int) (class int, ok bool) {
	first := 0
	for i, c := range waiting {
		if i == 0 || c < first {
			first = c
		}
	}
	for _, c := range waiting {
		if c > first && s.credit[c] > 0 && (!ok || c < class) {
			class, ok = c, true
		}
	}
	return class, ok
}

// LowerShare returns the share of each of a number of classes below the most urgent waiting one.
func LowerShare(lower int) float64 {
	return min(minClassShare, maxLowerShare/float64(max(1, lower)))
}
