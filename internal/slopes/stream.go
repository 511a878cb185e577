package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/internal/client"
	"github.com/coltsfootpitch/coltsfootpitch/internal/fleet"
)

const (
	streamRequests = 160
	streamParallel = 32
)

// measureStreams measures the processor time of an entry and an agent for streams of different
// lengths. The time between tokens is long enough that each is sent on its own.
func measureStreams(ctx context.Context, bin string, r *measurements) error {
	dir, err := os.MkdirTemp("", "slopes")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	f, err := fleet.Start(ctx, fleet.Options{
		BinDir: bin, WorkDir: dir, Organisations: []string{"a"},
		EngineArgs:     []string{"--token-time", "5ms", "--cold-limit", "64", "--warm-limit", "64"},
		AgentColdLimit: streamParallel,
		Deployments: []fleet.Deployment{{
			Region: "trondelag", Zones: []string{"gate-north"}, Entries: 1, Model: "intake-llm", ModelWorkers: 1, Service: "weighbridge-app",
		}},
	})
	if err != nil {
		return err
	}
	defer f.Close()
	var tokens []float64
	var cpuPerRequest [2][]float64
	for _, n := range []int{20, 100, 400} {
		before, err := readUsages(f)
		if err != nil {
			return err
		}
		start := time.Now()
		if err := sendStreams(ctx, f, n); err != nil {
			return err
		}
		took := time.Since(start).Seconds()
		after, err := readUsages(f)
		if err != nil {
			return err
		}
		tokens = append(tokens, float64(n))
		// Subtracts the usage of an idle process, which measureFleets measures.
		for i, name := range []string{"trondelag-entry-0", "intake-llm-0"} {
			idle := []line{r.entryCPU, r.agentCPU}[i].at(1) * took
			cpu := (after[name].cpu - before[name].cpu).Seconds() - idle
			cpuPerRequest[i] = append(cpuPerRequest[i], cpu/streamRequests)
		}
		fmt.Printf("streams tokens=%d entry_us/request=%.0f agent_us/request=%.0f\n", n, 1e6*cpuPerRequest[0][len(cpuPerRequest[0])-1], 1e6*cpuPerRequest[1][len(cpuPerRequest[1])-1])
	}
	r.entryStream, r.agentStream = fitLine(tokens, cpuPerRequest[0]), fitLine(tokens, cpuPerRequest[1])
	return nil
}

// sendStreams sends streamRequests requests, streamParallel at a time, and checks that all
// responses are complete.
func sendStreams(ctx context.Context, f *fleet.Fleet, tokens int) error {
	c := client.New(fleet.BearerToken("a"), nil)
	address := f.EntryAddresses["trondelag-entry-0"]
	requestNumbers := make(chan int)
	errs := make([]error, streamRequests)
	var senders sync.WaitGroup
	for range streamParallel {
		senders.Go(func() {
			for n := range requestNumbers {
				a, err := c.DoAt(ctx, address, client.NewChatRequest("intake-llm", fmt.Sprintf("load %d %d", tokens, n), tokens, true))
				if err == nil && !a.Complete {
					err = fmt.Errorf("the response to request %d is incomplete: code %d", n, a.ResultCode)
				}
				errs[n] = err
			}
		})
	}
	for n := range streamRequests {
		requestNumbers <- n
	}
	close(requestNumbers)
	senders.Wait()
	return errors.Join(errs...)
}
