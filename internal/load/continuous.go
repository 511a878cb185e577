package load

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/internal/client"
	"github.com/coltsfootpitch/coltsfootpitch/internal/fleet"
)

// NewClients returns a client for each organisation with the entry addresses as seeds.
func NewClients(organisations, addresses []string) []*client.Client {
	var out []*client.Client
	for _, o := range organisations {
		out = append(out, client.New(fleet.BearerToken(o), addresses))
	}
	return out
}

// ContinuousLoad is a load that continues until it is stopped, so that its duration does not
// depend on the speed of the machine.
type ContinuousLoad struct {
	stop     atomic.Bool
	outcomes chan []Outcome
}

const (
	// maxContinuousDuration limits the duration of a load that is never stopped.
	maxContinuousDuration = 5 * time.Minute
	// batchRequests is the number of requests between two checks whether to stop.
	batchRequests = 48
)

// StartContinuousLoad starts to send batches of the requests that m describes; Workload.RequestCount
// is not used.
func StartContinuousLoad(m Workload) *ContinuousLoad {
	p := &ContinuousLoad{outcomes: make(chan []Outcome, 1)}
	prefix := m.Prefix
	m.RequestCount = batchRequests
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), maxContinuousDuration)
		defer cancel()
		var all []Outcome
		for batch := 0; !p.stop.Load() && ctx.Err() == nil; batch++ {
			m.Prefix = fmt.Sprintf("%s batch %d", prefix, batch)
			all = append(all, Run(ctx, m)...)
		}
		p.outcomes <- all
	}()
	return p
}

// Stop ends the load after the current batch and returns the outcomes of all requests. It may be
// called only once.
func (p *ContinuousLoad) Stop() []Outcome {
	p.stop.Store(true)
	return <-p.outcomes
}
