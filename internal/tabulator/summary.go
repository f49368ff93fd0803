package tabulator

import (
	"cmp"
	"slices"
	"strings"
)

// causeOverLimit is the cause of refusals for which another instance knows why the limit did not
// suffice.
const causeOverLimit = "over-limit"

// Summary is how one customer is affected, in operations of the last minute.
type Summary struct {
	Customer string
	// Refused, Late, Waited and Withheld are the sums by kind. An operation that a limit refuses or
	// delays may count on two instances, as Refused and Limited or as Waited and LeaseWaited: the
	// larger sum is taken.
	Refused, Late, Waited, Withheld float64
	// RefusedTotal is the sum since the start.
	RefusedTotal float64
	// Cause is the most frequent cause of refusals, or else of late operations, or else of what is
	// withheld.
	Cause string
}

// Affected reports whether operations were refused, late or waited. What is withheld alone affects
// none.
func (s Summary) Affected() bool {
	return s.Refused > 0 || s.Late > 0 || s.Waited > 0 || s.RefusedTotal > 0
}

// Summarize sums rows by customer, the most affected first: by refused and late operations, then by
// those that waited, then by what is withheld.
func Summarize(rows []Row) []Summary {
	byCustomer := map[string][]Row{}
	for _, r := range rows {
		byCustomer[r.Customer] = append(byCustomer[r.Customer], r)
	}
	var list []Summary
	for _, group := range byCustomer {
		list = append(list, summarize(group))
	}
	slices.SortFunc(list, func(a, b Summary) int {
		return cmp.Or(cmp.Compare(b.Refused+b.Late, a.Refused+a.Late), cmp.Compare(b.Waited, a.Waited), cmp.Compare(b.Withheld, a.Withheld), cmp.Compare(b.RefusedTotal, a.RefusedTotal), strings.Compare(a.Customer, b.Customer))
	})
	return list
}

func summarize(rows []Row) Summary {
	s := Summary{Customer: rows[0].Customer}
	sums, totals := [kinds]float64{}, [kinds]float64{}
	for _, r := range rows {
		if r.Kind < kinds {
			sums[r.Kind] += r.LastMinute
			totals[r.Kind] += r.Total
		}
	}
	s.Refused, s.RefusedTotal = max(sums[Refused], sums[Limited]), max(totals[Refused], totals[Limited])
	s.Late, s.Waited, s.Withheld = sums[Late], max(sums[Waited], sums[LeaseWaited]), sums[Withheld]
	for _, k := range []Kind{Refused, Limited, Late, Withheld} {
		if s.Cause = topCause(rows, k); s.Cause != "" {
			if limited := topCause(rows, Limited); s.Cause == causeOverLimit && limited != "" {
				s.Cause += "/" + limited
			}
			break
		}
	}
	return s
}

// topCause returns the most frequent cause of a kind in the last minute, "" without one.
func topCause(rows []Row, k Kind) string {
	sums, top := map[string]float64{}, ""
	for _, r := range rows {
		if r.Kind != k || r.LastMinute <= 0 {
			continue
		}
		sums[r.Cause] += r.LastMinute
		if sums[r.Cause] > sums[top] {
			top = r.Cause
		}
	}
	return top
}
