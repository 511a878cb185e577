package requestlimit

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// View is what a gateway knows about which gateways there are, itself included.
type View struct {
	// Live are the names of those that it hears from.
	Live []string
	// Recent is the number of those that it heard from lately, Live among them.
	Recent int
	// Known is the number of all that may be running, Recent among them.
	Known int
}

// Coordinator returns the name of the gateway that grants the requests to an upstream.
func (v View) Coordinator(u Upstream) string {
	score := func(name string) uint64 { return xxhash.Sum64String(u.ID + "\x00" + name) }
	return slices.MaxFunc(v.Live, func(a, b string) int { return cmp.Or(cmp.Compare(score(a), score(b)), cmp.Compare(a, b)) })
}

// Sharing returns the number of gateways among which a limit is divided that all of them together must keep.
//
// Those that are not heard from may be cut off, with a coordinator of their own. A majority grants its part of
// the gateways that it heard from lately, and so all of a limit once the others have been away for long. Any
// other group of gateways grants no more than its part of all that may be running. Together they grant one
// limit, and less than one and a half when the majority has given up the others.
func (v View) Sharing() int {
	all := v.Known
	if 2*len(v.Live) > v.Known {
		all = v.Recent
	}
	return max(all, len(v.Live))
}

// Share returns the fraction of a limit that the coordinators among the live gateways may grant.
func (v View) Share() float64 { return float64(len(v.Live)) / float64(v.Sharing()) }

// equalLive reports whether two views have the same live gateways; both are sorted.
func (v View) equalLive(o View) bool { return slices.Equal(v.Live, o.Live) }
