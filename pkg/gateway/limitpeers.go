package gateway

import (
	"context"
	"time"

	"github.com/samber/oops"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/requestlimit"
)

// limitView implements limitPeers.
func (p *Peers) limitView(now time.Time) requestlimit.View {
	p.mu.Lock()
	defer p.mu.Unlock()
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
