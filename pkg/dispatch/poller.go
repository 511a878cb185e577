package dispatch

import (
	"context"
	"sync"
	"time"
)

// pollWorkers is the number of status calls that an entry makes at a time.
const pollWorkers = 16

// Poller asks the processes of the table for their status, at an interval and when
// it is woken.
type Poller struct {
	table    *Table
	interval time.Duration
	wake     chan struct{}
	// probes is reused from round to round.
	probes []probe
}

// NewPoller returns a poller that makes a round each interval.
func NewPoller(t *Table, interval time.Duration) *Poller {
	return &Poller{table: t, interval: interval, wake: make(chan struct{}, 1)}
}

// Wake starts the next round at once.
func (p *Poller) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run makes rounds until ctx ends. A process that does not answer does not hold up the others.
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
		case <-p.wake:
		}
	}
	close(jobs)
	workers.Wait()
}

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
