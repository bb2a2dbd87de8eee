package jsonlist

import (
	"runtime"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against an array of many empty elements that takes far more memory than its text, and against too few elements for
// the caller to see that there are too many.
func TestLongArrayTakesLittleMemory(t *testing.T) {
	type large struct{ Fields [32]int }
	data := []byte("[{}" + strings.Repeat(",{}", 100_000) + "]")
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	list, err := Decode[large](data, 64, nil)
	runtime.ReadMemStats(&after)
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(list).To(HaveLen(65))
	g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", 2*len(data)))
}

// Guards against arrays within the limit, or values of another type, that are decoded otherwise than by package json.
func TestDecodeLikePackageJSON(t *testing.T) {
	g := NewWithT(t)
	equal := func(a, b int) bool { return a == b }
	g.Expect(Decode[int]([]byte("[3, null, 3, 1]"), 4, nil)).To(Equal([]int{3, 0, 3, 1}))
	g.Expect(Decode([]byte("[3, 1, 3, 1, 2]"), 2, equal)).To(Equal([]int{3, 1, 2}))
	g.Expect(Decode[int]([]byte("[]"), 4, nil)).To(Equal([]int{}))
	g.Expect(Decode[int]([]byte("null"), 4, nil)).To(BeNil())
	for _, wrong := range []string{`["x"]`, `{}`, `"x"`, `3`} {
		_, err := Decode[int]([]byte(wrong), 4, nil)
		g.Expect(err).To(HaveOccurred(), wrong)
	}
}
