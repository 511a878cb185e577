package gateway

import (
	"testing"

	"github.com/coltsfootpitch/coltsfootpitch/internal/golden"
)

// TestEncodings guards against renamed fields: processes of different versions run side by
// side and read what the others store, and a field under another name reads as zero.
func TestEncodings(t *testing.T) {
	golden.JSON[Heartbeat](t, `{"from":"text2","version":3,"records":[{"name":"text7","incarnation":"text8","caller_address":"text9","peer_address":"text10","region":"text11","zone":"text12","sequence":13,"status":14}],"digest":15,"unknown":true,"crash_digest":17,"silent_ms":{"text19":20},"feeds":[[23,24,25,26]],"limits":[{"upstream":{"id":"text30","started_at_ms":31},"per_second":32.5,"lifted":true,"age_ms":34.5}]}`)
	golden.JSON[ChangesRequest](t, `{"kind":"text2","era":3,"revision":4}`)
	golden.JSON[ChangesResponse](t, `{"era":2,"revision":3,"is_list":true,"objects":[{"name":"text7","revision":8,"spec":"text9","deleted":true}],"too_large":true}`)
	golden.JSON[AdmitRequest](t, `{"statement":{"upstream":{"id":"text4","started_at_ms":5},"per_second":6.5,"lifted":true,"age_ms":8.5}}`)
	golden.JSON[AdmitResponse](t, `{"granted":true,"wait_ms":3.5,"statement":{"upstream":{"id":"text6","started_at_ms":7},"per_second":8.5,"lifted":true,"age_ms":10.5}}`)
	golden.JSON[conviction](t, `{"convicted_at_ms":2}`)
	golden.JSON[Snapshot](t, `{"configuration":{"raw":2},"upstreams":[{"ID":"text5","Service":"text6","Address":"text7","Zone":"text8","Capacity":9,"Leaving":true,"WarmupLeft":11,"Born":"0001-01-01T00:00:00Z"}],"zones_out":["text14"]}`)
}
