package lease

import (
	"testing"

	"github.com/coltsfootpitch/coltsfootpitch/internal/golden"
)

// TestEncodings guards against renamed fields: processes of different versions run side by
// side and read what the others store, and a field under another name reads as zero.
func TestEncodings(t *testing.T) {
	golden.JSON[Record](t, `{"holder":"text2","incarnation":"text3","fence":4,"duration_ms":5,"renewals":6}`)
	golden.JSON[shardClaim](t, `{"holder":"text2","incarnation":"text3","fence":4}`)
}
