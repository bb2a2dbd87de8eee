package packing

import (
	"fmt"

	"snipegw/internal/model"
	"snipegw/internal/planner/pool"
)

// Check packs the guarantees of all teams into an idle pool of workers. It returns
// one sentence for each team and shape of which some guarantees find no place.
func Check(teams []model.Team, workers []model.Worker) []string {
	p := pool.New()
	for _, m := range workers {
		w, _ := p.Add(m)
		w.Up = true
	}
	plan := New(p)
	plan.SetTeams(teams)
	plan.Repack()
	var out []string
	for _, t := range teams {
		for _, g := range t.Guarantees {
			missing := 0
			for _, s := range plan.Slots {
				if s.Team == t.ID && s.Shape == g.Shape && s.Workers == nil {
					missing++
				}
			}
			if missing > 0 {
				out = append(out, fmt.Sprintf("team %s: %d of %d guarantees of %s do not pack into the pool",
					t.ID, missing, g.Count, Describe(g.Shape)))
			}
		}
	}
	return out
}

// Describe returns a shape as text for people.
func Describe(s model.Shape) string {
	return fmt.Sprintf("%d tasks x %d accelerators, %d cores, %d GB, adjacent %s",
		s.Tasks, s.AcceleratorsPerTask, s.CoresPerTask, s.MemoryGBPerTask, s.Adjacent)
}
