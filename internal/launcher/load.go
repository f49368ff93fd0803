package launcher

import (
	"context"
	"time"

	"github.com/oriolegw/oriolegw/internal/sleeper"
)

const (
	// loadInterval is the time between two samples of the processor load and two decisions on moves
	// of connections.
	loadInterval = 500 * time.Millisecond
	// loadWeight is the weight of a sample in the moving average, which thus follows a change
	// within about 2 s.
	loadWeight = 0.25
)

// loadAverage is the moving average of the used part of the CPU limit. The zero value has no sample.
type loadAverage struct {
	value float64
	used  time.Duration
	at    time.Duration
}

// add adds the processor time used so far, at a time on any monotonic scale, and returns the average;
// 0 after the first call.
func (l *loadAverage) add(now, used time.Duration, cores float64) float64 {
	if elapsed := now - l.at; l.at != 0 && elapsed > 0 && cores > 0 && used >= l.used {
		sample := (used - l.used).Seconds() / elapsed.Seconds() / cores
		if l.value == 0 {
			l.value = sample
		}
		l.value += loadWeight * (sample - l.value)
	}
	l.used, l.at = used, now
	return l.value
}

// balanceLoad measures the processor load, reports it to peers, and hands over connections while the
// load is high. Without a known CPU limit it does nothing.
func (i *Instance) balanceLoad(ctx context.Context) error {
	if i.ProcessorTime == nil || i.Settings.Cores <= 0 || i.peers == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	var average loadAverage
	for {
		if err := sleeper.Sleep(ctx, loadInterval); err != nil {
			return err
		}
		load := average.add(i.Clock(), i.ProcessorTime(), i.Settings.Cores)
		i.peers.exchanger.Discoverer.SetLoad(int(load * 1000))
		i.loadMilli.Store(int64(load * 1000))
		if n := i.peers.forwarder.Balance(load, i.usedMembers()); n > 0 {
			i.metrics.Counter(metricMoves).Inc(int64(n))
		}
	}
}

// usedMembers returns the members of the groups whose state this instance keeps.
func (i *Instance) usedMembers() map[string][]string {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	groups := make(map[string][]string, len(i.backends))
	for name := range i.backends {
		for _, m := range i.members[name] {
			groups[name] = append(groups[name], m.ID)
		}
	}
	return groups
}
