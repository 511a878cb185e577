package gateway

import (
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/gossip"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/roster"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// A report of a peer replaced its entry while a request for its snapshot or its evidence read it: a data
// race.
func TestReportsDuringRequestsToAPeer(*testing.T) {
	n := platform.Settings{Name: "edge-1", Zone: "z"}
	g := New(n, NewFleet(n, hclog.NewNullLogger()), hclog.NewNullLogger(), metrics.NewRegistry())
	p := NewPeers(n, g, peer.Credentials{}, hclog.NewNullLogger())
	const closedAddress = "127.0.0.1:1"
	entry := roster.Entry{Name: "edge-2", Incarnation: "i", PeerAddress: closedAddress}
	report := Heartbeat{From: "edge-2", Records: []gossip.Record{{Entry: entry, Sequence: 1, Status: gossip.Ready}}}
	p.applyHeartbeat(report, time.Now())
	var running sync.WaitGroup
	for range 20 {
		running.Go(func() { p.fetchSnapshot("edge-2", closedAddress) })
		running.Go(func() { p.fetchEvidence("edge-2", closedAddress) })
		running.Go(func() { p.applyHeartbeat(report, time.Now()) })
	}
	running.Wait()
}
