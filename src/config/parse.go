package config

import (
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// Location is the location of an object or field in a file.
type Location struct {
	file string
	node ast.Node
}

// NewLocation returns the location of a node in a file.
func NewLocation(file string, node ast.Node) Location { return Location{file: file, node: node} }

// At returns a finding located at the object's field path, or at the object itself
// if it has no such field.
func (p Location) At(path, message string) Finding {
	finding := Finding{File: p.file, Message: message}
	if p.node == nil {
		return finding
	}
	node := p.node
	if path != "" {
		if yamlPath, err := yaml.PathString("$." + path); err == nil {
			if found, err := yamlPath.FilterNode(p.node); err == nil && found != nil {
				node = found
			}
		}
	}
	finding.Line = node.GetToken().Position.Line
	finding.Column = node.GetToken().Position.Column
	return finding
}

// Source is an object and its location in a file.
type Source struct {
	object   Object
	location Location
}

// NewSource returns the source of an object that does not come from a file, such as
// one from the administration API.
func NewSource(object Object) Source {
	return Source{object: object, location: Location{file: object.Key.String()}}
}

// Object returns the object.
func (s Source) Object() Object { return s.object }

// Location returns the object's location.
func (s Source) Location() Location { return s.location }

// Header holds the fields that all documents have.
type Header struct {
	Kind Kind   `yaml:"kind"`
	Name string `yaml:"name"`
}

// The types of documents. Kind, name and the fields of the kind are on one level.
type modelDocument struct {
	Header `yaml:",inline"`
	Model  `yaml:",inline"`
}
type adapterDocument struct {
	Header  `yaml:",inline"`
	Adapter `yaml:",inline"`
}
type labelDocument struct {
	Header `yaml:",inline"`
	Label  `yaml:",inline"`
}
type selectorDocument struct {
	Header   `yaml:",inline"`
	Selector `yaml:",inline"`
}
type poolDocument struct {
	Header `yaml:",inline"`
	Pool   `yaml:",inline"`
}
type serviceDocument struct {
	Header  `yaml:",inline"`
	Service `yaml:",inline"`
}
type policyDocument struct {
	Header `yaml:",inline"`
	Policy `yaml:",inline"`
}

// ReadFolder reads all .yaml files of a folder, or a single file. If the input is
// invalid, its error is of type Findings.
func ReadFolder(path string) ([]Source, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "reading configuration")
	}
	files := []string{path}
	if info.IsDir() {
		files, err = filepath.Glob(filepath.Join(path, "*.yaml"))
		if err != nil {
			return nil, errors.Wrap(err, "reading configuration")
		}
		sort.Strings(files)
	}
	if len(files) == 0 {
		return nil, errors.Errorf("%s holds no .yaml file", path)
	}
	var sources []Source
	var findings Findings
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "reading configuration")
		}
		fileSources, fileFindings := Parse(file, text)
		sources = append(sources, fileSources...)
		findings = append(findings, fileFindings...)
	}
	return sources, findings.Err()
}

// Parse parses the YAML documents of one file. It returns the valid objects and
// all findings.
func Parse(file string, text []byte) ([]Source, Findings) {
	parsed, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, Findings{YAMLFinding(file, err)}
	}
	var sources []Source
	var findings Findings
	for _, document := range parsed.Docs {
		if document.Body == nil || document.Body.Type() == ast.NullType {
			continue
		}
		object, err := decode(document.Body)
		if err != nil {
			findings = append(findings, findingFor(file, document.Body, err))
			continue
		}
		source := Source{object: object, location: Location{file: file, node: document.Body}}
		if object.Key.Name == "" {
			findings = append(findings, source.location.At("", "name is missing"))
			continue
		}
		sources = append(sources, source)
	}
	return sources, findings
}

func decode(node ast.Node) (Object, error) {
	var head Header
	if err := yaml.NodeToValue(node, &head); err != nil {
		return Object{}, err
	}
	object := Object{Key: Key(head)}
	var err error
	switch head.Kind {
	case KindModel:
		var doc modelDocument
		err = decodeStrict(node, &doc)
		object.Model = &doc.Model
	case KindAdapter:
		var doc adapterDocument
		err = decodeStrict(node, &doc)
		object.Adapter = &doc.Adapter
	case KindLabel:
		var doc labelDocument
		err = decodeStrict(node, &doc)
		object.Label = &doc.Label
	case KindSelector:
		var doc selectorDocument
		err = decodeStrict(node, &doc)
		object.Selector = &doc.Selector
	case KindPool:
		var doc poolDocument
		err = decodeStrict(node, &doc)
		object.Pool = &doc.Pool
	case KindService:
		var doc serviceDocument
		err = decodeStrict(node, &doc)
		object.Service = &doc.Service
	case KindPolicy:
		var doc policyDocument
		err = decodeStrict(node, &doc)
		object.Policy = &doc.Policy
	default:
		err = errors.Errorf("kind %q is unknown; use model, adapter, label, selector, pool, service or policy", head.Kind)
	}
	return object, err
}

func decodeStrict(node ast.Node, document any) error {
	return yaml.NodeToValue(node, document, yaml.Strict())
}

func findingFor(file string, node ast.Node, err error) Finding {
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) {
		return YAMLFinding(file, err)
	}
	return Location{file: file, node: node}.At("kind", err.Error())
}

// YAMLFinding returns a finding with the message and, if known, the location of an
// error of the YAML library.
func YAMLFinding(file string, err error) Finding {
	finding := Finding{File: file, Message: strings.SplitN(err.Error(), "\n", 2)[0]}
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) {
		finding.Message = yamlErr.GetMessage()
		if token := yamlErr.GetToken(); token != nil {
			finding.Line = token.Position.Line
			finding.Column = token.Position.Column
		}
	}
	return finding
}
