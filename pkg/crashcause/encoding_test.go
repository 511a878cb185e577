package crashcause

import (
	"testing"

	"github.com/coltsfootpitch/coltsfootpitch/internal/golden"
)

// TestEncodings guards against renamed fields: processes of different versions run side by
// side and read what the others send, and a field under another name reads as zero.
func TestEncodings(t *testing.T) {
	golden.JSON[Crash](t, `{"upstream":"text2","age_ms":3,"requests":[{"fingerprint":"text7","parts":["text9"]}],"answered_before":["text11"],"answered_since":["text13"],"begun":{"requests":[{"fingerprint":"text17","parts":["text19"]}],"answered_before":["text21"],"answered_since":["text23"]}}`)
}
