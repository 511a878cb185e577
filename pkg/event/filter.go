package event

// Filter selects events. Its zero value selects all; each field that is set must match.
type Filter struct {
	Request       string
	Upstream      string
	Zone          string
	Kind          Kind
	ConfigVersion int64
	// Since is the smallest stamp that matches.
	Since Stamp
}

// Match reports whether e is selected.
func (f Filter) Match(e Event) bool {
	return same(f.Request, e.Request) &&
		same(f.Upstream, e.Upstream) &&
		same(f.Zone, e.Zone) &&
		same(f.Kind, e.Kind) &&
		same(f.ConfigVersion, e.ConfigVersion) &&
		!e.Stamp.Before(f.Since)
}

// same reports whether want is the zero value or equals got.
func same[T comparable](want, got T) bool {
	var zero T
	return want == zero || want == got
}
