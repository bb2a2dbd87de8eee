package main

import (
	"fmt"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// figure is a plot of one measured quantity of the section membership.
type figure struct {
	file  string
	title string
	unit  string
	value func(sample) float64
}

var membershipFigures = []figure{
	{"membership-memory.svg", "Resident memory of an entry", "MB", func(s sample) float64 { return s.residentMB }},
	{"membership-processor.svg", "Processor time of an entry", "% of a core", func(s sample) float64 { return 100 * s.coreShare }},
	{"membership-bytes.svg", "QUIC traffic of an entry, with UDP and IP headers", "KB/s", func(s sample) float64 { return s.bytesPerSecond / 1000 }},
}

// plotMembership writes one SVG file for each figure to dir, which it creates if
// needed. series holds the samples of each entry in the order of entryNames.
func plotMembership(dir string, series [][]sample) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, f := range membershipFigures {
		p := plot.New()
		p.Title.Text = f.title
		p.X.Label.Text = "agents of entry A"
		p.Y.Label.Text = f.unit
		p.Y.Min = 0
		p.Legend.Top, p.Legend.Left = true, true
		p.Add(plotter.NewGrid())
		var lines []any
		for i, samples := range series {
			points := make(plotter.XYs, len(samples))
			for k, s := range samples {
				points[k] = plotter.XY{X: float64(s.size), Y: f.value(s)}
			}
			lines = append(lines, entryNames[i], points)
		}
		if err := plotutil.AddLinePoints(p, lines...); err != nil {
			return fmt.Errorf("plot %s: %w", f.file, err)
		}
		if err := p.Save(plotWidth, plotHeight, filepath.Join(dir, f.file)); err != nil {
			return fmt.Errorf("plot %s: %w", f.file, err)
		}
	}
	return nil
}
