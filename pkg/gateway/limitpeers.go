package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/samber/oops"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/requestlimit"
)

// limitView implements limitPeers.
func (p *Peers) limitView(now time.Time) requestlimit.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := requestlimit.View{Live: []string{p.self.Name}, Recent: 1, Known: 1}
	for name, at := range p.knownAt {
		v.Known++
		if now.Sub(at) < uncountedAfter {
			v.Recent++
		}
		if m := p.members[name]; m != nil && !m.lastReport.IsZero() && now.Sub(m.lastReport) < unresponsiveAfter {
			v.Live = append(v.Live, name)
		}
	}
	slices.Sort(v.Live)
	return v
}

// admit implements limitPeers.
func (p *Peers) admit(ctx context.Context, name string, r AdmitRequest) (AdmitResponse, error) {
	p.mu.Lock()
	m := p.members[name]
	p.mu.Unlock()
	if m == nil {
		return AdmitResponse{}, oops.Errorf("gateway %s is not known", name)
	}
	return peer.Call[AdmitResponse](ctx, m.client, methodAdmit, r)
}
