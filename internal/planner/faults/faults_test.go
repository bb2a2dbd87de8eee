package faults_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"snipegw/internal/planner/faults"
)

func TestFaults(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "faults")
}

// failure is a failed start of a job on a worker on which another gang runs well.
type failure struct{ worker, job string }

// Each entry guards against a job that can never run but is not found at fault, so that
// one worker after the other is quarantined because of it.
var _ = DescribeTable("blame falls on the job", func(failures []failure, atFault ...string) {
	t := faults.New()
	for _, f := range failures {
		t.RecordFailure(f.worker, f.job, true)
	}
	for _, job := range atFault {
		_, fault := t.AtFault(job)
		Expect(fault).To(BeTrue(), job)
	}
},
	Entry("that fails on several workers", []failure{{"w1", "a"}, {"w2", "a"}, {"w3", "a"}}, "a"),
	Entry("and on another job that fails on the same workers", []failure{
		{"w1", "a"}, {"w1", "b"}, {"w2", "a"}, {"w2", "b"}, {"w3", "a"}, {"w3", "b"}}, "a", "b"),
	Entry("that failed many times on one worker first", []failure{
		{"w1", "a"}, {"w1", "a"}, {"w1", "a"}, {"w1", "a"}, {"w1", "a"}, {"w1", "a"}, {"w1", "a"}, {"w1", "a"},
		{"w2", "a"}, {"w3", "a"}}, "a"),
)

var _ = Describe("blame", func() {
	It("spares jobs that fail on one faulty worker", func() {
		t := faults.New()
		for _, job := range []string{"a", "b", "c"} {
			t.RecordFailure("w1", job, true)
			_, fault := t.AtFault(job)
			Expect(fault).To(BeFalse(), job)
		}
	})
})
