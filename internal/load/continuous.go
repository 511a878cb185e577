package load

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/internal/client"
	"github.com/coltsfootpitch/coltsfootpitch/internal/fleet"
)

// Clients returns a caller for each organisation that knows the addresses of entries.
func Clients(organisations, addresses []string) []*client.Client {
	var out []*client.Client
	for _, o := range organisations {
		out = append(out, client.New(fleet.Token(o), addresses))
	}
	return out
}

// Pour is a load that goes on until it is stopped, however fast the machine is.
type Pour struct {
	stop     atomic.Bool
	outcomes chan []Outcome
}

const (
	// maxContinuousDuration bounds a load that is never stopped.
	maxContinuousDuration = 5 * time.Minute
	// batchRequests is the number of requests between two looks at whether to stop.
	batchRequests = 48
)

// StartPour sends batches of the mix; Count is not used.
func StartPour(m Mix) *Pour {
	p := &Pour{outcomes: make(chan []Outcome, 1)}
	prefix := m.Prefix
	m.Count = batchRequests
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

// Stop ends the load and returns the ends of all its requests.
func (p *Pour) Stop() []Outcome {
	p.stop.Store(true)
	return <-p.outcomes
}
