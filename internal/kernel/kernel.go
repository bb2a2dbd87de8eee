// Package kernel is the runtime shared by all programs: component life cycle,
// plug-in registry, settings, logging, metrics and the state dump. It does not
// depend on any plug-in.
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

// StopTimeout is the timeout of a graceful stop. It exceeds the longest request
// timeout, so that requests in progress can finish.
const StopTimeout = 70 * time.Second

// Component is a part of a program with a life cycle.
type Component interface {
	// Name identifies the component in logs.
	Name() string
	// Start starts the component and returns without waiting for its work. ctx is
	// cancelled only after all components have been stopped.
	Start(ctx context.Context) error
	// Stop stops the component gracefully. It returns when no work is in progress
	// or when ctx is done, which is after StopTimeout at the latest.
	Stop(ctx context.Context) error
}

// Reloader is a Component that applies changed settings while it runs.
type Reloader interface {
	// Reload reads the settings again. On an error the previous settings stay in
	// effect.
	Reload() error
}

// ReloadTrigger is a Component that triggers reloads. Run finds it by assertion, so
// its method has a name that no component has for another purpose: a channel that is
// closed at a change, taken for a trigger, makes Run spin.
type ReloadTrigger interface {
	// ReloadRequests returns a channel that receives a value when the settings should
	// be read again. It is called once, before Start.
	ReloadRequests() <-chan struct{}
}

// Run starts the components in order, waits for SIGTERM, SIGINT or the end of
// parent, and stops the components in reverse order. A second signal aborts the
// graceful stop. SIGHUP or the first ReloadTrigger among the components makes all
// Reloaders among them reload. If a component fails to start, Run stops those
// already started and returns the error.
func Run(parent context.Context, components ...Component) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	defer cancel()
	reloadRequests := reloadChannel(components)
	started, err := start(ctx, components)
	if err != nil {
		return errors.Join(err, stop(started, nil))
	}
	log.WithField("event", "started").Info("program started")
	for running := true; running; {
		select {
		case s := <-signals:
			log.WithField("event", "stop_requested").WithField("signal", s.String()).Info("graceful stop started")
			running = false
		case <-hangups:
			reload(components)
		case _, open := <-reloadRequests:
			if !open {
				reloadRequests = nil // a closed channel would be ready for ever
				continue
			}
			reload(components)
		case <-parent.Done():
			running = false
		}
	}
	err = stop(started, signals)
	log.WithField("event", "stopped").Info("program stopped")
	return err
}

// reloadChannel returns the channel of the first ReloadTrigger among the
// components, nil if there is none.
func reloadChannel(components []Component) <-chan struct{} {
	for _, c := range components {
		if t, ok := c.(ReloadTrigger); ok {
			return t.ReloadRequests()
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
			log.WithFields(log.Fields{"event": "reload_refused", "component": c.Name(), "error": err.Error()}).Error("reload failed, the previous settings stay in effect")
			continue
		}
		log.WithFields(log.Fields{"event": "reloaded", "component": c.Name()}).Info("settings reloaded")
	}
}

// start starts the components in order and returns those that have started.
func start(ctx context.Context, components []Component) ([]Component, error) {
	for i, c := range components {
		if err := c.Start(ctx); err != nil {
			return components[:i], fmt.Errorf("start %s: %w", c.Name(), err)
		}
	}
	return components, nil
}

// stop stops the components in reverse order. Their context is cancelled after
// StopTimeout or when a signal arrives on secondSignal.
func stop(started []Component, secondSignal <-chan os.Signal) error {
	ctx, cancel := context.WithTimeout(context.Background(), StopTimeout)
	defer cancel()
	go func() {
		select {
		case <-secondSignal:
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
