package inventory

import (
	"testing"

	"github.com/coltsfootpitch/coltsfootpitch/internal/golden"
)

// TestEncodings guards against renamed fields: processes of different versions run side by
// side and read what the others store, and a field under another name reads as zero.
func TestEncodings(t *testing.T) {
	golden.JSON[Upstream](t, `{"ID":"text2","Service":"text3","Address":"text4","Zone":"text5","Capacity":6,"Leaving":true,"WarmupLeft":8,"Born":"0001-01-01T00:00:00Z"}`)
}
