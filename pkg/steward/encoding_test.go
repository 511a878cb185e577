package steward

import (
	"testing"

	"github.com/coltsfootpitch/coltsfootpitch/internal/golden"
)

// TestEncodings guards against renamed fields: processes of different versions run side by
// side and read what the others store, and a field under another name reads as zero.
func TestEncodings(t *testing.T) {
	golden.JSON[Member](t, `{"upstream":"text2","steward":"text3"}`)
	golden.JSON[ObserveRequest](t, `{"fence":2,"leader":"text3","group":"text4","counts":true,"lists":true,"members":[{"upstream":"text9","steward":"text10"}]}`)
	golden.JSON[Observation](t, `{"report":{"Group":"text3","Index":4,"Size":5,"Running":6,"Queued":7,"Pace":8.5,"Born":9,"State":{"Known":true,"Open":true,"Epoch":13,"Pass":14,"Running":15,"Prepared":16,"Loading":17,"Armed":18,"ArmedFor":19,"Held":20}},"counts":"Fg==","held_version":23,"held":[[26]],"fence":27}`)
	golden.JSON[OrderRequest](t, `{"fence":2,"order":{"rank":4,"op":5,"epoch":6,"version":7,"pass":8,"map":[[[12]]]},"check_only":true}`)
	golden.JSON[OrderResult](t, `{"accepted":true,"refused":true,"detail":"text4","fence":5}`)
	golden.JSON[term](t, `{"fence":2,"leader":"text3","claim":"text4"}`)
}
