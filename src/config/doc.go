// Package config defines the operators' configuration: its objects, their YAML
// format, the validation of changes, and the revisions that order them.
package config
