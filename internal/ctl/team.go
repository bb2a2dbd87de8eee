package ctl

import (
	"fmt"
	"strconv"
	"strings"

	"snipegw/internal/model"
)

type teamList struct {
	*app `no-flag:"true"`
}

// Execute implements flags.Commander.
func (c *teamList) Execute([]string) error {
	var doc model.Config
	if err := c.client.get(c.ctx, "/v1/config", &doc); err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(doc.Teams)
	}
	var rows [][]string
	for _, t := range doc.Teams {
		var shapes []string
		for _, g := range t.Guarantees {
			shapes = append(shapes, fmt.Sprintf("%d of %s", g.Count, formatShape(g.Shape)))
		}
		rows = append(rows, []string{t.ID, strconv.Itoa(t.Weight), strings.Join(shapes, "; "), strconv.Itoa(len(t.TokenHashes))})
	}
	return c.printTable("team weight guarantees tokens", rows)
}

// formatShape formats s as TASKSxACCELERATORS/ADJACENCY.
func formatShape(s model.Shape) string {
	return fmt.Sprintf("%dx%d/%s", s.Tasks, s.AcceleratorsPerTask, s.Adjacent)
}

type shapeList struct {
	*app `no-flag:"true"`
}

// guaranteedShape is an element of the JSON output of shape list.
type guaranteedShape struct {
	Team string `json:"team"`
	model.Guarantee
}

// Execute implements flags.Commander.
func (c *shapeList) Execute([]string) error {
	var doc model.Config
	if err := c.client.get(c.ctx, "/v1/config", &doc); err != nil {
		return err
	}
	shapes := []guaranteedShape{}
	var rows [][]string
	for _, t := range doc.Teams {
		for _, g := range t.Guarantees {
			shapes = append(shapes, guaranteedShape{t.ID, g})
			rows = append(rows, []string{t.ID, strconv.Itoa(g.Count), strconv.Itoa(g.Tasks), strconv.Itoa(g.AcceleratorsPerTask),
				strconv.Itoa(g.CoresPerTask), strconv.Itoa(g.MemoryGBPerTask), string(g.Adjacent)})
		}
	}
	if c.JSON {
		return c.printJSON(shapes)
	}
	return c.printTable("team count tasks accelerators cores memory_gb adjacent", rows)
}
