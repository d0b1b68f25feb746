package yaml

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"reflect"
	"strings"
	"sync"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"waxwingpick/core/config"
)

const (
	// MaxSize is the maximum size of a file, in bytes. The running time of the parser is quadratic in the number of keys
	// of a mapping.
	MaxSize = 128 << 10
	// maxDepth is the maximum nesting depth of a file.
	maxDepth = 16
)

var tagChecks = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(fieldName)
	if err := v.RegisterValidation(tagIPPort, isIPPort); err != nil {
		panic(err)
	}
	return v
})

// tagIPPort is the validation tag of an IP address with a port. Host names are invalid, since processes do not use DNS.
const tagIPPort = "ip_port"

func isIPPort(f validator.FieldLevel) bool {
	_, err := netip.ParseAddrPort(f.Field().String())
	return err == nil
}

// ReadFile reads a file, but at most MaxSize+1 bytes, so that the decoders can reject a larger file.
func ReadFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read file: %w", err)
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, MaxSize+1))
	if err != nil {
		return nil, fmt.Errorf("read file: %w", err)
	}
	return data, nil
}

// LoadSettings reads a settings file into a struct and checks it by the validation tags of the struct. It returns a
// FileError with all faults, or the error of reading the file. On error, the struct is unchanged.
func LoadSettings[T any](path string, into *T) error {
	data, err := ReadFile(path)
	if err != nil {
		return err
	}
	settings, err := DecodeSettings[T](path, data)
	if err != nil {
		return err
	}
	*into = settings
	return nil
}

// Problem is an error in the value of a field that only Checker.Check detects.
type Problem struct {
	// Field is the path of the field.
	Field string
	// Text describes the error.
	Text string
}

// Checker is implemented by settings that refer to resources outside of their file, such as other files.
type Checker interface {
	// Check returns the problems of the settings. It is called only if the settings match their validation tags.
	Check() []Problem
}

// DecodeSettings decodes and checks settings. Errors use name as the name of the file.
func DecodeSettings[T any](name string, data []byte) (T, error) {
	return decode(name, data, func(d *document, settings T) {
		var found validator.ValidationErrors
		if errors.As(tagChecks().Struct(settings), &found) {
			for _, f := range found {
				_, path, _ := strings.Cut(f.Namespace(), ".")
				d.fault(path, fmt.Sprintf("%q %s", textOf(f.Value()), config.TagRule(f)))
			}
			return
		}
		if c, ok := any(settings).(Checker); ok {
			for _, p := range c.Check() {
				d.fault(p.Field, p.Text)
			}
		}
	})
}

// textOf formats a value, empty for a missing section.
func textOf(value any) string {
	if reflect.ValueOf(value).Kind() == reflect.Pointer {
		return ""
	}
	return fmt.Sprint(value)
}

// LoadConfig reads a configuration file. It returns a FileError with all faults, or the error of reading the file.
func LoadConfig(path string) (config.Record, error) {
	data, err := ReadFile(path)
	if err != nil {
		return config.Record{}, err
	}
	return DecodeConfig(path, data)
}

// DecodeConfig decodes and validates a configuration. Errors use name as the name of the file.
func DecodeConfig(name string, data []byte) (config.Record, error) {
	return decode(name, data, func(d *document, r config.Record) {
		var found *config.ValidationError
		if errors.As(config.Validate(r), &found) {
			for _, f := range found.Fields() {
				d.fault(f.Path(), f.Value()+" "+f.Allowed())
			}
		}
	})
}

// decode parses the data, checks it against the structure of T, decodes it and checks the values.
func decode[T any](name string, data []byte, check func(d *document, value T)) (T, error) {
	var value, none T
	d := newDocument(name)
	root, ok := d.parse(data)
	if !ok {
		return none, newFileError(d.faults)
	}
	d.walk("", root, reflect.TypeFor[T](), 0)
	if len(d.faults) > 0 {
		return none, newFileError(d.faults)
	}
	if err := yaml.NodeToValue(root, &value, yaml.Strict()); err != nil {
		d.faultAt(0, "", err.Error())
		return none, newFileError(d.faults)
	}
	check(d, value)
	if len(d.faults) > 0 {
		return none, newFileError(d.faults)
	}
	return value, nil
}

// parse returns the root node of a file with exactly one document.
func (d *document) parse(data []byte) (ast.Node, bool) {
	if len(data) > MaxSize {
		d.faultAt(0, "", fmt.Sprintf("is larger than %d bytes", MaxSize))
		return nil, false
	}
	if depthOf(data) > maxDepth*maxIndent {
		d.faultAt(0, "", "is nested too deeply")
		return nil, false
	}
	file, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.syntax(err)
		return nil, false
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		d.faultAt(0, "", "must hold exactly one document")
		return nil, false
	}
	return file.Docs[0].Body, true
}

func (d *document) syntax(err error) {
	var located yaml.Error
	if errors.As(err, &located) && located.GetToken() != nil {
		d.faultAt(located.GetToken().Position.Line, "", located.GetMessage())
		return
	}
	d.faultAt(0, "", err.Error())
}
