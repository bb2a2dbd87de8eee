package forecast

import (
	"math"
	"time"
)

// gammaRate is the distribution of an unknown rate of arrivals: a gamma distribution,
// as after shape arrivals in the given number of seconds.
type gammaRate struct{ shape, seconds float64 }

// rateOf returns the present rate of the arrivals in list. What the short window holds
// is weighed against the rate in the long one, which counts as observed for as long: so
// the forecast follows a burst or a wave, but not a single arrival.
func rateOf(list []arrival, now time.Time, short, long time.Duration) gammaRate {
	inShort := 0
	for _, a := range list {
		if now.Sub(a.at) <= short {
			inShort++
		}
	}
	span := long
	if len(list) == maxArrivals {
		span = now.Sub(list[0].at) // older ones were dropped
	}
	usual := float64(len(list)) * short.Seconds() / max(span, short).Seconds()
	return gammaRate{shape: usual + float64(inShort), seconds: 2 * short.Seconds()}
}

// sizeSteps is the number of amounts that a resource of the pool is divided into. Finer
// steps change a quantile by less than half a percent of the pool.
const sizeSteps = 128

// sizes is the distribution of what an arriving job needs of one resource.
type sizes struct {
	step   float64 // amount that an index of weight stands for
	weight [sizeSteps + 1]float64
	sum    float64
}

// newSizes returns an empty distribution for a resource of which the pool has total.
func newSizes(total int64) *sizes {
	return &sizes{step: math.Max(float64(total)/sizeSteps, 1)}
}

func (s *sizes) add(amount int64, weight float64) {
	i := min(int(math.Round(float64(amount)/s.step)), sizeSteps)
	if amount > 0 {
		i = max(i, 1)
	}
	s.weight[i] += weight
	s.sum += weight
}

// maxMeanArrivals bounds the expected number of arrivals within a horizon for which the
// distribution is computed; with more, its first probability is too small for a float.
const maxMeanArrivals = 300

// quantile returns the amount that jobs arriving within a time need in total with at most
// the given probability. The number of arrivals at a gamma distributed rate has a negative
// binomial distribution; the total follows from it by the recursion of Panjer.
func (s *sizes) quantile(rate gammaRate, within time.Duration, probability float64) int64 {
	mean := rate.shape / rate.seconds * within.Seconds()
	if s.sum == 0 || mean == 0 {
		return 0
	}
	if mean > maxMeanArrivals {
		return int64(s.step * sizeSteps)
	}
	// Arrivals without need of the resource are left out.
	share := 1 - s.weight[0]/s.sum
	t := within.Seconds() * share
	a := t / (rate.seconds + t)
	b := (rate.shape - 1) * a
	var total [sizeSteps + 1]float64
	total[0] = math.Pow(1-a, rate.shape)
	reached := total[0]
	for i := 1; reached < probability && i <= sizeSteps; i++ {
		for j := 1; j <= i; j++ {
			if w := s.weight[j]; w > 0 {
				total[i] += (a + b*float64(j)/float64(i)) * w / (s.sum - s.weight[0]) * total[i-j]
			}
		}
		if reached += total[i]; reached >= probability || i == sizeSteps {
			return int64(math.Ceil(s.step * float64(i)))
		}
	}
	return 0
}
