package main

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
)

const (
	exchangePeers  = 64
	exchangeRounds = 200
)

// exchange is the cost of one call and its answer, both sides together.
type exchange struct {
	cpu   time.Duration
	bytes float64
}

// measureExchanges measures a status call, a probe and the memory of a connection.
func measureExchanges(ctx context.Context, r *rates) error {
	credentials, err := peer.NewCredentials(peer.CredentialSettings{})
	if err != nil {
		return err
	}
	before := heap()
	clients, closeAll, err := startPeers(ctx, credentials)
	if err != nil {
		return err
	}
	defer closeAll()
	r.connection = float64(heap()-before) / exchangePeers
	status := func(c *peer.Client) error {
		_, err := peer.Call[peer.Status](ctx, c, peer.MethodStatus, peer.StatusRequest{Requester: "trondelag-entry-0"})
		return err
	}
	probe := func(c *peer.Client) error {
		_, err := peer.Call[peer.ProbeResult](ctx, c, peer.MethodProbe, peer.ProbeRequest{ConfigVersion: 10_000, ListRevision: 100_000})
		return err
	}
	if r.status, err = timeCalls(clients, status); err != nil {
		return err
	}
	r.probe, err = timeCalls(clients, probe)
	return err
}

// startPeers starts servers on loopback and connects to each.
func startPeers(ctx context.Context, cr peer.Credentials) ([]*peer.Client, func(), error) {
	var clients []*peer.Client
	var servers []*peer.Server
	closeAll := func() {
		for i, s := range servers {
			clients[i].Close()
			s.Close()
		}
	}
	for i := range exchangePeers {
		s := peer.NewServer(cr)
		peer.Handle(s, peer.MethodStatus, answerStatus)
		peer.Handle(s, peer.MethodProbe, answerProbe)
		var lc net.ListenConfig
		l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, closeAll, err
		}
		go func() { _ = s.Serve(l) }()
		c := peer.NewClient(l.Addr().String(), cr)
		servers = append(servers, s)
		clients = append(clients, c)
		if _, err := c.Connect(ctx); err != nil {
			return nil, closeAll, fmt.Errorf("peer %d: %w", i, err)
		}
	}
	return clients, closeAll, nil
}

func answerStatus(context.Context, *jsonrpc2.Conn, peer.StatusRequest) (peer.Status, error) {
	return peer.Status{
		SenderState: peer.SenderState{ConfigVersion: 10_000}, Upstream: "intake-llm-1234", Zone: "gate-north",
		Incarnation: "0b0e5c8c-6d0c-4f6f-9d3e-1f9a5f0f2a11", Models: []string{"intake-llm"},
		Limit: 32, Running: 20, Queued: int(code.OK) % 7, Reachable: true, MeanServiceMillis: 812.25,
	}, nil
}

func answerProbe(context.Context, *jsonrpc2.Conn, peer.ProbeRequest) (peer.ProbeResult, error) {
	return peer.ProbeResult{ConfigVersion: 10_000, ListRevision: 100_000, Incarnation: "0b0e5c8c"}, nil
}

// timeCalls makes rounds of calls and returns the cost of one.
func timeCalls(clients []*peer.Client, call func(*peer.Client) error) (exchange, error) {
	io, err := counters("/proc/self/io")
	if err != nil {
		return exchange{}, err
	}
	cpu, err := ownCPU()
	if err != nil {
		return exchange{}, err
	}
	for range exchangeRounds {
		for _, c := range clients {
			if err := call(c); err != nil {
				return exchange{}, err
			}
		}
	}
	after, err := ownCPU()
	if err != nil {
		return exchange{}, err
	}
	n := exchangeRounds * len(clients)
	ioAfter, err := counters("/proc/self/io")
	// Each byte is written by one side and read by the other.
	moved := ioAfter["wchar"] - io["wchar"]
	return exchange{cpu: (after - cpu) / time.Duration(n), bytes: float64(moved) / float64(n)}, err
}
