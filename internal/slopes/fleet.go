package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/internal/fleet"
)

// measurementTime is the duration for which each idle fleet is measured.
const measurementTime = 5 * time.Second

// fleetSize is the number of entries and of model agents in a fleet.
type fleetSize struct{ entries, workers int }

// processCost is the mean usage of a process: cpu in cores, bytes in bytes per second, and
// resident memory in bytes.
type processCost struct{ cpu, bytes, resident float64 }

// measureFleets measures the processes of idle fleets of several sizes: entries as a function
// of the number of agents, agents as a function of the number of entries, and controllers.
func measureFleets(ctx context.Context, bin string, r *measurements) error {
	var agents, entries []float64
	var overAgents, overEntries [3][]float64
	for _, s := range []fleetSize{{3, 4}, {3, 12}, {3, 24}, {6, 12}, {9, 12}} {
		all, err := measureFleet(ctx, bin, s)
		if err != nil {
			return err
		}
		e, a := all["entry"], all["agent"]
		fmt.Printf("fleet entries=%d agents=%d entry_cpu=%.3f%% entry_bytes/s=%.0f agent_cpu=%.3f%% agent_bytes/s=%.0f entry_rss=%.0fMB agent_rss=%.0fMB\n",
			s.entries, s.workers, 100*e.cpu, e.bytes, 100*a.cpu, a.bytes, e.resident/1e6, a.resident/1e6)
		if s.entries == 3 {
			agents = append(agents, float64(s.workers))
			overAgents = e.appendTo(overAgents)
		}
		if s.workers == 12 {
			entries = append(entries, float64(s.entries))
			overEntries = a.appendTo(overEntries)
		}
		r.controllerCost = all["controller"]
	}
	r.entryCPU, r.entryBytes, r.entryRSS = fitLine(agents, overAgents[0]), fitLine(agents, overAgents[1]), fitLine(agents, overAgents[2])
	r.agentCPU, r.agentBytes, r.agentRSS = fitLine(entries, overEntries[0]), fitLine(entries, overEntries[1]), fitLine(entries, overEntries[2])
	return nil
}

func (c processCost) appendTo(to [3][]float64) [3][]float64 {
	for i, v := range []float64{c.cpu, c.bytes, c.resident} {
		to[i] = append(to[i], v)
	}
	return to
}

// measureFleet returns the mean cost of the processes of each role in an idle fleet.
func measureFleet(ctx context.Context, bin string, s fleetSize) (map[string]processCost, error) {
	dir, err := os.MkdirTemp("", "slopes")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	f, err := fleet.Start(ctx, fleet.Options{
		BinDir: bin, WorkDir: dir, Organisations: []string{"a", "b"},
		Deployments: []fleet.Deployment{{
			Region: "trondelag", Zones: []string{"gate-north", "gate-south", "lab-hall"}, Entries: s.entries,
			Model: "intake-llm", ModelWorkers: s.workers, Service: "weighbridge-app",
		}},
	})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	// Leaves the work of the start out of the measurement.
	time.Sleep(time.Second)
	before, err := readUsages(f)
	if err != nil {
		return nil, err
	}
	time.Sleep(measurementTime)
	after, err := readUsages(f)
	if err != nil {
		return nil, err
	}
	return meanCosts(before, after), nil
}

func readUsages(f *fleet.Fleet) (map[string]usage, error) {
	out := map[string]usage{}
	for name, p := range f.Processes {
		if p.OperatorAddress == "" {
			continue
		}
		u, err := readUsage(p.PID())
		if err != nil {
			return nil, err
		}
		out[name] = u
	}
	return out, nil
}

// meanCosts returns the mean cost of the processes of each role over measurementTime.
func meanCosts(before, after map[string]usage) map[string]processCost {
	sum := map[string]processCost{}
	count := map[string]float64{}
	for name, a := range after {
		b := before[name]
		role := roleOf(name)
		c := sum[role]
		c.cpu += (a.cpu - b.cpu).Seconds() / measurementTime.Seconds()
		c.bytes += float64(a.bytes-b.bytes) / measurementTime.Seconds()
		c.resident += float64(a.resident)
		sum[role] = c
		count[role]++
	}
	for role, c := range sum {
		n := count[role]
		sum[role] = processCost{c.cpu / n, c.bytes / n, c.resident / n}
	}
	return sum
}

func roleOf(name string) string {
	switch {
	case strings.HasSuffix(name, "-controller"):
		return "controller"
	case strings.Contains(name, "-entry-"):
		return "entry"
	}
	return "agent"
}
