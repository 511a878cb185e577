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

// FieldError is the error for one invalid field.
type FieldError struct {
	// Field is the path of the field in the file.
	Field  string
	Value  string
	Reason string
	// Line is the line number in the file; 0 if it is not known.
	Line int
}

// Error implements error.
func (f FieldError) Error() string {
	return fmt.Sprintf("line %d: field %s: value %q: %s", f.Line, f.Field, f.Value, f.Reason)
}

// Load reads the file at path into target and validates it. Target must be a pointer to a struct
// that contains the defaults.
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

// Parse parses text strictly into target without validating it. An empty text leaves target as it
// is.
func Parse(text []byte, target any) error {
	dec := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict())
	if err := dec.Decode(target); err != nil && len(bytes.TrimSpace(text)) > 0 {
		return decodeError(err)
	}
	return nil
}

// Validate checks a value that was not read from a file against its validate tags.
func Validate(target any) error { return validate(nil, target) }

// Format formats settings as YAML.
func Format(value any) (string, error) {
	out, err := yaml.Marshal(value)
	return string(out), err
}

// decodeError converts an error of the YAML decoder to a FieldError with the position of the token.
func decodeError(err error) error {
	var yamlErr yaml.Error
	if !errors.As(err, &yamlErr) {
		return oops.Wrapf(err, "decode settings")
	}
	fieldError := FieldError{Reason: yamlErr.GetMessage()}
	if t := yamlErr.GetToken(); t != nil {
		fieldError.Line = t.Position.Line
		fieldError.Field = t.Value
		fieldError.Value = t.Value
		if t.Prev != nil && t.Prev.Prev != nil && t.Prev.Value == ":" {
			fieldError.Field = t.Prev.Prev.Value
		}
	}
	return fieldError
}

func validate(text []byte, target any) error {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlName)
	err := v.Struct(target)
	var fieldErrors validator.ValidationErrors
	if !errors.As(err, &fieldErrors) {
		return err
	}
	faults := make([]error, 0, len(fieldErrors))
	for _, fe := range fieldErrors {
		faults = append(faults, validationError(text, fe))
	}
	return errors.Join(faults...)
}

func validationError(text []byte, fe validator.FieldError) FieldError {
	_, path, _ := strings.Cut(fe.Namespace(), ".")
	reason := "must satisfy " + fe.Tag()
	if fe.Param() != "" {
		reason += "=" + fe.Param()
	}
	return FieldError{Field: path, Value: fmt.Sprint(fe.Value()), Reason: reason, Line: fieldLine(text, path)}
}

// fieldLine returns the line of the field at path, or of its nearest parent that is present in text.
// It returns 0 if text is not valid YAML.
func fieldLine(text []byte, path string) int {
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return 0
	}
	for path != "" {
		if n := findNode(file, path); n != nil {
			return n.GetToken().Position.Line
		}
		cut := strings.LastIndexAny(path, ".[")
		path = path[:max(cut, 0)]
	}
	return 1
}

// findNode returns the node at path, or nil if there is none.
func findNode(file *ast.File, path string) ast.Node {
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
