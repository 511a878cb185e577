package gateway

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/roster"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// maxControlBytes is what a node may send for control, in bytes a second.
const maxControlBytes = 3000

// SHORT: gateways told each other of all gateways, each to all: bytes grew with the cube of their number
// and took most of their processor time at 44.
func TestControlTrafficOfAGatewayDoesNotGrowWithTheirNumber(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{10, 40, 160, 640} {
		settings := platform.Settings{Name: "edge-000", PeerAddress: "10.0.0.1:7340", CallerAddress: "10.0.0.1:8080", Zone: "zone", Region: "region"}
		g := New(settings, NewFleet(settings, hclog.NewNullLogger()), hclog.NewNullLogger(), metrics.NewRegistry())
		p := NewPeers(settings, g, peer.Credentials{}, hclog.NewNullLogger())
		for i := 1; i < n; i++ {
			p.handleHello(Hello{Ready: true, From: roster.Entry{
				Name: fmt.Sprintf("edge-%03d", i), Incarnation: p.self.Incarnation, PeerAddress: fmt.Sprintf("10.0.%d.%d:7340", i/256, i%256),
				CallerAddress: "10.0.0.1:8080", Zone: "zone", Region: "region",
			}}, time.Now())
		}
		text, err := json.Marshal(p.buildHello())
		is.NoErr(err)
		// Each other gateway gets a probe and the response to its own probe in each interval.
		messages := 2 * float64(len(p.members)) / probeInterval.Seconds()
		t.Logf("gateways=%d messages/s=%.1f bytes/s=%.0f", n, messages, messages*float64(len(text)))
		if messages*float64(len(text)) > maxControlBytes {
			t.Errorf("more than %d bytes/s", maxControlBytes)
		}
	}
}
