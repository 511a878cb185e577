package gateway

import (
	"context"
	"time"

	"github.com/samber/oops"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/fanout"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/requestlimit"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/roster"
)

// handleLimit applies the limit of a group and passes it on to the gateways of its part.
func (p *Peers) handleLimit(ctx context.Context, l roster.Limit) roster.LimitResponse {
	response := p.gateway.applyLimit(l)
	if len(l.Part) > 0 {
		ctx, cancel := fanout.WithTimeout(ctx, l.TimeoutMillis)
		defer cancel()
		response.Demands = roster.SendLimit(ctx, p.tree, fanout.MaxRelayed, l, l.Part, p.callLimit)
	}
	return response
}

func (p *Peers) callLimit(ctx context.Context, address string, l roster.Limit) (roster.LimitResponse, error) {
	return callGateway[roster.LimitResponse](ctx, p.clients, address, roster.MethodLimit, l)
}

// limitView implements limitPeers.
func (p *Peers) limitView(now time.Time) requestlimit.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view(now)
}

// view returns which gateways there are. The caller holds p.mu.
func (p *Peers) view(now time.Time) requestlimit.View {
	return requestlimit.View{Live: p.table.Live(), Recent: p.table.Recent(now), Known: p.table.Known(now)}
}

// admit implements limitPeers.
func (p *Peers) admit(ctx context.Context, name string, r AdmitRequest) (AdmitResponse, error) {
	p.mu.Lock()
	entry, ok := p.table.Entry(name)
	p.mu.Unlock()
	if !ok {
		return AdmitResponse{}, oops.Errorf("gateway %s is not known", name)
	}
	return peer.Call[AdmitResponse](ctx, p.clients.get(entry.PeerAddress), methodAdmit, r)
}
