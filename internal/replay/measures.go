package replay

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"snipegw/internal/model"
	"snipegw/internal/planner/framework"
)

// largeJobAccelerators is the smallest number of accelerators of a large job.
const largeJobAccelerators = 8

const (
	maxCallNS       = int64(time.Minute)
	histogramDigits = 3 // significant digits
	nanosPerMicro   = 1000
	bytesPerMB      = 1 << 20
	percentile95    = 0.95
	percentile99    = 0.99
	hdrPercentile50 = 50
	hdrPercentile99 = 99
	minCallNS       = 1
)

// Result holds the measurements of a replay and the violations of scheduling
// requirements. Completion times run from the submission of a job to its end;
// large jobs have their own. StretchMean is the mean ratio of the completion time
// to the recorded run time. Fragmentation is the share of the free accelerators
// that the largest waiting job can't use, as a mean over the time in which a job
// with accelerators waits. WastedShare is the share of accelerator time lost to
// preemption and to failed starts.
type Result struct {
	Policy                string   `json:"policy"`
	Jobs                  int      `json:"jobs"`
	Done                  int      `json:"done"`
	Cancelled             int      `json:"cancelled"`
	Failed                int      `json:"failed"`
	Refused               int      `json:"refused"`
	Lost                  int      `json:"lost"`
	PartialGangs          int      `json:"partial_gangs"`
	Overcommits           int      `json:"overcommits"`
	GuaranteeUnpacked     int      `json:"guarantee_unpacked"`
	GuaranteeUnknown      int      `json:"guarantee_unknown"`
	GuaranteeLate         int      `json:"guarantee_late"`
	UrgentLate            int      `json:"urgent_late"`
	CompletionMeanMS      float64  `json:"completion_mean_ms"`
	CompletionP95MS       float64  `json:"completion_p95_ms"`
	CompletionP99MS       float64  `json:"completion_p99_ms"`
	LargeCompletionMeanMS float64  `json:"large_completion_mean_ms"`
	LargeCompletionP95MS  float64  `json:"large_completion_p95_ms"`
	StretchMean           float64  `json:"stretch_mean"`
	Fragmentation         float64  `json:"fragmentation"`
	WastedShare           float64  `json:"wasted_share"`
	FailedStarts          int      `json:"failed_starts"`
	Preemptions           int      `json:"preemptions"`
	DecisionP50US         float64  `json:"decision_p50_us"`
	DecisionP99US         float64  `json:"decision_p99_us"`
	DecisionMaxUS         float64  `json:"decision_max_us"`
	PeakMemoryMB          float64  `json:"peak_memory_mb"`
	Violations            []string `json:"violations"`
}

// OK reports whether the policy met all scheduling requirements.
func (r *Result) OK() bool { return len(r.Violations) == 0 }

// measures collects the measurements of a replay.
type measures struct {
	callTimes       *hdrhistogram.Histogram
	policyCalls     int
	peakHeap        uint64 // bytes
	preemptions     int
	failedStarts    int
	busySeconds     float64 // accelerator-seconds of all attempts
	wastedSeconds   float64 // accelerator-seconds lost to preemption and to failed starts
	waitingSeconds  float64 // seconds in which a job with accelerators waits
	unusableSeconds float64 // waitingSeconds weighted by the unusable share of the free accelerators
}

// newMeasures returns empty measurements.
func newMeasures() *measures {
	return &measures{callTimes: hdrhistogram.New(minCallNS, maxCallNS, histogramDigits)}
}

func (m *measures) recordCall(d time.Duration) {
	m.policyCalls++
	_ = m.callTimes.RecordValue(min(max(int64(d), minCallNS), maxCallNS))
}

// recordAttempt adds the accelerator time of an attempt. Only preemption and
// failed starts count as wasted: the policy can't prevent work lost with a worker.
func (m *measures) recordAttempt(j *jobRun, ran, lost time.Duration, outcome framework.Outcome) {
	accelerators := float64(j.event.Accelerators())
	m.busySeconds += accelerators * ran.Seconds()
	switch outcome {
	case framework.OutcomeStartFailed:
		m.failedStarts++
		m.wastedSeconds += accelerators * ran.Seconds()
	case framework.OutcomeStopped:
		if !j.cancelled {
			m.wastedSeconds += accelerators * lost.Seconds()
		}
	}
}

// recordInterval adds the fragmentation of the current state over the duration d.
func (m *measures) recordInterval(e *Engine, d time.Duration) {
	var largest model.Shape
	waits := false
	for _, id := range e.jobIDs {
		j := e.jobs[id]
		if j.state == model.JobQueued {
			waits = true
			if j.event.Accelerators() > largest.Accelerators() {
				largest = j.event.Shape
			}
		}
	}
	if !waits || largest.Accelerators() == 0 {
		return
	}
	m.waitingSeconds += d.Seconds()
	free := e.pool.freeAccelerators()
	if free == 0 {
		return
	}
	m.unusableSeconds += d.Seconds() * float64(free-e.pool.usableAccelerators(largest)) / float64(free)
}

func (e *Engine) result() *Result {
	m := e.stats
	e.check.checkEnd(e.now)
	r := &Result{
		Jobs:              len(e.jobIDs),
		PartialGangs:      e.check.partialGangs,
		Overcommits:       e.check.overcommits,
		GuaranteeUnpacked: e.check.unpackedGuarantees,
		GuaranteeUnknown:  e.check.unknownPackings,
		GuaranteeLate:     e.check.guaranteeLate,
		UrgentLate:        e.check.urgentLate,
		FailedStarts:      m.failedStarts,
		Preemptions:       m.preemptions,
		DecisionP50US:     float64(m.callTimes.ValueAtPercentile(hdrPercentile50)) / nanosPerMicro,
		DecisionP99US:     float64(m.callTimes.ValueAtPercentile(hdrPercentile99)) / nanosPerMicro,
		DecisionMaxUS:     float64(m.callTimes.Max()) / nanosPerMicro,
		PeakMemoryMB:      float64(m.peakHeap) / bytesPerMB,
		Violations:        append([]string{}, e.check.violations...),
	}
	if m.busySeconds > 0 {
		r.WastedShare = m.wastedSeconds / m.busySeconds
	}
	if m.waitingSeconds > 0 {
		r.Fragmentation = m.unusableSeconds / m.waitingSeconds
	}
	e.summarizeJobs(r)
	return r
}

// summarizeJobs sets the counts of jobs by their final state and the completion
// times. A job without a final state counts as lost.
func (e *Engine) summarizeJobs(r *Result) {
	var all, large []float64
	stretch := 0.0
	for _, id := range e.jobIDs {
		j := e.jobs[id]
		switch j.state {
		case model.JobDone:
			r.Done++
			ms := float64(j.endedAt.Sub(timeAt(j.event.TimeMS)).Milliseconds())
			all = append(all, ms)
			stretch += ms / float64(max(j.event.ActualMS, 1))
			if j.event.Accelerators() >= largeJobAccelerators {
				large = append(large, ms)
			}
		case model.JobCancelled:
			r.Cancelled++
		case model.JobFailed:
			r.Failed++
		case model.JobRefused:
			r.Refused++
		default:
			r.Lost++
		}
	}
	r.CompletionMeanMS = mean(all)
	r.CompletionP95MS = quantile(all, percentile95)
	r.CompletionP99MS = quantile(all, percentile99)
	r.LargeCompletionMeanMS = mean(large)
	r.LargeCompletionP95MS = quantile(large, percentile95)
	if len(all) > 0 {
		r.StretchMean = stretch / float64(len(all))
	}
}

func mean(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / float64(len(v))
}

// quantile returns the q-quantile of v for q in [0, 1], or 0 if v is empty.
func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	sorted := append([]float64(nil), v...)
	sort.Float64s(sorted)
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
