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
	zoneRunTime    = 14 * time.Second
	zoneLeavesAt   = 4 * time.Second
	zoneReturnsAt  = 9 * time.Second
	dominantParty  = 12
	zoneRunTokens  = 20
	zoneRunPause   = 100 * time.Millisecond
	zoneRunCallers = 4
)

// served is what an organisation got in a run.
type served struct {
	whole int
	wrong int
	took  []time.Duration
}

func (s served) quantile(q float64) time.Duration {
	slices.Sort(s.took)
	return s.took[int(q*float64(len(s.took)-1))]
}

// BenchmarkZoneLeaves serves the same callers in two runs: in one of them an availability
// zone is out from the 4th to the 9th second of 14. The first organisation has three times
// as many callers as each other.
func BenchmarkZoneLeaves(b *testing.B) {
	still := make([]served, len(organisations))
	moved := make([]served, len(organisations))
	// The runs take turns, so that what else the machine does falls on both.
	for range 2 {
		add(still, zoneRun(b, false))
		add(moved, zoneRun(b, true))
	}
	for i, o := range organisations {
		s, m := still[i], moved[i]
		b.Logf("| %s | %d | %d | %.3f | %d | %d | %d / %d | %d / %d |", o, s.whole, m.whole, float64(m.whole)/float64(s.whole), s.wrong, m.wrong,
			s.quantile(0.5).Milliseconds(), m.quantile(0.5).Milliseconds(), s.quantile(0.95).Milliseconds(), m.quantile(0.95).Milliseconds())
		b.ReportMetric(float64(m.whole)/float64(s.whole), o+"-served")
	}
	b.ReportMetric(0, "ns/op")
}

func add(sum, run []served) {
	for i, s := range run {
		sum[i].whole += s.whole
		sum[i].wrong += s.wrong
		sum[i].took = append(sum[i].took, s.took...)
	}
}

// zoneRun starts a fleet, sends requests and returns what each organisation got.
func zoneRun(b *testing.B, leave bool) []served {
	is := is.New(b)
	ctx, cancel := context.WithTimeout(context.Background(), scenarioLimit)
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
	out := make([]served, len(organisations))
	end := time.Now().Add(zoneRunTime)
	var callers sync.WaitGroup
	for i := range organisations {
		callers.Go(func() { out[i] = callUntil(ctx, f, i, end) })
	}
	if leave {
		time.Sleep(zoneLeavesAt)
		_, err := f.SetZone(ctx, "gate-north", configuration.ZoneOut)
		is.NoErr(err)
		time.Sleep(zoneReturnsAt - zoneLeavesAt)
		_, err = f.SetZone(ctx, "gate-north", configuration.ZoneIn)
		is.NoErr(err)
	}
	callers.Wait()
	return out
}

// callUntil sends mixed requests of an organisation until the end.
func callUntil(ctx context.Context, f *fleet.Fleet, number int, end time.Time) served {
	parallel := zoneRunCallers
	if number == 0 {
		parallel = dominantParty
	}
	var seeds []string
	for _, a := range f.EntryAddresses {
		seeds = append(seeds, a)
	}
	c := client.New(fleet.BearerToken(organisations[number]), seeds)
	out := served{}
	for time.Now().Before(end) {
		all := load.Run(ctx, load.Workload{
			Clients: []*client.Client{c}, Model: "intake-llm", Service: "weighbridge-app", Prefix: organisations[number],
			RequestCount: 4 * parallel, Concurrency: parallel, ResponseTokens: zoneRunTokens, Pause: zoneRunPause,
		})
		for _, o := range all {
			out.took = append(out.took, o.Latency)
			if o.Correct {
				out.whole++
			} else {
				out.wrong++
			}
		}
	}
	return out
}
