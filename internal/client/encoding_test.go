package client

import (
	"testing"

	"github.com/coltsfootpitch/coltsfootpitch/internal/golden"
)

// TestEncodings guards against renamed fields: processes of different versions run side by
// side and read what the others store, and a field under another name reads as zero.
func TestEncodings(t *testing.T) {
	golden.JSON[chatRequest](t, `{"model":"text2","messages":[{"role":"text5","content":"text6"}],"stream":true,"max_tokens":8}`)
	golden.JSON[message](t, `{"role":"text2","content":"text3"}`)
}
