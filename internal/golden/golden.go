// Package golden compares the encodings of messages, stored objects and settings with recorded
// text, so that a test fails when a renamed field changes the format that other processes read.
package golden

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/matryer/is"
)

// JSON fails the test unless a T whose fields are all set encodes to the JSON text want, and want
// decodes to a value with the same encoding.
func JSON[T any](t *testing.T, want string) {
	t.Helper()
	checkEncoding[T](t, want, json.Marshal, func(text []byte, out any) error { return json.Unmarshal(text, out) })
}

// YAML does the same as JSON for the YAML encoding of settings files.
func YAML[T any](t *testing.T, want string) {
	t.Helper()
	checkEncoding[T](t, want, yaml.Marshal, func(text []byte, out any) error { return yaml.Unmarshal(text, out) })
}

func checkEncoding[T any](t *testing.T, want string, encode func(any) ([]byte, error), decode func([]byte, any) error) {
	t.Helper()
	is := is.New(t)
	var sample, decoded T
	f := sampleFiller{}
	f.fill(reflect.ValueOf(&sample).Elem(), 0)
	text, err := encode(sample)
	is.NoErr(err)
	is.Equal(string(text), want) // encoding of a message, object or settings file
	is.NoErr(decode([]byte(want), &decoded))
	text, err = encode(decoded)
	is.NoErr(err)
	is.Equal(string(text), want) // encoding after decoding
}

// sampleFiller sets fields to nonzero values; those of numbers and strings all differ.
type sampleFiller struct {
	// count is the number of values set so far.
	count int
}

// maxFillDepth ends the recursion for types that contain themselves.
const maxFillDepth = 10

// rawMessage is the type whose values must be valid JSON.
var rawMessage = reflect.TypeFor[json.RawMessage]()

func (f *sampleFiller) fill(v reflect.Value, depth int) {
	if depth > maxFillDepth || !v.CanSet() {
		return
	}
	f.count++
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(f.count))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.count))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.count) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("text%d", f.count))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem(), depth+1)
	case reflect.Slice:
		f.fillSlice(v, depth)
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i), depth+1)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key, depth+1)
		f.fill(value, depth+1)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			f.fill(v.Field(i), depth+1)
		}
	}
}

func (f *sampleFiller) fillSlice(v reflect.Value, depth int) {
	if v.Type() == rawMessage {
		v.SetBytes(fmt.Appendf(nil, `{"raw":%d}`, f.count))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), 1, 1))
	f.fill(v.Index(0), depth+1)
}
