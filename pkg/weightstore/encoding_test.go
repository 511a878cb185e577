package weightstore

import (
	"testing"

	"github.com/coltsfootpitch/coltsfootpitch/internal/golden"
)

// TestEncodings guards against renamed fields: processes of different versions run side by
// side and read what the others store, and a field under another name reads as zero.
func TestEncodings(t *testing.T) {
	golden.JSON[Grant](t, `{"group":"text2","bytes":3,"wanting":true}`)
	golden.JSON[Budget](t, `{"window":2,"grants":[{"group":"text5","bytes":6,"wanting":true}],"wanted":["text9"]}`)
}
