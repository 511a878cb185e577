package instancelist

import (
	"testing"

	"github.com/coltsfootpitch/coltsfootpitch/internal/golden"
)

// TestEncodings guards against renamed fields: processes of different versions run side by
// side and read what the others store, and a field under another name reads as zero.
func TestEncodings(t *testing.T) {
	golden.JSON[Instance](t, `{"id":"text2","role":"text3","zone":"text4","region":"text5","state":"text6","address":"text7","control":"text8","models":["text10"],"services":["text12"]}`)
}
