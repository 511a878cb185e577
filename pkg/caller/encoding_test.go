package caller

import (
	"testing"

	"github.com/coltsfootpitch/coltsfootpitch/internal/golden"
)

// TestEncodings guards against renamed fields: processes of different versions run side by
// side and read what the others store, and a field under another name reads as zero.
func TestEncodings(t *testing.T) {
	golden.JSON[ErrorResponse](t, `{"error":{"code":3,"type":"text4","outcome":"text5","message":"text6","request":"text7","retry_after_ms":8}}`)
	golden.JSON[ErrorDetail](t, `{"code":2,"type":"text3","outcome":"text4","message":"text5","request":"text6","retry_after_ms":7}`)
	golden.JSON[completionRequest](t, `{"model":"text2","messages":[{"raw":4}],"stream":true,"max_tokens":6}`)
	golden.JSON[modelListResponse](t, `{"object":"text2","data":[{"id":"text5","object":"text6"}]}`)
	golden.JSON[modelItem](t, `{"id":"text2","object":"text3"}`)
}
