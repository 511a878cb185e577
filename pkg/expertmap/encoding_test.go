package expertmap

import (
	"testing"

	"github.com/coltsfootpitch/coltsfootpitch/internal/golden"
)

// TestEncodings guards against renamed fields: processes of different versions run side by
// side and read what the others store, and a field under another name reads as zero.
func TestEncodings(t *testing.T) {
	golden.JSON[Ref](t, `{"epoch":2,"digest":3}`)
	golden.JSON[Replica](t, `{"e":2,"s":3.5}`)
	golden.JSON[Layer](t, `{"ranks":[[{"e":5,"s":6.5}]]}`)
	golden.JSON[Map](t, `{"epoch":3,"digest":4,"ranks":[6],"layers":[{"ranks":[[{"e":12,"s":13.5}]]}]}`)
	golden.JSON[StepID](t, `{"term":2,"run":3,"incarnation":4,"number":5}`)
	golden.JSON[StageOrder](t, `{"fence":2,"map":{"epoch":6,"digest":7,"ranks":[9],"layers":[{"ranks":[[{"e":15,"s":16.5}]]}]}}`)
	golden.JSON[SwitchOrder](t, `{"fence":2,"term":3,"map":{"epoch":7,"digest":8,"ranks":[10],"layers":[{"ranks":[[{"e":16,"s":17.5}]]}]}}`)
	golden.JSON[RetireOrder](t, `{"fence":2,"below":3}`)
	golden.JSON[RankReport](t, `{"rank":2,"fence":3,"held":[{"epoch":6,"digest":7}],"ran":{"epoch":9,"digest":10}}`)
	golden.JSON[JoinRequest](t, `{"step":{"term":3,"run":4,"incarnation":5,"number":6},"ref":{"epoch":8,"digest":9}}`)
	golden.JSON[ComputeRequest](t, `{"step":{"term":3,"run":4,"incarnation":5,"number":6}}`)
	golden.JSON[MapTransfer](t, `{"map":{"epoch":5,"digest":6,"ranks":[8],"layers":[{"ranks":[[{"e":14,"s":15.5}]]}]}}`)
	golden.JSON[StepResponse](t, `{"rank":2,"kind":3,"step":{"term":5,"run":6,"incarnation":7,"number":8},"held":[{"epoch":11,"digest":12}],"seen":{"term":14,"run":15,"incarnation":16,"number":17}}`)
	golden.JSON[LeaderReminder](t, `{"term":2,"map":{"epoch":6,"digest":7,"ranks":[9],"layers":[{"ranks":[[{"e":15,"s":16.5}]]}]}}`)
	golden.JSON[Record](t, `{"fence":2,"term":3,"next_epoch":4,"decided":{"epoch":8,"digest":9,"ranks":[11],"layers":[{"ranks":[[{"e":17,"s":18.5}]]}]},"staged":{"epoch":22,"digest":23,"ranks":[25],"layers":[{"ranks":[[{"e":31,"s":32.5}]]}]}}`)
}
