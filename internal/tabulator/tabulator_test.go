package tabulator_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/tabulator"
	"github.com/shoenig/test/must"
)

func key(customer string) tabulator.Key {
	return tabulator.Key{Customer: customer, Class: 2, Kind: tabulator.Refused, Cause: "over-limit"}
}

func ExampleTabulator() {
	var t tabulator.Tabulator
	t.Add(time.Hour, key("north"), 3)
	t.Add(time.Hour+50*time.Second, key("north"), 2)
	for _, r := range t.Rows(time.Hour + 65*time.Second) {
		fmt.Println(r.Customer, r.Class, r.Kind, r.Cause, r.LastMinute, r.Total)
	}
	// Output: north 2 refused over-limit 2 5
}

// Guards against memory that grows with the number of customers or causes: counts beyond the bound
// are kept in one row, and none is lost.
func TestRowsAreBounded(t *testing.T) {
	x := tabulator.Tabulator{MaxRows: 10}
	for n := range 1000 {
		x.Add(time.Hour, key(fmt.Sprint(n)), 1)
	}
	rows := x.Rows(time.Hour)
	must.Len(t, 11, rows)
	must.Eq(t, tabulator.Row{Key: tabulator.Key{Customer: tabulator.Others, Class: 2, Cause: tabulator.Others}, LastMinute: 990, Total: 990}, rows[0])
}

// Guards against customers that were affected long ago and take the rows of those affected now.
func TestIdleRowsMakeRoom(t *testing.T) {
	x := tabulator.Tabulator{MaxRows: 2}
	x.Add(time.Hour, key("a"), 1)
	x.Add(time.Hour, key("b"), 1)
	x.Add(time.Hour+2*time.Minute, key("c"), 1)
	rows := x.Rows(time.Hour + 2*time.Minute)
	must.Len(t, 2, rows)
	must.Eq(t, 2.0, rows[0].Total)
	must.Eq(t, 0.0, rows[0].LastMinute)
	must.Eq(t, "c", rows[1].Customer)
}

// Guards against counts that a NaN or a negative number would spoil for good.
func TestInvalidCountsAreIgnored(t *testing.T) {
	var x tabulator.Tabulator
	for _, n := range []float64{-1, 0, math.NaN()} {
		x.Add(time.Hour, key("a"), n)
	}
	must.SliceEmpty(t, x.Rows(time.Hour))
}

// Guards against an operation that is refused on behalf of another instance and counts twice, and
// against a list that does not begin with the customer that is affected most.
func TestSummarize(t *testing.T) {
	row := func(customer string, k tabulator.Kind, cause string, n float64) tabulator.Row {
		return tabulator.Row{Key: tabulator.Key{Customer: customer, Kind: k, Cause: cause}, LastMinute: n, Total: n}
	}
	list := tabulator.Summarize([]tabulator.Row{
		row("a", tabulator.Waited, "wait", 50),
		row("b", tabulator.Refused, "over-limit", 5), row("b", tabulator.Limited, "pace", 2), row("b", tabulator.Limited, "withheld", 3),
		row("c", tabulator.Late, "member", 2),
	})
	must.Len(t, 3, list)
	must.Eq(t, tabulator.Summary{Customer: "b", Refused: 5, RefusedTotal: 5, Cause: "over-limit/withheld"}, list[0])
	must.Eq(t, "c", list[1].Customer)
}
