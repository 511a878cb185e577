package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/crashcause"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/inventory"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// convict sends requests with the crashing part until all gateways have convicted it.
func (f *crashFleet) convict() {
	f.t.Helper()
	f.waitUntil("all gateways to convict the crashing part", func() bool {
		f.call(crashingPart)
		for _, g := range f.gateways {
			if len(g.crashes.convictions()) == 0 {
				return false
			}
		}
		return true
	})
}

// All gateways lose power at once and forget their evidence: requests with the part crashed upstreams
// again until they were convicted anew.
func TestConvictionsOutliveTheLossOfAllGateways(t *testing.T) {
	is := is.New(t)
	f := newCrashFleet(t, 2, 6)
	f.convict()
	f.waitUntil("the conviction in the store", func() bool {
		return f.store.Has(kindConvictions, "part-"+crashingPart)
	})
	for i, g := range f.gateways {
		g.stop()
		f.gateways[i] = nil
	}
	before := len(f.crasher.Arrivals)
	for i := range f.gateways {
		f.gateways[i] = f.start(i)
	}
	f.waitUntil("the gateways to be ready", func() bool {
		for _, g := range f.gateways {
			if !g.Ready() || g.crashes.isEmpty() {
				return false
			}
		}
		return true
	})
	for range 10 {
		f.call("5afe", crashingPart)
	}
	is.Equal(len(f.crasher.Arrivals), before)
}

// A gateway that starts beside others learns from them what crashes upstreams, also while the store is
// away.
func TestStartedGatewayLearnsConvictionsFromPeers(t *testing.T) {
	f := newCrashFleet(t, 2, 6)
	f.convict()
	f.store.Remove(kindConvictions, "part-"+crashingPart)
	g := f.start(2)
	f.waitUntil("the new gateway to reject the part", func() bool {
		_, convicted := g.crashes.findConviction(crashcause.Request{Parts: []string{crashingPart}}, time.Now())
		return convicted
	})
}

// Answers that are lost while their upstream lives, and upstreams that end after they were about to
// leave, are no evidence against requests: sound requests were rejected.
func TestLostAnswersOfLivingOrLeavingUpstreamsConvictNothing(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 2)
	b.configure("1")
	b.setBehaviours(closeAfterHead, closeAfterHead)
	for range 5 {
		_, _, _, _ = b.call("/stream/x", "key-1", "same")
	}
	for _, w := range b.workers {
		b.gateway.fleet.Update(func(v *inventory.Inventory, _ func(string) time.Duration) {
			u := v.Entries()[w.ID].Upstream
			u.Leaving = true
			v.Put(u, 0, time.Now())
		})
		target := Target{ID: w.ID, Address: w.Address()}
		w.Close()
		c := &call{gateway: b.gateway, request: platform.ReadRequest(httptest.NewRequest(http.MethodPost, "/stream/x", nil), []byte("same"))}
		c.recordBreak(target, http.ErrServerClosed)
	}
	time.Sleep(2*crashRecheckDelay + 50*time.Millisecond)
	is.Equal(len(b.gateway.crashes.evidence(time.Now())), 0)
}
