package dispatch

import (
	"context"
	"sync"
	"time"
)

// pollWorkers is the number of concurrent status calls of an entry.
const pollWorkers = 16

// Poller polls the status of the processes in the table at a fixed interval and on PollNow.
type Poller struct {
	table         *InstanceTable
	interval      time.Duration
	pollRequested chan struct{}
	// probes is reused to avoid an allocation per round.
	probes []probe
}

// NewPoller returns a poller that polls all processes once per interval.
func NewPoller(t *InstanceTable, interval time.Duration) *Poller {
	return &Poller{table: t, interval: interval, pollRequested: make(chan struct{}, 1)}
}

// PollNow starts the next round without waiting for the interval to end.
func (p *Poller) PollNow() {
	select {
	case p.pollRequested <- struct{}{}:
	default:
	}
}

// Run polls until ctx ends. The calls of a round run concurrently on pollWorkers workers, so
// that a process without a response does not delay the others.
func (p *Poller) Run(ctx context.Context) {
	jobs := make(chan probe)
	var workers sync.WaitGroup
	for range pollWorkers {
		workers.Go(func() {
			for j := range jobs {
				p.table.pollStatus(ctx, j)
			}
		})
	}
	tick := time.NewTicker(p.interval)
	defer tick.Stop()
	for ctx.Err() == nil {
		p.pollAll(ctx, jobs)
		select {
		case <-ctx.Done():
		case <-tick.C:
		case <-p.pollRequested:
		}
	}
	close(jobs)
	workers.Wait()
}

// pollAll sends a job for each process of the table.
func (p *Poller) pollAll(ctx context.Context, jobs chan<- probe) {
	p.probes = p.table.probes(p.probes[:0])
	for _, j := range p.probes {
		select {
		case jobs <- j:
		case <-ctx.Done():
			return
		}
	}
}
