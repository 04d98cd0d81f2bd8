// Package config holds the operators' configuration: its objects, their YAML
// form, the checks that a change must pass, and the revisions that order it.
package config
