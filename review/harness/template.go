//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
)

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{([#^])([a-z_.0-9]+)\}\}(.*?)\{\{/([a-z_.0-9]+)\}\}`)
	gapPattern     = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// fill fills a settings template of the deploy file as the platform's page describes it. Sections over
// lists are not needed by this project's templates and are not supported.
func fill(template string, fields map[string]any) string {
	template = sectionPattern.ReplaceAllStringFunc(template, func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		value := lookup(fields, parts[2])
		given := value != nil && value != false
		if given == (parts[1] == "#") {
			return fill(parts[3], fields)
		}
		return ""
	})
	return gapPattern.ReplaceAllStringFunc(template, func(gap string) string {
		parts := gapPattern.FindStringSubmatch(gap)
		value := lookup(fields, parts[1])
		if parts[2] != "" {
			encoded, err := json.Marshal(value)
			check(err)
			return string(encoded)
		}
		if value == nil {
			return ""
		}
		return fmt.Sprint(value)
	})
}

// lookup returns the value of a dotted name, nil if there is none.
func lookup(fields map[string]any, name string) any {
	var value any = fields
	for _, part := range strings.Split(name, ".") {
		switch container := value.(type) {
		case map[string]any:
			value = container[part]
		case []int:
			i, err := strconv.Atoi(part)
			check(err)
			value = container[i]
		default:
			return nil
		}
	}
	return value
}

// role is a role of the deploy file.
type role struct {
	run      []string
	template string
}

var linePattern = regexp.MustCompile(`^(run|template) = "(.*)"$`)

// readRole reads a role from deploy/system.toml.
func readRole(name string) role {
	raw, err := os.ReadFile("deploy/system.toml")
	check(err)
	var r role
	inside := false
	for line := range strings.SplitSeq(string(raw), "\n") {
		if strings.HasPrefix(line, "[") {
			inside = line == "[roles."+name+"]"
		}
		parts := linePattern.FindStringSubmatch(line)
		switch {
		case !inside || parts == nil:
		case parts[1] == "run":
			r.run = strings.Fields(parts[2])
		default:
			text, err := os.ReadFile(parts[2])
			check(err)
			r.template = string(text)
		}
	}
	if len(r.run) == 0 {
		cannotRun("deploy/system.toml has no role %s", name)
	}
	return r
}
