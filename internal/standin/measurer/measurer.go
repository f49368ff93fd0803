// Package measurer measures the share of reads served by replicas, failover gaps and
// fairness between customers, on virtual time, against baselines from the same run.
package measurer

import (
	"fmt"
	"slices"
	"strconv"
	"time"
)

// Figure is one measured value.
type Figure struct {
	Name  string
	Value string
	Unit  string
	// Baseline is the baseline's value in the same run, or "-".
	Baseline string
}

// String returns "name value unit baseline".
func (f Figure) String() string {
	if f.Baseline == "" {
		f.Baseline = "-"
	}
	return fmt.Sprintf("%s %s %s %s", f.Name, f.Value, f.Unit, f.Baseline)
}

func percent(part, total int) string {
	if total == 0 {
		return "none"
	}
	return strconv.FormatFloat(100*float64(part)/float64(total), 'f', 1, 64)
}

func milliseconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 1, 64)
}

// quantile returns the nearest-rank quantile; q is in 0 to 1.
func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Clone(all)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
