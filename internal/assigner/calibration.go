package assigner

import (
	"math"
	"time"
)

const (
	// Time constant with which the demand and the use of capacity are compared: several times that of
	// requests at engines, so that a peak whose requests still run does not count as slow engines.
	calibrationTime = 10 * time.Second
	// Largest factor by which requests are assumed to need more engine time than estimated.
	maxFactor = 3
)

// Calibration compares the demand with the use of the engines, all regions together: where engines are slower, or
// their memory smaller, than the estimates of requests assume, more of their slots are in use.
type Calibration struct{ demand, used float64 }

// Update adds the demand and the used capacity, in engine seconds a second, over the time since the last call. It
// returns the factor by which requests need more engine time than estimated: 1 or more, as engines that are not
// full have fewer slots in use than engine time.
func (c *Calibration) Update(demand, used float64, elapsed time.Duration) float64 {
	weight := 1 - math.Exp(-clamp(elapsed.Seconds()/calibrationTime.Seconds(), 0, 100))
	c.demand += weight * (clamp(demand, 0, maxWork) - c.demand)
	c.used += weight * (clamp(used, 0, maxWork) - c.used)
	if c.demand <= minDemand {
		return 1
	}
	return clamp(c.used/c.demand, 1, maxFactor)
}
