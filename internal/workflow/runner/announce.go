package runner

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/apex/log"

	"snipegw/internal/kernel"
	"snipegw/internal/workflow"
)

// Sink receives the announcements of the worker on this host.
type Sink interface {
	// Announce handles an announcement.
	Announce(*workflow.Announcement)
	// Deregister handles the message that an instance terminates now.
	Deregister(instance string)
}

// Announcements holds the registered HTTP protocols in which workers announce
// themselves. Each returns the handler that decodes announcements for a Sink.
var Announcements = kernel.NewRegistry[func(Sink) http.Handler]("announcement protocol")

const (
	// maxCandidates limits the incarnations whose announcements are kept. A worker has two
	// around a restart, and other writers may announce more.
	maxCandidates = 16
	// serviceKeepTime is the time after the latest announcement of an incarnation during which
	// one that names another service is ignored. It covers several lost announcements.
	serviceKeepTime = 10 * time.Second
	// announcedLogLines limits the lines of announced changes in each announcedLogPeriod.
	announcedLogLines  = 20
	announcedLogPeriod = 10 * time.Second
)

// errOtherService rejects an announcement.
var errOtherService = errors.New("the incarnation announces another service")

// candidate is an incarnation that has announced itself. It may be one of another writer.
type candidate struct {
	announcement *workflow.Announcement // latest one
	firstAt      time.Time              // arrival of the first announcement
	latestAt     time.Time
	refuted      bool // the worker has answered as another incarnation since the first announcement
}

// Announce records an announcement of the worker, unless it is older than the recorded one of
// its incarnation. The announcement may come from another writer: only the worker's answer to a
// poll shows which incarnation it is. An incarnation that was born later than the one that
// answers keeps starts from it until the next answer.
func (r *Runner) Announce(a *workflow.Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.StartedMS < r.startedMS {
		return // of a former incarnation
	}
	now := time.Now()
	c := r.candidate(a.Instance, a.StartedMS)
	switch {
	case c == nil:
		r.addCandidate(candidate{announcement: a, firstAt: now, latestAt: now})
	case a.Seq < c.announcement.Seq:
		return // a newer announcement has already arrived
	case a.Service != c.announcement.Service && now.Sub(c.latestAt) < serviceKeepTime:
		kernel.Rejections.Report("announcement_unreadable", "announcement", a.Instance, errOtherService, "announcement contradicts an earlier one and is ignored")
		return
	default:
		c.announcement, c.latestAt = a, now
	}
	if s := r.successor(); s != nil && s.announcement == a && c == nil && r.answered() {
		r.logAnnounced(a)
	}
	if a.StartedMS > r.startedMS && !r.candidate(a.Instance, a.StartedMS).refuted {
		select {
		case r.incarnationKnown <- struct{}{}:
		default:
		}
	}
	r.updateAnnounced()
}

// updateAnnounced selects the announcement to report, and logs and publishes a change. The
// caller holds r.mu.
func (r *Runner) updateAnnounced() {
	former := r.announced
	if !r.selectAnnounced() {
		return
	}
	if a := r.announced; a != nil && (former == nil || former.Instance != a.Instance || former.StartedMS != a.StartedMS || former.Draining != a.Draining) {
		r.logAnnounced(a)
	}
	r.publish()
}

// candidate returns the candidate for an incarnation, nil if it has not announced itself. The
// caller holds r.mu.
func (r *Runner) candidate(instance string, startedMS int64) *candidate {
	for i := range r.candidates {
		if a := r.candidates[i].announcement; a.Instance == instance && a.StartedMS == startedMS {
			return &r.candidates[i]
		}
	}
	return nil
}

// addCandidate adds a candidate, in the place of the one that has announced itself least
// recently if there are too many. The incarnation that answers is kept. The caller holds r.mu.
func (r *Runner) addCandidate(c candidate) {
	if len(r.candidates) >= maxCandidates {
		least := -1
		for i := range r.candidates {
			if r.candidates[i].announcement != r.announced && (least < 0 || r.candidates[i].latestAt.Before(r.candidates[least].latestAt)) {
				least = i
			}
		}
		r.candidates = slices.Delete(r.candidates, least, least+1)
	}
	r.candidates = append(r.candidates, c)
}

// successor returns the latest incarnation that may have replaced the one that has answered, nil
// if there is none: a later one under the same id, as a call that names another id is refused by
// the worker itself. The caller holds r.mu.
func (r *Runner) successor() *candidate {
	var latest *candidate
	for i := range r.candidates {
		c := &r.candidates[i]
		if c.refuted || c.announcement.StartedMS <= r.startedMS || r.instance != "" && c.announcement.Instance != r.instance {
			continue
		}
		if latest == nil || c.announcement.StartedMS > latest.announcement.StartedMS {
			latest = c
		}
	}
	return latest
}

// isConfirmed reports whether the incarnation in r.startedMS has answered the latest poll
// and no later one may have replaced it. The caller holds r.mu.
func (r *Runner) isConfirmed() bool { return !r.answeredAt.IsZero() && r.successor() == nil }

// settleCandidates records that the incarnation in r.startedMS has answered a poll that was sent
// at sentAt. It forgets former incarnations, and refutes later ones that had announced themselves
// before: they do not listen at the worker's address. The caller holds r.mu.
func (r *Runner) settleCandidates(sentAt time.Time) {
	r.candidates = slices.DeleteFunc(r.candidates, func(c candidate) bool { return c.announcement.StartedMS < r.startedMS })
	for i := range r.candidates {
		c := &r.candidates[i]
		switch {
		case c.announcement.StartedMS > r.startedMS && c.firstAt.Before(sentAt) && !c.refuted:
			c.refuted = true
			kernel.Rejections.Report("announcement_refuted", "announcement", c.announcement.Instance,
				fmt.Errorf("born %d, but the incarnation born %d answers", c.announcement.StartedMS, r.startedMS), "an incarnation announced itself that does not listen at the worker's address; it is ignored until it answers")
		case c.announcement.StartedMS == r.startedMS && c.announcement.Instance == r.instance:
			c.refuted = false
		}
	}
	r.updateAnnounced()
}

// refuteInstance records that the worker has refused a call for the instance as the incarnation
// in r.startedMS. The caller holds r.mu.
func (r *Runner) refuteInstance(instance string) {
	if c := r.candidate(instance, r.startedMS); c != nil {
		c.refuted = true
	}
}

// announcedInstance returns the id under which an incarnation has announced itself, empty if it
// has not. The caller holds r.mu.
func (r *Runner) announcedInstance(startedMS int64) string {
	for _, c := range r.candidates {
		if c.announcement.StartedMS == startedMS && !c.refuted {
			return c.announcement.Instance
		}
	}
	return ""
}

// selectAnnounced sets r.announced to the announcement of the incarnation that has answered
// last, or of the latest one if none has answered, and reports whether its content has changed.
// The caller holds r.mu.
func (r *Runner) selectAnnounced() (changed bool) {
	var selected *candidate
	for i := range r.candidates {
		c := &r.candidates[i]
		a := c.announcement
		if r.answered() && (a.StartedMS != r.startedMS || r.instance != "" && a.Instance != r.instance) {
			continue
		}
		if selected == nil || selected.refuted && !c.refuted || selected.refuted == c.refuted && a.StartedMS > selected.announcement.StartedMS {
			selected = c
		}
	}
	former := r.announced
	r.announced = nil
	if selected != nil {
		r.announced = selected.announcement
	}
	if former == nil || r.announced == nil {
		return former != r.announced
	}
	a := r.announced
	return former.Draining != a.Draining || former.Instance != a.Instance || former.StartedMS != a.StartedMS || former.Capacity != a.Capacity || former.Service != a.Service
}

// answered reports whether any incarnation of the worker has answered. The caller holds r.mu.
func (r *Runner) answered() bool { return r.startedMS != 0 }

// logAnnounced logs the announcement of another incarnation or state. Other writers may announce
// any number of incarnations, so it skips lines that follow too soon. The caller holds r.mu.
func (r *Runner) logAnnounced(a *workflow.Announcement) {
	now := time.Now()
	if now.Sub(r.announcedLogAt) > announcedLogPeriod {
		r.announcedLogAt, r.announcedLogLines = now, 0
	}
	if r.announcedLogLines++; r.announcedLogLines > announcedLogLines {
		return
	}
	log.WithFields(log.Fields{
		"event": "worker_announced", "worker": a.Instance, "born": a.StartedMS, "draining": a.Draining,
		"remaining_ms": a.RemainingMS, "seq": a.Seq, "service": a.Service,
	}).Info("the worker has announced a new state")
}

// Deregister records that an instance terminates now. The message does not name the
// incarnation and may be late, so it counts only for one that has announced that it drains,
// unless a later one may have replaced it.
func (r *Runner) Deregister(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.announced == nil || r.announced.Instance != instance || !r.announced.Draining || r.answered() && r.successor() != nil {
		log.WithFields(log.Fields{"event": "worker_goodbye_ignored", "worker": instance}).Info("the worker has deregistered without announcing that it drains")
		return
	}
	r.deregistered = r.announced
	log.WithFields(log.Fields{"event": "worker_goodbye", "worker": instance, "born": r.announced.StartedMS}).Info("the worker has deregistered")
	r.publish()
}
