package poisonstore

import (
	"testing"

	"github.com/coltsfootpitch/coltsfootpitch/internal/golden"
)

// TestEncodings guards against renamed fields: processes of different versions run side by
// side and read what the others store, and a field under another name reads as zero.
func TestEncodings(t *testing.T) {
	golden.JSON[record](t, `{"verdict":{"fingerprint":"text3","state":"text4","stamp":{"wall":6,"count":7}},"trial":"text8","until_ms":9}`)
}
