package steward

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/route"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// listMembers returns the upstreams of the own service with their stewards.
func listMembers(ctx context.Context, s *platform.Store, n platform.Settings) ([]Member, error) {
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

// service is what a leader needs to know of the service of its group.
type service struct {
	engine *route.Engine
	// gap is the shortest of the pauses between events that its routes aim for.
	gap time.Duration
}

// readService returns the description of a service, or nil where it has no engines.
func readService(ctx context.Context, s *platform.Store, name string) (*service, error) {
	o, err := s.Get(ctx, platform.KindConfiguration, platform.NameConfiguration)
	if err != nil {
		return nil, err
	}
	c, err := platform.DecodeConfiguration(o.Spec)
	if err != nil {
		return nil, err
	}
	for _, v := range c.Services {
		if v.Name == name && v.Engine != nil {
			return &service{engine: v.Engine, gap: shortestGap(c.Routes, name)}, nil
		}
	}
	return nil, nil
}

// shortestGap returns the shortest of the pauses that the routes of a service aim for.
func shortestGap(routes []route.Route, service string) time.Duration {
	shortest := time.Duration(0)
	for _, r := range routes {
		leads := slices.ContainsFunc(r.Backends, func(b route.Backend) bool { return b.Service == service })
		if leads && r.TargetEventGap > 0 && (shortest == 0 || r.TargetEventGap < shortest) {
			shortest = r.TargetEventGap
		}
	}
	if shortest == 0 {
		return usualGap
	}
	return shortest
}
