package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/accountant"
	"github.com/oriolegw/oriolegw/internal/tabulator"
)

// maxConcurrentRequests bounds the instances that are asked at a time.
const maxConcurrentRequests = 16

// answer is an instance's answer to a request for its limits page.
type answer struct {
	address string
	page    accountant.LimitsPage
	err     error
}

func prepareLimits(f *flag.FlagSet, t *terminal) func(context.Context, []string) error {
	instances := f.String("instances", "", "the metrics `addresses` of entry instances on the hosting platform, separated by commas")
	return func(ctx context.Context, arguments []string) error {
		if err := requireFlags("instances", *instances); err != nil {
			return err
		}
		if len(arguments) > 1 {
			return usageError{"expected at most one customer"}
		}
		customer := strings.Join(arguments, "")
		answers := t.fetchAllLimits(ctx, strings.Split(*instances, ","), customer)
		pages, failed := t.collectLimits(answers)
		if len(pages) == 0 {
			return noPageError(answers, customer)
		}
		t.printLimits(pages, customer)
		if failed > 0 {
			return errors.Errorf("%d instances gave no usable answer: counts are too low, and accounts may be missing", failed)
		}
		return nil
	}
}

// fetchAllLimits requests the pages of all instances at the same time, so that one that does not
// answer takes no time from the others. Each has half of the command's time.
func (t *terminal) fetchAllLimits(ctx context.Context, addresses []string, customer string) []answer {
	ctx, cancel := context.WithTimeout(ctx, t.timeout/2)
	defer cancel()
	answers, tokens := make([]answer, len(addresses)), make(chan struct{}, maxConcurrentRequests)
	var requests sync.WaitGroup
	for n, a := range addresses {
		requests.Go(func() {
			tokens <- struct{}{}
			defer func() { <-tokens }()
			answers[n] = answer{address: a}
			answers[n].page, answers[n].err = t.fetchLimits(ctx, a, customer)
		})
	}
	requests.Wait()
	return answers
}

func (t *terminal) fetchLimits(ctx context.Context, address, customer string) (accountant.LimitsPage, error) {
	path := accountant.PathLimits
	if customer != "" {
		path += "?" + url.Values{accountant.ParameterCustomer: {customer}}.Encode()
	}
	body, err := t.request(ctx, http.MethodGet, address, path)
	if err != nil {
		return accountant.LimitsPage{}, err
	}
	p, err := accountant.DecodeLimits(body)
	if err == nil && customer != "" && !p.Select(customer) {
		return p, errors.Errorf("%s %q", accountant.UnknownCustomer, customer)
	}
	return p, err
}

// collectLimits returns the usable pages, and prints why others are not. An instance that is given
// by two addresses counts once.
func (t *terminal) collectLimits(answers []answer) (pages []accountant.LimitsPage, failed int) {
	addresses := map[string]string{}
	for _, a := range answers {
		name := a.page.Zone + "/" + a.page.Instance
		first, again := addresses[name]
		switch {
		case a.err != nil:
			failed++
			fmt.Fprintf(t.out, "%s: no usable answer: %v\n", a.address, a.err)
		case again:
			fmt.Fprintf(t.out, "%s: the same instance as %s\n", a.address, first)
		default:
			addresses[name] = a.address
			pages = append(pages, a.page)
		}
	}
	return pages, failed
}

// noPageError returns why there is no usable page: the customer is unknown to all instances that
// have answered, or none has.
func noPageError(answers []answer, customer string) error {
	unknown := 0
	for _, a := range answers {
		if strings.Contains(a.err.Error(), accountant.UnknownCustomer) {
			unknown++
		}
	}
	if unknown == 0 {
		return errors.Errorf("none of %d instances gave a usable answer", len(answers))
	}
	return errors.Errorf("customer %q is unknown to the %d of %d instances that gave a usable answer", customer, unknown, len(answers))
}

func (t *terminal) printLimits(pages []accountant.LimitsPage, customer string) {
	var lists [][]tabulator.Row
	for _, p := range pages {
		lists = append(lists, p.Affected)
	}
	limits, rows := accountant.MergeLimits(pages...), tabulator.Merge(lists...)
	if customer == "" {
		t.printMostAffected(limits, rows)
		return
	}
	if len(limits) == 0 {
		fmt.Fprintf(t.out, "customer %s is not in the configuration in force of these instances\n", customer)
	}
	for _, c := range limits {
		t.printSchedule(c)
	}
	t.printAffected(rows)
}

// printMostAffected prints a line for each affected customer, the most affected first.
func (t *terminal) printMostAffected(limits []accountant.CustomerLimit, rows []tabulator.Row) {
	byName := map[string]accountant.CustomerLimit{}
	for _, c := range limits {
		byName[c.Customer] = c
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "customer\tper-second\tpace\tused-6s\tleased\twithheld\trefused-1m\tlate-1m\twaited-1m\trefused\tcause")
	affected, withheldOnly := 0, 0
	for _, s := range tabulator.Summarize(rows) {
		c, ok := byName[s.Customer]
		if !s.Affected() {
			if s.Withheld > 0 {
				withheldOnly++
			}
			continue
		}
		if ok {
			affected++
		}
		limit, pace, used, leased, withheld := "-", "-", "-", "-", "-"
		if ok {
			limit = fmt.Sprintf("%g", c.PerSecond)
		}
		for _, a := range c.Accounts {
			if a.Demand == greatestDemand(c) {
				pace, used, leased, withheld = fmt.Sprintf("%.1f", a.Pace), fmt.Sprintf("%.0f", a.Used), fmt.Sprintf("%.0f", a.Leased), percent(a.Withheld)
			}
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%s\n", orNone(s.Customer), limit, pace, used, leased, withheld, s.Refused, s.Late, s.Waited, s.RefusedTotal, orNone(s.Cause))
	}
	_ = w.Flush()
	fmt.Fprintf(t.out, "%d other customers are not affected; a part of the limit was withheld for %d of them in the last minute\n", len(limits)-affected, withheldOnly)
}

// greatestDemand returns the greatest demand in a customer's accounts: in a partition, the account
// with it has most of the callers.
func greatestDemand(c accountant.CustomerLimit) (demand float64) {
	for _, a := range c.Accounts {
		demand = max(demand, a.Demand)
	}
	return demand
}

// printSchedule prints the limit and schedule of a customer.
func (t *terminal) printSchedule(c accountant.CustomerLimit) {
	if c.PerSecond <= 0 {
		fmt.Fprintf(t.out, "customer %s: no limit\n", c.Customer)
		return
	}
	fmt.Fprintf(t.out, "customer %s: limit %g per second, burst %g\n", c.Customer, c.PerSecond, c.Burst)
	if c.LimitsDiffer {
		fmt.Fprintln(t.out, "instances have different limits: a change has not reached all")
	}
	switch len(c.Accounts) {
	case 0:
		fmt.Fprintln(t.out, "account: none of these instances keeps it; used, leased, withheld and pace are unknown")
	case 1:
	default:
		fmt.Fprintf(t.out, "%d instances keep an account: a network partition, or a change of the accountant\n", len(c.Accounts))
	}
	for _, a := range c.Accounts {
		fmt.Fprintf(t.out, "account at %s in %s: used %.0f in the last 6 s, leased %.0f, available %.0f, requested %.1f per second, pace %.1f per second, waiting %d\n",
			a.Instance, a.Zone, a.Used, a.Leased, a.Available, a.Demand, a.Pace, a.Waiting)
		fmt.Fprintf(t.out, "  withheld %s: %s for silent instances (%s), %s for %d instances that have not reported\n",
			percent(a.Withheld), percent(a.Silent), orNone(strings.Join(a.SilentInstances, " ")), percent(a.Unseen), a.UnseenInstances)
	}
	t.printClasses(c)
	if c.NextDue >= 0 {
		fmt.Fprintf(t.out, "the earliest reserved retry is due in %d ms\n", c.NextDue.Milliseconds())
	}
}

// printClasses prints the share of the pace and the sums of the queues by class.
func (t *terminal) printClasses(c accountant.CustomerLimit) {
	shares := map[int]float64{}
	for _, a := range c.Accounts {
		for k, p := range a.PaceByClass {
			shares[k] += p
		}
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "class\tshare-per-second\twaiting\treserved\tretry-after-ms")
	for k := range max(len(c.Classes), len(shares)) {
		var s accountant.ClassState
		if k < len(c.Classes) {
			s = c.Classes[k]
		}
		if s == (accountant.ClassState{}) && shares[k] <= 0 {
			continue
		}
		share := "unknown"
		if len(c.Accounts) > 0 {
			share = fmt.Sprintf("%.1f", shares[k])
		}
		fmt.Fprintf(w, "%d\t%s\t%d\t%d\t%s\n", k, share, s.Waiting, s.Reserved, between(s.MinRetryAfter, s.MaxRetryAfter))
	}
	_ = w.Flush()
}

// printAffected prints the counts of one customer.
func (t *terminal) printAffected(rows []tabulator.Row) {
	if len(rows) == 0 {
		fmt.Fprintln(t.out, "no operation was affected since the start of these instances")
		return
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "class\taffected\tcause\tlast-minute\tsince-start")
	for _, r := range rows {
		class := "all"
		if r.Class != tabulator.ClassUnknown {
			class = fmt.Sprint(r.Class)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.0f\t%.0f\n", class, r.Kind, r.Cause, r.LastMinute, r.Total)
	}
	_ = w.Flush()
}

func percent(fraction float64) string { return fmt.Sprintf("%.1f%%", 100*fraction) }

func orNone(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// between formats a range of retry times in milliseconds.
func between(least, greatest time.Duration) string {
	switch {
	case greatest == 0:
		return "-"
	case least == greatest:
		return fmt.Sprint(least.Milliseconds())
	default:
		return fmt.Sprintf("%d to %d", least.Milliseconds(), greatest.Milliseconds())
	}
}
