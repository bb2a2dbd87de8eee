package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
)

// render fills in a settings template of the deploy file, as DEPLOY.md describes it, as far as the
// templates of this repository need it: values, |json, sections and {{,}}.
func render(template string, fields map[string]any) (string, error) {
	return renderIn(template, fields, nil, -1, 0)
}

var (
	openTag = regexp.MustCompile(`\{\{([#^]?)([^}]*)\}\}`)
)

func lookup(fields map[string]any, path string) (any, bool) {
	var v any = fields
	for _, part := range strings.Split(path, ".") {
		switch at := v.(type) {
		case map[string]any:
			next, ok := at[part]
			if !ok {
				return nil, false
			}
			v = next
		case []any:
			var i int
			if _, err := fmt.Sscanf(part, "%d", &i); err != nil || i >= len(at) {
				return nil, false
			}
			v = at[i]
		default:
			return nil, false
		}
	}
	return v, true
}

func renderIn(text string, fields map[string]any, current any, index, count int) (string, error) {
	var out strings.Builder
	for {
		at := openTag.FindStringSubmatchIndex(text)
		if at == nil {
			out.WriteString(text)
			return out.String(), nil
		}
		out.WriteString(text[:at[0]])
		kind, name := text[at[2]:at[3]], text[at[4]:at[5]]
		text = text[at[1]:]
		if kind != "" {
			closing := "{{/" + name + "}}"
			end := strings.Index(text, closing)
			if end < 0 {
				return "", fmt.Errorf("section %s has no end", name)
			}
			body := text[:end]
			text = text[end+len(closing):]
			v, ok := lookup(fields, name)
			ok = ok && v != false
			list, isList := v.([]any)
			switch {
			case kind == "^" && ok || kind == "#" && !ok:
			case isList && kind == "#":
				for i, entry := range list {
					s, err := renderIn(body, fields, entry, i, len(list))
					if err != nil {
						return "", err
					}
					out.WriteString(s)
				}
			default:
				s, err := renderIn(body, fields, v, 0, 1)
				if err != nil {
					return "", err
				}
				out.WriteString(s)
			}
			continue
		}
		if name == "," {
			if index < count-1 {
				out.WriteString(",")
			}
			continue
		}
		name, asJSON := strings.CutSuffix(name, "|json")
		v, ok := current, true
		if name != "." {
			v, ok = lookup(fields, name)
		}
		switch {
		case !ok:
		case asJSON:
			data, err := json.Marshal(v)
			if err != nil {
				return "", err
			}
			out.Write(data)
		default:
			fmt.Fprint(&out, v)
		}
	}
}
