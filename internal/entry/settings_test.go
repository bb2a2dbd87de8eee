package entry

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"snipegw/internal/config"
	"snipegw/internal/kernel"
	"snipegw/internal/members"
	"snipegw/internal/model"
	"snipegw/internal/planner/framework"
	"snipegw/internal/store"
	"snipegw/internal/wire"
)

func init() {
	store.Plugins.Register("test-store", func(store.Settings) (store.Store, error) { return nil, nil })
	framework.Policies.Register("test-policy", func() framework.Scheduler { return nil })
}

const validSettings = `{"id":"e1","region":"ica","failure_domain":"ica-norte","http_address":"127.0.0.1:0","address":"127.0.0.1:7000",
"store":{"type":"test-store","addresses":["http://127.0.0.1:1"]},"security":{"mode":"development"},"policy":"test-policy"}`

// Guards against invalid settings that are not reported, or reported one at a time.
func TestSettings(t *testing.T) {
	var s Settings
	if err := kernel.ParseSettings([]byte(validSettings), &s); err != nil {
		t.Fatal(err)
	}
	if s.AdvertiseAddress != s.Address || s.Store.TimeoutMS != defaultStoreTimeoutMS || s.LogLevel != defaultLogLevel {
		t.Errorf("defaults: %+v", s)
	}
	err := kernel.ParseSettings([]byte(`{"id":"a b","region":"","adress":1,"http_address":"x","address":":7000",
"store":{"type":"none","timeout_ms":-1},"security":{"mode":"off"},"policy":"none","log_level":"loud","bootstrap_config":"/nonexistent/file"}`), &Settings{})
	var faults kernel.ValidationErrors
	if !errors.As(err, &faults) {
		t.Fatalf("error %v", err)
	}
	for _, path := range []string{"id", "region", "failure_domain", "adress", "http_address", "advertise_address", "store.type", "store.addresses",
		"store.timeout_ms", "security.mode", "policy", "log_level", "bootstrap_config"} {
		if !strings.Contains("\n"+err.Error(), "\n"+path+": ") {
			t.Errorf("no fault for %s in:\n%v", path, err)
		}
	}
}

// Guards against a running entry that panics when it reloads valid settings without
// the section "workflow".
func TestReloadWithoutWorkflowSectionIsRefused(t *testing.T) {
	file := filepath.Join(t.TempDir(), "entry.json")
	if err := os.WriteFile(file, []byte(validSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := LoadWorkflow(file)
	var faults kernel.ValidationErrors
	if !errors.As(err, &faults) || len(faults) != 1 || faults[0].Path != "workflow" {
		t.Errorf("error %v, want one fault of workflow", err)
	}
}

type fixedMembership struct{ view *members.View }

func (f *fixedMembership) View() *members.View      { return f.view }
func (f *fixedMembership) Changed() <-chan struct{} { return nil }

// Guards against a loss of workers that blocks patches unrelated to guarantees, and
// against dead workers that count as capacity for guarantees.
func TestChangedGuaranteesAreCheckedAgainstHealthyWorkers(t *testing.T) {
	view := &members.View{Workers: map[string]*members.Worker{}}
	checker := &guaranteeChecker{members: &fixedMembership{view: view}, config: &fixedConfig{config: &model.Config{}}}
	checkedWorkers := -1
	checker.check = func(_ []model.Team, workers []model.Worker) []string {
		checkedWorkers = len(workers)
		return []string{"does not pack"}
	}
	guaranteed := []model.Team{{ID: "a", Guarantees: []model.Guarantee{{Count: 1}}}}
	if checker.checkPatch(guaranteed) != nil {
		t.Error("the patch was refused although no worker is known")
	}
	add := func(id string, h members.Health) {
		view.Workers[id] = &members.Worker{Health: h, State: wire.WorkerState{Worker: model.Worker{ID: id}}}
	}
	add("up", members.Alive)
	add("down", members.Dead)
	if len(checker.checkPatch(guaranteed)) != 1 || checkedWorkers != 1 {
		t.Errorf("the guarantees were checked against %d workers, want 1, the healthy one", checkedWorkers)
	}
	checker.config = &fixedConfig{config: &model.Config{Teams: guaranteed}}
	if checker.checkPatch(append([]model.Team{{ID: "b"}}, guaranteed...)) != nil {
		t.Error("a patch that does not change guarantees was refused")
	}
}

// fixedConfig is a config.Source of which only Current is used.
type fixedConfig struct {
	config.Source
	config *model.Config
}

func (c *fixedConfig) Current() *model.Config { return c.config }
