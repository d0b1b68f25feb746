package config

import (
	"cmp"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-playground/validator/v10"

	"waxwingpick"
)

const (
	maxLeaving   = 4096
	minDeadline  = time.Millisecond
	maxDeadline  = 24 * time.Hour
	maxRetention = 30 * 24 * time.Hour
)

var structChecks = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	return v
})

// Validate checks a record. It returns a ValidationError with all invalid fields, or nil.
func Validate(r Record) error {
	c := checker{}
	c.tags(r)
	c.presets(r)
	c.services(r.Services)
	c.limits(r.Limits)
	c.leaving(r.Leaving)
	if len(c.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(c.faults, func(a, b FieldError) int {
		return cmp.Compare(a.path, b.path)
	})
	return &ValidationError{
		fields: c.faults,
	}
}

// checker collects the invalid fields of a record.
type checker struct {
	faults []FieldError
}

func (c *checker) fault(path string, value any, allowed string) {
	c.faults = append(c.faults, FieldError{
		path:    path,
		value:   render(reflect.ValueOf(value)),
		allowed: allowed,
	})
}

// tags runs the checks that are specified by struct tags.
func (c *checker) tags(r Record) {
	var found validator.ValidationErrors
	if !errors.As(structChecks().Struct(r), &found) {
		return
	}
	for _, f := range found {
		c.fault(strings.TrimPrefix(f.Namespace(), "Record."), f.Value(), TagRule(f))
	}
}

// TagRule describes the values that a validation tag allows.
func TagRule(f validator.FieldError) string {
	unit := ""
	switch f.Kind() {
	case reflect.String:
		unit = " characters"
	case reflect.Slice, reflect.Map:
		unit = " items"
	default:
	}
	switch f.Tag() {
	case "required":
		return "must be set"
	case "max", "lte":
		return "must be at most " + f.Param() + unit
	case "min", "gte":
		return "must be at least " + f.Param() + unit
	case "oneof":
		return "must be one of " + strings.Join(strings.Fields(f.Param()), ", ")
	case "ip_port":
		return "must be an IP address and port, such as 10.0.0.1:8080"
	}
	return strings.TrimSpace("must satisfy " + f.Tag() + " " + f.Param())
}

func (c *checker) presets(r Record) {
	kinds := make(map[waxwingpick.ServiceName]TargetKind)
	for _, s := range r.Services {
		kinds[s.Name] = s.Kind
	}
	var names waxwingpick.Set[string]
	for i, p := range r.Presets {
		path := fmt.Sprintf("presets[%d]", i)
		if names.Has(p.Name) {
			c.fault(path+".name", p.Name, "must differ from the other presets' names")
		}
		names.Add(p.Name)
		c.classes(path, p.Classes)
		c.roles(path, p.Roles, kinds)
	}
	if r.InForce != "" && !names.Has(r.InForce) {
		c.fault("inForce", r.InForce, "must be one of "+strings.Join(names.Sorted(), ", "))
	}
}

func (c *checker) classes(preset string, policies []ClassPolicy) {
	var seen waxwingpick.Set[waxwingpick.Class]
	for i, p := range policies {
		path := fmt.Sprintf("%s.classes[%d]", preset, i)
		if seen.Has(p.Class) {
			c.fault(path+".class", p.Class, "must occur only once in a preset")
		}
		seen.Add(p.Class)
		c.duration(path+".deadline", p.Deadline, minDeadline, maxDeadline)
		c.duration(path+".firstToken", p.FirstToken, 0, maxDeadline)
		if p.FirstToken > p.Deadline {
			c.fault(path+".firstToken", p.FirstToken, "must be at most the deadline "+p.Deadline.Std().String())
		}
	}
}

func (c *checker) roles(preset string, bounds []RoleBounds, kinds map[waxwingpick.ServiceName]TargetKind) {
	var seen waxwingpick.Set[string]
	for i, b := range bounds {
		path := fmt.Sprintf("%s.roles[%d]", preset, i)
		if seen.Has(b.identity()) {
			c.fault(path+".role", b.Role, "must occur only once for a service")
		}
		seen.Add(b.identity())
		if kind, ok := kinds[b.Service]; b.Service != "" && (!ok || kind != KindEngine) {
			c.fault(path+".service", b.Service, "must name a service of kind engine")
		}
		if b.Min > b.Max {
			c.fault(path+".min", b.Min, fmt.Sprintf("must be at most max, which is %d", b.Max))
		}
	}
}

func (c *checker) services(services []Service) {
	var names waxwingpick.Set[waxwingpick.ServiceName]
	for i, s := range services {
		path := fmt.Sprintf("services[%d]", i)
		if names.Has(s.Name) {
			c.fault(path+".name", s.Name, "must differ from the other services' names")
		}
		names.Add(s.Name)
		c.duration(path+".roleChangeTime", s.RoleChangeTime, 0, maxDeadline)
		if strings.ContainsRune(string(s.Name), '/') {
			c.fault(path+".name", s.Name, "must not contain /")
		}
		switch s.Kind {
		case KindEngine:
			c.engineService(path, s)
		case KindPlain:
			c.plainService(path, s)
		}
	}
}

func (c *checker) engineService(path string, s Service) {
	if len(s.Models) == 0 {
		c.fault(path+".models", 0, "must hold a model for a service of kind engine")
	}
	if len(s.RepeatableMethods) > 0 {
		c.fault(path+".repeatableMethods", s.RepeatableMethods, "is for services of kind plain")
	}
	var seen waxwingpick.Set[string]
	for i, m := range s.Models {
		if seen.Has(m.identity()) {
			c.fault(fmt.Sprintf("%s.models[%d].name", path, i), m.identity(), "must occur only once with the same adapter")
		}
		seen.Add(m.identity())
	}
}

func (c *checker) plainService(path string, s Service) {
	if len(s.Models) > 0 {
		c.fault(path+".models", len(s.Models), "is for services of kind engine")
	}
	if s.ChecksFencing {
		c.fault(path+".checksFencing", true, "is for services of kind engine")
	}
	for i, m := range s.RepeatableMethods {
		if m == "" || m != strings.ToUpper(m) {
			c.fault(fmt.Sprintf("%s.repeatableMethods[%d]", path, i), m, "must be an HTTP method in capitals")
		}
	}
}

func (c *checker) limits(l Limits) {
	c.duration("limits.orderRetention", l.OrderRetention, 0, maxRetention)
	var seen waxwingpick.Set[waxwingpick.WorkspaceID]
	for i, r := range l.WorkspaceRates {
		if seen.Has(r.Workspace) {
			c.fault(fmt.Sprintf("limits.workspaceRates[%d].workspace", i), r.Workspace, "must occur only once")
		}
		seen.Add(r.Workspace)
	}
}

func (c *checker) leaving(leaving []Leaving) {
	if len(leaving) > maxLeaving {
		c.fault("leaving", len(leaving), fmt.Sprintf("must be at most %d items", maxLeaving))
	}
	var seen waxwingpick.Set[waxwingpick.InstanceID]
	for i, l := range leaving {
		path := fmt.Sprintf("leaving[%d]", i)
		if l.Instance == "" || len(l.Instance) > 128 {
			c.fault(path+".instance", l.Instance, "must be 1 to 128 characters")
		}
		if seen.Has(l.Instance) {
			c.fault(path+".instance", l.Instance, "must occur only once")
		}
		seen.Add(l.Instance)
	}
}

func (c *checker) duration(path string, d Duration, minimum, maximum time.Duration) {
	if d.Std() < minimum || d.Std() > maximum {
		c.fault(path, d, fmt.Sprintf("must be at least %s and at most %s", minimum, maximum))
	}
}
