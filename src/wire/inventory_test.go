package wire_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"go/types"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// serializedFiles are the files with structs that other builds read: messages between processes, commands
// in the replicated log, snapshots and files on disk.
var serializedFiles = []string{
	"../wire/*.go", "../registry/*.go", "../quarantine/entry.go", "../control/*.go", "../raft/*.go", "../store/*.go", "../config/*.go",
}

// untaggedStructs are the structs in these files that are serialized under their Go field names.
var untaggedStructs = []string{
	"control.changeCommand", "control.grantCommand", "control.claimCommand", "control.settleCommand", "control.deletion",
	"control.answered",
}

// inventoryFile is the reviewed list of all serialized fields and methods.
const inventoryFile = "testdata/inventory.txt"

// TestSerializedFieldsMatchInventory detects incompatible changes of serialized data.
//
// During an upgrade two builds run at the same time, and the earlier build may read a data folder written by
// the later one. It silently misreads a renamed field, a field with another type or number, and a new
// command. A change of such a struct must be accompanied by a description in docs/design/upgrades.md of how
// earlier and later builds handle it, and by an update of the list with UPDATE_INVENTORY=1.
func TestSerializedFieldsMatchInventory(t *testing.T) {
	got := strings.Join(inventory(t), "\n") + "\n"
	if os.Getenv("UPDATE_INVENTORY") != "" {
		if err := os.WriteFile(inventoryFile, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(inventoryFile)
	if err != nil {
		t.Fatal(err)
	}
	known, now := strings.Split(string(want), "\n"), strings.Split(got, "\n")
	for _, line := range now {
		if !slices.Contains(known, line) {
			t.Errorf("is not in the inventory: %s", line)
		}
	}
	for _, line := range known {
		if !slices.Contains(now, line) {
			t.Errorf("is no longer serialized like this: %s", line)
		}
	}
}

// inventory returns a line for each serialized field and each method.
func inventory(t *testing.T) []string {
	t.Helper()
	var lines []string
	for _, pattern := range serializedFiles {
		files, err := filepath.Glob(pattern)
		if err != nil || len(files) == 0 {
			t.Fatalf("%s names no file: %v", pattern, err)
		}
		for _, file := range files {
			if !strings.HasSuffix(file, "_test.go") {
				lines = append(lines, linesOfFile(t, file)...)
			}
		}
	}
	slices.Sort(lines)
	return slices.Compact(lines)
}

// linesOfFile returns the inventory lines of one file.
func linesOfFile(t *testing.T, file string) []string {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	ast.Inspect(parsed, func(n ast.Node) bool {
		switch spec := n.(type) {
		case *ast.TypeSpec:
			if form, found := spec.Type.(*ast.StructType); found {
				lines = append(lines, linesOfStruct(parsed.Name.Name+"."+spec.Name.Name, form)...)
			}
		case *ast.ValueSpec:
			if len(spec.Values) == 1 && strings.HasPrefix(spec.Names[0].Name, "Method") {
				lines = append(lines, "method "+types.ExprString(spec.Values[0]))
			}
		}
		return true
	})
	return lines
}

// linesOfStruct returns the inventory lines of one struct.
func linesOfStruct(name string, form *ast.StructType) []string {
	var lines []string
	for _, field := range form.Fields.List {
		tag := ""
		if field.Tag != nil {
			tag = " " + field.Tag.Value
		}
		for _, one := range field.Names {
			if tag != "" || one.IsExported() && slices.Contains(untaggedStructs, name) {
				lines = append(lines, fmt.Sprintf("%s.%s %s%s", name, one.Name, types.ExprString(field.Type), tag))
			}
		}
	}
	return lines
}
