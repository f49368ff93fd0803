package scheduler

import "time"

// costWeight is the weight of a new sample in the moving average of costs.
const costWeight = 0.2

// Cost is the moving average of the slot time of a flow's statements. The zero value is unknown.
type Cost struct{ average time.Duration }

// Add adds a measured slot time.
func (c *Cost) Add(measured time.Duration) {
	if c.average == 0 {
		c.average = measured
		return
	}
	c.average += time.Duration(costWeight * float64(measured-c.average))
}

// Estimate returns the average, or other if it is unknown.
func (c *Cost) Estimate(other time.Duration) time.Duration {
	if c.average == 0 {
		return other
	}
	return c.average
}
