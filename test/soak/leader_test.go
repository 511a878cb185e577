package soak

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/roster"
	"github.com/coltsfootpitch/coltsfootpitch/platform/standin"
)

const (
	// reportInterval is the time between two reports of a leader, and reportTimeout limits one.
	reportInterval = 100 * time.Millisecond
	reportTimeout  = 300 * time.Millisecond
	// groupShare is the number of requests that each gateway may have in progress.
	groupShare = 40
)

// leader stands in for the leader of the group that the workers form: it reports to all gateways that the group runs.
type leader struct {
	service *standin.FaultyService
	mu      sync.Mutex
	clients map[string]*peer.Client
}

func newLeader(s *standin.FaultyService) *leader {
	return &leader{service: s, clients: map[string]*peer.Client{}}
}

// run reports until ctx ends.
func (l *leader) run(ctx context.Context, gateways []*gateway) {
	for ctx.Err() == nil {
		loads := map[string]int{}
		for _, address := range l.service.Addresses() {
			loads[address] = 0
		}
		var calls sync.WaitGroup
		for _, g := range gateways {
			calls.Go(func() { l.report(ctx, g, loads) })
		}
		calls.Wait()
		time.Sleep(reportInterval)
	}
}

// report sends a report to a gateway, which may not run.
func (l *leader) report(ctx context.Context, g *gateway, loads map[string]int) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	address := net.JoinHostPort(g.ip, "8229")
	l.mu.Lock()
	client := l.clients[address]
	if client == nil {
		client = peer.NewClient(address, peer.Credentials{})
		l.clients[address] = client
	}
	l.mu.Unlock()
	_, _ = peer.Call[roster.LimitResponse](ctx, client, roster.MethodLimit, roster.Limit{
		Service: "plain", Group: "g", FencingToken: 1, Share: groupShare, Loads: loads, TokensPerPass: 4, PassMillis: 5, EmptyPassMillis: 5,
	})
}

func (l *leader) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.clients {
		c.Close()
	}
}
