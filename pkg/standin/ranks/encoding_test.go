package ranks

import (
	"testing"

	"github.com/coltsfootpitch/coltsfootpitch/internal/golden"
)

// TestEncodings guards against renamed fields: processes of different versions run side by
// side and read what the others store, and a field under another name reads as zero.
func TestEncodings(t *testing.T) {
	golden.JSON[ComputedStep](t, `{"step":{"term":3,"run":4,"incarnation":5,"number":6},"ref":{"epoch":8,"digest":9},"held":true}`)
}
