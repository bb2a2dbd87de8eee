// Package kernel is the part that all programs share: life cycle, registry of
// plug-ins, settings, logging, metrics and the state dump. It knows no plug-in.
package kernel

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
)

// StopLimit is the upper limit of a graceful stop.
const StopLimit = 70 * time.Second // longer than the longest request timeout

// Component is a part of a program with a life cycle.
type Component interface {
	// Name identifies the component in logs.
	Name() string
	// Start begins the work and returns; the context ends when the program
	// must end at once.
	Start(ctx context.Context) error
	// Stop ends the work gracefully. It returns when nothing is in progress or
	// when ctx ends, which is at StopLimit at the latest.
	Stop(ctx context.Context) error
}

// Reloader is a Component that takes changed settings while it runs.
type Reloader interface {
	// Reload reads the settings again. On an error the former ones stay in
	// force.
	Reload() error
}

// Trigger is a Component that asks for a reload by itself.
type Trigger interface {
	// Changed receives a value when the settings should be read again. It is
	// called before Start.
	Changed() <-chan struct{}
}

// Run starts the components in order, waits for SIGTERM or SIGINT (or for the
// end of parent), and stops them in reverse order. A second signal ends the
// program at once. SIGHUP, or a Trigger among the components, makes the Reloaders
// among them reload.
func Run(parent context.Context, components ...Component) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	defer cancel()
	changed := triggered(components)
	started, err := start(ctx, components)
	if err != nil {
		return errors.Join(err, stop(started, nil))
	}
	log.WithField("event", "started").Info("program started")
	for running := true; running; {
		select {
		case s := <-signals:
			log.WithField("event", "stop_requested").WithField("signal", s.String()).Info("graceful stop begins")
			running = false
		case <-hangups:
			reload(components)
		case <-changed:
			reload(components)
		case <-parent.Done():
			running = false
		}
	}
	err = stop(started, signals)
	log.WithField("event", "stopped").Info("program stopped")
	return err
}

// triggered returns the channel of the Trigger among the components, nil if there
// is none.
func triggered(components []Component) <-chan struct{} {
	for _, c := range components {
		if t, ok := c.(Trigger); ok {
			return t.Changed()
		}
	}
	return nil
}

func reload(components []Component) {
	for _, c := range components {
		r, ok := c.(Reloader)
		if !ok {
			continue
		}
		if err := r.Reload(); err != nil {
			log.WithFields(log.Fields{"event": "reload_refused", "component": c.Name(), "error": err.Error()}).Error("the former settings stay in force")
			continue
		}
		log.WithFields(log.Fields{"event": "reloaded", "component": c.Name()}).Info("settings reloaded")
	}
}

func start(ctx context.Context, components []Component) ([]Component, error) {
	for i, c := range components {
		if err := c.Start(ctx); err != nil {
			return components[:i], fmt.Errorf("start %s: %w", c.Name(), err)
		}
	}
	return components, nil
}

func stop(started []Component, again <-chan os.Signal) error {
	ctx, cancel := context.WithTimeout(context.Background(), StopLimit)
	defer cancel()
	go func() {
		select {
		case <-again:
			cancel()
		case <-ctx.Done():
		}
	}()
	var errs []error
	for i := len(started) - 1; i >= 0; i-- {
		if err := started[i].Stop(ctx); err != nil {
			errs = append(errs, fmt.Errorf("stop %s: %w", started[i].Name(), err))
		}
	}
	return errors.Join(errs...)
}
