package daemon

import (
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"snipegw/internal/kernel"
	"snipegw/internal/workflow/engine"
)

// Guards against a bound of evacuations that orders under way cannot keep.
func TestEvacuateMSLeavesTimeForOrders(t *testing.T) {
	least := engine.StartExpiry().Milliseconds() + minOrderAgeMS
	for value, valid := range map[int64]bool{-1: false, 0: true, 1: false, least - 1: false, least: true, 5000: true} {
		s := EntrySettings{EvacuateMS: value}
		var faults kernel.ValidationErrors
		s.Validate("workflow", &faults)
		matcher := ContainElement(HaveField("Path", "workflow.evacuate_ms"))
		if valid {
			matcher = Not(matcher)
		}
		NewWithT(t).Expect(faults).To(matcher, "%d ms", value)
	}
}

// Guards against a promise of the platform that the entries are not told, and against records that are removed
// just when it ends, while an entry may show the end 3 s late and clocks are up to 2% fast.
func TestRecordsOfEndedJobsOutliveThePromise(t *testing.T) {
	for promised, s := range map[time.Duration]EntrySettings{
		120 * time.Second: {}, 90 * time.Second: {KeepEndedS: 90}, 1500 * time.Millisecond: {KeepEndedS: 1.5}, 20 * time.Second: {KeepEndedMS: 20_000},
	} {
		s.Provision()
		var faults kernel.ValidationErrors
		s.Validate("workflow", &faults)
		g := NewWithT(t)
		g.Expect(faults).NotTo(ContainElement(HaveField("Path", HavePrefix("workflow.keep_ended"))))
		g.Expect(time.Duration(s.KeepEndedMS) * time.Millisecond).To(Equal(promised))
		g.Expect(s.endedJobRetention()).To(BeNumerically(">=", promised+promised/50+3*time.Second))
	}
	for _, s := range []EntrySettings{{KeepEndedS: -1}, {KeepEndedS: 90, KeepEndedMS: 80_000}} {
		s.Provision()
		var faults kernel.ValidationErrors
		s.Validate("workflow", &faults)
		NewWithT(t).Expect(faults).To(ContainElement(HaveField("Path", "workflow.keep_ended_s")))
	}
}

// Guards against a template that leaves the entries with a default where the platform states its own bound.
func TestTemplateOfEntriesPassesTheBoundsOn(t *testing.T) {
	template, err := os.ReadFile("../../../deploy/entry.json.tmpl")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for key, bound := range map[string]string{
		"max_lease_ms": "maxHoldMs", "stop_timeout_ms": "stopTimeoutMs", "reclaim_ms": "reclaimMs", "evacuate_ms": "evacuateMs", "keep_ended_s": "status_s",
	} {
		NewWithT(t).Expect(string(template)).To(ContainSubstring("%q: {{bounds.%s}}", key, bound))
	}
}
