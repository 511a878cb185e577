package roster

import (
	"testing"

	"github.com/coltsfootpitch/coltsfootpitch/internal/golden"
)

// TestEncodings guards against renamed fields: processes of different versions run side by
// side and read what the others store, and a field under another name reads as zero.
func TestEncodings(t *testing.T) {
	golden.JSON[Entry](t, `{"name":"text2","incarnation":"text3","caller_address":"text4","peer_address":"text5","region":"text6","zone":"text7"}`)
	golden.JSON[Limit](t, `{"service":"text2","group":"text3","fence":4,"part":5,"still":true,"opens_ms":7.5,"pass_ms":8.5,"empty_ms":9.5,"loads":{"text11":12},"paces":{"text14":15.5},"tokens_per_pass":16,"others":[{"name":"text19","address":"text20","part":21}],"timeout_ms":22}`)
	golden.JSON[LimitResponse](t, `{"demand":{"running":3,"waiting":4},"demands":{"text6":{"running":8,"waiting":9}}}`)
}
