package ctl

import (
	"fmt"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"
)

const completionHelp = `Prints a script that completes commands and options of snipegwctl in a shell.

Examples:
  source <(snipegwctl completion bash)
  source <(snipegwctl completion zsh)`

// The scripts run the program with GO_FLAGS_COMPLETION set, which makes go-flags
// print the possible completions, one per line.
const (
	bashCompletion = `_snipegwctl() {
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}" 2>/dev/null))
}
complete -o default -F _snipegwctl snipegwctl
`
	zshCompletion = `#compdef snipegwctl
_snipegwctl() {
    local -a items
    items=(${(f)"$(GO_FLAGS_COMPLETION=1 "${words[1]}" "${(@)words[2,CURRENT]}" 2>/dev/null)"})
    compadd -a items || _files
}
compdef _snipegwctl snipegwctl
`
)

// shell is the name of a shell with a completion script.
type shell string

var completionScripts = map[shell]string{"bash": bashCompletion, "zsh": zshCompletion}

// Complete implements flags.Completer: it lists the shells that start with match.
func (shell) Complete(match string) []flags.Completion {
	var items []flags.Completion
	for name := range completionScripts {
		if strings.HasPrefix(string(name), match) {
			items = append(items, flags.Completion{Item: string(name)})
		}
	}
	slices.SortFunc(items, func(a, b flags.Completion) int { return strings.Compare(a.Item, b.Item) })
	return items
}

type completionCommand struct {
	*app `no-flag:"true"`
	Args struct {
		Shell shell `positional-arg-name:"bash|zsh"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *completionCommand) Execute([]string) error {
	script, ok := completionScripts[c.Args.Shell]
	if !ok {
		return usagef("shell: %q must be bash or zsh", string(c.Args.Shell))
	}
	_, err := fmt.Fprint(c.env.Stdout, script)
	return err
}

// printCompletions prints the possible completions, one per line.
func (a *app) printCompletions(items []flags.Completion) {
	for _, item := range items {
		fmt.Fprintln(a.env.Stdout, item.Item)
	}
}
