package plain

import (
	"testing"

	"github.com/coltsfootpitch/coltsfootpitch/internal/golden"
)

// TestEncodings guards against renamed fields: processes of different versions run side by
// side and read what the others store, and a field under another name reads as zero.
func TestEncodings(t *testing.T) {
	golden.JSON[Ledger](t, `{"by_request":{"text3":4},"by_key":{"text6":7}}`)
	golden.JSON[Response](t, `{"request":"text2","method":"text3","path":"text4","body":"text5","run":6}`)
}
