package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"snipegw/internal/entry/limits"
	"snipegw/internal/entry/router"
	"snipegw/internal/members"
	"snipegw/internal/model"
	"snipegw/internal/wire"
)

const (
	routingWorkers = 1400
	// decisionsPerBatch is the number of decisions between two reads of the clock,
	// so that the reads do not distort the rate.
	decisionsPerBatch = 1000
)

var routingThreads = []int{1, 2, 4, 8}

// staticMembers is a membership that never changes.
type staticMembers struct{ view *members.View }

func (m *staticMembers) View() *members.View      { return m.view }
func (m *staticMembers) Changed() <-chan struct{} { return nil }

// newRoutingView returns a membership view of n live workers that all serve
// benchService.
func newRoutingView(n int) *members.View {
	v := &members.View{Workers: make(map[string]*members.Worker)}
	for i := range n {
		id := fmt.Sprintf("w%04d", i)
		v.Workers[id] = &members.Worker{Health: members.Alive, State: wire.WorkerState{
			Worker: model.Worker{ID: id}, Incarnation: "1", Address: "127.0.0.1:1",
			Services: []wire.ServiceState{{Service: benchService, Slots: 8, Healthy: true}},
		}}
	}
	return v
}

// routingSection measures the rate of routing decisions for one service at several
// numbers of threads. The baseline is the rate of one thread in the same run.
func routingSection(o *options, r *report) error {
	routes := router.New("bench", &staticMembers{newRoutingView(routingWorkers)})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go routes.Run(ctx) // refreshes the counters as in an entry
	if err := waitFor("routing snapshot", func() bool { _, err := routes.Service(benchService); return err == nil }); err != nil {
		return err
	}
	teams := &limits.Teams{}
	teams.SetConfig(&model.Config{Teams: []model.Team{{ID: "bench", Weight: 1}}})
	team, err := teams.Get("bench")
	if err != nil {
		return err
	}
	chooseWorker := func() error {
		svc, err := routes.Service(benchService)
		if err != nil {
			return err
		}
		choice := routes.Begin(svc, nil)
		choice.End(false, routes.NowMS())
		return nil
	}
	chooseWithCounters := func() error {
		stripe, err := team.Begin()
		if err != nil {
			return err
		}
		defer team.End(stripe)
		svc, err := routes.Service(benchService)
		if err != nil {
			return err
		}
		if err := svc.Limiter.Acquire(ctx, stripe, team); err != nil {
			return err
		}
		defer svc.Limiter.Release(stripe, time.Microsecond)
		return chooseWorker()
	}
	r.title("Routing decisions, %d workers, subset of %d", routingWorkers, router.SubsetSize)
	r.row("decision", "threads", "million/s", "ns each", "of linear scaling")
	for _, c := range []struct {
		name   string
		decide func() error
	}{{"choice of a worker", chooseWorker}, {"choice with team and service counters", chooseWithCounters}} {
		if err := measureScaling(o, r, c.name, c.decide); err != nil {
			return err
		}
	}
	return nil
}

// measureScaling prints the rate of decide for each number of threads, and its
// share of linear scaling from one thread. Each number of threads takes a fifth of
// the measurement time.
func measureScaling(o *options, r *report, name string, decide func() error) error {
	base := 0.0
	for _, threads := range routingThreads {
		rate, err := decisionRate(threads, o.MeasureTime/5, decide)
		if err != nil {
			return err
		}
		if threads == 1 {
			base = rate
		}
		r.row(name, threads, rate/1e6, float64(threads)*1e9/rate, fmt.Sprintf("%.0f%%", 100*rate/(base*float64(threads))))
	}
	return nil
}

// decisionRate calls decide on several threads for the duration d and returns the
// decisions per second of all threads together.
func decisionRate(threads int, d time.Duration, decide func() error) (float64, error) {
	var wg sync.WaitGroup
	counts := make([]int, threads)
	errs := make([]error, threads)
	begin := time.Now()
	for i := range threads {
		wg.Go(func() {
			n := 0
			for time.Since(begin) < d {
				for range decisionsPerBatch {
					if err := decide(); err != nil {
						errs[i] = err
						return
					}
				}
				n += decisionsPerBatch
			}
			counts[i] = n
		})
	}
	wg.Wait()
	total := 0
	for i, n := range counts {
		if errs[i] != nil {
			return 0, errs[i]
		}
		total += n
	}
	return float64(total) / time.Since(begin).Seconds(), nil
}
