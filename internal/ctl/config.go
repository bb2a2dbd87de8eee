package ctl

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"snipegw/internal/config"
	"snipegw/internal/model"
	"snipegw/internal/result"
)

func (a *app) configCommands() []command {
	return []command{
		{name: "get", short: "Print the configuration in force", long: "Example: snipegwctl config get > config.json", options: &configGet{app: a}},
		{name: "diff", short: "Compare an edited configuration with the one in force", long: "FILE is a whole configuration document, for example the edited output of config get.\nWith --json the difference is printed as a merge patch.\n\nExample: snipegwctl config diff config.json", options: &configDiff{app: a}},
		{name: "check", short: "Check a configuration before it is sent", long: checkHelp, options: &configCheck{workflowCommand: workflowCommand{app: a}}},
		{name: "patch", short: "Submit a configuration patch", long: patchHelp, options: &configPatch{app: a}},
		{name: "wait", short: "Wait until a configuration version is in force everywhere", long: "The default for VERSION is the current version. Exits with status 4 on timeout.\n\nExample: snipegwctl config wait 12 --for 9s", options: &configWait{app: a}},
		{name: "history", short: "List the accepted configuration patches", long: "Example: snipegwctl config history", options: &configHistory{app: a}},
		{name: "status", short: "Show where the current configuration version is in force", long: "Example: snipegwctl config status --watch", options: &configStatus{app: a}},
	}
}

const patchHelp = `FILE holds a JSON patch (RFC 6902, an array), a merge patch (RFC 7396, an object),
or with --document a whole edited document; "-" reads standard input.
A patch is safe to repeat under the same id: an id is accepted at most once.

Examples:
  snipegwctl config patch change.json --dry-run
  snipegwctl config patch change.json --base 11 --id raise-casa --wait
  snipegwctl config get | edit | snipegwctl config patch --document -`

type configGet struct {
	*app `no-flag:"true"`
}

// Execute implements flags.Commander.
func (c *configGet) Execute([]string) error {
	var doc json.RawMessage
	if err := c.client.get(c.ctx, "/v1/config", &doc); err != nil {
		return err
	}
	return c.printRaw(doc)
}

// readFile reads a JSON file of at most config.MaxDocumentBytes; "-" is standard
// input.
func (a *app) readFile(name string) ([]byte, error) {
	in := a.env.Stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, usagef("%v", err)
		}
		defer f.Close()
		in = f
	}
	data, err := io.ReadAll(io.LimitReader(in, config.MaxDocumentBytes+1))
	if err != nil {
		return nil, usagef("read %s: %v", name, err)
	}
	if len(data) > config.MaxDocumentBytes {
		return nil, usagef("%s is larger than %d bytes", name, config.MaxDocumentBytes)
	}
	if !json.Valid(data) {
		line, reason := lineOf(data)
		return nil, usagef("%s is not valid JSON: line %d: %s", name, line, reason)
	}
	return bytes.TrimSpace(data), nil
}

// documentEdit is an edited configuration document together with the one in force.
type documentEdit struct {
	current, edited []byte
	patch           []byte // merge patch that turns current into edited
	baseVersion     uint64 // version stated in the edited document, 0 if none
}

// compareWithCurrent reads the document in force and compares edited with it.
func (a *app) compareWithCurrent(edited []byte) (*documentEdit, error) {
	var doc json.RawMessage
	if err := a.client.get(a.ctx, "/v1/config", &doc); err != nil {
		return nil, err
	}
	var head struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(edited, &head); err != nil {
		return nil, usagef("the edited document is not a JSON object: %v", err)
	}
	edited, err := alignPatchHistory(doc, edited)
	if err != nil {
		return nil, usagef("the edited document cannot be compared with the one in force: %v", err)
	}
	patch, err := jsonpatch.CreateMergePatch(doc, edited)
	if err != nil {
		return nil, usagef("the edited document cannot be compared with the one in force: %v", err)
	}
	return &documentEdit{current: doc, edited: edited, patch: patch, baseVersion: head.Version}, nil
}

// alignPatchHistory returns edited with the patch history of current if only one of
// them has a history. An entry that learned the configuration from an agent has no
// history, and the difference would be rejected as a change of a field that only
// the system writes.
func alignPatchHistory(current, edited []byte) ([]byte, error) {
	const history = "patches"
	var a, b map[string]json.RawMessage
	if err := errors.Join(json.Unmarshal(current, &a), json.Unmarshal(edited, &b)); err != nil {
		return nil, err
	}
	value, inCurrent := a[history]
	_, inEdited := b[history]
	switch {
	case b == nil:
		return nil, errors.New("it is not a JSON object")
	case inCurrent == inEdited:
		return edited, nil
	case inCurrent:
		b[history] = value
	default:
		delete(b, history)
	}
	return json.Marshal(b)
}

type configDiff struct {
	*app `no-flag:"true"`
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *configDiff) Execute([]string) error {
	edited, err := c.readFile(c.Args.File)
	if err != nil {
		return err
	}
	e, err := c.compareWithCurrent(edited)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printRaw(e.patch)
	}
	var a, b any
	if err := errors.Join(json.Unmarshal(e.current, &a), json.Unmarshal(e.edited, &b)); err != nil {
		return err
	}
	lines := diffValues("", a, b, nil)
	if len(lines) == 0 {
		lines = []string{"no difference"}
	}
	for _, l := range lines {
		fmt.Fprintln(c.env.Stdout, l)
	}
	return nil
}

// diffValues appends to lines the JSON paths at which a and b differ, with the
// removed value marked by "-" and the added one by "+".
func diffValues(path string, a, b any, lines []string) []string {
	if reflect.DeepEqual(a, b) {
		return lines
	}
	aObject, aok := a.(map[string]any)
	bObject, bok := b.(map[string]any)
	if aok && bok {
		keys := make(map[string]bool)
		for k := range aObject {
			keys[k] = true
		}
		for k := range bObject {
			keys[k] = true
		}
		for _, k := range sortedKeys(keys) {
			lines = diffValues(path+"/"+k, aObject[k], bObject[k], lines)
		}
		return lines
	}
	aList, aok := a.([]any)
	bList, bok := b.([]any)
	if aok && bok {
		for i := range max(len(aList), len(bList)) {
			lines = diffValues(path+"/"+strconv.Itoa(i), elementAt(aList, i), elementAt(bList, i), lines)
		}
		return lines
	}
	if a != nil {
		lines = append(lines, "- "+path+" "+compactJSON(a))
	}
	if b != nil {
		lines = append(lines, "+ "+path+" "+compactJSON(b))
	}
	return lines
}

func elementAt(list []any, i int) any {
	if i < len(list) {
		return list[i]
	}
	return nil
}

func compactJSON(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(data)
}

type configPatch struct {
	*app     `no-flag:"true"`
	Base     uint64        `long:"base" description:"version that the patch is based on (default: the current one)"`
	ID       string        `long:"id" description:"id of the patch (default: a random one)"`
	Author   string        `long:"author" description:"author to record in the patch history"`
	DryRun   bool          `long:"dry-run" description:"validate the patch without applying it"`
	Document bool          `long:"document" description:"FILE is a whole edited document"`
	Wait     bool          `long:"wait" description:"wait until the version is in force everywhere"`
	For      time.Duration `long:"for" description:"maximum time to wait" default:"9s"`
	Args     struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *configPatch) Execute([]string) error {
	req, err := c.patchRequest()
	if err != nil {
		return err
	}
	var res config.PatchResult
	err = c.client.call(c.ctx, http.MethodPost, "/v1/config/patch", req, &res)
	if err != nil {
		if exitStatus(result.CodeOf(err)) == ExitUnknown {
			fmt.Fprintf(c.env.Stderr, "Repeat with --id %s --base %d; the patch is accepted at most once.\n", req.ID, req.BaseVersion)
		}
		return err
	}
	if c.JSON {
		err = c.printJSON(res)
	} else {
		fmt.Fprintf(c.env.Stdout, "%s\n", res.Message)
	}
	if err == nil && c.Wait && !c.DryRun {
		return c.waitUntilInForce(res.Version, c.For)
	}
	return err
}

// patchRequest returns the request that the options and the file describe. The base
// version is that of --base, else of the edited document, else of the configuration in
// force.
func (c *configPatch) patchRequest() (config.PatchRequest, error) {
	req := config.PatchRequest{ID: c.ID, BaseVersion: c.Base, DryRun: c.DryRun, Author: c.Author, Type: config.MergePatch}
	data, err := c.readFile(c.Args.File)
	if err != nil {
		return req, err
	}
	if req.ID == "" {
		req.ID = "patch-" + strings.ToLower(rand.Text()[:12])
	}
	req.Patch = data
	base := uint64(0)
	switch {
	case c.Document:
		e, err := c.compareWithCurrent(data)
		if err != nil {
			return req, err
		}
		req.Patch, base = e.patch, e.baseVersion
	case data[0] == '[':
		req.Type = config.JSONPatch
	}
	if req.BaseVersion == 0 {
		req.BaseVersion = base
	}
	if req.BaseVersion == 0 {
		var doc model.Config
		if err := c.client.get(c.ctx, "/v1/config", &doc); err != nil {
			return req, err
		}
		req.BaseVersion = doc.Version
	}
	return req, nil
}

func (a *app) inForceReport() (config.InForceReport, error) {
	var r config.InForceReport
	err := a.client.get(a.ctx, "/v1/config/status", &r)
	return r, err
}

// waitUntilInForce polls until version, or a later one, is in force everywhere, and
// prints the report. Version 0 means the current version. After timeout it returns the
// error of the last poll or, if that succeeded, one with code ConfigNotInForceYet.
func (a *app) waitUntilInForce(version uint64, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for {
		r, err := a.inForceReport()
		if err == nil && r.Version >= version && r.Complete() {
			return a.printInForce(r)
		}
		if time.Now().After(deadline) || !a.pause(200*time.Millisecond) {
			if err != nil {
				return err
			}
			return result.Errorf(result.ConfigNotInForceYet, "version %d is not in force everywhere yet: the entry has version %d, in force on %d of %d; missing: %s", version, r.Version, r.InForce, r.Total, strings.Join(r.Missing, ", "))
		}
	}
}

func (a *app) printInForce(r config.InForceReport) error {
	if a.JSON {
		return a.printJSON(r)
	}
	fmt.Fprintf(a.env.Stdout, "version %d in force on %d of %d\n", r.Version, r.InForce, r.Total)
	if len(r.Missing) > 0 {
		fmt.Fprintln(a.env.Stdout, "missing:", strings.Join(r.Missing, ", "))
	}
	return nil
}

type configWait struct {
	*app `no-flag:"true"`
	For  time.Duration `long:"for" description:"maximum time to wait" default:"9s"`
	Args struct {
		Version uint64 `positional-arg-name:"VERSION"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *configWait) Execute([]string) error { return c.waitUntilInForce(c.Args.Version, c.For) }

type configStatus struct {
	*app `no-flag:"true"`
	watchOptions
}

// Execute implements flags.Commander.
func (c *configStatus) Execute([]string) error {
	return c.showRepeatedly(c.watchOptions, func() error {
		r, err := c.inForceReport()
		if err != nil {
			return err
		}
		return c.printInForce(r)
	})
}

type configHistory struct {
	*app `no-flag:"true"`
}

// Execute implements flags.Commander.
func (c *configHistory) Execute([]string) error {
	var doc model.Config
	if err := c.client.get(c.ctx, "/v1/config", &doc); err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(doc.Patches)
	}
	var rows [][]string
	for _, p := range doc.Patches {
		rows = append(rows, []string{strconv.FormatUint(p.Version, 10), p.ID, p.Author, p.Time.UTC().Format(time.RFC3339)})
	}
	return c.printTable("version patch author time", rows)
}
