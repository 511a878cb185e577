package mapswitch

import (
	"testing"

	"github.com/coltsfootpitch/coltsfootpitch/internal/golden"
)

// TestEncodings guards against renamed fields: processes of different versions run side by
// side and read what the others store, and a field under another name reads as zero.
func TestEncodings(t *testing.T) {
	golden.JSON[RankState](t, `{"Known":true,"Open":true,"Epoch":4,"Pass":5,"Running":6,"Prepared":7,"Loading":8,"Armed":9,"ArmedFor":10,"Held":11}`)
	golden.JSON[Order](t, `{"rank":2,"op":3,"epoch":4,"version":5,"pass":6,"map":[[[10]]]}`)
}
