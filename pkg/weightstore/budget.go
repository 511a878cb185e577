package weightstore

import "slices"

// Grant is what one group may load in a window.
type Grant struct {
	Group string `json:"group"`
	Bytes int64  `json:"bytes"`
	// Wanting is set when the group asked for more than it was given.
	Wanting bool `json:"wanting"`
}

// Budget is the object that groups change by conditional update.
type Budget struct {
	// Window is the number of the newest window.
	Window int64 `json:"window"`
	// Grants are those of the newest window.
	Grants []Grant `json:"grants,omitempty"`
	// Wanted lists the groups that were given less than they asked for in the window before.
	Wanted []string `json:"wanted,omitempty"`
}

// Claim returns the budget with a grant for the group in a window that has total bytes,
// and the bytes granted, from 0 to want. A window older than the newest grants nothing.
//
// While other groups were given too little in the window before, their equal parts of
// the total are kept for them; a group alone may take all.
func (b Budget) Claim(group string, window, want, total int64) (Budget, int64) {
	if window < b.Window {
		return b, 0
	}
	if window > b.Window {
		b = b.nextWindow(window)
	}
	given := max(0, min(want, b.available(group, total)))
	b.Grants = slices.Clone(b.Grants)
	i := slices.IndexFunc(b.Grants, func(g Grant) bool { return g.Group == group })
	if i < 0 {
		b.Grants = append(b.Grants, Grant{Group: group})
		i = len(b.Grants) - 1
	}
	b.Grants[i].Bytes += given
	b.Grants[i].Wanting = given < want
	return b, given
}

// nextWindow starts a window.
func (b Budget) nextWindow(window int64) Budget {
	out := Budget{Window: window}
	if window != b.Window+1 {
		return out
	}
	for _, g := range b.Grants {
		if g.Wanting {
			out.Wanted = append(out.Wanted, g.Group)
		}
	}
	return out
}

// available returns what is left for a group beside the parts kept for others.
func (b Budget) available(group string, total int64) int64 {
	left := total
	for _, g := range b.Grants {
		left -= g.Bytes
	}
	others := int64(0)
	for _, w := range b.Wanted {
		if w != group && !b.hasGrant(w) {
			others++
		}
	}
	part := total / int64(len(b.Wanted)+1)
	return left - others*part
}

// hasGrant reports whether a group was given something in the newest window.
func (b Budget) hasGrant(group string) bool {
	return slices.ContainsFunc(b.Grants, func(g Grant) bool { return g.Group == group })
}
