package steward

import (
	"cmp"
	"context"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/route"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// listMembers returns the upstreams of the steward's own service with the addresses of their
// stewards.
func listMembers(ctx context.Context, s *platform.Store, settings platform.Settings) ([]Member, error) {
	list, err := s.List(ctx, platform.KindUpstreams)
	if err != nil {
		return nil, err
	}
	var out []Member
	for _, o := range list.Objects {
		u, err := platform.DecodeUpstream(o)
		if err != nil || u.Service != settings.UpstreamService {
			continue
		}
		host, _, err := net.SplitHostPort(u.Address)
		if err != nil {
			continue
		}
		out = append(out, Member{Upstream: u.Address, Steward: settings.PortAddress(host, 0), Zone: u.Zone})
	}
	// Members of a zone stand together, so that a relay and its part are near each other.
	slices.SortFunc(out, func(a, b Member) int { return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Upstream, b.Upstream)) })
	// An upstream that has started again is listed under its old ID too until that expires.
	return slices.CompactFunc(out, func(a, b Member) bool { return a.Upstream == b.Upstream }), nil
}

// packMembers returns the members as upstream address and port of the steward, which are on one instance: a leader sends
// the list to all stewards of a large group.
func packMembers(members []Member) []string {
	out := make([]string, len(members))
	for i, m := range members {
		out[i] = m.Upstream + "/" + m.Steward[strings.LastIndex(m.Steward, ":")+1:]
	}
	return out
}

// unpackMembers returns the members that were packed, without those that are malformed and those beyond maxRelayed.
func unpackMembers(packed []string) []Member {
	packed = packed[:min(len(packed), maxRelayed)]
	out := make([]Member, 0, len(packed))
	for _, p := range packed {
		upstream, port, _ := strings.Cut(p, "/")
		if host, _, err := net.SplitHostPort(upstream); err == nil && port != "" {
			out = append(out, Member{Upstream: upstream, Steward: net.JoinHostPort(host, port)})
		}
	}
	return out
}

// digestOf identifies a list of members.
func digestOf(members []Member) uint64 {
	var d xxhash.Digest
	for _, m := range members {
		// Write of a hash never returns an error.
		_, _ = d.WriteString(m.Upstream + "\x00" + m.Steward + "\x00")
	}
	return d.Sum64()
}

// serviceDescription is what a leader needs from the configuration of its service.
type serviceDescription struct {
	engine *route.Engine
	// eventGap is the shortest target pause between streamed events of all routes to the
	// service.
	eventGap time.Duration
}

// readService returns the description of a service, or nil if the service has no engines.
func readService(ctx context.Context, s *platform.Store, name string) (*serviceDescription, error) {
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
			return &serviceDescription{engine: v.Engine, eventGap: shortestEventGap(c.Routes, name)}, nil
		}
	}
	return nil, nil
}

// shortestEventGap returns the shortest target pause between events of the routes to a service,
// or defaultEventGap where none sets one.
func shortestEventGap(routes []route.Route, service string) time.Duration {
	shortest := time.Duration(0)
	for _, r := range routes {
		isBackend := slices.ContainsFunc(r.Backends, func(b route.Backend) bool { return b.Service == service })
		if isBackend && r.TargetEventGap > 0 && (shortest == 0 || r.TargetEventGap < shortest) {
			shortest = r.TargetEventGap
		}
	}
	if shortest == 0 {
		return defaultEventGap
	}
	return shortest
}

const (
	// defaultExpertLoadTime and defaultGroupFormTime are used for engines that do not report the size
	// of an expert, the bandwidth or the time to form. They are long, so that maps change seldom and
	// callers are not told to return too early.
	defaultExpertLoadTime = time.Second
	defaultGroupFormTime  = 2 * time.Second
)

// setDefaultSizes sets the sizes that an engine with an expert map does not report, and returns their
// names.
func setDefaultSizes(e *route.Engine) (missing []string) {
	if e.Experts == 0 {
		return nil
	}
	if e.ExpertLoadTime <= 0 {
		e.ExpertLoadTime = defaultExpertLoadTime
		missing = append(missing, "expert load time")
	}
	if e.GroupFormTime <= 0 {
		e.GroupFormTime = defaultGroupFormTime
		missing = append(missing, "group form time")
	}
	return missing
}
