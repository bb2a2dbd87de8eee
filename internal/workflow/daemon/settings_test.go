package daemon

import (
	"testing"

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
