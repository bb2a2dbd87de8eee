package proof

import (
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"snipegw/internal/agent"
	"snipegw/internal/entry"
	"snipegw/internal/kernel"
	_ "snipegw/internal/planner" // registers the policies
	"snipegw/internal/standin/backend"
	"snipegw/internal/standin/kv"
	"snipegw/internal/standin/worker"
	_ "snipegw/internal/store/consulkv"       // registers the store plug-in
	_ "snipegw/internal/workerapi/httpworker" // registers the worker plug-in
)

// Guards against example settings that a program no longer accepts.
var _ = DescribeTable("examples", func(deployment string) {
	GinkgoT().Chdir("../..") // paths in the examples are relative to the root of the repository
	files, err := filepath.Glob(filepath.Join("examples", deployment, "*.json"))
	Expect(err).NotTo(HaveOccurred())
	Expect(len(files)).To(BeNumerically(">", 10))
	for _, file := range files {
		var s kernel.Settings
		switch kind, _, _ := strings.Cut(strings.TrimSuffix(filepath.Base(file), ".json"), "-"); kind {
		case "entry":
			s = new(entry.Settings)
		case "agent":
			s = new(agent.Settings)
		case "store":
			s = new(kv.Settings)
		case "worker":
			s = new(worker.Settings)
		case "backend":
			s = new(backend.Settings)
		default:
			continue // config.json is checked by the entry that writes it
		}
		Expect(kernel.LoadSettings(file, s)).To(Succeed(), file)
	}
}, Entry("loads", "loads"), Entry("casa", "casa"))
