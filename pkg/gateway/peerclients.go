package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
)

// peerClients holds the clients of other gateways while they are in use. It is safe for concurrent use.
type peerClients struct {
	credentials peer.Credentials
	// maxClients is the number of clients.
	maxClients int

	mu      sync.Mutex
	clients map[string]*peerClient
}

type peerClient struct {
	*peer.Client
	usedAt time.Time
}

func newPeerClients(c peer.Credentials, maxClients int) *peerClients {
	return &peerClients{credentials: c, maxClients: maxClients, clients: map[string]*peerClient{}}
}

// get returns the client for an address.
func (c *peerClients) get(address string) *peer.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.clients[address]
	if client == nil {
		c.makeRoom()
		client = &peerClient{Client: peer.NewClient(address, c.credentials)}
		c.clients[address] = client
	}
	client.usedAt = time.Now()
	return client.Client
}

// makeRoom closes the client that was not used for longest if there are as many as there may be. The caller holds c.mu.
func (c *peerClients) makeRoom() {
	if len(c.clients) < c.maxClients {
		return
	}
	oldest := ""
	for address, client := range c.clients {
		if oldest == "" || client.usedAt.Before(c.clients[oldest].usedAt) {
			oldest = address
		}
	}
	c.clients[oldest].Close()
	delete(c.clients, oldest)
}

// closeIdle closes the clients that were not used for clientIdleTime.
func (c *peerClients) closeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, client := range c.clients {
		if now.Sub(client.usedAt) > clientIdleTime {
			client.Close()
			delete(c.clients, address)
		}
	}
}

// heartbeat implements transport.
func (c *peerClients) heartbeat(ctx context.Context, address string, h Heartbeat) (Heartbeat, error) {
	return callGateway[Heartbeat](ctx, c, address, methodHeartbeat, h)
}

// isHeard implements transport.
func (c *peerClients) isHeard(ctx context.Context, address, name string) (bool, error) {
	return callGateway[bool](ctx, c, address, methodIsHeard, name)
}

// changes implements transport.
func (c *peerClients) changes(ctx context.Context, address string, r ChangesRequest) (ChangesResponse, error) {
	return callGateway[ChangesResponse](ctx, c, address, methodChanges, r)
}

// snapshot implements transport.
func (c *peerClients) snapshot(ctx context.Context, address string) (Snapshot, error) {
	return callGateway[Snapshot](ctx, c, address, methodSnapshot, struct{}{})
}

// callGateway calls a method of a gateway. After a failure it closes the connection, which may be broken for
// good; the next call opens another.
func callGateway[R any](ctx context.Context, c *peerClients, address, method string, params any) (R, error) {
	client := c.get(address)
	result, err := peer.Call[R](ctx, client, method, params)
	if err != nil {
		client.Close()
	}
	return result, err
}
