package proof

import (
	"encoding/json"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"snipegw/internal/kernel"
	"snipegw/internal/workflow/daemon"
	_ "snipegw/platform"
)

func partsOf(seed uint64) WorkflowParts { return drawParts(rand.New(rand.NewPCG(seed, 8))) }

// Guards against soaks that all run with the same optional parts, so that a fault without
// evacuations stays unseen, and against a seed that does not repeat its parts.
func TestSoakPartsVaryBySeed(t *testing.T) {
	g := NewWithT(t)
	on, off := make(map[string]int), make(map[string]int)
	count := func(name string, isOn bool) {
		if isOn {
			on[name]++
		} else {
			off[name]++
		}
	}
	for seed := range uint64(64) {
		p := partsOf(seed)
		g.Expect(partsOf(seed)).To(Equal(p))
		section := make(map[string]any)
		p.addTo(section)
		count("evacuate_ms", section["evacuate_ms"] != nil)
		count("admission", section["admission"] != nil)
		for _, name := range optionalPlugins {
			count(name, section["plugins"].(map[string]any)[name] != nil)
		}
	}
	for _, name := range append([]string{"evacuate_ms", "admission"}, optionalPlugins...) {
		g.Expect(min(on[name], off[name])).To(BeNumerically(">=", 16), name)
	}
}

// Guards against a part whose settings an entry refuses.
func TestSoakPartsAreValidSettings(t *testing.T) {
	g := NewWithT(t)
	section := map[string]any{}
	WorkflowParts{Evacuation: true, Admission: true, Plugins: optionalPlugins}.addTo(section)
	data, err := json.Marshal(section)
	g.Expect(err).NotTo(HaveOccurred())
	settings := daemon.EntrySettings{}
	g.Expect(json.Unmarshal(data, &settings)).To(Succeed())
	settings.FrontAddress, settings.ReadyAddress, settings.Front, settings.ConfigFormat = "127.0.0.1:1", "127.0.0.1:2", "platform", "platform"
	settings.Store.Type, settings.Store.Addresses = "platform", []string{"127.0.0.1:3"}
	settings.Provision()
	var faults kernel.ValidationErrors
	settings.Validate("workflow", &faults)
	g.Expect(faults).To(BeEmpty())
	g.Expect(settings.EvacuateMS).To(BeEquivalentTo(evacuateBound.Milliseconds()))
	g.Expect(settings.Admission).NotTo(BeNil())
	g.Expect(settings.Plugins).To(HaveLen(len(optionalPlugins)))
}
