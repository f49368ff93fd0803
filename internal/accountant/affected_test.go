package accountant_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/accountant"
	"github.com/oriolegw/oriolegw/internal/identifier"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/limiter"
	"github.com/oriolegw/oriolegw/internal/reserver"
	"github.com/oriolegw/oriolegw/internal/tabulator"
	"github.com/shoenig/test/must"
)

// Guards against a refusal that is neither explained nor counted because no accountant has replied.
func TestRefusalWithoutAccountantIsExplained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		clock := func() limiter.Timestamp { return time.Since(begin) + time.Hour }
		meter := &limiter.Meter{Instance: "a", StartedAt: clock(), Instances: func() int { return 71 }, ReportExpected: func() bool { return false }}
		a := (&accountant.Accountant{
			Meter: meter, Reserver: &reserver.Reserver{Meter: meter}, Clock: clock,
			Limit: func(string) identifier.Limit { return identifier.Limit{PerSecond: 3, Burst: 4} },
		}).Init()
		var limit *lender.LimitError
		for range 3 {
			err := a.Admit(t.Context(), lender.Request{Customer: "c", Priority: 2})
			_ = errors.As(err, &limit)
		}
		must.NotNil(t, limit)
		must.Eq(t, lender.LimitBalance{PerSecond: 3, Burst: 4, Used: limit.Balance.Used, Cause: accountant.CauseUnanswered}, *limit.Balance)
		rows := a.Tabulator.Rows(clock())
		must.Len(t, 1, rows)
		must.Eq(t, tabulator.Key{Customer: "c", Class: 2, Kind: tabulator.Limited, Cause: accountant.CauseUnanswered}, rows[0].Key)
	})
}
