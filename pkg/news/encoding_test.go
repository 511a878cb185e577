package news

import (
	"testing"

	"github.com/coltsfootpitch/coltsfootpitch/internal/golden"
)

// TestEncodings guards against renamed fields: processes of different versions run side by
// side and read what the others store, and a field under another name reads as zero.
func TestEncodings(t *testing.T) {
	golden.JSON[ConfirmRequest](t, `{"id":"text2","control":"text3"}`)
	golden.JSON[ConfirmResult](t, `{"reached":true}`)
	golden.JSON[InstancesRequest](t, `{"list":{"revision":3,"items":[{"kind":"text6","name":"text7","revision":8,"value":{"raw":9},"deleted":true}]}}`)
	golden.JSON[InstancesResult](t, `{"revision":2}`)
}
