package weightstore

import "slices"

// Grant is the number of bytes that one group may load in a window.
type Grant struct {
	Group string `json:"group"`
	Bytes int64  `json:"bytes"`
	// Underserved is set when the last claim of the group was granted less than it requested.
	Underserved bool `json:"wanting"`
}

// Budget is the object of the platform that groups change by conditional update.
type Budget struct {
	// WindowNumber is the number of the newest window: the Unix time divided by the window
	// duration.
	WindowNumber int64 `json:"window"`
	// Grants are the grants of the newest window, one per group.
	Grants []Grant `json:"grants,omitempty"`
	// UnderservedGroups are the groups that were granted less than they requested in the
	// previous window.
	UnderservedGroups []string `json:"wanted,omitempty"`
}

// Claim returns the budget with a grant for the group in a window that has total bytes, and the
// number of bytes granted, from 0 to want. A claim in a window older than the newest is granted
// nothing.
//
// An equal part of the total is reserved for each other group that was granted less than it
// requested in the previous window and has no grant yet. Without such groups, one group may be
// granted the total.
func (b Budget) Claim(group string, window, want, total int64) (Budget, int64) {
	if window < b.WindowNumber {
		return b, 0
	}
	if window > b.WindowNumber {
		b = b.nextWindow(window)
	}
	granted := max(0, min(want, b.available(group, total)))
	b.Grants = slices.Clone(b.Grants)
	i := slices.IndexFunc(b.Grants, func(g Grant) bool { return g.Group == group })
	if i < 0 {
		b.Grants = append(b.Grants, Grant{Group: group})
		i = len(b.Grants) - 1
	}
	b.Grants[i].Bytes += granted
	b.Grants[i].Underserved = granted < want
	return b, granted
}

// nextWindow returns the budget of a later window without grants. UnderservedGroups is
// empty unless window follows directly on the present one.
func (b Budget) nextWindow(window int64) Budget {
	out := Budget{WindowNumber: window}
	if window != b.WindowNumber+1 {
		return out
	}
	for _, g := range b.Grants {
		if g.Underserved {
			out.UnderservedGroups = append(out.UnderservedGroups, g.Group)
		}
	}
	return out
}

// available returns the bytes that are left for a group, without the parts reserved for others.
// It may be negative.
func (b Budget) available(group string, total int64) int64 {
	remaining := total
	for _, g := range b.Grants {
		remaining -= g.Bytes
	}
	reservedGroups := int64(0)
	for _, w := range b.UnderservedGroups {
		if w != group && !b.hasGrant(w) {
			reservedGroups++
		}
	}
	reservedBytes := total / int64(len(b.UnderservedGroups)+1)
	return remaining - reservedGroups*reservedBytes
}

// hasGrant reports whether a group made a claim in the newest window.
func (b Budget) hasGrant(group string) bool {
	return slices.ContainsFunc(b.Grants, func(g Grant) bool { return g.Group == group })
}
