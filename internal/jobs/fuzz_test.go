package jobs

import "testing"

// FuzzPage guards against a panic on a damaged page in the store.
func FuzzPage(f *testing.F) {
	f.Add([]byte(`{"epoch":3,"seq":1,"jobs":[{"status":{"job":{"id":"j1"},"state":"queued"}}]}`))
	f.Add([]byte(`{"jobs":[null,1,"x",{}]}`))
	f.Add([]byte(``))
	f.Fuzz(func(_ *testing.T, data []byte) {
		d, err := decodePage(data)
		if err != nil {
			return
		}
		_, _ = d.find("j1")
	})
}
