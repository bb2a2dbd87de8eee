package kernel

import (
	"math"
	"runtime/debug"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against limits that any single legal request meets, and against defaults beyond what the process has.
func TestClientLimits(t *testing.T) {
	g := NewWithT(t)
	var faults ValidationErrors
	ClientSettings{MachineMemoryMB: 63, MemoryMB: 15, Connections: -1}.Validate("clients", &faults)
	g.Expect(faults).To(HaveLen(3))
	faults = nil
	ClientSettings{}.Validate("clients", &faults)
	ClientSettings{MemoryMB: 16, Connections: 16}.Validate("clients", &faults)
	g.Expect(faults).To(BeEmpty())

	defer debug.SetMemoryLimit(debug.SetMemoryLimit(math.MaxInt64))
	state := NewClientLimiter(ClientSettings{MachineMemoryMB: 280}).State()
	g.Expect(state.MaxBytes).To(BeNumerically("~", 70<<20, 1<<10))
	g.Expect(debug.SetMemoryLimit(213e6)).To(BeNumerically("~", 210<<20, 1<<10))
	state = NewClientLimiter(ClientSettings{MachineMemoryMB: 1000}).State()
	g.Expect(state.MaxBytes).To(BeEquivalentTo(71e6), "the limit of the environment counts")
	g.Expect(state.MaxConnections).To(And(BeNumerically(">=", minClientConnections), BeNumerically("<", descriptorLimit())))
	state = NewClientLimiter(ClientSettings{MemoryMB: 9, Connections: 17}).State()
	g.Expect(state.MaxBytes).To(BeEquivalentTo(9 << 20))
	g.Expect(state.MaxConnections).To(Equal(17))
}

// Guards against a memory of the machine that isn't found.
func TestMachineMemory(t *testing.T) {
	NewWithT(t).Expect(machineMemory()).To(BeNumerically(">", 64<<20))
}
