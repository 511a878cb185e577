package code

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestDocsTableListsEveryCode guards against a code that is added, removed or reworded without its
// row in the documentation.
func TestDocsTableListsEveryCode(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../../docs/result-codes.md")
	is.NoErr(err)
	rows := 0
	for _, line := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(line, "| ") && line[2] >= '1' && line[2] <= '9' {
			rows++
		}
	}
	is.Equal(rows, len(All())) // one row per code and no others
	for c, i := range All() {
		row := fmt.Sprintf("| %d | %s | %s | %d | %s |", int(c), c, c.Outcome(), i.HTTPStatus, i.Text)
		if !strings.Contains(string(text), row) {
			t.Errorf("missing row: %s", row)
		}
	}
}
