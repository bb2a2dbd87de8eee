package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"snipegw/internal/kernel"
)

// evacuateBound is the time after an acknowledged request to evacuate a failure domain within which
// starts there must cease. Entries get it in their settings.
const evacuateBound = 3 * time.Second

// evacuationInterval is the mean time from the end of an evacuation to the next request.
const evacuationInterval = 2 * time.Second

// requestEvacuations makes and withdraws requests to evacuate at random until ctx ends. It records
// a violation if an item starts in the failure domain later than evacuateBound after a request and
// before its withdrawal.
func (s *soak) requestEvacuations(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		kernel.Sleep(ctx, time.Duration(rng.Int64N(int64(2*evacuationInterval))))
		domain := zoneOf(s.cluster.Agents[rng.IntN(soakWorkers)].Name)
		key := "op/evacuate/" + domain
		s.cluster.Store.Put(key, []byte("{}"))
		requestedAt := time.Now()
		fmt.Fprintf(s.trace, "evacuate %s\n", domain)
		// Some requests are withdrawn before they must be in force.
		kernel.Sleep(ctx, time.Duration(rng.Int64N(int64(3*evacuateBound))))
		if last := s.cluster.Pool.LastStartIn(domain); last.After(requestedAt.Add(evacuateBound)) {
			s.addViolation("an item started in %s %v after the request to evacuate it", domain, last.Sub(requestedAt))
		}
		s.cluster.Store.Remove(key)
	}
}
