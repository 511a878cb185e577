package event

import (
	"testing"

	"github.com/coltsfootpitch/coltsfootpitch/internal/golden"
)

// TestEncodings guards against renamed fields: processes of different versions run side by
// side and read what the others store, and a field under another name reads as zero.
func TestEncodings(t *testing.T) {
	golden.JSON[Stamp](t, `{"wall":2,"count":3}`)
	golden.JSON[Event](t, `{"stamp":{"wall":3,"count":4},"process":"text5","kind":"text6","request":"text7","attempt":8,"organisation":"text9","upstream":"text10","zone":"text11","config_version":12,"code":13,"detail":"text14"}`)
}
