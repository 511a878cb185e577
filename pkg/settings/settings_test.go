package settings

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

type sampleSettings struct {
	Name string `yaml:"name" validate:"required"`
	Port int    `yaml:"port" validate:"min=1,max=65535"`
	Sub  struct {
		Zone string `yaml:"zone" validate:"required"`
	} `yaml:"sub"`
}

func TestDecodeErrorsNameFieldValueReasonAndLine(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"unknown field", "name: a\nport: 1\nsub:\n  zone: z\nextra: 1\n", "line 5: field extra"},
		{"out of range", "name: a\nport: 99999\nsub:\n  zone: z\n", `line 2: field port: value "99999": must satisfy max=65535`},
		{"wrong type", "name: a\nport: many\nsub:\n  zone: z\n", `line 2: field port: value "many"`},
		{"missing nested", "name: a\nport: 1\nsub:\n  zone: ''\n", "line 4: field sub.zone"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			err := Decode([]byte(c.text), &sampleSettings{})
			is.True(err != nil)
			t.Log(err)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}

func TestDecodeKeepsDefaults(t *testing.T) {
	is := is.New(t)
	s := sampleSettings{Port: 7}
	is.NoErr(Decode([]byte("name: a\nsub: {zone: z}\n"), &s))
	is.Equal(s.Port, 7)
}
