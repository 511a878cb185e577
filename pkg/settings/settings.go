package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/samber/oops"
)

// Fault is one invalid field.
type Fault struct {
	Field  string
	Value  string
	Reason string
	Line   int
}

// Error formats the fault as one line.
func (f Fault) Error() string {
	return fmt.Sprintf("line %d: field %s: value %q: %s", f.Line, f.Field, f.Value, f.Reason)
}

// Load reads the file at path into target, which must be a pointer to a struct
// that already holds the defaults.
func Load(path string, target any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return oops.Wrapf(err, "read settings")
	}
	return Decode(text, target)
}

// Decode parses text strictly into target and validates it.
func Decode(text []byte, target any) error {
	if err := Parse(text, target); err != nil {
		return err
	}
	return validate(text, target)
}

// Parse parses text strictly into target without validation.
func Parse(text []byte, target any) error {
	dec := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict())
	if err := dec.Decode(target); err != nil && len(bytes.TrimSpace(text)) > 0 {
		return decodeFault(err)
	}
	return nil
}

// Validate validates a value that was not read from a file.
func Validate(target any) error { return validate(nil, target) }

// Print renders settings as YAML.
func Print(value any) (string, error) {
	out, err := yaml.Marshal(value)
	return string(out), err
}

func decodeFault(err error) error {
	var ye yaml.Error
	if !errors.As(err, &ye) {
		return oops.Wrapf(err, "decode settings")
	}
	f := Fault{Reason: ye.GetMessage()}
	if t := ye.GetToken(); t != nil {
		f.Line = t.Position.Line
		f.Field = t.Value
		f.Value = t.Value
		if t.Prev != nil && t.Prev.Prev != nil && t.Prev.Value == ":" {
			f.Field = t.Prev.Prev.Value
		}
	}
	return f
}

func validate(text []byte, target any) error {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlName)
	err := v.Struct(target)
	var list validator.ValidationErrors
	if !errors.As(err, &list) {
		return err
	}
	faults := make([]error, 0, len(list))
	for _, fe := range list {
		faults = append(faults, fieldFault(text, fe))
	}
	return errors.Join(faults...)
}

func fieldFault(text []byte, fe validator.FieldError) Fault {
	_, path, _ := strings.Cut(fe.Namespace(), ".")
	reason := "must satisfy " + fe.Tag()
	if fe.Param() != "" {
		reason += "=" + fe.Param()
	}
	return Fault{Field: path, Value: fmt.Sprint(fe.Value()), Reason: reason, Line: lineOf(text, path)}
}

// lineOf returns the line of the field at path, or of its nearest parent present in the file.
func lineOf(text []byte, path string) int {
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return 0
	}
	for path != "" {
		if n := find(file, path); n != nil {
			return n.GetToken().Position.Line
		}
		cut := strings.LastIndexAny(path, ".[")
		path = path[:max(cut, 0)]
	}
	return 1
}

func find(file *ast.File, path string) ast.Node {
	p, err := yaml.PathString("$." + path)
	if err != nil {
		return nil
	}
	n, err := p.FilterFile(file)
	if err != nil {
		return nil
	}
	return n
}
