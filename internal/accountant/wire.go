package accountant

import (
	"math"
	"time"

	"github.com/oriolegw/oriolegw/internal/limiter"
	"github.com/oriolegw/oriolegw/internal/linker/wire"
)

// withheldScale converts a fraction of a limit to the thousandths that are sent on the wire.
const withheldScale = 1000

func toReport(r limiter.Report) *wire.AccountRequest {
	w := &wire.AccountRequest{Instance: r.Instance, Run: r.Incarnation, Number: r.Sequence, New: r.NewAccountant, Leaves: r.Final, UnheardMs: toMillis(r.SincePredecessorAck), UpMs: toMillis(r.UpTime)}
	for _, s := range r.Usages {
		x := &wire.Spending{
			Customer: s.Customer, Before: fromCounts(s.PastUsed), Held: uint32(s.UnusedTokens), Waiting: uint32(s.Waiters), DemandMilli: uint32(s.Demand * rateScale),
			Told: s.HasFallbackRate, PartMilli: uint32(s.FallbackRate * rateScale),
		}
		if s.WaitersByClass.Total() > 0 {
			x.WaitingByClass = fromCounts(s.WaitersByClass[:])
		}
		if s.DemandByClass.Total() > 0 {
			for _, d := range s.DemandByClass {
				x.DemandMilliByClass = append(x.DemandMilliByClass, uint32(d*rateScale))
			}
		}
		x.Reserved = uint32(s.Reserved)
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

// fromReport decodes a report. invalid counts usages whose division by class was dropped.
func fromReport(w *wire.AccountRequest) (r limiter.Report, invalid int) {
	r = limiter.Report{Instance: w.Instance, Incarnation: w.Run, Sequence: w.Number, NewAccountant: w.New, Final: w.Leaves, SincePredecessorAck: time.Duration(w.UnheardMs) * time.Millisecond, UpTime: time.Duration(w.UpMs) * time.Millisecond}
	for _, s := range w.Spendings {
		x := limiter.Usage{
			Customer: s.Customer, Used: toCounts(s.UsedSlots), PastUsed: toCounts(s.Before), UnusedTokens: int(s.Held), Waiters: int(s.Waiting), Demand: float64(s.DemandMilli) / rateScale,
			HasFallbackRate: s.Told, FallbackRate: float64(s.PartMilli) / rateScale, Reserved: int(s.Reserved),
		}
		if len(s.WaitingByClass) > limiter.Classes || len(s.DemandMilliByClass) > limiter.Classes {
			invalid++
		} else {
			for k, n := range s.WaitingByClass {
				x.WaitersByClass[k] = int(n)
			}
			for k, d := range s.DemandMilliByClass {
				x.DemandByClass[k] = float64(d) / rateScale
			}
		}
		if len(x.Used) == 0 && s.Used > 0 {
			x.Used = []int{int(s.Used)}
		}
		r.Usages = append(r.Usages, x)
	}
	return r, invalid
}

func toReply(x limiter.Reply) *wire.AccountReply {
	w := &wire.AccountReply{Run: x.Incarnation}
	for _, a := range x.Grants {
		w.Allowances = append(w.Allowances, &wire.Allowance{
			Customer: a.Customer, Tokens: uint32(a.Tokens), Tight: a.LeaseRequired, PartMilli: uint32(a.FallbackRate * rateScale), AgainMs: uint32(a.RetryAfter.Milliseconds()),
			Cause: uint32(a.Cause), WithheldMilli: uint32(a.Withheld * withheldScale), PaceMilli: toPace(a.Pace),
		})
	}
	return w
}

// toPace encodes a pace; 0 means unknown.
func toPace(pace float64) uint32 {
	if pace <= 0 {
		return 0
	}
	return uint32(max(1, min(pace*rateScale, math.MaxUint32)))
}

// fromReply decodes a reply. invalid counts grants whose explanation was dropped.
func fromReply(w *wire.AccountReply) (x limiter.Reply, invalid int) {
	x = limiter.Reply{Incarnation: w.Run}
	for _, a := range w.Allowances {
		g := limiter.Grant{
			Customer: a.Customer, Tokens: int(a.Tokens), LeaseRequired: a.Tight, FallbackRate: float64(a.PartMilli) / rateScale, RetryAfter: time.Duration(a.AgainMs) * time.Millisecond,
			Pace: float64(a.PaceMilli) / rateScale,
		}
		cause, ok := limiter.ParseCause(a.Cause)
		if ok && a.WithheldMilli <= withheldScale {
			g.Cause, g.Withheld = cause, float64(a.WithheldMilli)/withheldScale
		} else {
			// Without a cause, the pace of the grant is not used either.
			g.Pace = 0
			invalid++
		}
		x.Grants = append(x.Grants, g)
	}
	return x, invalid
}

// toCounts decodes counts by slot and ignores more slots than a window has.
func toCounts(w []uint32) (counts []int) {
	for _, n := range w[max(0, len(w)-limiter.WindowSlots):] {
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
