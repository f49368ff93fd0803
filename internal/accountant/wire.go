package accountant

import (
	"math"
	"time"

	"github.com/oriolegw/oriolegw/internal/limiter"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
)

func toReport(r limiter.Report) *wire.AccountRequest {
	w := &wire.AccountRequest{Instance: r.Instance, Run: r.Run, Number: r.Number, New: r.New, Leaves: r.Leaves, UnheardMs: toMillis(r.Unheard)}
	for _, s := range r.Spendings {
		x := &wire.Spending{
			Customer: s.Customer, Before: fromCounts(s.Before), Held: uint32(s.Held), Waiting: uint32(s.Waiting), DemandMilli: uint32(s.Demand * rateScale),
			Told: s.Told, PartMilli: uint32(s.Part * rateScale),
		}
		for _, n := range s.Used {
			x.Used += uint32(n)
		}
		if len(s.Used) > 1 {
			x.UsedSlots = fromCounts(s.Used)
		}
		w.Spendings = append(w.Spendings, x)
	}
	return w
}

func fromReport(w *wire.AccountRequest) limiter.Report {
	r := limiter.Report{Instance: w.Instance, Run: w.Run, Number: w.Number, New: w.New, Leaves: w.Leaves, Unheard: time.Duration(w.UnheardMs) * time.Millisecond}
	for _, s := range w.Spendings {
		x := limiter.Spending{
			Customer: s.Customer, Used: toCounts(s.UsedSlots), Before: toCounts(s.Before), Held: int(s.Held), Waiting: int(s.Waiting), Demand: float64(s.DemandMilli) / rateScale,
			Told: s.Told, Part: float64(s.PartMilli) / rateScale,
		}
		if len(x.Used) == 0 && s.Used > 0 {
			x.Used = []int{int(s.Used)}
		}
		r.Spendings = append(r.Spendings, x)
	}
	return r
}

func toReply(x limiter.Answer) *wire.AccountReply {
	w := &wire.AccountReply{Run: x.Run}
	for _, a := range x.Allowances {
		w.Allowances = append(w.Allowances, &wire.Allowance{
			Customer: a.Customer, Tokens: uint32(a.Tokens), Tight: a.Tight, PartMilli: uint32(a.Part * rateScale), AgainMs: uint32(a.Again.Milliseconds()),
		})
	}
	return w
}

func fromReply(w *wire.AccountReply) limiter.Answer {
	x := limiter.Answer{Run: w.Run}
	for _, a := range w.Allowances {
		x.Allowances = append(x.Allowances, limiter.Allowance{
			Customer: a.Customer, Tokens: int(a.Tokens), Tight: a.Tight, Part: float64(a.PartMilli) / rateScale, Again: time.Duration(a.AgainMs) * time.Millisecond,
		})
	}
	return x
}

// toCounts decodes counts by slot and ignores more slots than a window has.
func toCounts(w []uint32) (counts []int) {
	for _, n := range w[max(0, len(w)-limiter.Slots):] {
		counts = append(counts, int(n))
	}
	return counts
}

func fromCounts(counts []int) (w []uint32) {
	for _, n := range counts {
		w = append(w, uint32(max(0, n)))
	}
	return w
}

// toMillis rounds a positive duration below 1 ms up, since 0 means unset.
func toMillis(d time.Duration) uint32 {
	if d <= 0 {
		return 0
	}
	return uint32(min(max(1, d.Milliseconds()), math.MaxUint32))
}
