package gate

import (
	"testing"

	"github.com/coltsfootpitch/coltsfootpitch/internal/golden"
)

// TestEncodings guards against renamed fields: processes of different versions run side by
// side and read what the others store, and a field under another name reads as zero.
func TestEncodings(t *testing.T) {
	golden.JSON[testEvent](t, `{"Action":"text2","Package":"text3","Test":"text4","Output":"text5"}`)
}
