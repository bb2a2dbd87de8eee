package result

import (
	"fmt"
	"strings"
)

// Markdown returns the page docs/result-codes.md. A test compares the page with
// it; UPDATE_DOCS=1 go test ./docs writes the page.
func Markdown() string {
	var b strings.Builder
	b.WriteString(`# Result codes

Every answer, log line and exit status that reports an outcome carries one of these codes. Numbers are stable: a
released number is never given to another outcome. The column "ran" says whether the request, job or patch may have run:
"no" is a promise that it did not. The page is generated from ` + "`internal/result`" + `.

| code | name | HTTP status | ran | what to do |
| --- | --- | --- | --- | --- |
`)
	for _, info := range table {
		fmt.Fprintf(&b, "| %d | `%s` | %d | %s | %s |\n", int(info.Code), info.Name, info.Status, info.Ran, info.Action)
	}
	return b.String()
}
