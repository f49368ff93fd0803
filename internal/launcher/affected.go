package launcher

import (
	"github.com/oriolegw/oriolegw/internal/accountant"
	"github.com/oriolegw/oriolegw/internal/tabulator"
)

// recordAffected counts an affected statement of a caller.
func (i *Instance) recordAffected(k tabulator.Key) {
	i.affected.Add(i.Clock(), k, 1)
	switch k.Kind {
	case tabulator.Waited:
		i.metrics.Counter(metricWaited).Inc(1)
	case tabulator.Late:
		i.metrics.Counter(metricLate).Inc(1)
	}
}

// limitsPage returns this instance's view of the limits and of the affected operations.
func (i *Instance) limitsPage() accountant.LimitsPage {
	p := accountant.LimitsPage{Instance: i.Settings.Name, Zone: i.Settings.Zone, Affected: i.affected.Rows(i.Clock())}
	c := i.configuration.Load()
	if c == nil {
		return p
	}
	accounts, queues := map[string]*accountant.AccountState{}, map[string]*accountant.QueueState{}
	if i.peers != nil {
		for _, s := range i.peers.accountant.Schedules() {
			accounts[s.Customer] = accountant.NewAccountState(s)
		}
		for _, s := range i.peers.accountant.Reserver.Schedules(i.Clock()) {
			queues[s.Customer] = accountant.NewQueueState(s)
		}
	}
	for x := range c.Customers.All {
		p.Limits = append(p.Limits, accountant.LimitState{
			Customer: x.Name, PerSecond: x.Limit.PerSecond, Burst: x.Limit.Burst, Account: accounts[x.Name], Queue: queues[x.Name],
		})
	}
	return p
}

// configurationVersion returns the version in force, 0 without one.
func (i *Instance) configurationVersion() int64 {
	if c := i.configuration.Load(); c != nil {
		return c.Version
	}
	return 0
}
