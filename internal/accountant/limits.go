package accountant

import (
	"encoding/json"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/limiter"
	"github.com/oriolegw/oriolegw/internal/reserver"
	"github.com/oriolegw/oriolegw/internal/tabulator"
)

const (
	// PathLimits is the HTTP path of the page that shows how an instance applies limits and which
	// operations are affected; the query parameter ParameterCustomer selects one customer.
	PathLimits        = "/limits"
	ParameterCustomer = "customer"
	// UnknownCustomer begins the answer if the customer is not in the configuration in force.
	UnknownCustomer = "unknown customer"

	// maxPageClasses and maxPageValue bound the values of a page that is decoded.
	maxPageClasses = 100
	maxPageValue   = 1e15
)

type (
	// LimitsPage is one instance's view of the limits and of the affected operations.
	LimitsPage struct {
		// Instance and Zone identify the instance.
		Instance, Zone string
		Limits         []LimitState
		Affected       []tabulator.Row
	}

	// LimitState is one instance's view of a customer's limit.
	LimitState struct {
		Customer string
		// PerSecond and Burst are the limit in force, 0 without one.
		PerSecond, Burst float64
		// Account is set if the instance is the accountant, Queue if operations wait or capacity is
		// reserved there.
		Account *AccountState
		Queue   *QueueState
	}

	// AccountState is the state of a customer's account.
	AccountState struct {
		// Used is the number of operations of the last 6 s, Available can be leased now, Leased is
		// outstanding. Demand and Pace are operations per second on all instances, PaceByClass is
		// the division of Pace.
		Used, Available, Leased, Demand, Pace float64
		PaceByClass                           []float64
		// Waiting is the number of operations that wait on all instances.
		Waiting int
		// Withheld is the withheld fraction of the limit: Silent for SilentInstances, Unseen for
		// UnseenInstances that have not reported.
		Withheld, Silent, Unseen float64
		SilentInstances          []string
		UnseenInstances          int
	}

	// QueueState is what waits and is reserved on one instance, by class.
	QueueState struct {
		// Rate is the instance's share of the pace in operations per second.
		Rate              float64
		RateByClass       []float64
		Waiting, Reserved []int
		// RetryAfter is what the next refused caller would be told, 0 if unknown.
		RetryAfter []time.Duration
		// NextDue is when the earliest open reservation can be used, negative without one.
		NextDue time.Duration
	}

	jsonPage struct {
		Instance string         `json:"instance"`
		Zone     string         `json:"availability-zone"`
		Limits   []jsonLimit    `json:"limits"`
		Affected []jsonAffected `json:"affected"`
	}

	jsonLimit struct {
		Customer  string       `json:"customer"`
		PerSecond float64      `json:"per-second"`
		Burst     float64      `json:"burst"`
		Account   *jsonAccount `json:"account,omitempty"`
		Queue     *jsonQueue   `json:"queue,omitempty"`
	}

	jsonAccount struct {
		Used            float64   `json:"used"`
		Available       float64   `json:"available"`
		Leased          float64   `json:"leased"`
		Demand          float64   `json:"demand-per-second"`
		Pace            float64   `json:"pace-per-second"`
		PaceByClass     []float64 `json:"pace-by-class"`
		Waiting         int       `json:"waiting"`
		Withheld        float64   `json:"withheld"`
		Silent          float64   `json:"withheld-silent"`
		Unseen          float64   `json:"withheld-unseen"`
		SilentInstances []string  `json:"silent-instances"`
		UnseenInstances int       `json:"unseen-instances"`
	}

	jsonQueue struct {
		Rate         float64   `json:"rate-per-second"`
		RateByClass  []float64 `json:"rate-by-class"`
		Waiting      []int     `json:"waiting-by-class"`
		Reserved     []int     `json:"reserved-by-class"`
		RetryAfterMS []int64   `json:"retry-after-ms-by-class"`
		NextDueMS    int64     `json:"next-due-ms"`
	}

	jsonAffected struct {
		Customer   string  `json:"customer"`
		Class      int     `json:"class"`
		Kind       string  `json:"kind"`
		Cause      string  `json:"cause"`
		LastMinute float64 `json:"last-minute"`
		Total      float64 `json:"total"`
	}
)

// NewAccountState returns the page's form of an account's state.
func NewAccountState(s limiter.Schedule) *AccountState {
	return &AccountState{
		Used: s.Used, Available: s.Available, Leased: s.Leased, Demand: s.Demand, Pace: s.Pace, PaceByClass: s.PaceByClass[:], Waiting: s.Waiting,
		Withheld: s.Withheld.Fraction, Silent: s.Withheld.Silent, Unseen: s.Withheld.Unseen,
		SilentInstances: s.Withheld.SilentInstances, UnseenInstances: s.Withheld.UnseenInstances,
	}
}

// NewQueueState returns the page's form of a queue's state.
func NewQueueState(s reserver.Schedule) *QueueState {
	return &QueueState{Rate: s.Rate, RateByClass: s.RateByClass[:], Waiting: s.Waiting[:], Reserved: s.Reserved[:], RetryAfter: s.RetryAfter[:], NextDue: s.NextDue}
}

// Select removes what doesn't concern a customer. It reports whether the page has the customer.
func (p *LimitsPage) Select(customer string) bool {
	p.Limits = slices.DeleteFunc(p.Limits, func(s LimitState) bool { return s.Customer != customer })
	p.Affected = slices.DeleteFunc(p.Affected, func(r tabulator.Row) bool { return r.Customer != customer })
	return len(p.Limits)+len(p.Affected) > 0
}

// EncodeLimits encodes a page.
func EncodeLimits(p LimitsPage) []byte {
	w := jsonPage{Instance: p.Instance, Zone: p.Zone, Limits: []jsonLimit{}, Affected: []jsonAffected{}}
	for _, s := range p.Limits {
		x := jsonLimit{Customer: s.Customer, PerSecond: s.PerSecond, Burst: s.Burst}
		if a := s.Account; a != nil {
			x.Account = (*jsonAccount)(a)
		}
		if q := s.Queue; q != nil {
			x.Queue = &jsonQueue{Rate: q.Rate, RateByClass: q.RateByClass, Waiting: q.Waiting, Reserved: q.Reserved, NextDueMS: q.NextDue.Milliseconds()}
			if q.NextDue < 0 {
				x.Queue.NextDueMS = -1
			}
			for _, d := range q.RetryAfter {
				x.Queue.RetryAfterMS = append(x.Queue.RetryAfterMS, d.Milliseconds())
			}
		}
		w.Limits = append(w.Limits, x)
	}
	for _, r := range p.Affected {
		w.Affected = append(w.Affected, jsonAffected{Customer: r.Customer, Class: r.Class, Kind: r.Kind.String(), Cause: r.Cause, LastMinute: r.LastMinute, Total: r.Total})
	}
	text, err := json.Marshal(w)
	if err != nil {
		panic("accountant: encode limits page: " + err.Error())
	}
	return text
}

// DecodeLimits decodes a page. It rejects a page that no instance writes, so that values of another
// service on an instance's address are not added to those of the others. Rows of kinds that a later
// version may add are dropped.
func DecodeLimits(text []byte) (LimitsPage, error) {
	var w jsonPage
	if err := json.Unmarshal(text, &w); err != nil {
		return LimitsPage{}, errors.Wrap(err, "not a limits page: an instance of an earlier version, or another service")
	}
	if w.Instance == "" {
		return LimitsPage{}, errors.New("limits page without an instance: is this the metrics address of an entry instance?")
	}
	p := LimitsPage{Instance: w.Instance, Zone: w.Zone}
	for _, x := range w.Limits {
		s := LimitState{Customer: x.Customer, PerSecond: x.PerSecond, Burst: x.Burst, Account: (*AccountState)(x.Account)}
		if x.Queue != nil {
			s.Queue = decodeQueue(x.Queue)
		}
		if x.Customer == "" || !s.valid() {
			return LimitsPage{}, errors.Errorf("limits page of %s: invalid values of customer %q", w.Instance, x.Customer)
		}
		p.Limits = append(p.Limits, s)
	}
	for _, x := range w.Affected {
		kind, ok := tabulator.ParseKind(x.Kind)
		if !ok {
			continue
		}
		if x.Class < tabulator.ClassUnknown || x.Class >= maxPageClasses || !validValues(x.LastMinute, x.Total) {
			return LimitsPage{}, errors.Errorf("limits page of %s: invalid counts of customer %q", w.Instance, x.Customer)
		}
		p.Affected = append(p.Affected, tabulator.Row{Key: tabulator.Key{Customer: x.Customer, Class: x.Class, Kind: kind, Cause: x.Cause}, LastMinute: x.LastMinute, Total: x.Total})
	}
	return p, nil
}

func decodeQueue(w *jsonQueue) *QueueState {
	q := &QueueState{Rate: w.Rate, RateByClass: w.RateByClass, Waiting: w.Waiting, Reserved: w.Reserved, NextDue: time.Duration(w.NextDueMS) * time.Millisecond}
	for _, n := range w.RetryAfterMS {
		q.RetryAfter = append(q.RetryAfter, time.Duration(n)*time.Millisecond)
	}
	return q
}

// valid reports whether the values are in range. Available may be negative, after an overrun.
func (s *LimitState) valid() bool {
	ok := validValues(s.PerSecond, s.Burst)
	if a := s.Account; a != nil {
		ok = ok && validValues(a.Used, a.Leased, a.Demand, a.Pace, float64(a.Waiting), float64(a.UnseenInstances)) && validValues(a.PaceByClass...) &&
			validValues(a.Withheld, a.Silent, a.Unseen) && max(a.Withheld, a.Silent, a.Unseen) <= 1 && math.Abs(a.Available) <= maxPageValue && len(a.PaceByClass) <= maxPageClasses
	}
	if q := s.Queue; q != nil {
		ok = ok && validValues(q.Rate) && validValues(q.RateByClass...) && validCounts(q.Waiting) && validCounts(q.Reserved) && validCounts(q.RetryAfter) &&
			max(len(q.RateByClass), len(q.Waiting), len(q.Reserved), len(q.RetryAfter)) <= maxPageClasses
	}
	return ok
}

func validValues(values ...float64) bool {
	return !slices.ContainsFunc(values, func(v float64) bool { return !(v >= 0 && v <= maxPageValue) })
}

func validCounts[T int | time.Duration](values []T) bool {
	return !slices.ContainsFunc(values, func(v T) bool { return v < 0 || float64(v) > maxPageValue })
}

type (
	// CustomerLimit is the view of all instances of a customer's limit.
	CustomerLimit struct {
		Customer string
		// PerSecond and Burst are the limit; LimitsDiffer is set if instances disagree about it.
		PerSecond, Burst float64
		LimitsDiffer     bool
		// Accounts are those of the accountants: one, or none if it has not answered, or several in a
		// partition.
		Accounts []LimitAccount
		// Classes are the sums of the queues by class.
		Classes []ClassState
		// NextDue is when the earliest open reservation can be used, negative without one.
		NextDue time.Duration
	}

	// LimitAccount is an account on an instance.
	LimitAccount struct {
		Instance, Zone string
		AccountState
	}

	// ClassState is the sum over all instances of a class.
	ClassState struct {
		Waiting, Reserved int
		// MinRetryAfter and MaxRetryAfter are the least and greatest retry time that an instance
		// would tell the next refused caller; 0 if none refuses.
		MinRetryAfter, MaxRetryAfter time.Duration
	}
)

// MergeLimits merges the limits of several instances, in the order of their names.
func MergeLimits(pages ...LimitsPage) []CustomerLimit {
	byName := map[string]*CustomerLimit{}
	for _, p := range pages {
		for _, s := range p.Limits {
			c, ok := byName[s.Customer]
			if !ok {
				c = &CustomerLimit{Customer: s.Customer, PerSecond: s.PerSecond, Burst: s.Burst, NextDue: -1}
				byName[s.Customer] = c
			}
			c.add(p, s)
		}
	}
	merged := make([]CustomerLimit, 0, len(byName))
	for _, c := range byName {
		merged = append(merged, *c)
	}
	slices.SortFunc(merged, func(a, b CustomerLimit) int { return strings.Compare(a.Customer, b.Customer) })
	return merged
}

func (c *CustomerLimit) add(p LimitsPage, s LimitState) {
	c.LimitsDiffer = c.LimitsDiffer || c.PerSecond != s.PerSecond || c.Burst != s.Burst
	if s.Account != nil {
		c.Accounts = append(c.Accounts, LimitAccount{Instance: p.Instance, Zone: p.Zone, AccountState: *s.Account})
		c.PerSecond, c.Burst = s.PerSecond, s.Burst
	}
	q := s.Queue
	if q == nil {
		return
	}
	if q.NextDue >= 0 && (c.NextDue < 0 || q.NextDue < c.NextDue) {
		c.NextDue = q.NextDue
	}
	for k, n := range q.Waiting {
		c.class(k).Waiting += n
	}
	for k, n := range q.Reserved {
		c.class(k).Reserved += n
	}
	for k, d := range q.RetryAfter {
		if x := c.class(k); d > 0 {
			if x.MinRetryAfter == 0 || d < x.MinRetryAfter {
				x.MinRetryAfter = d
			}
			x.MaxRetryAfter = max(x.MaxRetryAfter, d)
		}
	}
}

// class returns the state of a class, which is created on first use.
func (c *CustomerLimit) class(k int) *ClassState {
	for len(c.Classes) <= k {
		c.Classes = append(c.Classes, ClassState{})
	}
	return &c.Classes[k]
}
