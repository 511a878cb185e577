package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/internal/bubble"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/gossip"
)

// maxControlBytes is what a node may send for control, in bytes a second.
const maxControlBytes = 3000

// SHORT: gateways told each other of all gateways, each to all: bytes grew with the cube of their number
// and took most of their processor time at 44.
func TestControlTrafficOfAGatewayDoesNotGrowWithTheirNumber(t *testing.T) {
	for _, n := range []int{10, 40, 160, 640} {
		bubble.TestOnAllProcessors(t, func(t *testing.T) {
			is := is.New(t)
			f := startMemoryFleet(n, true)
			defer f.stopAll()
			time.Sleep(3 * time.Second)
			f.resetCount()
			const span = 10
			time.Sleep(span * time.Second)
			messages, bytes := f.resetCount()
			perGateway := func(total int) float64 { return float64(total) / float64(n) / span }
			t.Logf("gateways=%d messages/s=%.1f bytes/s=%.0f", n, perGateway(messages), perGateway(bytes))
			is.True(f.knownEverywhere(n))
			is.True(perGateway(bytes) <= maxControlBytes)
			// A heartbeat and its response in each ring; the span may hold one round more.
			rounds := 1/heartbeatInterval.Seconds() + 1.0/span
			is.True(perGateway(messages) <= 2*gossip.Rings*rounds)
		})
	}
}
