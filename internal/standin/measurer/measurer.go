// Package measurer takes the product's two measures, reads served by replicas and
// failover gap, and what stands beside them, on the deployments of the two users,
// on virtual time, each against a baseline in the same run.
package measurer

import (
	"fmt"
	"slices"
	"strconv"
	"time"
)

// Figure is one line of output: name, value, unit, baseline.
type Figure struct {
	Name  string
	Value string
	Unit  string
	// Baseline is what the baseline got in the same run, or "-".
	Baseline string
}

// String is the line: "name value unit baseline".
func (f Figure) String() string {
	if f.Baseline == "" {
		f.Baseline = "-"
	}
	return fmt.Sprintf("%s %s %s %s", f.Name, f.Value, f.Unit, f.Baseline)
}

func percent(part, all int) string {
	if all == 0 {
		return "none"
	}
	return strconv.FormatFloat(100*float64(part)/float64(all), 'f', 1, 64)
}

func milliseconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 1, 64)
}

// quantile returns the nearest-rank quantile; q is in 0 to 1.
func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	s := slices.Clone(all)
	slices.Sort(s)
	return s[min(len(s)-1, int(q*float64(len(s))))]
}
