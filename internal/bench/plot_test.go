package main

import (
	"encoding/xml"
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"
)

// Guards against a plot that is missing, is not well-formed SVG, or has fewer paths
// than there are entries. The paths of the axes and the grid are counted too.
func TestPlotMembership(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "new")
	series := make([][]sample, len(entryNames))
	for i := range series {
		series[i] = []sample{{size: 0, residentMB: 15, bytesPerSecond: 900}, {size: 10, residentMB: 16, coreShare: 0.01, bytesPerSecond: 3000}}
	}
	if err := plotMembership(dir, series); err != nil {
		t.Fatal(err)
	}
	for _, f := range membershipFigures {
		file, err := os.Open(filepath.Join(dir, f.file))
		if err != nil {
			t.Fatal(err)
		}
		defer file.Close()
		elements := map[string]int{}
		for d := xml.NewDecoder(file); ; {
			token, err := d.Token()
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				t.Fatalf("%s: %v", f.file, err)
			}
			if e, ok := token.(xml.StartElement); ok {
				elements[e.Name.Local]++
			}
		}
		if elements["svg"] != 1 || elements["path"] < len(series) {
			t.Errorf("%s: got elements %v, want one svg and at least a path for each entry", f.file, elements)
		}
	}
}
