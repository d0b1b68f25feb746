package yaml

import (
	"bytes"
	"encoding"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// maxIndent is the maximum indentation of one nesting level that the depth limit allows for, in characters.
const maxIndent = 8

// document holds the line numbers of the fields of a file and the faults found so far.
type document struct {
	file   string
	lines  map[string]int
	faults []Fault
}

func newDocument(file string) *document {
	return &document{
		file:  file,
		lines: make(map[string]int),
	}
}

// depthOf returns an upper bound of the nesting depth of a text without parsing it, from its brackets and indentation.
func depthOf(data []byte) int {
	open, deepest := 0, 0
	for line := range bytes.Lines(data) {
		text := bytes.TrimLeft(line, " -\t?")
		deepest = max(deepest, len(line)-len(text))
		for _, b := range text {
			switch b {
			case '[', '{':
				open++
			case ']', '}':
				open--
			}
			deepest = max(deepest, open)
		}
	}
	return deepest
}

// fault adds a fault of a field. A field that is missing in the file gets the line of its closest parent.
func (d *document) fault(path, problem string) {
	for parent := path; ; {
		if line, ok := d.lines[parent]; ok {
			d.faultAt(line, path, problem)
			return
		}
		i := strings.LastIndexAny(parent, ".[")
		if i < 0 {
			d.faultAt(1, path, problem)
			return
		}
		parent = parent[:i]
	}
}

func (d *document) faultAt(line int, path, problem string) {
	d.faults = append(d.faults, Fault{
		file:    d.file,
		line:    line,
		field:   path,
		problem: problem,
	})
}

// walk records the lines of the fields of a node and the faults where the node does not match the type t.
func (d *document) walk(path string, node ast.Node, t reflect.Type, depth int) {
	line := node.GetToken().Position.Line
	if path != "" {
		if _, ok := d.lines[path]; !ok {
			d.lines[path] = line
		}
	}
	if depth > maxDepth {
		d.faultAt(line, path, "is nested too deeply")
		return
	}
	if t.Kind() == reflect.Pointer {
		// A pointer is an optional section.
		t = t.Elem()
	}
	switch n := node.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.MergeKeyNode, *ast.TagNode:
		d.faultAt(line, path, "must not use anchors, aliases, merge keys or tags")
	case *ast.MappingNode:
		d.mapping(path, n.Values, t, depth)
	case *ast.MappingValueNode:
		d.mapping(path, []*ast.MappingValueNode{n}, t, depth)
	case *ast.SequenceNode:
		d.sequence(path, n, t, depth)
	default:
		d.scalar(path, node, t)
	}
}

func (d *document) mapping(path string, values []*ast.MappingValueNode, t reflect.Type, depth int) {
	if t.Kind() != reflect.Struct || isText(t) {
		d.faultAt(values[0].GetToken().Position.Line, path, "must be "+describe(t)+", not a mapping")
		return
	}
	fields := fieldsOf(t)
	firstLines := make(map[string]int)
	for _, v := range values {
		name := strings.Trim(v.Key.String(), `"'`)
		line := v.Key.GetToken().Position.Line
		field := join(path, name)
		if first, ok := firstLines[name]; ok {
			d.faultAt(line, field, fmt.Sprintf("is a duplicate, first set in line %d", first))
			continue
		}
		firstLines[name] = line
		d.lines[field] = line
		i := slices.IndexFunc(fields, func(f reflect.StructField) bool {
			return fieldName(f) == name
		})
		if i < 0 {
			d.faultAt(line, field, "is unknown: must be one of "+strings.Join(names(fields), ", "))
			continue
		}
		d.walk(field, v.Value, fields[i].Type, depth+1)
	}
}

func (d *document) sequence(path string, n *ast.SequenceNode, t reflect.Type, depth int) {
	if t.Kind() != reflect.Slice {
		d.faultAt(n.GetToken().Position.Line, path, "must be "+describe(t)+", not a list")
		return
	}
	for i, v := range n.Values {
		d.walk(fmt.Sprintf("%s[%d]", path, i), v, t.Elem(), depth+1)
	}
}

// scalar decodes one value separately, so that every value of a wrong type is reported.
func (d *document) scalar(path string, node ast.Node, t reflect.Type) {
	line := node.GetToken().Position.Line
	if _, null := node.(*ast.NullNode); null {
		d.faultAt(line, path, "must be "+describe(t)+", not empty")
		return
	}
	if (t.Kind() == reflect.Struct || t.Kind() == reflect.Slice) && !isText(t) {
		d.faultAt(line, path, fmt.Sprintf("must be %s, not %s", describe(t), node.String()))
		return
	}
	if err := yaml.NodeToValue(node, reflect.New(t).Interface(), yaml.Strict()); err != nil {
		d.faultAt(line, path, fmt.Sprintf("must be %s, not %s%s", describe(t), node.String(), reason(t, err)))
	}
}

// reason returns the error text of UnmarshalText of a custom type, with a colon in front. It is empty for other errors.
func reason(t reflect.Type, err error) string {
	if !isText(t) || t == reflect.TypeFor[time.Time]() {
		return ""
	}
	var located yaml.Error
	if errors.As(err, &located) {
		return ""
	}
	return ": " + err.Error()
}

// describe describes the valid values of a type.
func describe(t reflect.Type) string {
	if isText(t) {
		switch t.Name() {
		case "Duration":
			return "a duration such as 800ms or 15m"
		case "Class":
			return "one of quick, long, order"
		case "Role":
			return "one of mixed, prefill, decode"
		}
		return "a " + strings.ToLower(t.Name())
	}
	switch t.Kind() {
	case reflect.Struct:
		return "a mapping of " + strings.Join(names(fieldsOf(t)), ", ")
	case reflect.Slice:
		return "a list"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	default:
		return "a text"
	}
}

func isText(t reflect.Type) bool {
	return reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
}

// fieldsOf returns the fields of a struct that can be set in a file.
func fieldsOf(t reflect.Type) []reflect.StructField {
	var fields []reflect.StructField
	for i := range t.NumField() {
		if f := t.Field(i); f.IsExported() && fieldName(f) != "" {
			fields = append(fields, f)
		}
	}
	return fields
}

func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	if name == "-" {
		return ""
	}
	return name
}

func names(fields []reflect.StructField) []string {
	list := make([]string, 0, len(fields))
	for _, f := range fields {
		list = append(list, fieldName(f))
	}
	return list
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
