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

// Place says where an object or field was written.
type Place struct {
	file string
	node ast.Node
}

// NewPlace returns the place of a node in a file.
func NewPlace(file string, node ast.Node) Place { return Place{file: file, node: node} }

// At returns a finding at the object's field named by path, or at the object
// itself if it has no such field.
func (p Place) At(path, message string) Finding {
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

// Source is an object as read from a file.
type Source struct {
	object Object
	place  Place
}

// NewSource returns an object that was read from no file, as the administration API gets it.
func NewSource(object Object) Source {
	return Source{object: object, place: Place{file: object.Key.String()}}
}

// Object returns the object that was read.
func (s Source) Object() Object { return s.object }

// Place returns where it was read.
func (s Source) Place() Place { return s.place }

// Header is what every document starts with.
type Header struct {
	Kind Kind   `yaml:"kind"`
	Name string `yaml:"name"`
}

// The documents are flat: kind and name beside the kind's own fields.
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

// ReadFolder reads every .yaml file of a folder, or one file; its error is Findings for bad input.
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
		more, wrong := Parse(file, text)
		sources = append(sources, more...)
		findings = append(findings, wrong...)
	}
	return sources, findings.Err()
}

// Parse reads the YAML documents of one file and collects all that is wrong with them.
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
			findings = append(findings, placed(file, document.Body, err))
			continue
		}
		source := Source{object: object, place: Place{file: file, node: document.Body}}
		if object.Key.Name == "" {
			findings = append(findings, source.place.At("", "name is missing"))
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
		err = strict(node, &doc)
		object.Model = &doc.Model
	case KindAdapter:
		var doc adapterDocument
		err = strict(node, &doc)
		object.Adapter = &doc.Adapter
	case KindLabel:
		var doc labelDocument
		err = strict(node, &doc)
		object.Label = &doc.Label
	case KindSelector:
		var doc selectorDocument
		err = strict(node, &doc)
		object.Selector = &doc.Selector
	case KindPool:
		var doc poolDocument
		err = strict(node, &doc)
		object.Pool = &doc.Pool
	case KindService:
		var doc serviceDocument
		err = strict(node, &doc)
		object.Service = &doc.Service
	case KindPolicy:
		var doc policyDocument
		err = strict(node, &doc)
		object.Policy = &doc.Policy
	default:
		err = errors.Errorf("kind %q is unknown; use model, adapter, label, selector, pool, service or policy", head.Kind)
	}
	return object, err
}

func strict(node ast.Node, document any) error {
	return yaml.NodeToValue(node, document, yaml.Strict())
}

func placed(file string, node ast.Node, err error) Finding {
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) {
		return YAMLFinding(file, err)
	}
	return Place{file: file, node: node}.At("kind", err.Error())
}

// YAMLFinding returns a finding with the place and first line of the YAML library's error.
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
