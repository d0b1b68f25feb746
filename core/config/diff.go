package config

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"time"
)

// Difference is one field in which two records differ. From or To is empty if the field is absent there.
type Difference struct {
	Path string `json:"path"`
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// Diff lists the fields in which two records differ, apart from their revision, change ID and history.
// List elements are matched by name.
func Diff(from, to Record) []Difference {
	from.Revision, to.Revision = 0, 0
	from.ChangeID, to.ChangeID = "", ""
	from.History, to.History = nil, nil
	d := differ{}
	d.compare("", reflect.ValueOf(from), reflect.ValueOf(to))
	return d.differences
}

// identified is implemented by list elements that have a name.
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
	differences []Difference
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
		d.differences = append(d.differences, Difference{
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
	fromIDs := make(map[string]struct{})
	for i := range from.Len() {
		id := identityOf(from, i)
		fromIDs[id] = struct{}{}
		element := fmt.Sprintf("%s[%s]", path, id)
		if other, ok := matched[id]; ok {
			d.compare(element, from.Index(i), other)
			continue
		}
		d.leaf(element, render(from.Index(i)), "")
	}
	for i := range to.Len() {
		id := identityOf(to, i)
		if _, ok := fromIDs[id]; !ok {
			d.leaf(fmt.Sprintf("%s[%s]", path, id), "", render(to.Index(i)))
		}
	}
}

// identityOf returns the name of a list element, or its index if it has no name.
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

// render formats a value as in the operators' files and pages.
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
