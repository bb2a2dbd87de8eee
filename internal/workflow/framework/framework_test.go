package framework

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"snipegw/internal/kernel"
)

// testPlugin is a SpeedModel with one setting.
type testPlugin struct{ limit int }

func (p *testPlugin) State(time.Time) any                { return p.limit }
func (p *testPlugin) ObserveProgress(Progress)           {}
func (p *testPlugin) ObserveEnd(string, Run)             {}
func (p *testPlugin) Slowness(string, time.Time) float64 { return 1 }
func (p *testPlugin) RunTime(string, Run) (time.Duration, bool) {
	return 0, false
}
func (s *testSettings) Provision() {}
func (s *testSettings) Validate(faults *kernel.ValidationErrors) {
	if s.Limit < 1 {
		faults.Add("limit", "must be positive")
	}
}

type testSettings struct {
	Limit int `json:"limit"`
}

func init() {
	Plugins.Register("test", func(data json.RawMessage, path string, faults *kernel.ValidationErrors) func() Plugin {
		var s testSettings
		kernel.DecodeSection(data, path, &s, faults)
		return func() Plugin { return &testPlugin{limit: s.Limit} }
	})
}

// Guards against plug-in settings with faults that are accepted, or whose faults do not
// tell where they stand.
func TestFaultsOfPluginSettingsAreReported(t *testing.T) {
	g := NewWithT(t)
	s := Settings{"test": json.RawMessage(`{"limit":0,"other":1}`), "absent": json.RawMessage(`{}`)}
	var faults kernel.ValidationErrors
	s.Validate("workflow.plugins", &faults)
	var paths []string
	for _, f := range faults {
		paths = append(paths, f.Path)
	}
	g.Expect(paths).To(ConsistOf("workflow.plugins.absent", "workflow.plugins.test.limit", "workflow.plugins.test.other"))
}

// Guards against plug-ins that two terms share, so that one would begin with what the
// other has learned.
func TestEachTermGetsItsOwnPlugins(t *testing.T) {
	g := NewWithT(t)
	construct := Settings{"test": json.RawMessage(`{"limit":3}`)}.Constructor()
	first, second := construct(), construct()
	g.Expect(first["test"]).NotTo(BeIdenticalTo(second["test"]))
	model, found := Find[SpeedModel](first)
	g.Expect(found).To(BeTrue())
	g.Expect(model).To(BeIdenticalTo(first["test"]))
	_, found = Find[CostModel](first)
	g.Expect(found).To(BeFalse())
}
