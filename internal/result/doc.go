package result

import (
	"fmt"
	"strings"
)

// Markdown returns the contents of docs/result-codes.md. A test checks that the
// page is up to date; UPDATE_DOCS=1 go test ./docs regenerates it.
func Markdown() string {
	var b strings.Builder
	b.WriteString(`# Result codes

Every response, log line and exit status that reports an outcome carries one of these codes. Numbers are stable: a
released number is never reused for another outcome. The column "ran" says whether the request, job or patch may have
run: "no" guarantees that it did not. The page is generated from ` + "`internal/result`" + `.

| code | name | HTTP status | ran | what to do |
| --- | --- | --- | --- | --- |
`)
	for _, info := range table {
		fmt.Fprintf(&b, "| %d | `%s` | %d | %s | %s |\n", int(info.Code), info.Name, info.Status, info.Ran, info.Action)
	}
	return b.String()
}
