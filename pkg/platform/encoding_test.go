package platform

import (
	"testing"

	"github.com/coltsfootpitch/coltsfootpitch/internal/golden"
)

// TestEncodings guards against renamed fields: processes of different versions run side by
// side and read what the others store, and a field under another name reads as zero.
func TestEncodings(t *testing.T) {
	golden.JSON[Object](t, `{"kind":"text2","name":"text3","revision":4,"value":{"raw":5},"deleted":true}`)
	golden.JSON[List](t, `{"revision":2,"items":[{"kind":"text5","name":"text6","revision":7,"value":{"raw":8},"deleted":true}]}`)
}
