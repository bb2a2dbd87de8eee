package workflow

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// nestedCBOR returns arrays that are nested n deep.
func nestedCBOR(n int) []byte { return []byte(strings.Repeat("\x81", n) + "\x80") }

// Guards against a record of another writer that hides a process, as its key ends with the same
// name, or that names a process which cannot be called: an address without a host, with a port out
// of range, or of another type, or bytes that cannot be read.
func TestProcessRecordsThatCannotBeCalledAreRefused(t *testing.T) {
	g := NewWithT(t)
	for _, address := range []string{"", "x", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:1e3", "10.0.0.1:99999999999999999999", ":7000", "a b:7000", "a\nb:7000", strings.Repeat("x", 300) + ":7000", "[::1:7000"} {
		_, err := DecodeProcess("node-1", Encode(ProcessRecord{Address: address}))
		g.Expect(err).To(HaveOccurred(), "address %q", address)
	}
	for _, data := range [][]byte{nil, []byte("x"), nestedCBOR(100_000), append([]byte{0xa1, 1}, nestedCBOR(100_000)...), Encode(map[int]any{1: 7}), Encode(map[int]any{1: "10.0.0.1:7000", 2: 1e300}), Encode([]string{"10.0.0.1:7000"})} {
		_, err := DecodeProcess("node-1", data)
		g.Expect(err).To(HaveOccurred(), "%.40q", data)
	}
	valid := Encode(ProcessRecord{Address: "10.0.0.1:7000", Zone: "z", Debug: "x"})
	for _, key := range []string{AgentPrefix, AgentPrefix + "x/node-1", AgentPrefix + "node-1|5", AgentPrefix + "node 1", AgentPrefix + strings.Repeat("x", 201)} {
		_, err := DecodeProcess(IDOfKey(key), valid)
		g.Expect(err).To(HaveOccurred(), key)
	}
	for _, address := range []string{"10.0.0.1:7000", "[::1]:1", "host.example:65535"} {
		r, err := DecodeProcess(IDOfKey(AgentPrefix+"side-ica.centro_1"), Encode(ProcessRecord{Address: address, Zone: "z", Debug: "x"}))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(*r).To(Equal(ProcessRecord{Address: address, Zone: "z"}))
	}
}

// Guards against a record that is taken for a job under another key, or whose id would make
// the reports of workers that run it unreadable.
func TestJobRecordsThatCannotBePlannedAreRefused(t *testing.T) {
	g := NewWithT(t)
	valid := Encode(JobRecord{Queue: "q", Job: Job{Steps: []Step{{Count: 4, MilliCPU: 1000, MemoryMB: 1, Accelerators: 1, EstimateMS: 1000}}}})
	for _, key := range []string{JobPrefix, JobPrefix + "x/0000000000000001", JobPrefix + "0000.0001", JobPrefix + "a|b", JobPrefix + strings.Repeat("0", 65)} {
		_, err := DecodeJob(IDOfKey(key), valid)
		g.Expect(err).To(HaveOccurred(), key)
	}
	for _, data := range [][]byte{nil, []byte("x"), nestedCBOR(100_000), Encode(map[int]any{2: "x"}), Encode(map[int]any{2: []any{map[int]any{1: 1e300}}})} {
		_, err := DecodeJob("0000000000000001", data)
		g.Expect(err).To(HaveOccurred(), "%.40q", data)
	}
	r, err := DecodeJob(IDOfKey(JobPrefix+"0000000000000001"), valid)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.GuaranteeNeed()).To(BeEquivalentTo(4))
}
