package steward

import (
	"context"
	"net"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/route"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// listMembers returns the upstreams of the own service with their stewards.
func listMembers(ctx context.Context, s *platform.Store, n platform.Node) ([]Member, error) {
	list, err := s.List(ctx, platform.KindUpstreams)
	if err != nil {
		return nil, err
	}
	var out []Member
	for _, o := range list.Objects {
		u, err := platform.DecodeUpstream(o)
		if err != nil || u.Service != n.UpstreamService {
			continue
		}
		host, _, err := net.SplitHostPort(u.Address)
		if err != nil {
			continue
		}
		out = append(out, Member{Upstream: u.Address, Steward: n.PortAddress(host, 0)})
	}
	return out, nil
}

// readEngine returns the description of a service's engines, or nil where there is none.
func readEngine(ctx context.Context, s *platform.Store, service string) (*route.Engine, error) {
	o, err := s.Get(ctx, platform.KindConfiguration, platform.NameConfiguration)
	if err != nil {
		return nil, err
	}
	c, err := platform.DecodeConfiguration(o.Spec)
	if err != nil {
		return nil, err
	}
	for _, v := range c.Services {
		if v.Name == service {
			return v.Engine, nil
		}
	}
	return nil, nil
}
