// Package strict reads YAML files into structs and reports every mistake at
// once, each with its line and remedy.
package strict

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// File is a file that was decoded, with the problems found in it.
type File struct {
	// Name is the file's name in the problems.
	Name string
	// Lines holds the line number of each value by its path, such as
	// databases[0].name.
	Lines map[string]int

	problems []problem
	// reported holds the paths that have a problem already.
	reported map[string]bool
}

type problem struct {
	line int
	text string
}

// Read decodes body into the struct that v points to. Only fields with a struct tag
// such as `yaml:"name"` are decoded. A field of type int64 with the tag
// `unit:"bytes"` accepts sizes such as 1MiB, and a time.Duration accepts 5s.
func Read(name string, body []byte, v any) *File {
	f := &File{
		Name:     name,
		Lines:    map[string]int{},
		reported: map[string]bool{},
	}
	tree, err := parser.ParseBytes(body, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		f.addSyntaxError(err)
		return f
	}
	switch root := singleDocument(tree).(type) {
	case nil:
		f.addAtLine(1, "the file holds no single document", "write one YAML document")
	default:
		f.decode("", root, v)
	}
	return f
}

// singleDocument returns the root of the only document that is not empty, or nil
// if there are none or several.
func singleDocument(tree *ast.File) ast.Node {
	var body ast.Node
	for _, doc := range tree.Docs {
		if doc.Body == nil {
			continue
		}
		if body != nil {
			return nil
		}
		body = doc.Body
	}
	return body
}

// addSyntaxError adds a problem for an error of the YAML parser.
func (f *File) addSyntaxError(err error) {
	var e yaml.Error
	if !errors.As(err, &e) || e.GetToken() == nil {
		f.addAtLine(1, err.Error(), "correct the YAML")
		return
	}
	f.addAtLine(e.GetToken().Position.Line, e.GetMessage(), "correct the YAML")
}

// AddProblem adds a problem at the line of path, or of its nearest parent. Only the
// first problem of a path is kept.
func (f *File) AddProblem(path, reason, remedy string) {
	if f.reported[path] {
		return
	}
	f.reported[path] = true
	f.addAtLine(f.Line(path), strings.TrimPrefix(path+": ", ": ")+reason, remedy)
}

// Line returns the line number of path, or of its nearest parent.
func (f *File) Line(path string) int {
	for path != "" {
		if n, ok := f.Lines[path]; ok {
			return n
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return 1
}

// addAtLine adds a problem as one line: file, line number, reason and remedy.
func (f *File) addAtLine(line int, reason, remedy string) {
	f.problems = append(f.problems, problem{
		line: line,
		text: fmt.Sprintf("%s:%d: %s; %s", f.Name, line, reason, remedy),
	})
}

// Problems returns the problems ordered by line number; there are none when the
// file is valid.
func (f *File) Problems() []string {
	sorted := slices.Clone(f.problems)
	slices.SortStableFunc(sorted, func(a, b problem) int {
		return a.line - b.line
	})
	var texts []string
	for _, p := range sorted {
		texts = append(texts, p.text)
	}
	return texts
}
