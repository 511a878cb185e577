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
	callPeers  = 64
	callRounds = 200
)

// callCost is the processor time and the bytes of one call and its response, both sides together.
type callCost struct {
	cpu   time.Duration
	bytes float64
}

// measureCalls measures the cost of a status call and of a probe, and the memory of a connection.
func measureCalls(ctx context.Context, r *measurements) error {
	credentials, err := peer.NewCredentials(peer.CredentialSettings{})
	if err != nil {
		return err
	}
	before := memoryInUse()
	clients, closeAll, err := startPeers(ctx, credentials)
	if err != nil {
		return err
	}
	defer closeAll()
	r.connectionMemory = float64(memoryInUse()-before) / callPeers
	status := func(c *peer.Client) error {
		_, err := peer.Call[peer.Status](ctx, c, peer.MethodStatus, peer.StatusRequest{Requester: "trondelag-entry-0"})
		return err
	}
	probe := func(c *peer.Client) error {
		_, err := peer.Call[peer.ProbeResult](ctx, c, peer.MethodProbe, peer.ProbeRequest{ConfigVersion: 10_000, ListRevision: 100_000})
		return err
	}
	if r.statusCall, err = measureCallCost(clients, status); err != nil {
		return err
	}
	r.probeCall, err = measureCallCost(clients, probe)
	return err
}

// startPeers starts callPeers servers on loopback and connects to each. The returned function
// closes all connections and servers.
func startPeers(ctx context.Context, cr peer.Credentials) ([]*peer.Client, func(), error) {
	var clients []*peer.Client
	var servers []*peer.Server
	closeAll := func() {
		for i, s := range servers {
			clients[i].Close()
			s.Close()
		}
	}
	for i := range callPeers {
		s := peer.NewServer(cr)
		peer.Handle(s, peer.MethodStatus, handleStatus)
		peer.Handle(s, peer.MethodProbe, handleProbe)
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

func handleStatus(context.Context, *jsonrpc2.Conn, peer.StatusRequest) (peer.Status, error) {
	return peer.Status{
		SenderState: peer.SenderState{ConfigVersion: 10_000}, Upstream: "intake-llm-1234", Zone: "gate-north",
		Incarnation: "0b0e5c8c-6d0c-4f6f-9d3e-1f9a5f0f2a11", Models: []string{"intake-llm"},
		Limit: 32, Running: 20, Queued: int(code.OK) % 7, Reachable: true, MeanServiceMillis: 812.25,
	}, nil
}

func handleProbe(context.Context, *jsonrpc2.Conn, peer.ProbeRequest) (peer.ProbeResult, error) {
	return peer.ProbeResult{ConfigVersion: 10_000, ListRevision: 100_000, Incarnation: "0b0e5c8c"}, nil
}

// measureCallCost makes callRounds calls to each client and returns the mean cost of one.
func measureCallCost(clients []*peer.Client, call func(*peer.Client) error) (callCost, error) {
	ioBefore, err := readCounters("/proc/self/io")
	if err != nil {
		return callCost{}, err
	}
	cpuBefore, err := ownCPU()
	if err != nil {
		return callCost{}, err
	}
	for range callRounds {
		for _, c := range clients {
			if err := call(c); err != nil {
				return callCost{}, err
			}
		}
	}
	cpuAfter, err := ownCPU()
	if err != nil {
		return callCost{}, err
	}
	n := callRounds * len(clients)
	ioAfter, err := readCounters("/proc/self/io")
	// Each byte is written by one side and read by the other.
	bytesWritten := ioAfter["wchar"] - ioBefore["wchar"]
	return callCost{cpu: (cpuAfter - cpuBefore) / time.Duration(n), bytes: float64(bytesWritten) / float64(n)}, err
}
