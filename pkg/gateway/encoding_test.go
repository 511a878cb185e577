package gateway

import (
	"testing"

	"github.com/coltsfootpitch/coltsfootpitch/internal/golden"
)

// TestEncodings guards against renamed fields: processes of different versions run side by
// side and read what the others store, and a field under another name reads as zero.
func TestEncodings(t *testing.T) {
	golden.JSON[Hello](t, `{"from":{"name":"text3","incarnation":"text4","caller_address":"text5","peer_address":"text6","region":"text7","zone":"text8"},"ready":true,"version":10,"others":[{"name":"text13","incarnation":"text14","caller_address":"text15","peer_address":"text16","region":"text17","zone":"text18"}],"crash_digest":19,"silent":["text21"],"limits":[{"upstream":{"id":"text25","started_at_ms":26},"per_second":27.5,"lifted":true,"age_ms":29.5}]}`)
	golden.JSON[AdmitRequest](t, `{"statement":{"upstream":{"id":"text4","started_at_ms":5},"per_second":6.5,"lifted":true,"age_ms":8.5}}`)
	golden.JSON[AdmitResponse](t, `{"granted":true,"wait_ms":3.5,"statement":{"upstream":{"id":"text6","started_at_ms":7},"per_second":8.5,"lifted":true,"age_ms":10.5}}`)
	golden.JSON[conviction](t, `{"convicted_at_ms":2}`)
	golden.JSON[Snapshot](t, `{"configuration":{"raw":2},"upstreams":[{"ID":"text5","Service":"text6","Address":"text7","Zone":"text8","Capacity":9,"Leaving":true,"WarmupLeft":11,"Born":"0001-01-01T00:00:00Z"}],"zones_out":["text14"]}`)
}
