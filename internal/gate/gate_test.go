package gate

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestVerdict(t *testing.T) {
	const (
		pass     = `{"Action":"pass","Package":"p","Test":"TestA"}`
		sub      = `{"Action":"fail","Package":"p","Test":"TestB/x"}`
		parent   = `{"Action":"fail","Package":"p","Test":"TestB"}`
		packageF = `{"Action":"fail","Package":"p"}`
	)
	cases := []struct {
		name, known string
		lines       []string
		good        bool
	}{
		{"all pass", "", []string{pass}, true},
		{"no test at all", "", nil, false},
		{"unknown failure", "", []string{pass, sub, parent, packageF}, false},
		{"known subtest", "p.TestB/x | go test | seen | 3\n", []string{sub, parent, packageF}, true},
		{"another is known", "p.TestC | go test | seen | 3\n", []string{sub, parent, packageF}, false},
		{"comment", "# p.TestB\n", []string{parent, packageF}, false},
		{"package fails without a test", "p.TestB | | |\n", []string{pass, packageF}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g, err := New(strings.NewReader(c.known))
			is.NoErr(err)
			var out strings.Builder
			is.NoErr(g.Read(strings.NewReader(strings.Join(c.lines, "\n")), &out))
			is.Equal(g.Verdict(&out), c.good)
		})
	}
}
