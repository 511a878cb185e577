package test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/internal/client"
	"github.com/coltsfootpitch/coltsfootpitch/internal/fleet"
)

const (
	overheadRequests = 8000
	overheadParallel = 16
	overheadTokens   = 16
	// clockTicksPerSecond is the unit of the processor times in /proc/PID/stat.
	clockTicksPerSecond = 100
)

// BenchmarkOverhead compares streamed requests through an entry and an agent with the same
// requests sent directly to the engine.
func BenchmarkOverhead(b *testing.B) {
	is := is.New(b)
	f, err := fleet.Start(context.Background(), fleet.Options{
		BinDir: binaries, WorkDir: b.TempDir(), Organisations: organisations,
		EngineArgs:     []string{"--token-time", "0s", "--cold-limit", "64", "--warm-limit", "64"},
		AgentColdLimit: 32,
		Deployments: []fleet.Deployment{{
			Region: "trondelag", Zones: []string{"gate-north"}, Entries: 1,
			Model: "intake-llm", ModelWorkers: 1, Service: "weighbridge-app", ServiceWorkers: 1,
		}},
	})
	is.NoErr(err)
	defer f.Close()
	engine := strings.TrimPrefix(f.StandinURLs["intake-llm-0"], "http://")
	entry := f.EntryAddresses["trondelag-entry-0"]
	processes := []*fleet.Process{f.Processes["trondelag-entry-0"], f.Processes["intake-llm-0"]}
	for b.Loop() {
		measureStreams(b, engine, overheadRequests/10)
		measureStreams(b, entry, overheadRequests/10)
		direct := measureStreams(b, engine, overheadRequests)
		readAllocations(b, processes)
		before := cpuSeconds(b, processes)
		through := measureStreams(b, entry, overheadRequests)
		used := cpuSeconds(b, processes) - before
		reportLatencies(b, direct, through)
		b.ReportMetric(overheadRequests/used, "requests/core-s")
		b.ReportMetric(readAllocations(b, processes)/overheadRequests, "allocs/request")
	}
}

func reportLatencies(b *testing.B, direct, through []time.Duration) {
	for _, q := range []struct {
		name string
		at   int
	}{{"p50", len(direct) / 2}, {"p99", len(direct) * 99 / 100}} {
		b.ReportMetric(float64(direct[q.at].Microseconds()), "direct-"+q.name+"-µs")
		b.ReportMetric(float64(through[q.at].Microseconds()), "through-"+q.name+"-µs")
		b.ReportMetric(float64(through[q.at])/float64(direct[q.at]), q.name+"-ratio")
	}
}

// measureStreams sends streamed requests to an address and returns their sorted durations.
func measureStreams(b *testing.B, address string, count int) []time.Duration {
	c := client.New(fleet.BearerToken("skolen"), nil)
	durations := make([]time.Duration, count)
	requestNumbers := make(chan int)
	var senders sync.WaitGroup
	for range overheadParallel {
		senders.Go(func() {
			for n := range requestNumbers {
				start := time.Now()
				a, err := c.DoAt(context.Background(), address, client.NewChatRequest("intake-llm", "load", overheadTokens, true))
				if err != nil || !a.Complete {
					b.Errorf("incomplete response: code %d error %v", a.ResultCode, err)
				}
				durations[n] = time.Since(start)
			}
		})
	}
	for n := range count {
		requestNumbers <- n
	}
	close(requestNumbers)
	senders.Wait()
	slices.Sort(durations)
	return durations
}

// cpuSeconds returns the total user and system time of the processes.
func cpuSeconds(b *testing.B, processes []*fleet.Process) float64 {
	sum := 0.0
	for _, p := range processes {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
		if err != nil {
			b.Fatal(err)
		}
		_, rest, _ := strings.Cut(string(text), ") ")
		fields := strings.Fields(rest)
		for _, at := range []int{11, 12} {
			v, err := strconv.ParseFloat(fields[at], 64)
			if err != nil {
				b.Fatal(err)
			}
			sum += v / clockTicksPerSecond
		}
	}
	return sum
}

// readAllocations returns the number of heap allocations of the processes since its last call.
func readAllocations(b *testing.B, processes []*fleet.Process) float64 {
	sum := 0.0
	for _, p := range processes {
		sum += metricValue(b, p.OperatorAddress, "coltsfoot_runtime_MemStats_Mallocs")
	}
	return sum
}

// metricValue reads one metric of a process.
func metricValue(b *testing.B, operator, name string) float64 {
	v, ok, err := fleet.ReadMetric(operator, name)
	if err != nil || !ok {
		b.Fatalf("no metric %s: %v", name, err)
	}
	return v
}
