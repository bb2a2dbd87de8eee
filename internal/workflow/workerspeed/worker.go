package workerspeed

import (
	"math"
	"slices"
	"time"

	"snipegw/internal/workflow/framework"
)

// Figures of the estimate. Variances and shifts are of logarithms of run times.
const (
	// levelVariance is the variance of the levels of workers before anything is known: a
	// third of the workers are more than 1.25 times as fast or slow as a typical one.
	levelVariance = 0.06
	// itemVariance is the variance of the run times of the items of a step on equal
	// workers; estimateVariance that of run times against the estimate. Of the items of
	// one step on one worker the slower of two took 1.45 times as long at the median.
	itemVariance     = 0.16
	estimateVariance = 0.64
	// minGroup is the number of items from which a step has a usable median.
	minGroup = 4
	// maxLevelsPerGroup limits how often one step counts for a worker, so that a wide
	// one does not dominate.
	maxLevelsPerGroup = 5
	// maxDeviation bounds what one item contributes, a factor of 2.5: some items are
	// long by themselves.
	maxDeviation = 0.92
	// recentItems is the number of items in a row whose mean deviation shows that a worker
	// is slow whatever was known of it. On equal workers the mean reaches slowMean, a factor
	// of 1.9, with about 1 of 10,000 such rows.
	recentItems = 5
	slowMean    = 0.65
	// slowVariance is the variance of a level that is the mean of recentItems items.
	slowVariance = itemVariance / recentItems
	// levelMemory is the time in which a level is forgotten for the most part while items
	// go on telling it, and idleMemory that after idleAfter without one. A slow worker is
	// avoided, so that no item tells when it has recovered.
	levelMemory = time.Minute
	idleMemory  = 12 * time.Second
	idleAfter   = 10 * time.Second
	// levelSignificance is the number of standard errors from which a level starts to
	// count, levelEnd that at which it ceases to, and minLevel the least one. Equal workers
	// must keep a slowness of exactly 1.
	levelSignificance = 3.5
	levelEnd          = 2
	minLevel          = 0.18
	// shiftStart and shiftEnd are the slowdowns, factors of 1.42 and 1.22, at which a
	// worker starts and ceases to count as slowed. Whole percents alone stay below
	// shiftStart.
	shiftStart = 0.35
	shiftEnd   = 0.2
	// shiftVariance is the variance of a shift that nothing has confirmed for long.
	shiftVariance = 0.5
	// shiftGain is the share of a small change that the shift follows with each window.
	shiftGain = 0.3
	// slownessStep is the ratio of two neighbouring values of the slowness.
	slownessStep = 1.19
)

// worker holds what is known of a worker. The logarithm of its slowness is the sum of its
// level, learned by comparing items of one step, and a shift, the change of speed within
// runs, to which the error of estimates and the size of items do not contribute.
type worker struct {
	level     float64
	variance  float64   // of the error of level
	levelTime time.Time // up to which the level has faded
	learnedAt time.Time // when an item last told the level
	levelled  bool      // level counts, see levelSignificance
	recent    []float64 // deviations of the latest items from their steps, without the shift
	shift     float64
	shiftTime time.Time // up to which shift has faded
	shifted   bool      // shift counts, see shiftStart
	// changes counts the changes of speed. A run that began before the latest one
	// confirms the shift, most recently at confirmedAt; others tell only changes.
	changes     int
	confirmedAt time.Time
	runs        map[framework.Run]*run
}

func newWorker() *worker {
	return &worker{variance: levelVariance, runs: make(map[framework.Run]*run)}
}

// total returns the logarithm of the slowness as estimated, known or not.
func (w *worker) total(now time.Time) float64 {
	w.forgetLevel(now)
	return w.level + w.shift
}

// forgetLevel lets the level and what is known of it fade.
func (w *worker) forgetLevel(now time.Time) {
	if elapsed := now.Sub(w.levelTime); !w.levelTime.IsZero() && elapsed > 0 {
		memory := levelMemory
		if now.Sub(w.learnedAt) > idleAfter {
			memory = idleMemory
		}
		kept := math.Exp(-elapsed.Seconds() / memory.Seconds())
		w.level *= kept
		w.variance = levelVariance - (levelVariance-w.variance)*kept*kept
	}
	w.levelTime = now
}

// shiftAt returns the shift at now: it fades while no run confirms it.
func (w *worker) shiftAt(now time.Time, halfLife time.Duration) float64 {
	from := w.confirmedAt.Add(freshWindow)
	if w.shiftTime.After(from) {
		from = w.shiftTime
	}
	return w.shift * math.Exp2(-max(0, now.Sub(from).Seconds())/halfLife.Seconds())
}

// fadeShift lets the shift fade until now. Runs that began after the latest change of
// speed were taken to be slowed by all of it, and are taken to be longer by themselves
// now.
func (w *worker) fadeShift(now time.Time, halfLife time.Duration) {
	faded := w.shiftAt(now, halfLife)
	for _, r := range w.runs {
		if r.changes == w.changes {
			r.typical += w.shift - faded
		}
	}
	w.shift = faded
	if now.After(w.shiftTime) {
		w.shiftTime = now
	}
}

// unconfirmedVariance returns the variance of the shift at now, which grows while no run
// confirms it.
func (w *worker) unconfirmedVariance(now time.Time, halfLife time.Duration) float64 {
	age := now.Sub(w.confirmedAt) - freshWindow
	if !w.shifted || age <= 0 {
		return 0
	}
	return shiftVariance * (1 - math.Exp2(-age.Seconds()/halfLife.Seconds()))
}

// known returns the logarithm of the slowness as far as it is certain enough.
func (w *worker) known(now time.Time, halfLife time.Duration) float64 {
	sum := 0.0
	w.forgetLevel(now)
	if w.levelled && math.Abs(w.level) > max(minLevel, levelEnd*math.Sqrt(w.variance)) {
		sum += w.level
	}
	if shift := w.shiftAt(now, halfLife); w.shifted && shift > shiftEnd {
		sum += shift
	}
	return sum
}

// learnLevel compares the run time of an item with the median of its step or, with little
// weight, with the estimate.
func (m *Model) learnLevel(w *worker, r *run, p framework.Progress) {
	taken := r.group.levels[w]
	typical, variance := 0.0, 0.0
	switch {
	case len(r.group.times) >= minGroup && taken < maxLevelsPerGroup:
		typical, variance = median(r.group.times), itemVariance
	case taken == 0 && p.Expected > 0:
		typical, variance = math.Log(float64(p.Expected.Milliseconds()+1)), estimateVariance
	default:
		return
	}
	r.group.levels[w]++
	w.learnedAt = p.At
	before := w.total(p.At)
	deviation := r.times[1] - typical - before
	deviation = max(-maxDeviation, min(deviation, maxDeviation))
	shiftVariance := w.unconfirmedVariance(p.At, m.halfLife())
	sum := w.variance + shiftVariance + variance
	if shiftVariance > 0 {
		w.shift = max(0, w.shift+deviation*shiftVariance/sum)
	}
	raw := deviation + w.level
	w.level += deviation * w.variance / sum
	w.variance *= 1 - w.variance/sum
	if variance == itemVariance {
		w.addRecent(raw)
	}
	errors := float64(levelSignificance)
	if w.levelled {
		errors = levelEnd
	}
	w.levelled = math.Abs(w.level) > max(minLevel, errors*math.Sqrt(w.variance))
	// The runs here keep the shift that they show.
	for _, other := range w.runs {
		other.typical -= w.total(p.At) - before
	}
}

// addRecent takes the deviation of an item from its step, and sets the level if the latest
// ones show that the worker is slow.
func (w *worker) addRecent(deviation float64) {
	if len(w.recent) == recentItems {
		w.recent = slices.Delete(w.recent, 0, 1)
	}
	w.recent = append(w.recent, max(-maxDeviation, min(deviation, maxDeviation)))
	mean := 0.0
	for _, d := range w.recent {
		mean += d / recentItems
	}
	if len(w.recent) == recentItems && mean > slowMean && w.level < mean {
		w.level, w.variance = mean, slowVariance
	}
}

// updateShift sets the shift of a worker from the latest windows of its runs. One run
// counts only if two windows agree, of two the one that changes less, and of more the
// median, so that a single run with odd progress changes nothing.
func (w *worker) updateShift(now time.Time, halfLife time.Duration) {
	w.fadeShift(now, halfLife)
	var values []float64
	var last *run
	for _, r := range w.runs {
		if r.windows >= 2 && now.Sub(r.lastAt) <= freshWindow {
			values, last = append(values, r.times[0]-r.typical-w.level), r
			if r.changes < w.changes {
				w.confirmedAt = now
			}
		}
	}
	if len(values) == 1 {
		values = append(values, last.times[1]-last.typical-w.level)
	}
	var value float64
	switch len(values) {
	case 0:
		return
	case 2:
		value = values[0]
		if math.Abs(values[1]-w.shift) < math.Abs(value-w.shift) {
			value = values[1]
		}
		if (values[0] > w.shift) != (values[1] > w.shift) {
			value = w.shift
		}
	default:
		value = median(values)
	}
	w.setShift(value, now)
}

// setShift moves the shift to value: at once if that is a change of speed, else slowly.
func (w *worker) setShift(value float64, now time.Time) {
	change := value - w.shift
	jump := math.Abs(change) >= shiftStart
	if !jump {
		w.shift += shiftGain * change
	} else {
		w.shift, w.confirmedAt = value, now
		w.changes++
		w.recent = nil
		for _, r := range w.runs {
			r.changed = r.changed || r.windows >= 2
		}
	}
	if w.shift < -shiftStart || jump && w.shift < 0 {
		// The worker was slow when its runs began, which has ended now. What was learned
		// of its level was learned while it was slow.
		if w.level > 0 {
			w.level = max(0, w.level+w.shift)
		}
		w.variance, w.shift, w.levelled = levelVariance, 0, false
		for _, r := range w.runs {
			r.typical, r.changes = r.times[0]-w.level, w.changes
		}
	}
	w.shifted = w.shift > shiftStart || w.shifted && w.shift > shiftEnd
}
