package crashcause

import (
	"testing"

	"github.com/coltsfootpitch/coltsfootpitch/internal/golden"
)

// TestEncodings guards against renamed fields: processes of different versions run side by
// side and read what the others send, and a field under another name reads as zero.
func TestEncodings(t *testing.T) {
	golden.JSON[Crash](t, `{"upstream":"text2","age_ms":3,"requests":[{"fingerprint":"text6","parts":["text8"]}],"answered_before":["text10"],"answered_since":["text12"]}`)
}
