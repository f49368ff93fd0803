package launcher

import (
	"sync"

	"github.com/oriolegw/oriolegw/internal/accountant"
	"github.com/oriolegw/oriolegw/internal/limiter"
)

// customerCounter counts events by customer. The zero value is ready for use.
type customerCounter struct {
	mutex  sync.Mutex
	counts map[string]int64
}

func (c *customerCounter) add(customer string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.counts == nil {
		c.counts = map[string]int64{}
	}
	c.counts[customer]++
}

func (c *customerCounter) get(customer string) int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.counts[customer]
}

// customerStates returns the limit, usage and refusals of each customer on this instance.
func (i *Instance) customerStates() []accountant.CustomerState {
	c := i.configuration.Load()
	if c == nil {
		return nil
	}
	held := map[string]int{}
	for _, b := range i.allBackends() {
		b.Pool.CountByCustomer(held)
	}
	accounts := map[string]limiter.Balance{}
	if i.peers != nil {
		for _, b := range i.peers.accountant.Ledger.Balances(i.Clock()) {
			accounts[b.Customer] = b
		}
	}
	var list []accountant.CustomerState
	for x := range c.Customers.All {
		s := accountant.CustomerState{
			Customer: x.Name, PerSecond: x.Limit.PerSecond, Burst: x.Limit.Burst, Keys: len(x.Keys),
			Connections: held[x.Name], Refused: i.limitRefusals.get(x.Name),
		}
		if b, ok := accounts[x.Name]; ok && b.Instances > 0 {
			s.IsAccountant, s.Used, s.Available, s.Leased, s.Demand = true, b.Used, b.Available, b.Leased, b.Demand
		}
		list = append(list, s)
	}
	return list
}

// countCustomers returns the number of customers in force and of their keys.
func (i *Instance) countCustomers() (customers, keys int64) {
	c := i.configuration.Load()
	if c == nil {
		return 0, 0
	}
	for x := range c.Customers.All {
		customers++
		keys += int64(len(x.Keys))
	}
	return customers, keys
}
