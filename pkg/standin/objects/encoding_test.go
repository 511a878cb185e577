package objects

import (
	"testing"

	"github.com/coltsfootpitch/coltsfootpitch/internal/golden"
)

// TestEncodings guards against renamed fields: processes of different versions run side by
// side and read what the others store, and a field under another name reads as zero.
func TestEncodings(t *testing.T) {
	golden.JSON[Faults](t, `{"down":true,"delay_ms":3,"lose_answers":4}`)
	golden.JSON[Counts](t, `{"reads":2,"writes":3}`)
}
