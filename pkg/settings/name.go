package settings

import (
	"reflect"
	"strings"
)

// yamlName returns the name of a struct field in the settings file.
func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	if name == "" {
		return strings.ToLower(f.Name)
	}
	return name
}
