package gate

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// record is one line of "go test -json".
type record struct {
	Action  string `json:"Action"`
	Package string `json:"Package"`
	Test    string `json:"Test"`
	Output  string `json:"Output"`
}

// Gate collects the results of a run.
type Gate struct {
	known  map[string]bool
	output map[string]*strings.Builder
	failed map[string]bool
	// broken are packages that failed.
	broken map[string]bool
	passed int
}

// New returns a gate with the list of known failures.
func New(known io.Reader) (*Gate, error) {
	g := &Gate{
		known:  map[string]bool{},
		output: map[string]*strings.Builder{},
		failed: map[string]bool{},
		broken: map[string]bool{},
	}
	lines := bufio.NewScanner(known)
	for lines.Scan() {
		name, _, _ := strings.Cut(lines.Text(), "|")
		name = strings.TrimSpace(name)
		if name != "" && !strings.HasPrefix(name, "#") {
			g.known[name] = true
		}
	}
	return g, lines.Err()
}

// maxLineBytes bounds one line of "go test -json".
const maxLineBytes = 16 << 20

// Read takes the output of "go test -json" and copies the lines about packages to out.
func (g *Gate) Read(in io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var r record
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			fmt.Fprintln(out, lines.Text())
			continue
		}
		g.take(r, out)
	}
	return lines.Err()
}

func (g *Gate) take(r record, out io.Writer) {
	name := r.Package + "." + r.Test
	switch {
	case r.Action == "output" && r.Test == "":
		fmt.Fprint(out, r.Output)
	case r.Action == "output":
		g.note(name, r.Output)
	case r.Action == "build-output":
		fmt.Fprint(out, r.Output)
	case r.Action == "pass" && r.Test != "":
		g.passed++
		delete(g.output, name)
	case r.Action == "fail" && r.Test != "":
		g.failed[name] = true
	case r.Action == "fail":
		g.broken[r.Package] = true
	}
}

func (g *Gate) note(name, text string) {
	b, ok := g.output[name]
	if !ok {
		b = &strings.Builder{}
		g.output[name] = b
	}
	b.WriteString(text)
}

// Verdict prints the failures and reports whether only known ones remain. A run
// without any test does not pass.
func (g *Gate) Verdict(out io.Writer) bool {
	good := true
	for _, name := range sorted(g.failed) {
		if g.allowed(name) {
			fmt.Fprintln(out, "known failure:", name)
			continue
		}
		good = false
		fmt.Fprintln(out, "FAILURE:", name)
		if b := g.output[name]; b != nil {
			fmt.Fprint(out, b.String())
		}
	}
	for _, p := range sorted(g.broken) {
		if !g.explained(p) {
			good = false
			fmt.Fprintln(out, "FAILURE of package:", p)
		}
	}
	fmt.Fprintf(out, "%d passed, %d failed\n", g.passed, len(g.failed))
	return good && g.passed+len(g.failed) > 0
}

// allowed reports whether a failed test is known, or failed only through known subtests.
func (g *Gate) allowed(name string) bool {
	if g.known[name] {
		return true
	}
	subtests := 0
	for other := range g.failed {
		if !strings.HasPrefix(other, name+"/") {
			continue
		}
		subtests++
		if !g.allowed(other) {
			return false
		}
	}
	return subtests > 0
}

// explained reports whether a package failed through a test and not by itself.
func (g *Gate) explained(p string) bool {
	for name := range g.failed {
		if strings.HasPrefix(name, p+".") {
			return true
		}
	}
	return false
}

func sorted(m map[string]bool) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
