package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/accountant"
)

func prepareCustomers(f *flag.FlagSet, t *terminal) func(context.Context, []string) error {
	instances := f.String("instances", "", "the metrics `addresses` of entry instances on the hosting platform, separated by commas")
	customer := f.String("customer", "", "print only the customer of this `name`")
	return func(ctx context.Context, arguments []string) error {
		if err := errors.Join(requireFlags("instances", *instances), requireArguments(arguments, 0, "none")); err != nil {
			return usageError{err.Error()}
		}
		var lists [][]accountant.CustomerState
		failed := 0
		for _, a := range strings.Split(*instances, ",") {
			list, err := t.fetchCustomers(ctx, a)
			if err != nil {
				failed++
				fmt.Fprintf(t.out, "%s: no response: %v\n", a, err)
				continue
			}
			lists = append(lists, list)
		}
		t.printCustomers(accountant.MergeStates(lists...), *customer)
		if failed > 0 {
			return errors.Errorf("%d instances did not respond: connections and refusals are undercounted, and customers may be missing", failed)
		}
		return nil
	}
}

func (t *terminal) fetchCustomers(ctx context.Context, address string) ([]accountant.CustomerState, error) {
	body, err := t.request(ctx, http.MethodGet, address, accountant.PathCustomers)
	if err != nil {
		return nil, err
	}
	return accountant.DecodeStates(body)
}

// printCustomers prints a line for each customer, or only for the named one. The usage is
// unknown unless one of the instances keeps the customer's account.
func (t *terminal) printCustomers(list []accountant.CustomerState, name string) {
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "customer\tkeys\tper-second\tburst\tused-6s\tavailable\tasked-per-second\tconnections\trefused")
	for _, s := range list {
		if name != "" && s.Customer != name {
			continue
		}
		used, available, demand := "unknown", "unknown", "unknown"
		if s.IsAccountant {
			used, available, demand = fmt.Sprintf("%.0f", s.Used), fmt.Sprintf("%.0f", s.Available), fmt.Sprintf("%.1f", s.Demand)
		}
		fmt.Fprintf(w, "%s\t%d\t%g\t%g\t%s\t%s\t%s\t%d\t%d\n", s.Customer, s.Keys, s.PerSecond, s.Burst, used, available, demand, s.Connections, s.Refused)
	}
	_ = w.Flush()
}
