package explainer

import (
	"fmt"
	"strconv"
	"time"

	"github.com/oriolegw/oriolegw/internal/accountant"
	"github.com/oriolegw/oriolegw/internal/limiter"
)

const (
	// limiterWindowSeconds is the time for which used-here counts operations.
	limiterWindowSeconds = 6
	// decidingWithin is the longest time between the line of the instance that refuses an operation
	// and that of the instance whose caller is refused: a reply between regions, and clock skew.
	decidingWithin = 500 * time.Millisecond
)

// causeTexts explain the causes of refusals by a limit.
var causeTexts = map[string]string{
	limiter.CauseNone.String():            "the accountant has not been asked for this operation, or has not answered, so the instance went by its last lease or its fallback rate; see part=limits event=accountant-unanswered.",
	limiter.CausePace.String():            "the limit was used evenly and its refill rate did not suffice for all that was requested.",
	limiter.CauseWindow.String():          "the operations of the last 5 s had used up the limit.",
	limiter.CauseWithheld.String():        "it would have been admitted without the part of the limit that was withheld for instances that did not report; see part=limits event=instance-dead and the silent instances in oriolegwctl limits.",
	accountant.CauseUnanswered:            "no accountant has answered this instance since it began to count the customer, or one of an earlier version has; see part=limits event=accountant-unanswered.",
	limiter.CauseLeasedElsewhere.String(): "other instances held leases that were unused or not reported yet.",
}

// isLimitContext reports whether a line concerns the limits of one of the customers.
func (l Line) isLimitContext(customers map[string]bool) bool {
	switch l.Fields["part"] {
	case "limits":
		return len(customers) > 0
	case "peers":
		return l.Fields["event"] == "over-limit" && customers[l.Fields["customer"]]
	}
	return false
}

// decidingLine returns the line that says what decided a refusal: the line itself or, if another
// instance has refused, that instance's nearest line with the same customer, group and retry time.
func decidingLine(refusal Line, context []Line) Line {
	if refusal.Fields["cause"] != "" {
		return refusal
	}
	found, nearest := refusal, decidingWithin+1
	for _, l := range context {
		distance := l.Time.Sub(refusal.Time).Abs()
		if l.Fields["event"] != "over-limit" || distance >= nearest {
			continue
		}
		same := true
		for _, key := range []string{"customer", "group", "again-ms"} {
			same = same && l.Fields[key] == refusal.Fields[key]
		}
		if same {
			found, nearest = l, distance
		}
	}
	return found
}

// explainLimit explains a refusal by a customer's limit, given the line that says what decided it.
func explainLimit(refusal, deciding Line) string {
	f := deciding.Fields
	text := fmt.Sprintf("Customer %s was to retry after %s ms. ", refusal.Fields["customer"], refusal.Fields["again-ms"])
	if f["cause"] == "" {
		return text + "No line says what decided it: the instance that refused had no reply of an accountant, or its lines (part=peers event=over-limit) are not in this log."
	}
	if refusal.Fields["cause"] == "" {
		text += "The nearest line of another instance with this customer, group and retry time says: "
	}
	text += fmt.Sprintf("Of its limit of %s per second and a burst of %s, instance %s had run %s operations in the last %d s and held %s unused leases. ",
		f["per-second"], f["burst"], orUnknown(deciding.InstanceName()), f["used-here"], limiterWindowSeconds, f["leased-here"])
	if withheld, err := strconv.ParseFloat(f["withheld"], 64); err == nil && withheld > 0 {
		text += fmt.Sprintf("%.1f%% of the limit was withheld for silent instances. ", 100*withheld)
	}
	cause, ok := causeTexts[f["cause"]]
	if !ok {
		cause = "not known to this version of the tool."
	}
	text += fmt.Sprintf("Cause %s: %s", f["cause"], cause)
	if f["reserved"] == "true" {
		text += " Capacity was reserved for the retry."
	}
	return text
}

func orUnknown(name string) string {
	if name == "" {
		return "(unknown)"
	}
	return name
}
