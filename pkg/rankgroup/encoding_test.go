package rankgroup

import (
	"testing"

	"github.com/coltsfootpitch/coltsfootpitch/internal/golden"
)

// TestEncodings guards against renamed fields: processes of different versions run side by
// side and read what the others store, and a field under another name reads as zero.
func TestEncodings(t *testing.T) {
	golden.JSON[Order](t, `{"stage":{"fence":4,"map":{"epoch":8,"digest":9,"ranks":[11],"layers":[{"ranks":[[{"e":17,"s":18.5}]]}]}},"switch":{"fence":21,"term":22,"map":{"epoch":26,"digest":27,"ranks":[29],"layers":[{"ranks":[[{"e":35,"s":36.5}]]}]}},"retire":{"fence":39,"below":40}}`)
	golden.JSON[StepMessage](t, `{"begin":{"step":{"term":5,"run":6,"incarnation":7,"number":8},"ref":{"epoch":10,"digest":11}},"go":{"step":{"term":15,"run":16,"incarnation":17,"number":18}},"give":{"map":{"epoch":24,"digest":25,"ranks":[27],"layers":[{"ranks":[[{"e":33,"s":34.5}]]}]}},"remind":{"term":37,"map":{"epoch":41,"digest":42,"ranks":[44],"layers":[{"ranks":[[{"e":50,"s":51.5}]]}]}}}`)
	golden.JSON[StepResult](t, `{"answer":{"rank":4,"kind":5,"step":{"term":7,"run":8,"incarnation":9,"number":10},"held":[{"epoch":13,"digest":14}],"seen":{"term":16,"run":17,"incarnation":18,"number":19}}}`)
	golden.JSON[ExpertLoads](t, `{"layers":[[4.5]]}`)
}
