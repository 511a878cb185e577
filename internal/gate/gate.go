package gate

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// testEvent is one line of "go test -json". The fields have the names of the test2json format.
type testEvent struct {
	Action  string `json:"Action"`
	Package string `json:"Package"`
	Test    string `json:"Test"`
	Output  string `json:"Output"`
}

// Gate collects the results of a run. It is not safe for concurrent use.
type Gate struct {
	// knownFailures, outputs and failedTests are keyed by the full name of a test.
	knownFailures map[string]bool
	outputs       map[string]*strings.Builder
	failedTests   map[string]bool
	// failedPackages are the import paths of the packages that failed.
	failedPackages map[string]bool
	passedTests    int
}

// New reads the list of known failures and returns a gate without results.
func New(known io.Reader) (*Gate, error) {
	g := &Gate{
		knownFailures:  map[string]bool{},
		outputs:        map[string]*strings.Builder{},
		failedTests:    map[string]bool{},
		failedPackages: map[string]bool{},
	}
	lines := bufio.NewScanner(known)
	for lines.Scan() {
		name, _, _ := strings.Cut(lines.Text(), "|")
		name = strings.TrimSpace(name)
		if name != "" && !strings.HasPrefix(name, "#") {
			g.knownFailures[name] = true
		}
	}
	return g, lines.Err()
}

// maxLineBytes is the maximum length of a line of "go test -json".
const maxLineBytes = 16 << 20

// Read collects the output of "go test -json". It copies the output of packages and builds, and
// lines that are not JSON, to out.
func (g *Gate) Read(in io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var r testEvent
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			fmt.Fprintln(out, lines.Text())
			continue
		}
		g.handleEvent(r, out)
	}
	return lines.Err()
}

// handleEvent records one event. The output of a test is kept until it passes.
func (g *Gate) handleEvent(r testEvent, out io.Writer) {
	name := r.Package + "." + r.Test
	switch {
	case r.Action == "output" && r.Test == "":
		fmt.Fprint(out, r.Output)
	case r.Action == "output":
		g.appendOutput(name, r.Output)
	case r.Action == "build-output":
		fmt.Fprint(out, r.Output)
	case r.Action == "pass" && r.Test != "":
		g.passedTests++
		delete(g.outputs, name)
	case r.Action == "skip":
		delete(g.outputs, name)
	case r.Action == "fail" && r.Test != "":
		g.failedTests[name] = true
	case r.Action == "fail":
		g.failedPackages[r.Package] = true
	}
}

func (g *Gate) appendOutput(name, text string) {
	b, ok := g.outputs[name]
	if !ok {
		b = &strings.Builder{}
		g.outputs[name] = b
	}
	b.WriteString(text)
}

// Report prints the failures and reports whether all of them are known. A run without any test
// does not pass.
func (g *Gate) Report(out io.Writer) bool {
	passed := true
	for _, name := range sortedKeys(g.failedTests) {
		if g.isKnownFailure(name) {
			fmt.Fprintln(out, "known failure:", name)
			continue
		}
		passed = false
		fmt.Fprintln(out, "FAILURE:", name)
		if b := g.outputs[name]; b != nil {
			fmt.Fprint(out, b.String())
		}
	}
	for _, p := range sortedKeys(g.failedPackages) {
		if !g.hasFailedTest(p) {
			passed = false
			fmt.Fprintln(out, "FAILURE of package:", p)
			g.printUnfinished(p, out)
		}
	}
	fmt.Fprintf(out, "%d passed, %d failed\n", g.passedTests, len(g.failedTests))
	return passed && g.passedTests+len(g.failedTests) > 0
}

// printUnfinished prints the output of the tests of a package that have neither passed nor failed: a panic in another goroutine
// ends the process, and its trace counts as output of the test that ran.
func (g *Gate) printUnfinished(p string, out io.Writer) {
	for _, name := range slices.Sorted(maps.Keys(g.outputs)) {
		if strings.HasPrefix(name, p+".") && !g.failedTests[name] {
			fmt.Fprintln(out, "did not end:", name)
			fmt.Fprint(out, g.outputs[name].String())
		}
	}
}

// isKnownFailure reports whether a failed test is on the list, or has failed subtests that are
// all known failures.
func (g *Gate) isKnownFailure(name string) bool {
	if g.knownFailures[name] {
		return true
	}
	subtests := 0
	for other := range g.failedTests {
		if !strings.HasPrefix(other, name+"/") {
			continue
		}
		subtests++
		if !g.isKnownFailure(other) {
			return false
		}
	}
	return subtests > 0
}

// hasFailedTest reports whether a test of the package failed. Otherwise the package itself
// failed, for example in its build or in TestMain.
func (g *Gate) hasFailedTest(importPath string) bool {
	for name := range g.failedTests {
		if strings.HasPrefix(name, importPath+".") {
			return true
		}
	}
	return false
}

func sortedKeys(m map[string]bool) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
