package steward

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

const (
	// stewardLinkBytes is the link of an instance with a steward, 8 Mbit/s, in bytes a second.
	stewardLinkBytes = 1_000_000
	// layerSets and experts are those of a large model.
	layerSets, experts = 12, 144
)

// SHORT: the leader of 72 ranks read the counts of each rank and told each of all members; a poll took longer
// on its link than it may, so that the group counted as not fully seen and no map was changed.
func TestPollOfAGroupFitsTheLinkOfItsLeader(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{10, 40, 160, 640} {
		request := ObserveRequest{FencingToken: 1 << 40, Leader: "side-zone-a-1", Group: "group", IncludeCounts: true}
		for i := range n {
			request.Members = append(request.Members, Member{Upstream: fmt.Sprintf("10.1.%d.%d:9000", i/256, i%256), Steward: fmt.Sprintf("10.1.%d.%d:7340", i/256, i%256)})
		}
		counts := make([]int64, layerSets*experts)
		for i := range counts {
			counts[i] = 20_000
		}
		sent, err := json.Marshal(request)
		is.NoErr(err)
		received, err := json.Marshal(Observation{Report: platform.RankReport{Group: "group", Size: n}, Counts: packCounts(counts), NewestFencingToken: 1 << 40})
		is.NoErr(err)
		perSecond := 1 / idlePollInterval.Seconds()
		out, in := float64((n-1)*len(sent))*perSecond, float64((n-1)*len(received))*perSecond
		t.Logf("ranks=%d messages/s=%.0f sent bytes/s=%.0f received bytes/s=%.0f", n, 2*float64(n-1)*perSecond, out, in)
		if max(in, out) > stewardLinkBytes {
			t.Errorf("more than %d bytes/s", stewardLinkBytes)
		}
	}
}
