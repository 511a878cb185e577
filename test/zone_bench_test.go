package test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/internal/client"
	"github.com/coltsfootpitch/coltsfootpitch/internal/fleet"
	"github.com/coltsfootpitch/coltsfootpitch/internal/load"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
)

const (
	zoneRunTime     = 14 * time.Second
	zoneOutAt       = 4 * time.Second
	zoneInAt        = 9 * time.Second
	dominantCallers = 12
	zoneRunTokens   = 20
	zoneRunPause    = 100 * time.Millisecond
	zoneRunCallers  = 4
)

// organisationResult counts the responses to an organisation in a run: complete and correct ones,
// all others, and the durations of all.
type organisationResult struct {
	complete  int
	incorrect int
	durations []time.Duration
}

func (s organisationResult) quantile(q float64) time.Duration {
	slices.Sort(s.durations)
	return s.durations[int(q*float64(len(s.durations)-1))]
}

// BenchmarkZoneLeaves compares two runs with the same callers, in one of which an availability
// zone is out from the 4th to the 9th second of 14. The first organisation has three times as
// many callers as each of the others.
func BenchmarkZoneLeaves(b *testing.B) {
	baseline := make([]organisationResult, len(organisations))
	zoneOut := make([]organisationResult, len(organisations))
	// The runs alternate, so that other load on the machine affects both.
	for range 2 {
		addResults(baseline, runZoneLoad(b, false))
		addResults(zoneOut, runZoneLoad(b, true))
	}
	for i, o := range organisations {
		s, m := baseline[i], zoneOut[i]
		b.Logf("| %s | %d | %d | %.3f | %d | %d | %d / %d | %d / %d |", o, s.complete, m.complete, float64(m.complete)/float64(s.complete), s.incorrect, m.incorrect,
			s.quantile(0.5).Milliseconds(), m.quantile(0.5).Milliseconds(), s.quantile(0.95).Milliseconds(), m.quantile(0.95).Milliseconds())
		b.ReportMetric(float64(m.complete)/float64(s.complete), o+"-served")
	}
	b.ReportMetric(0, "ns/op")
}

func addResults(sum, run []organisationResult) {
	for i, s := range run {
		sum[i].complete += s.complete
		sum[i].incorrect += s.incorrect
		sum[i].durations = append(sum[i].durations, s.durations...)
	}
}

// runZoneLoad starts a fleet, sends requests for zoneRunTime and returns the result of each
// organisation. With takeOut, one zone is out from zoneOutAt to zoneInAt.
func runZoneLoad(b *testing.B, takeOut bool) []organisationResult {
	is := is.New(b)
	ctx, cancel := context.WithTimeout(context.Background(), scenarioTimeout)
	defer cancel()
	f, err := fleet.Start(ctx, fleet.Options{
		BinDir: binaries, WorkDir: b.TempDir(), Organisations: organisations,
		EngineArgs: []string{"--token-time", "2ms"},
		Deployments: []fleet.Deployment{{
			Region: "trondelag", Zones: []string{"gate-north", "gate-south", "lab-hall"}, Entries: 3,
			Model: "intake-llm", ModelWorkers: 6, Service: "weighbridge-app", ServiceWorkers: 3,
		}},
	})
	is.NoErr(err)
	defer f.Close()
	out := make([]organisationResult, len(organisations))
	end := time.Now().Add(zoneRunTime)
	var callers sync.WaitGroup
	for i := range organisations {
		callers.Go(func() { out[i] = sendUntil(ctx, f, i, end) })
	}
	if takeOut {
		time.Sleep(zoneOutAt)
		_, err := f.SetZone(ctx, "gate-north", configuration.ZoneOut)
		is.NoErr(err)
		time.Sleep(zoneInAt - zoneOutAt)
		_, err = f.SetZone(ctx, "gate-north", configuration.ZoneIn)
		is.NoErr(err)
	}
	callers.Wait()
	return out
}

// sendUntil sends model and service requests of one organisation until the time end.
func sendUntil(ctx context.Context, f *fleet.Fleet, number int, end time.Time) organisationResult {
	parallel := zoneRunCallers
	if number == 0 {
		parallel = dominantCallers
	}
	var seeds []string
	for _, a := range f.EntryAddresses {
		seeds = append(seeds, a)
	}
	c := client.New(fleet.BearerToken(organisations[number]), seeds)
	out := organisationResult{}
	for time.Now().Before(end) {
		all := load.Run(ctx, load.Workload{
			Clients: []*client.Client{c}, Model: "intake-llm", Service: "weighbridge-app", Prefix: organisations[number],
			RequestCount: 4 * parallel, Concurrency: parallel, ResponseTokens: zoneRunTokens, Pause: zoneRunPause,
		})
		for _, o := range all {
			out.durations = append(out.durations, o.Latency)
			if o.Correct {
				out.complete++
			} else {
				out.incorrect++
			}
		}
	}
	return out
}
