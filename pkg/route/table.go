package route

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// Table is an index of the routes, services and organisations of one configuration. It is
// immutable and safe for concurrent use.
type Table struct {
	version            int64
	limits             Limits
	routesByHost       map[string][]*Route
	services           map[string]*Service
	requiresAPIKeys    bool
	organisationsByKey map[string]*Organisation
}

// Compile returns the table of a configuration. The table refers to the configuration,
// which must not be changed afterwards.
func Compile(c Configuration) *Table {
	t := &Table{
		version: c.Version, limits: c.Limits, requiresAPIKeys: c.RequiresAPIKeys,
		routesByHost:       map[string][]*Route{},
		services:           map[string]*Service{},
		organisationsByKey: map[string]*Organisation{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := canonicalHost(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].APIKeys {
			t.organisationsByKey[key] = &c.Organisations[i]
		}
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.version }

// Limits returns the limits on requests and connections of callers.
func (t *Table) Limits() Limits { return t.limits }

// Route returns the route of the host with the longest prefix of the path, or nil if no
// route matches.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.routesByHost[canonicalHost(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns the named service, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services by name. The caller must not change the map.
func (t *Table) Services() map[string]*Service { return t.services }

// RequiresAPIKeys reports whether requests to routes that are not public need the API key of an organisation.
func (t *Table) RequiresAPIKeys() bool { return t.requiresAPIKeys }

// APIKeyCount returns the number of API keys.
func (t *Table) APIKeyCount() int { return len(t.organisationsByKey) }

// Organisation returns the organisation of an API key, or nil if the key is unknown or empty.
func (t *Table) Organisation(key string) *Organisation {
	if key == "" {
		return nil
	}
	return t.organisationsByKey[key]
}

// PickBackend picks the service for a request on r in proportion to the weights. The random
// number u is in [0, 1). It returns "" if no backend has a share.
func (r *Route) PickBackend(u float64) string {
	total := 0.0
	for _, b := range r.Backends {
		total += max(0, b.Weight)
	}
	service, remaining := "", u*total
	for _, b := range r.Backends {
		if b.Weight <= 0 {
			continue
		}
		service = b.Service // the last one with a share takes what rounding leaves over
		if remaining -= b.Weight; remaining < 0 {
			break
		}
	}
	return service
}

// canonicalHost returns a host name in lower case and without the port.
func canonicalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
