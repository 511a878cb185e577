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
// lengths. Tokens come one at a time, so that none travels together with the next.
func measureStreams(ctx context.Context, bin string, r *rates) error {
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
	var used [2][]float64
	for _, n := range []int{20, 100, 400} {
		before, err := usages(f)
		if err != nil {
			return err
		}
		start := time.Now()
		if err := sendStreams(ctx, f, n); err != nil {
			return err
		}
		took := time.Since(start).Seconds()
		after, err := usages(f)
		if err != nil {
			return err
		}
		tokens = append(tokens, float64(n))
		// What an idle process uses is measured on its own.
		for i, name := range []string{"trondelag-entry-0", "intake-llm-0"} {
			idle := []line{r.entryCPU, r.agentCPU}[i].at(1) * took
			cpu := (after[name].cpu - before[name].cpu).Seconds() - idle
			used[i] = append(used[i], cpu/streamRequests)
		}
		fmt.Printf("streams tokens=%d entry_us/request=%.0f agent_us/request=%.0f\n", n, 1e6*used[0][len(used[0])-1], 1e6*used[1][len(used[1])-1])
	}
	r.entryStream, r.agentStream = fit(tokens, used[0]), fit(tokens, used[1])
	return nil
}

// sendStreams sends the requests, several at a time, and checks that all answers are whole.
func sendStreams(ctx context.Context, f *fleet.Fleet, tokens int) error {
	c := client.New(fleet.BearerToken("a"), nil)
	address := f.EntryAddresses["trondelag-entry-0"]
	numbers := make(chan int)
	faults := make([]error, streamRequests)
	var senders sync.WaitGroup
	for range streamParallel {
		senders.Go(func() {
			for n := range numbers {
				a, err := c.DoAt(ctx, address, client.NewChatRequest("intake-llm", fmt.Sprintf("load %d %d", tokens, n), tokens, true))
				if err == nil && !a.Complete {
					err = fmt.Errorf("the answer to request %d is not whole: code %d", n, a.ResultCode)
				}
				faults[n] = err
			}
		})
	}
	for n := range streamRequests {
		numbers <- n
	}
	close(numbers)
	senders.Wait()
	return errors.Join(faults...)
}
