package event

// Filter selects events. Its zero value selects all; each field that is set must match.
type Filter struct {
	Request       string
	Upstream      string
	Zone          string
	Kind          Kind
	ConfigVersion int64
	// Since is the earliest stamp that matches.
	Since Stamp
}

// Match reports whether e is selected.
func (f Filter) Match(e Event) bool {
	return matches(f.Request, e.Request) &&
		matches(f.Upstream, e.Upstream) &&
		matches(f.Zone, e.Zone) &&
		matches(f.Kind, e.Kind) &&
		matches(f.ConfigVersion, e.ConfigVersion) &&
		!e.Stamp.Before(f.Since)
}

// matches reports whether want is the zero value or equals got.
func matches[T comparable](want, got T) bool {
	var zero T
	return want == zero || want == got
}
