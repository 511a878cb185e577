package gate

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestReport guards against a run that passes in spite of an unknown failure, of a package that
// failed without a test, or of no test at all.
func TestReport(t *testing.T) {
	const (
		pass        = `{"Action":"pass","Package":"p","Test":"TestA"}`
		subtestFail = `{"Action":"fail","Package":"p","Test":"TestB/x"}`
		parentFail  = `{"Action":"fail","Package":"p","Test":"TestB"}`
		packageFail = `{"Action":"fail","Package":"p"}`
	)
	cases := []struct {
		name, known string
		lines       []string
		wantPass    bool
	}{
		{"all pass", "", []string{pass}, true},
		{"no test at all", "", nil, false},
		{"unknown failure", "", []string{pass, subtestFail, parentFail, packageFail}, false},
		{"known subtest", "p.TestB/x | go test | seen | 3\n", []string{subtestFail, parentFail, packageFail}, true},
		{"another is known", "p.TestC | go test | seen | 3\n", []string{subtestFail, parentFail, packageFail}, false},
		{"comment", "# p.TestB\n", []string{parentFail, packageFail}, false},
		{"package fails without a test", "p.TestB | | |\n", []string{pass, packageFail}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g, err := New(strings.NewReader(c.known))
			is.NoErr(err)
			var out strings.Builder
			is.NoErr(g.Read(strings.NewReader(strings.Join(c.lines, "\n")), &out))
			is.Equal(g.Report(&out), c.wantPass)
		})
	}
}

// A panic outside the goroutine of a test ended the tests of a package. The gate printed that the package had failed, and kept the
// trace for itself.
func TestOutputOfATestThatDidNotEndIsPrinted(t *testing.T) {
	is := is.New(t)
	g, err := New(strings.NewReader(""))
	is.NoErr(err)
	lines := []string{
		`{"Action":"output","Package":"p","Test":"TestA","Output":"of the one that passed"}`,
		`{"Action":"pass","Package":"p","Test":"TestA"}`,
		`{"Action":"output","Package":"p","Test":"TestS","Output":"of the one that was skipped"}`,
		`{"Action":"skip","Package":"p","Test":"TestS"}`,
		`{"Action":"output","Package":"p","Test":"TestB","Output":"panic: trace"}`,
		`{"Action":"fail","Package":"p"}`,
	}
	var out strings.Builder
	is.NoErr(g.Read(strings.NewReader(strings.Join(lines, "\n")), &out))
	is.True(!g.Report(&out))
	is.True(strings.Contains(out.String(), "panic: trace"))
	is.True(!strings.Contains(out.String(), "of the one"))
}
