package config

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"time"
)

// Difference is one field in which two records differ; From or To is empty where the field is absent.
type Difference struct {
	Path string `json:"path"`
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// Diff lists the fields in which two records differ but for their revision, change ID and history.
// Elements of lists are matched by their names.
func Diff(from, to Record) []Difference {
	from.Revision, to.Revision = 0, 0
	from.ChangeID, to.ChangeID = "", ""
	from.History, to.History = nil, nil
	d := differ{}
	d.compare("", reflect.ValueOf(from), reflect.ValueOf(to))
	return d.found
}

// identified is a list element with a name of its own.
type identified interface {
	identity() string
}

func (p Preset) identity() string { return p.Name }

func (p ClassPolicy) identity() string { return p.Class.String() }

func (b RoleBounds) identity() string { return string(b.Service) + "/" + b.Role.String() }

func (s Service) identity() string { return string(s.Name) }

func (m Model) identity() string {
	if m.Adapter == "" {
		return m.Name
	}
	return m.Name + "/" + m.Adapter
}

func (r WorkspaceRate) identity() string { return string(r.Workspace) }

func (l Leaving) identity() string { return string(l.Instance) }

type differ struct {
	found []Difference
}

func (d *differ) compare(path string, from, to reflect.Value) {
	switch {
	case isLeaf(from):
		d.leaf(path, render(from), render(to))
	case from.Kind() == reflect.Struct:
		for i := range from.NumField() {
			name, _, _ := strings.Cut(from.Type().Field(i).Tag.Get("json"), ",")
			d.compare(join(path, name), from.Field(i), to.Field(i))
		}
	case from.Kind() == reflect.Slice:
		d.list(path, from, to)
	default:
		d.leaf(path, render(from), render(to))
	}
}

func (d *differ) leaf(path, from, to string) {
	if from != to {
		d.found = append(d.found, Difference{
			Path: path,
			From: from,
			To:   to,
		})
	}
}

func (d *differ) list(path string, from, to reflect.Value) {
	matched := make(map[string]reflect.Value)
	for i := range to.Len() {
		matched[identityOf(to, i)] = to.Index(i)
	}
	known := make(map[string]struct{})
	for i := range from.Len() {
		id := identityOf(from, i)
		known[id] = struct{}{}
		element := fmt.Sprintf("%s[%s]", path, id)
		if other, ok := matched[id]; ok {
			d.compare(element, from.Index(i), other)
			continue
		}
		d.leaf(element, render(from.Index(i)), "")
	}
	for i := range to.Len() {
		id := identityOf(to, i)
		if _, ok := known[id]; !ok {
			d.leaf(fmt.Sprintf("%s[%s]", path, id), "", render(to.Index(i)))
		}
	}
}

// identityOf names a list element: by its own name, or by its place.
func identityOf(list reflect.Value, i int) string {
	if element, ok := list.Index(i).Interface().(identified); ok {
		return element.identity()
	}
	return fmt.Sprint(i)
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func isLeaf(v reflect.Value) bool {
	_, isText := v.Interface().(encoding.TextMarshaler)
	return isText
}

// render writes a value as the operators' files and pages show it.
func render(v reflect.Value) string {
	switch value := v.Interface().(type) {
	case time.Time:
		if value.IsZero() {
			return "none"
		}
		return value.Format(time.RFC3339)
	case Duration:
		return value.Std().String()
	case fmt.Stringer:
		return value.String()
	}
	if v.Kind() == reflect.String {
		return fmt.Sprintf("%q", v.String())
	}
	text, err := json.Marshal(v.Interface())
	if err != nil {
		return fmt.Sprint(v.Interface())
	}
	return string(text)
}
