package model

import (
	"testing"

	"github.com/coltsfootpitch/coltsfootpitch/internal/golden"
)

// TestEncodings guards against renamed fields: processes of different versions run side by
// side and read what the others store, and a field under another name reads as zero.
func TestEncodings(t *testing.T) {
	golden.JSON[promptFields](t, `{"model":"text2","messages":[{"raw":4}]}`)
	golden.JSON[Ledger](t, `{"started":{"text3":4},"finished":{"text6":7},"crashes":8,"overshoots":9,"bad_resumes":10,"running":11,"peak":12}`)
	golden.JSON[chatRequest](t, `{"model":"text2","messages":[{"role":"text5","content":"text6"}],"stream":true,"max_tokens":8,"continue_final_message":true}`)
	golden.JSON[completion](t, `{"id":"text2","object":"text3","model":"text4","choices":[{"index":7,"message":{"role":"text9","content":"text10"},"finish_reason":"text11"}]}`)
	golden.JSON[choice](t, `{"index":2,"message":{"role":"text4","content":"text5"},"finish_reason":"text6"}`)
	golden.JSON[message](t, `{"role":"text2","content":"text3"}`)
}
